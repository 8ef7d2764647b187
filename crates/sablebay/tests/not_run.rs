//! An operation that is answered with "not run" did not run on any leaf, according to the operations
//! that the leaves record.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{DESK, small_deployment, start, start_with};
use sablebay_bench::ProcessCluster;
use sablebay_model::Reason;
use sablebay_standin::{CallerClient, Faults, OperationOutcome, Proxy};

const DEADLINE_MS: u64 = 500;

/// Submits operations sequentially and returns the outcome of each by ticket.
async fn submit(cluster: &ProcessCluster, count: usize) -> BTreeMap<String, OperationOutcome> {
    let client = cluster.nodes[0].client();
    let mut reported = BTreeMap::new();
    for _ in 0..count {
        let Some(ticket) = client.ticket(DESK).await else { continue };
        let outcome = client.operation(DESK, Some(&ticket), Some(DEADLINE_MS)).await;
        reported.insert(ticket, outcome);
    }
    reported
}

fn id(ticket: &str) -> &str {
    ticket.split('.').nth(3).unwrap()
}

/// Asserts that no operation with the outcome "not run" ran, and returns the number of these.
fn assert_not_run_is_true(cluster: &ProcessCluster, reported: &BTreeMap<String, OperationOutcome>) -> usize {
    let ran = cluster.leaves.operations();
    let not_run = reported.iter().filter(|(_, outcome)| matches!(outcome, OperationOutcome::NotRun { .. }));
    let mut count = 0;
    for (ticket, outcome) in not_run {
        assert_eq!(ran.get(id(ticket)), None, "{ticket} ran, but its outcome was {outcome:?}");
        count += 1;
    }
    count
}

fn change_faults_of_all_leaves(cluster: &ProcessCluster, change: impl Fn(&mut sablebay_standin::LeafFaults)) {
    for leaf in cluster.leaves.leaves.values() {
        change(&mut leaf.state.faults.lock());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn when_back_ends_refuse() {
    let cluster = start(small_deployment("latency", 2_000.0)).await;
    change_faults_of_all_leaves(&cluster, |faults| faults.shedding = true);
    let reported = submit(&cluster, 5).await;
    assert_eq!(assert_not_run_is_true(&cluster, &reported), 5, "{reported:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn when_back_ends_are_gone() {
    let mut cluster = start(small_deployment("latency", 2_000.0)).await;
    let baseline = submit(&cluster, 2).await;
    assert!(
        baseline.values().all(|outcome| matches!(outcome, OperationOutcome::Done { .. })),
        "{baseline:?}"
    );
    cluster.leaves.leaves.retain(|name, _| !name.starts_with(DESK));
    let reported = submit(&cluster, 5).await;
    assert_eq!(assert_not_run_is_true(&cluster, &reported), 5, "{reported:?}");
}

/// If a back end accepted the operation and did not respond, the outcome is unknown, not "not run".
#[tokio::test(flavor = "multi_thread")]
async fn a_back_end_that_gives_no_word_makes_it_unknown() {
    let cluster = start(small_deployment("latency", 2_000.0)).await;
    change_faults_of_all_leaves(&cluster, |faults| faults.black_hole = true);
    let reported = submit(&cluster, 3).await;
    assert_eq!(assert_not_run_is_true(&cluster, &reported), 0);
    let unknown = |outcome: &OperationOutcome| {
        matches!(outcome, OperationOutcome::Unknown { reason: Some(Reason::BackEndFailed) })
    };
    assert!(reported.values().all(unknown), "{reported:?}");
    assert_eq!(cluster.leaves.operations().len(), 3);
}

/// Validates the check itself: a node that treats a missing response as a refusal must be detected.
#[tokio::test(flavor = "multi_thread")]
async fn a_false_not_run_is_noticed_when_the_mechanism_is_off() {
    let cluster = start_with(small_deployment("latency", 2_000.0), Some("unknown-outcomes")).await;
    change_faults_of_all_leaves(&cluster, |faults| faults.black_hole = true);
    let reported = submit(&cluster, 3).await;
    let ran = cluster.leaves.operations();
    let is_false = |(ticket, outcome): (&String, &OperationOutcome)| {
        matches!(outcome, OperationOutcome::NotRun { .. }) && ran.contains_key(id(ticket))
    };
    assert_eq!(reported.iter().filter(|entry| is_false(*entry)).count(), 3, "{reported:?}");
}

/// A connection that breaks after the operation was sent must not lead to "not run" or a second run.
#[tokio::test(flavor = "multi_thread")]
async fn when_connections_to_back_ends_break_at_any_point() {
    let mut cluster = start(small_deployment("latency", 5_000.0)).await;
    let mut proxies = Vec::new();
    let mut addresses = cluster.leaves.addresses();
    for (number, address) in addresses.values_mut().enumerate() {
        let proxy = Proxy::start(*address, number as u64).await.unwrap();
        *address = proxy.address;
        proxies.push(proxy);
    }
    cluster.revision += 1;
    cluster.platform.state.publish(&cluster.deployment.document(cluster.revision, &addresses)).unwrap();
    common::wait_for_revision(&cluster, cluster.revision).await;
    let resets = async {
        for round in 0..40 {
            tokio::time::sleep(Duration::from_millis(13)).await;
            let fault = match round % 4 {
                0 => Faults { refuse: true, ..Faults::default() },
                1 => Faults { reset_after: Some(0), ..Faults::default() },
                2 => Faults { black_hole_back: true, ..Faults::default() },
                _ => Faults::default(),
            };
            for proxy in &proxies {
                proxy.set(fault.clone());
                proxy.reset_connections();
            }
        }
        for proxy in &proxies {
            proxy.set(Faults::default());
        }
    };
    let (reported, ()) = tokio::join!(submit(&cluster, 30), resets);
    assert_not_run_is_true(&cluster, &reported);
    let ran = cluster.leaves.operations();
    for (ticket, outcome) in &reported {
        if matches!(outcome, OperationOutcome::Done { .. }) {
            assert_eq!(
                ran.get(id(ticket)),
                Some(&1),
                "{ticket} has the outcome done but did not run exactly once"
            );
        }
    }
    assert_eq!(cluster.leaves.operations_run_twice(), 0);
}

/// Without a ticket, a draining node answers "not run" with a retry delay.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_node_refuses_at_once_and_says_when_to_come_back() {
    let cluster = start(small_deployment("latency", 2_000.0)).await;
    let admin = CallerClient::new(cluster.nodes[0].admin_address);
    admin.send(http::Method::POST, "/v1/drain", "").await.unwrap();
    let caller = cluster.nodes[0].client();
    let path = format!("/v1/services/{DESK}/operations");
    let (status, body) = caller.send(http::Method::POST, &path, "{}").await.unwrap();
    let refusal: sablebay_model::Refusal = serde_json::from_slice(&body).unwrap();
    assert_eq!(status, http::StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!((refusal.outcome, refusal.reason), (sablebay_model::Outcome::NotRun, Reason::Stopping));
    assert!(refusal.retry_after_ms.is_some());
    assert!(cluster.leaves.operations().is_empty());
}
