//! Each caller gets the complete answer to its own request. Every query asks for a different outlet,
//! and every hit names its outlet, so that foreign answers are detected.

mod common;

use std::time::Duration;

use common::{load, small_deployment, start, start_with};
use sablebay_standin::{CORPUS, Deployment, Faults, Proxy, Violation, check_answer};

#[tokio::test(flavor = "multi_thread")]
async fn with_answers_that_are_repeated_and_out_of_order() {
    let cluster = start(small_deployment("latency", 4_000.0)).await;
    for leaf in cluster.leaves.leaves.values() {
        leaf.state.faults.lock().repeats_answers = true;
    }
    let load = load(&cluster, 200.0, 2.0, 1).await;
    assert_eq!(load.violations, []);
    assert!(load.answered > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn with_a_leaf_that_answers_under_other_call_ids() {
    let cluster = start(small_deployment("latency", 4_000.0)).await;
    for leaf in ["desk-leaf-1", "portal-leaf-2"] {
        cluster.leaves.leaves[leaf].state.faults.lock().wrong_call_ids = true;
    }
    let load = load(&cluster, 100.0, 2.0, 2).await;
    assert_eq!(load.violations, []);
    assert_eq!(load.count(Violation::ForeignAnswer), 0);
    assert!(load.answered > 0);
}

/// Guards against an answer without hits that is taken for one that found nothing.
#[tokio::test(flavor = "multi_thread")]
async fn with_a_leaf_whose_answers_lack_their_hits() {
    let cluster = start(small_deployment("latency", 4_000.0)).await;
    for leaf in ["desk-leaf-1", "portal-leaf-2"] {
        cluster.leaves.leaves[leaf].state.faults.lock().omits_hits = true;
    }
    let load = load(&cluster, 100.0, 2.0, 70).await;
    assert_eq!(load.violations, []);
    assert!(load.answered > 0);
}

/// Caller connections with delay, jitter and resets in the middle of answers.
#[tokio::test(flavor = "multi_thread")]
async fn behind_a_network_that_delays_and_resets() {
    let cluster = start(small_deployment("latency", 2_000.0)).await;
    let proxy = Proxy::start(cluster.nodes[0].caller_address, 3).await.unwrap();
    proxy.set(Faults {
        delay: Duration::from_millis(3),
        jitter: Duration::from_millis(20),
        reset_after: Some(20_000),
        bandwidth: Some(2_000_000),
        ..Faults::default()
    });
    let mut options = common::load_options(&cluster, 100.0, 2.0, 3);
    options.nodes = std::sync::Arc::new(parking_lot::Mutex::new(vec![proxy.address]));
    let load = sablebay_standin::run_load(options).await;
    assert_eq!(load.violations, []);
    assert!(load.answered > 0);
    assert!(load.connections_lost > 0, "the proxy reset no connection, so the test exercised no fault");
}

/// A late answer of a paused node must not be taken for the answer to the next request on the connection.
#[tokio::test(flavor = "multi_thread")]
async fn after_a_pause() {
    let cluster = start(small_deployment("latency", 2_000.0)).await;
    let pauses = async {
        for _ in 0..3 {
            tokio::time::sleep(Duration::from_millis(250)).await;
            cluster.nodes[2].pause();
            tokio::time::sleep(Duration::from_millis(300)).await;
            cluster.nodes[2].resume();
        }
    };
    let (load, ()) = tokio::join!(load(&cluster, 100.0, 2.0, 4), pauses);
    assert_eq!(load.violations, []);
    assert!(load.answered > 0);
}

/// Calls of several queries share a batch and are answered in order of completion.
fn coalescing_deployment() -> Deployment {
    let mut deployment = small_deployment("latency", 4_000.0);
    deployment.template("direct", "deadline_ms = 2000\nfan_out = \"direct\"\ncoalesce_us = 20000\n");
    deployment
}

#[tokio::test(flavor = "multi_thread")]
async fn with_many_queries_in_one_batch() {
    let cluster = start(coalescing_deployment()).await;
    let load = load(&cluster, 400.0, 2.0, 5).await;
    assert_eq!(load.violations, []);
    assert!(load.answered > 0);
}

/// Validates the checker: with correlation disabled, an answer is assigned to the oldest open call.
#[tokio::test(flavor = "multi_thread")]
async fn foreign_answers_are_noticed_when_the_mechanism_is_off() {
    let cluster = start_with(coalescing_deployment(), Some("correlation")).await;
    let load = load(&cluster, 400.0, 2.0, 5).await;
    assert!(load.count(Violation::ForeignAnswer) > 0, "{load:?}");
}

/// Validates the checker with a foreign answer and with an incomplete one.
#[tokio::test(flavor = "multi_thread")]
async fn the_checker_notices_another_callers_answer_and_a_cut_one() {
    let cluster = start(small_deployment("latency", 1_000.0)).await;
    let path = format!("/v1/services/{}/query", common::DESK);
    let body = "{\"query\":{\"outlet\":7},\"limit\":5}";
    let (_, answer) = cluster.nodes[0].client().send(http::Method::POST, &path, body).await.unwrap();
    let mut answer: sablebay_protocol::caller::QueryAnswer = serde_json::from_slice(&answer).unwrap();
    assert_eq!(check_answer(&answer, 7, 5, &CORPUS).violations, []);
    assert!(check_answer(&answer, 8, 5, &CORPUS).violations.contains(&Violation::ForeignAnswer));
    answer.hits.pop();
    assert_eq!(check_answer(&answer, 7, 5, &CORPUS).violations, [Violation::FalseCoverage]);
}
