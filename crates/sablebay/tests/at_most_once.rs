//! A non-repeatable request runs at most once: guards against a second run after pauses, kills and
//! network partitions.

mod common;

use common::{DESK, small_deployment, start};
use sablebay_bench::{RunOptions, run_experiment};
use sablebay_standin::OperationOutcome;

#[tokio::test(flavor = "multi_thread")]
async fn through_pauses_kills_and_cuts() {
    let options = RunOptions { scale: 0.35, ..RunOptions::default() };
    let result = run_experiment("at-most-once", &options).await.unwrap();
    assert_eq!(result.violations, 0, "{:?}", result.figures);
    assert!(result.number("run_once") > 0.0, "nothing ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_checker_notices_when_the_mechanism_is_off() {
    let options = RunOptions { broken: Some("write-once".to_string()), scale: 0.35, ..RunOptions::default() };
    let result = run_experiment("at-most-once", &options).await.unwrap();
    assert_eq!(result.break_caught, Some(true), "{:?}", result.figures);
}

/// A caller that lost its answer can read the state of its ticket from any node.
#[tokio::test(flavor = "multi_thread")]
async fn any_node_tells_what_became_of_a_ticket() {
    let cluster = start(small_deployment("latency", 2_000.0)).await;
    let ticket = cluster.nodes[0].client().ticket(DESK).await.unwrap();
    for node in &cluster.nodes {
        assert_eq!(node.client().ticket_state(&ticket).await.unwrap().state, "unclaimed");
    }
    let outcome = cluster.nodes[1].client().operation(DESK, Some(&ticket), None).await;
    assert!(matches!(outcome, OperationOutcome::Done { .. }), "{outcome:?}");
    for node in &cluster.nodes {
        let mut state = node.client().ticket_state(&ticket).await.unwrap();
        let started = std::time::Instant::now();
        while state.state == "claimed" && started.elapsed() < common::EVENT_TIMEOUT {
            state = node.client().ticket_state(&ticket).await.unwrap();
        }
        assert_eq!(state.state, "done");
        assert!(state.result.is_some());
    }
    // A second submission of the ticket does not run the operation again.
    let again = cluster.nodes[2].client().operation(DESK, Some(&ticket), None).await;
    assert!(!matches!(again, OperationOutcome::Done { .. }), "{again:?}");
    assert_eq!(cluster.leaves.operations().values().sum::<u32>(), 1);
}

/// Guards against a result under the status of a failure that is reported to the caller as done.
#[tokio::test(flavor = "multi_thread")]
async fn an_operation_that_a_back_end_answers_with_a_failure_is_not_done() {
    let cluster = start(small_deployment("latency", 2_000.0)).await;
    for leaf in cluster.leaves.leaves.values() {
        leaf.state.faults.lock().fails_operations = true;
    }
    let outcome = cluster.nodes[0].client().operation(DESK, None, None).await;
    assert!(matches!(outcome, OperationOutcome::Unknown { .. }), "{outcome:?}");
    assert_eq!(cluster.leaves.operations().values().sum::<u32>(), 1);
}

/// After two of the three ticket holders are replaced, the claim cannot be verified: the operation must not run.
#[tokio::test(flavor = "multi_thread")]
async fn when_most_holders_are_replaced_the_ticket_is_refused() {
    let mut cluster = start(small_deployment("latency", 2_000.0)).await;
    let ticket = cluster.nodes[0].client().ticket(DESK).await.unwrap();
    for _ in 0..2 {
        let (mut holder, _) = cluster.remove_node(1);
        holder.kill();
        cluster.add_node().await.unwrap();
    }
    cluster.wait_until_ready(3).await.unwrap();
    let outcome = cluster.nodes[0].client().operation(DESK, Some(&ticket), None).await;
    assert!(matches!(outcome, OperationOutcome::Unknown { .. }), "{outcome:?}");
    assert!(cluster.leaves.operations().is_empty());
}
