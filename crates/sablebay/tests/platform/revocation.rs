//! Revoked keys: after the revocation limit no node accepts them, whatever the node can reach.
//!
//! Each test revokes a key while updates are delayed or blocked, sends requests throughout, and checks that none
//! sent after the limit has run.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use sablebay_platform_standin::{CallerCall, CallerStandIn, StoreMode, TenantSpec};

use crate::link::Link;
use crate::support::{Deployment, HOST, NodeProcess, SAFE_PATH, configuration, eventually, settings_text};

/// The configured revocation limit.
const LIMIT: Duration = Duration::from_millis(5_000);
/// How long requests are sent after the limit.
const EXTRA_TIME: Duration = Duration::from_millis(2_500);
/// The interval between requests.
const PERIOD: Duration = Duration::from_millis(40);

fn tenants(keys: &[&str]) -> [TenantSpec; 2] {
    [TenantSpec::new("harbour", keys), TenantSpec::new("quay", &["quay-key"])]
}

fn limited(text: &str, limit: Duration) -> String {
    format!("{text}revocation_limit_ms = {}\n", limit.as_millis())
}

/// Starts a node with the revocation limit.
fn start(name: &str, store: SocketAddr, peers: &[SocketAddr]) -> NodeProcess {
    NodeProcess::start_with(&limited(&settings_text(name, store, peers), LIMIT))
}

/// A deployment in which the tenant `harbour` has the key `old`.
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

/// A request, the time it was sent after the start, and the status of its answer.
#[derive(Debug)]
struct Sent {
    id: String,
    after: Duration,
    status: Option<u16>,
}

/// Sends requests with a key periodically and concurrently, until `duration` after `since`.
async fn send_requests(
    caller: CallerStandIn,
    key: &'static str,
    name: &str,
    since: Instant,
    duration: Duration,
) -> Vec<Sent> {
    let mut calls = Vec::new();
    while since.elapsed() < duration {
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

/// Checks that no request sent after the limit ran or was answered with success.
fn check_none_ran_after_limit(deployment: &Deployment, sent: &[Sent]) {
    let late = || sent.iter().filter(|sent| sent.after > LIMIT);
    assert!(late().count() > 10, "too few requests were sent after the limit");
    for sent in late() {
        assert_eq!(deployment.runs_of(&sent.id), 0, "a request ran on a revoked key: {sent:?}");
        assert!(sent.status != Some(200), "a request with a revoked key was answered: {sent:?}");
    }
}

fn revoke_keys(deployment: &Deployment) -> Instant {
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
    let since = revoke_keys(&deployment);
    let sent = send_requests(node.caller, "old", "cut", since, LIMIT + EXTRA_TIME).await;
    check_none_ran_after_limit(&deployment, &sent);
    let mut late = sent.iter().filter(|sent| sent.after > LIMIT);
    assert!(
        late.all(|sent| sent.status == Some(503)),
        "the node cannot tell that the key was revoked: {sent:?}"
    );
    assert!(sent[0].status == Some(200), "the node serves from its last catalogue within the limit");
    link.restore();
    eventually("the revocation is known", || async {
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
    let since = revoke_keys(&deployment);
    let (revoked, valid) = tokio::join!(
        send_requests(second.caller, "old", "old", since, LIMIT + EXTRA_TIME),
        send_requests(second.caller, "quay-key", "kept", since, LIMIT + EXTRA_TIME),
    );
    check_none_ran_after_limit(&deployment, &revoked);
    assert_eq!(revoked.last().expect("requests").status, Some(401));
    let refused: Vec<&Sent> = valid.iter().filter(|sent| sent.status != Some(200)).collect();
    assert!(refused.is_empty(), "the node is in contact with its peer, but refused {refused:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_cut_off_from_the_store_do_not_confirm_each_other() {
    let deployment = deployment().await;
    let first = start("node-1", deployment.store.address, &[]);
    wait_for_key(&first).await;
    let second = start("node-2", deployment.store.address, &[first.peers]);
    wait_for_key(&second).await;
    deployment.store.set_mode(StoreMode::Silent);
    let since = revoke_keys(&deployment);
    // A node that starts meanwhile gets the catalogue from outdated peers.
    let late = async {
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        let third = start("node-3", deployment.store.address, &[first.peers, second.peers]);
        let sent = send_requests(third.caller, "old", "third", since, LIMIT + EXTRA_TIME).await;
        (third, sent)
    };
    let (one, two, (_third, three)) = tokio::join!(
        send_requests(first.caller, "old", "first", since, LIMIT + EXTRA_TIME),
        send_requests(second.caller, "old", "second", since, LIMIT + EXTRA_TIME),
        late,
    );
    [one, two, three].iter().for_each(|sent| check_none_ran_after_limit(&deployment, sent));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_answer_is_as_old_as_its_request() {
    let deployment = deployment().await;
    let node = start("node-1", deployment.store.address, &[]);
    wait_for_key(&node).await;
    deployment.store.set_mode(StoreMode::Slow(Duration::from_millis(3_000)));
    let since = revoke_keys(&deployment);
    let sent = send_requests(node.caller, "old", "slow", since, LIMIT + EXTRA_TIME).await;
    check_none_ran_after_limit(&deployment, &sent);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_refuses_confirms_nothing() {
    for mode in [StoreMode::Refusing, StoreMode::Throttling, StoreMode::Garbling] {
        let deployment = deployment().await;
        let node = start("node-1", deployment.store.address, &[]);
        wait_for_key(&node).await;
        deployment.store.set_mode(mode);
        let since = revoke_keys(&deployment);
        let sent = send_requests(node.caller, "old", "refused", since, LIMIT + EXTRA_TIME).await;
        check_none_ran_after_limit(&deployment, &sent);
    }
}

/// Longer than any wait for changes at the store or a peer, so that its answer is in the receive buffer.
const WATCH_EXPIRED: Duration = Duration::from_millis(1_200);
/// How long a node stays frozen after the revocation.
const FROZEN: Duration = Duration::from_millis(3_000);

/// The answer that was buffered while the node was frozen predates the revocation.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_node_does_not_treat_a_delayed_store_answer_as_fresh() {
    let deployment = deployment().await;
    let link = Link::to(deployment.store.address).await;
    let node = start("node-1", link.address, &[]);
    wait_for_key(&node).await;
    node.signal(Signal::STOP);
    tokio::time::sleep(WATCH_EXPIRED).await;
    let since = revoke_keys(&deployment);
    link.cut();
    let sending = tokio::spawn(send_requests(node.caller, "old", "frozen", since, LIMIT + EXTRA_TIME));
    tokio::time::sleep(FROZEN).await;
    node.signal(Signal::CONT);
    check_none_ran_after_limit(&deployment, &sending.await.expect("the task ends"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_node_does_not_treat_a_delayed_peer_answer_as_fresh() {
    let deployment = deployment().await;
    let first = start("node-1", deployment.store.address, &[]);
    wait_for_key(&first).await;
    let link = Link::to(deployment.store.address).await;
    let second = start("node-2", link.address, &[first.peers]);
    wait_for_key(&second).await;
    link.cut();
    second.signal(Signal::STOP);
    tokio::time::sleep(WATCH_EXPIRED).await;
    first.signal(Signal::STOP);
    let since = revoke_keys(&deployment);
    let sending = tokio::spawn(send_requests(second.caller, "old", "frozen", since, LIMIT + EXTRA_TIME));
    tokio::time::sleep(FROZEN).await;
    second.signal(Signal::CONT);
    check_none_ran_after_limit(&deployment, &sending.await.expect("the task ends"));
    first.signal(Signal::CONT);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_in_flight_while_keys_are_revoked_does_not_confirm_them() {
    /// Shorter than the time by which an answer may outlast its wait.
    const ANSWER_DELAY: Duration = Duration::from_millis(300);
    let deployment = deployment().await;
    let link = Link::to(deployment.store.address).await;
    let node = start("node-1", link.address, &[]);
    wait_for_key(&node).await;
    link.hold_answers();
    link.wait_for_answer().await;
    let since = revoke_keys(&deployment);
    tokio::time::sleep(ANSWER_DELAY).await;
    link.release_answer_and_cut().await;
    let sent = send_requests(node.caller, "old", "on-its-way", since, LIMIT + EXTRA_TIME).await;
    check_none_ran_after_limit(&deployment, &sent);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_while_the_store_is_down_runs_nothing() {
    let deployment = deployment().await;
    let link = Link::to(deployment.store.address).await;
    let node = start("node-1", link.address, &[]);
    wait_for_key(&node).await;
    drop(node);
    link.cut();
    let since = revoke_keys(&deployment);
    let node = start("node-1", link.address, &[]);
    let sent = send_requests(node.caller, "old", "restarted", since, LIMIT + EXTRA_TIME).await;
    check_none_ran_after_limit(&deployment, &sent);
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
        send_requests(first.caller, "old", "first", since, LIMIT + EXTRA_TIME),
        send_requests(second.caller, "old", "second", since, LIMIT + EXTRA_TIME),
    );
    [one, two].iter().for_each(|sent| check_none_ran_after_limit(&deployment, sent));
    deployment.store.publish_with_tenants(&configuration(4), &tenants(&["old"]));
    for node in [&first, &second] {
        eventually("the node serves again", || async {
            status(node.caller, "old", "again").await == Some(200)
        })
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
    let since = revoke_keys(&deployment);
    let sent = send_requests(node.caller, "old", "unlimited", since, LIMIT + EXTRA_TIME).await;
    assert!(
        sent.iter().all(|sent| sent.status == Some(200)),
        "without a limit the node keeps serving from its last catalogue"
    );
    std::fs::write(&node.settings_path, limited(&unlimited, LIMIT)).expect("the settings are written");
    node.signal(Signal::HUP);
    eventually("the limit is in force", || async {
        status(node.caller, "old", "limited").await == Some(503)
    })
    .await;
}

/// The copy still has the key. Neither a node updated by peers nor one that reads only the store may accept it.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_restored_from_a_copy_with_the_key_does_not_make_it_valid_again() {
    let deployment = deployment().await;
    let first = start("node-1", deployment.store.address, &[]);
    wait_for_key(&first).await;
    deployment.store.take_backup();
    let since = revoke_keys(&deployment);
    eventually("the revocation is known", || async {
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
        send_requests(first.caller, "old", "first", since, LIMIT + EXTRA_TIME),
        send_requests(second.caller, "old", "second", since, LIMIT + EXTRA_TIME),
        send_requests(alone.caller, "old", "alone", since, LIMIT + EXTRA_TIME),
        written_again,
    );
    [&one, &two, &three].into_iter().for_each(|sent| check_none_ran_after_limit(&deployment, sent));
    assert!(one.iter().all(|sent| sent.status == Some(401)), "the node already had the revocation: {one:?}");
    assert!(
        three.iter().all(|sent| sent.status != Some(200)),
        "a restored copy must not confirm the key: {three:?}"
    );
}
