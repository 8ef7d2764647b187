//! A key that was taken away opens nothing after the limit, at any node, whatever that node can reach.
//!
//! Each test takes keys away while something is in the way of the news, sends requests all the time, and compares
//! when each was sent with whether a back end ran it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use sablebay_platform_standin::{CallerCall, CallerStandIn, StoreMode, TenantSpec};

use crate::link::Link;
use crate::support::{Deployment, HOST, NodeProcess, SAFE_PATH, configuration, eventually, settings_text};

/// The limit on revocation here.
const LIMIT: Duration = Duration::from_millis(5_000);
/// How much longer than the limit requests are sent.
const BEYOND: Duration = Duration::from_millis(2_500);
/// The time between two requests.
const PERIOD: Duration = Duration::from_millis(40);

fn tenants(keys: &[&str]) -> [TenantSpec; 2] {
    [TenantSpec::new("harbour", keys), TenantSpec::new("quay", &["quay-key"])]
}

fn limited(text: &str, limit: Duration) -> String {
    format!("{text}revocation_limit_ms = {}\n", limit.as_millis())
}

/// A node for which revocation is limited.
fn start(name: &str, store: SocketAddr, peers: &[SocketAddr]) -> NodeProcess {
    NodeProcess::start_with(&limited(&settings_text(name, store, peers), LIMIT))
}

/// A deployment in which the key of `harbour` is `old`.
async fn deployment() -> Deployment {
    let deployment = Deployment::start().await;
    deployment.store.publish_with_tenants(&configuration(2), &tenants(&["old"]));
    deployment
}

async fn wait_for_key(node: &NodeProcess) {
    node.wait_ready().await;
    eventually("the key is known", || async { status(node.caller, "old", "known").await == Some(200) }).await;
}

async fn status(caller: CallerStandIn, key: &str, id: &str) -> Option<u16> {
    let call = CallerCall::get(HOST, SAFE_PATH, id).with_key(key);
    caller.call(&call).await.ok().map(|answer| answer.status.as_u16())
}

/// A request, and what came of it.
#[derive(Debug)]
struct Sent {
    id: String,
    after: Duration,
    status: Option<u16>,
}

/// Sends requests with a key for a while; they wait for their answers side by side.
async fn ask(
    caller: CallerStandIn,
    key: &'static str,
    name: &str,
    since: Instant,
    lasts: Duration,
) -> Vec<Sent> {
    let mut calls = Vec::new();
    while since.elapsed() < lasts {
        let (id, after) = (format!("{name}-{}", calls.len()), since.elapsed());
        calls.push(tokio::spawn(async move {
            let status = status(caller, key, &id).await;
            Sent { id, after, status }
        }));
        tokio::time::sleep(PERIOD).await;
    }
    let mut sent = Vec::new();
    for call in calls {
        sent.push(call.await.expect("the task ends"));
    }
    sent
}

/// None of these ran that was sent later than the limit after the keys were taken away.
fn check_none_ran_late(deployment: &Deployment, sent: &[Sent]) {
    let late = || sent.iter().filter(|sent| sent.after > LIMIT);
    assert!(late().count() > 10, "requests were sent after the limit");
    for sent in late() {
        assert_eq!(deployment.runs_of(&sent.id), 0, "it ran on a key that was taken away: {sent:?}");
        assert!(sent.status != Some(200), "it was answered: {sent:?}");
    }
}

fn take_keys_away(deployment: &Deployment) -> Instant {
    deployment.store.publish_with_tenants(&configuration(3), &tenants(&[]));
    Instant::now()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_is_cut_off_from_everybody_stops_at_the_limit() {
    let deployment = deployment().await;
    let link = Link::to(deployment.store.address).await;
    let node = start("node-1", link.address, &[]);
    wait_for_key(&node).await;
    link.cut();
    let since = take_keys_away(&deployment);
    let sent = ask(node.caller, "old", "cut", since, LIMIT + BEYOND).await;
    check_none_ran_late(&deployment, &sent);
    let mut late = sent.iter().filter(|sent| sent.after > LIMIT);
    assert!(late.all(|sent| sent.status == Some(503)), "it does not know the key for gone: {sent:?}");
    assert!(sent[0].status == Some(200), "it goes on by what it knows for a while");
    link.restore();
    eventually("the key is known for gone", || async {
        status(node.caller, "old", "after").await == Some(401)
    })
    .await;
    assert_eq!(status(node.caller, "quay-key", "other").await, Some(200));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_is_cut_off_from_the_store_hears_from_its_peers_and_serves() {
    let deployment = deployment().await;
    let first = start("node-1", deployment.store.address, &[]);
    wait_for_key(&first).await;
    let link = Link::to(deployment.store.address).await;
    let second = start("node-2", link.address, &[first.peers]);
    wait_for_key(&second).await;
    link.cut();
    let since = take_keys_away(&deployment);
    let (gone, kept) = tokio::join!(
        ask(second.caller, "old", "old", since, LIMIT + BEYOND),
        ask(second.caller, "quay-key", "kept", since, LIMIT + BEYOND),
    );
    check_none_ran_late(&deployment, &gone);
    assert_eq!(gone.last().expect("requests").status, Some(401));
    let refused: Vec<&Sent> = kept.iter().filter(|sent| sent.status != Some(200)).collect();
    assert!(refused.is_empty(), "it is in touch: {refused:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_hear_only_each_other_do_not_keep_each_other_fresh() {
    let deployment = deployment().await;
    let first = start("node-1", deployment.store.address, &[]);
    wait_for_key(&first).await;
    let second = start("node-2", deployment.store.address, &[first.peers]);
    wait_for_key(&second).await;
    deployment.store.set_mode(StoreMode::Silent);
    let since = take_keys_away(&deployment);
    // One that starts meanwhile hears from those that are behind.
    let late = async {
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        let third = start("node-3", deployment.store.address, &[first.peers, second.peers]);
        let sent = ask(third.caller, "old", "third", since, LIMIT + BEYOND).await;
        (third, sent)
    };
    let (one, two, (_third, three)) = tokio::join!(
        ask(first.caller, "old", "first", since, LIMIT + BEYOND),
        ask(second.caller, "old", "second", since, LIMIT + BEYOND),
        late,
    );
    [one, two, three].iter().for_each(|sent| check_none_ran_late(&deployment, sent));
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_that_are_seconds_on_their_way_are_as_old_as_their_questions() {
    let deployment = deployment().await;
    let node = start("node-1", deployment.store.address, &[]);
    wait_for_key(&node).await;
    deployment.store.set_mode(StoreMode::Slow(Duration::from_millis(3_000)));
    let since = take_keys_away(&deployment);
    let sent = ask(node.caller, "old", "slow", since, LIMIT + BEYOND).await;
    check_none_ran_late(&deployment, &sent);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_refuses_confirms_nothing() {
    for mode in [StoreMode::Refusing, StoreMode::Throttling, StoreMode::Garbling] {
        let deployment = deployment().await;
        let node = start("node-1", deployment.store.address, &[]);
        wait_for_key(&node).await;
        deployment.store.set_mode(mode);
        let since = take_keys_away(&deployment);
        let sent = ask(node.caller, "old", "refused", since, LIMIT + BEYOND).await;
        check_none_ran_late(&deployment, &sent);
    }
}

/// Longer than any wait for changes lasts, at the store or at a peer: its answer lies there by then.
const WAIT_IS_OVER: Duration = Duration::from_millis(1_200);
/// How long a frozen node stands still after keys were taken away.
const FROZEN: Duration = Duration::from_millis(3_000);

/// The answer that lay there while the node stood still was made before the keys were taken away.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_node_takes_no_answer_for_newer_than_it_is() {
    let deployment = deployment().await;
    let link = Link::to(deployment.store.address).await;
    let node = start("node-1", link.address, &[]);
    wait_for_key(&node).await;
    node.signal(Signal::STOP);
    tokio::time::sleep(WAIT_IS_OVER).await;
    let since = take_keys_away(&deployment);
    link.cut();
    let sending = tokio::spawn(ask(node.caller, "old", "frozen", since, LIMIT + BEYOND));
    tokio::time::sleep(FROZEN).await;
    node.signal(Signal::CONT);
    check_none_ran_late(&deployment, &sending.await.expect("the task ends"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_node_takes_no_word_of_a_peer_for_newer_than_it_is() {
    let deployment = deployment().await;
    let first = start("node-1", deployment.store.address, &[]);
    wait_for_key(&first).await;
    let link = Link::to(deployment.store.address).await;
    let second = start("node-2", link.address, &[first.peers]);
    wait_for_key(&second).await;
    link.cut();
    second.signal(Signal::STOP);
    tokio::time::sleep(WAIT_IS_OVER).await;
    first.signal(Signal::STOP);
    let since = take_keys_away(&deployment);
    let sending = tokio::spawn(ask(second.caller, "old", "frozen", since, LIMIT + BEYOND));
    tokio::time::sleep(FROZEN).await;
    second.signal(Signal::CONT);
    check_none_ran_late(&deployment, &sending.await.expect("the task ends"));
    first.signal(Signal::CONT);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_was_on_its_way_while_keys_were_taken_away_is_older_than_that() {
    /// Within what an answer may take longer than a wait.
    const ON_ITS_WAY: Duration = Duration::from_millis(300);
    let deployment = deployment().await;
    let link = Link::to(deployment.store.address).await;
    let node = start("node-1", link.address, &[]);
    wait_for_key(&node).await;
    link.hold_answers();
    link.wait_for_answer().await;
    let since = take_keys_away(&deployment);
    tokio::time::sleep(ON_ITS_WAY).await;
    link.release_answer_and_cut().await;
    let sent = ask(node.caller, "old", "on-its-way", since, LIMIT + BEYOND).await;
    check_none_ran_late(&deployment, &sent);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_while_the_store_is_down_runs_nothing() {
    let deployment = deployment().await;
    let link = Link::to(deployment.store.address).await;
    let node = start("node-1", link.address, &[]);
    wait_for_key(&node).await;
    drop(node);
    link.cut();
    let since = take_keys_away(&deployment);
    let node = start("node-1", link.address, &[]);
    let sent = ask(node.caller, "old", "restarted", since, LIMIT + BEYOND).await;
    check_none_ran_late(&deployment, &sent);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_that_cannot_be_read_may_have_taken_keys_away() {
    let deployment = deployment().await;
    let first = start("node-1", deployment.store.address, &[]);
    wait_for_key(&first).await;
    let second = start("node-2", deployment.store.address, &[first.peers]);
    wait_for_key(&second).await;
    deployment.store.write_garbage("op/config");
    let since = Instant::now();
    let (one, two) = tokio::join!(
        ask(first.caller, "old", "first", since, LIMIT + BEYOND),
        ask(second.caller, "old", "second", since, LIMIT + BEYOND),
    );
    [one, two].iter().for_each(|sent| check_none_ran_late(&deployment, sent));
    deployment.store.publish_with_tenants(&configuration(4), &tenants(&["old"]));
    for node in [&first, &second] {
        eventually("it serves again", || async { status(node.caller, "old", "again").await == Some(200) })
            .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_limit_may_change_while_a_node_runs() {
    let deployment = deployment().await;
    let link = Link::to(deployment.store.address).await;
    let unlimited = settings_text("node-1", link.address, &[]);
    let node = NodeProcess::start_with(&unlimited);
    wait_for_key(&node).await;
    link.cut();
    let since = take_keys_away(&deployment);
    let sent = ask(node.caller, "old", "unlimited", since, LIMIT + BEYOND).await;
    assert!(sent.iter().all(|sent| sent.status == Some(200)), "without a limit it goes on by what it knows");
    std::fs::write(&node.settings_path, limited(&unlimited, LIMIT)).expect("the settings are written");
    node.signal(Signal::HUP);
    eventually("the limit is in force", || async {
        status(node.caller, "old", "limited").await == Some(503)
    })
    .await;
}

/// The copy still has the key. Neither a node that heard of its end from others nor one that is alone with the store opens it.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_comes_back_from_a_copy_with_the_key_opens_nothing() {
    let deployment = deployment().await;
    let first = start("node-1", deployment.store.address, &[]);
    wait_for_key(&first).await;
    deployment.store.take_backup();
    let since = take_keys_away(&deployment);
    eventually("the key is known for gone", || async {
        status(first.caller, "old", "gone").await == Some(401)
    })
    .await;
    deployment.store.restore_backup();
    let second = start("node-2", deployment.store.address, &[first.peers]);
    let alone = start("node-3", deployment.store.address, &[]);
    let written_again = async {
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        deployment.store.rewrite_all_lost();
    };
    let (one, two, three, ()) = tokio::join!(
        ask(first.caller, "old", "first", since, LIMIT + BEYOND),
        ask(second.caller, "old", "second", since, LIMIT + BEYOND),
        ask(alone.caller, "old", "alone", since, LIMIT + BEYOND),
        written_again,
    );
    [&one, &two, &three].into_iter().for_each(|sent| check_none_ran_late(&deployment, sent));
    assert!(one.iter().all(|sent| sent.status == Some(401)), "it has known better: {one:?}");
    assert!(three.iter().all(|sent| sent.status != Some(200)), "a copy proves nothing: {three:?}");
}
