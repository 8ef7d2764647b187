//! Back ends that stop within the head of an answer and close the connection: nothing of it reaches a caller.

use http::Method;

use sablebay_platform_standin::{CallerAnswer, CallerCall, LeafBehaviour, head_of};

use crate::support::{
    Deployment, GATHER_PATH, HOST, NodeProcess, SAFE_PATH, UNSAFE_PATH, check_gathered, configuration,
    eventually, one_node,
};

/// Forms of an answer: with a length, up to the end of the connection, in chunks, by an older protocol, after another
/// head, and of other statuses.
const FORMS: [&str; 7] = [
    "HTTP/1.1 200 OK\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp: {stamp}\nContent-Length: {length}\n",
    "HTTP/1.1 200 OK\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp: {stamp}\nConnection: close\n",
    "HTTP/1.1 200 OK\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp: {stamp}\nTransfer-Encoding: chunked\n",
    "HTTP/1.0 200 OK\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp: {stamp}\n",
    "HTTP/1.1 102 Processing\n\nHTTP/1.1 200 OK\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp: {stamp}\n",
    "HTTP/1.1 201 Created\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp: {stamp}\n",
    "HTTP/1.1 206 Partial Content\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp: {stamp}\n",
];

/// Numbers of bytes at which a head is cut: each one of its lines, and each step within them.
fn cuts(head: &str, step: usize) -> impl Iterator<Item = usize> {
    // All heads are cut before their last byte, also with the shortest names.
    let length = head_of(head, "i", "s", 0).len();
    (0..length).step_by(step)
}

fn post(id: &str, body: Vec<u8>) -> CallerCall {
    CallerCall { method: Method::POST, body, ..CallerCall::get(HOST, UNSAFE_PATH, id) }
}

/// Checks that the answer is the node's own, and doesn't rule out that the request has run.
fn check_unknown(answer: &CallerAnswer, head: &str, bytes: usize) {
    assert_eq!(answer.status.as_u16(), 502, "{bytes} of {head}");
    assert_eq!(answer.stamp, None, "{bytes} of {head}");
}

/// Guards against a success with an empty or short body in place of an answer that stops within its head.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_stops_within_its_head_is_no_answer() {
    const STEP: usize = 3;
    let (deployment, node) = one_node().await;
    for (form, head) in FORMS.into_iter().enumerate() {
        for bytes in cuts(head, STEP) {
            let name = format!("{form}-{bytes}");
            for leaf in &deployment.singles {
                leaf.behave(LeafBehaviour::HeadCut { head, bytes });
            }
            deployment.shards[0].behave(LeafBehaviour::HeadCut { head, bytes });
            check_unknown(&node.get(SAFE_PATH, &format!("safe-{name}")).await, head, bytes);
            let once = format!("once-{name}");
            check_unknown(&node.call(&post(&once, Vec::new())).await, head, bytes);
            assert_eq!(deployment.runs_of(&once), 1, "{bytes} of {head}");
            let all = format!("all-{name}");
            check_gathered(&node.get(GATHER_PATH, &all).await, &all);
            // The next cut meets connections that have carried a whole answer.
            deployment.leaves().for_each(|leaf| leaf.behave(LeafBehaviour::Answer));
            assert_eq!(node.get(SAFE_PATH, &format!("whole-{name}")).await.status.as_u16(), 200);
        }
    }
}

/// Guards against the same while the request is still being sent.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_stops_within_its_head_before_the_request_is_read_is_no_answer() {
    const STEP: usize = 11;
    /// More than the buffers of a connection hold.
    const BODY_BYTES: usize = 8 << 20;
    let deployment = Deployment::start().await;
    let mut larger = configuration(2);
    larger.limits.body_bytes = BODY_BYTES;
    deployment.store.publish(&larger);
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    eventually("the larger limit is in force", || async {
        node.call(&post("in-force", vec![b'x'; BODY_BYTES])).await.status.as_u16() == 200
    })
    .await;
    for (form, head) in FORMS.into_iter().enumerate() {
        for bytes in cuts(head, STEP) {
            for leaf in &deployment.singles {
                leaf.behave(LeafBehaviour::EarlyHeadCut { head, bytes });
            }
            let once = format!("once-{form}-{bytes}");
            check_unknown(&node.call(&post(&once, vec![b'x'; BODY_BYTES])).await, head, bytes);
            assert_eq!(deployment.runs_of(&once), 1, "{bytes} of {head}");
        }
    }
}
