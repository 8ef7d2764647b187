//! Requests on an at-most-once route: they never run twice, and never after an answer that rules out a run.

use http::Method;

use sablebay_platform_standin::{CallerCall, LeafBehaviour};

use crate::support::{Deployment, HOST, NodeProcess, UNSAFE_PATH};

const BEHAVIOURS: [LeafBehaviour; 9] = [
    LeafBehaviour::Answer,
    LeafBehaviour::LoseAnswer,
    LeafBehaviour::BreakOff,
    LeafBehaviour::Foreign,
    LeafBehaviour::Garbage,
    LeafBehaviour::Shed,
    LeafBehaviour::Misdirected,
    LeafBehaviour::Fail,
    LeafBehaviour::Extra,
];

#[tokio::test(flavor = "multi_thread")]
async fn a_request_runs_at_most_once_and_not_at_all_if_reported_not_run() {
    let deployment = Deployment::start().await;
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    for first in BEHAVIOURS {
        for second in BEHAVIOURS {
            deployment.singles[0].behave(first);
            deployment.singles[1].behave(second);
            for number in 0..2 {
                let id = format!("r-{first:?}-{second:?}-{number}");
                let call = CallerCall { method: Method::POST, ..CallerCall::get(HOST, UNSAFE_PATH, &id) };
                let answer = node.caller.call(&call).await.expect("an answer");
                let runs = deployment.runs_of(&id);
                assert!(runs <= 1, "{id} ran {runs} times");
                if answer.guarantees_not_run() {
                    assert_eq!(runs, 0, "{id} ran although it was reported as not run");
                }
                if answer.status.is_success() {
                    assert!(answer.stamp.is_some_and(|stamp| stamp.ends_with(&id)));
                }
            }
        }
    }
}
