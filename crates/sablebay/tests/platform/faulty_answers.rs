//! Back ends with faulty answers: the caller gets a correct answer or an error.

use std::time::Duration;

use sablebay_platform_standin::{CallerCall, LeafBehaviour};

use crate::support::{GATHER_PATH, HOST, SAFE_PATH, SHARDS, check_gathered, eventually, one_node};

/// Faults after which the other back end of the shard answers instead.
const FAILED_OVER: [LeafBehaviour; 11] = [
    LeafBehaviour::LoseAnswer,
    LeafBehaviour::BreakOff,
    LeafBehaviour::Foreign,
    LeafBehaviour::Garbage,
    LeafBehaviour::Shed,
    LeafBehaviour::Misdirected,
    LeafBehaviour::Fail,
    LeafBehaviour::Silent,
    LeafBehaviour::Grey,
    LeafBehaviour::Flapping(Duration::from_millis(40)),
    LeafBehaviour::ForgetIdle(Duration::from_millis(1)),
];

#[tokio::test(flavor = "multi_thread")]
async fn an_odd_back_end_is_replaced_by_the_other_of_its_shard() {
    let (deployment, node) = one_node().await;
    for behaviour in FAILED_OVER {
        deployment.shards[0].behave(behaviour);
        for number in 0..6 {
            let id = format!("r-{behaviour:?}-{number}").replace(['(', ')'], "");
            let answer = node.get(GATHER_PATH, &id).await;
            check_gathered(&answer, &id);
            assert_eq!(answer.missing, 0, "{behaviour:?}");
        }
        deployment.shards[0].behave(LeafBehaviour::Answer);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn surplus_bytes_belong_to_no_request() {
    let (deployment, node) = one_node().await;
    for leaf in deployment.leaves() {
        leaf.behave(LeafBehaviour::Extra);
    }
    for number in 0..20 {
        let id = format!("r-{number}");
        check_gathered(&node.get(GATHER_PATH, &id).await, &id);
        let single = format!("s-{number}");
        let answer = node.get(SAFE_PATH, &single).await;
        assert!(answer.stamp.is_some_and(|stamp| stamp.ends_with(&single)));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_that_end_with_their_connection_are_whole() {
    let (deployment, node) = one_node().await;
    for behaviour in [LeafBehaviour::Unframed, LeafBehaviour::CloseAfter] {
        for leaf in deployment.leaves() {
            leaf.behave(behaviour);
        }
        for number in 0..5 {
            let id = format!("r-{behaviour:?}-{number}");
            let answer = node.get(GATHER_PATH, &id).await;
            check_gathered(&answer, &id);
            assert_eq!(answer.missing, 0, "{behaviour:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shard_without_back_ends_is_left_out_and_said_so() {
    let (deployment, node) = one_node().await;
    deployment.shards[0].behave(LeafBehaviour::Fail);
    deployment.shards[1].behave(LeafBehaviour::LoseAnswer);
    let answer = node.get(GATHER_PATH, "r-1").await;
    check_gathered(&answer, "r-1");
    assert_eq!(answer.missing, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn too_few_shards_are_no_success() {
    let (deployment, node) = one_node().await;
    for leaf in &deployment.shards[..usize::from(SHARDS) + 2] {
        leaf.behave(LeafBehaviour::Fail);
    }
    let answer = node.get(GATHER_PATH, "r-1").await;
    assert_eq!(answer.status.as_u16(), 502, "one of four shards answered, and two are required");
    assert!(!answer.guarantees_not_run());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rejected_request_did_not_run_and_says_when_to_come_back() {
    let (deployment, node) = one_node().await;
    for leaf in deployment.leaves() {
        leaf.behave(LeafBehaviour::Shed);
    }
    let answer = node.get(SAFE_PATH, "r-1").await;
    assert_eq!(answer.status.as_u16(), 503);
    assert!(answer.retry_after.is_some_and(|seconds| seconds > 0.0));
    assert_eq!(deployment.runs_of("r-1"), 0);
    // A gather fails as soon as success is out of reach. Calls still open may run, so the answer rules
    // out a run only if every shard reported that it did not run the request.
    let gathered = node.get(GATHER_PATH, "r-2").await;
    assert!(matches!(gathered.status.as_u16(), 502 | 503));
    assert_eq!(gathered.retry_after.is_some(), gathered.guarantees_not_run());
    assert_eq!(deployment.runs_of("r-2"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn work_for_a_caller_that_left_is_cancelled() {
    let (deployment, node) = one_node().await;
    for leaf in &deployment.singles {
        leaf.behave(LeafBehaviour::Slow(Duration::from_secs(3_600)));
    }
    let call = CallerCall::get(HOST, SAFE_PATH, "r-1");
    let calling = node.caller.call(&call);
    let arrived = eventually("the request arrives", || async { deployment.runs_of("r-1") > 0 });
    tokio::select! { answer = calling => panic!("no back end answers, but the caller got {answer:?}"), () = arrived => {} }
    eventually("the work is cancelled", || async {
        let records = deployment.singles.iter().map(|leaf| leaf.record());
        records
            .map(|record| (record.arrivals, record.cancelled))
            .all(|(arrivals, cancelled)| arrivals == cancelled)
    })
    .await;
}
