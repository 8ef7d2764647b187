//! Overload: requests that would miss their deadline are refused at once, without running.

use std::time::Duration;

use sablebay_catalogue::{Replica, ReplicaPhase};
use sablebay_platform_standin::{CallerCall, LeafBehaviour};

use crate::gathering::metric;
use crate::support::{
    Deployment, GATHER_PATH, HOST, NodeProcess, SAFE_PATH, UNSAFE_PATH, check_gathered, configuration,
    eventually,
};

/// Requests of which at least one must be refused; each is refused with a probability of 0.8.
const REQUESTS: usize = 300;
/// Consecutive answers after which the overload counts as over.
const RECOVERY_ANSWERS: usize = 30;

#[tokio::test(flavor = "multi_thread")]
async fn requests_over_crowded_shards_are_refused_at_once_and_did_not_run() {
    let deployment = Deployment::start().await;
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    for leaf in &deployment.shards {
        leaf.behave(LeafBehaviour::Queued);
    }
    let mut refused = 0;
    for number in 0..REQUESTS {
        let id = format!("r-{number}");
        let answer = node.get(GATHER_PATH, &id).await;
        if answer.status.as_u16() == 200 {
            check_gathered(&answer, &id);
            continue;
        }
        refused += 1;
        assert!(answer.guarantees_not_run(), "{}", answer.status);
        assert_eq!(deployment.runs_of(&id), 0, "a refused request must not run");
        let retry_after = answer.retry_after.expect("a refusal has a retry time");
        assert!(retry_after > 0.0 && retry_after < 5.0 / 3.0, "{retry_after}");
    }
    assert!(refused > 0, "all shards are crowded");
    assert!(refused < REQUESTS, "some requests are admitted to measure the queues");
    assert_eq!(node.get(SAFE_PATH, "single").await.status.as_u16(), 200, "other services are not affected");
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_end_when_the_queues_are_gone() {
    let deployment = Deployment::start().await;
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    for behaviour in [LeafBehaviour::Queued, LeafBehaviour::Answer] {
        for leaf in &deployment.shards {
            leaf.behave(behaviour);
        }
        for number in 0..RECOVERY_ANSWERS {
            node.get(GATHER_PATH, &format!("{behaviour:?}-{number}")).await;
        }
    }
    eventually("requests are admitted again", || async {
        for number in 0..RECOVERY_ANSWERS {
            if node.get(GATHER_PATH, &format!("calm-{number}")).await.status.as_u16() != 200 {
                return false;
            }
        }
        true
    })
    .await;
}

/// Guards against requests that wait until their deadline for a connection to a back end which is leaving.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_for_a_connection_to_a_leaving_back_end_are_refused_at_once() {
    const REQUESTS: usize = 12;
    let deployment = Deployment::start().await;
    let mut narrow = configuration(2);
    // Of these, one of four assumed nodes uses one per back end.
    narrow.services.iter_mut().for_each(|service| service.maximum_connections = 8);
    deployment.store.publish(&narrow);
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    deployment.singles.iter().for_each(|leaf| leaf.behave(LeafBehaviour::Silent));
    let start = |id: &str| {
        let (caller, timeout) = (node.caller, Duration::from_secs(60));
        let call = CallerCall { timeout, ..CallerCall::get(HOST, UNSAFE_PATH, id) };
        tokio::spawn(async move { caller.call(&call).await })
    };
    let ids: Vec<String> = (0..REQUESTS).map(|number| format!("r-{number}")).collect();
    let calls: Vec<_> = ids.iter().map(|id| start(id)).collect();
    eventually("the node holds the requests", || async {
        metric(&node, "sablebay_in_flight") as usize >= REQUESTS
            && ids.iter().filter(|id| deployment.runs_of(id) > 0).count() == deployment.singles.len()
    })
    .await;
    for leaf in &deployment.singles {
        deployment.store.announce(&Replica { phase: ReplicaPhase::Draining, ..leaf.replica.clone() });
    }
    let (sent, unsent): (Vec<_>, Vec<_>) =
        ids.iter().zip(calls).partition(|(id, _)| deployment.runs_of(id) > 0);
    assert!(!unsent.is_empty(), "some requests wait for a connection");
    for (id, call) in unsent {
        let answer = call.await.expect("the task ends").expect("an answer");
        assert_eq!(answer.status.as_u16(), 503, "{id}");
        assert_eq!(deployment.runs_of(id), 0, "a refused request must not run");
    }
    assert!(sent.iter().all(|(_, call)| !call.is_finished()), "the others are still waited for");
}
