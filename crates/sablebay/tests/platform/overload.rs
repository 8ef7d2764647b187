//! Overload: requests that would miss their deadline are refused at once, without running.

use sablebay_platform_standin::LeafBehaviour;

use crate::support::{Deployment, GATHER_PATH, NodeProcess, SAFE_PATH, check_gathered, eventually};

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
