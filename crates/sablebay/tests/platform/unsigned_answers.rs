//! Back ends report success without proving who ran the request: none of it reaches a caller as a success.

use std::time::Duration;

use http::Method;

use sablebay_platform_standin::{CallerAnswer, CallerCall, LeafBehaviour};

use crate::gathering::metric;
use crate::support::{
    Deployment, GATHER_PATH, HOST, NodeProcess, SAFE_PATH, SHARDS, UNSAFE_PATH, check_gathered, one_node,
};

/// Sends as many requests as a node needs to know their usual latency, so that it hedges before the deadline.
async fn record_latencies(node: &NodeProcess) {
    for number in 0..30 {
        assert_eq!(node.get(SAFE_PATH, &format!("usual-{number}")).await.status.as_u16(), 200);
    }
}

/// A call of another method on the same path.
fn call_by(method: Method, path: &str, id: &str) -> CallerCall {
    CallerCall { method, ..CallerCall::get(HOST, path, id) }
}

/// Successes that prove nothing: without a receipt, with one that holds only blanks, or with two.
const UNSIGNED: [&str; 9] = [
    "HTTP/1.1 200 OK\nX-Sablebay-Request-Id: {id}\nContent-Length: {length}\n",
    "HTTP/1.1 201 Created\nX-Sablebay-Request-Id: {id}\nContent-Length: {length}\n",
    "HTTP/1.1 204 No Content\nX-Sablebay-Request-Id: {id}\n",
    "HTTP/1.1 200 OK\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp:\nContent-Length: {length}\n",
    "HTTP/1.1 206 Part\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp:   \nContent-Length: {length}\n",
    "HTTP/1.1 299 Odd\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp: \t\nContent-Length: {length}\n",
    "HTTP/1.1 200 OK\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp:\nX-Sablebay-Response-Stamp: {stamp}\nContent-Length: {length}\n",
    "HTTP/1.1 200 OK\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp: {stamp}\nX-Sablebay-Response-Stamp:\nContent-Length: {length}\n",
    "HTTP/1.1 200 OK\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp: {stamp}\nX-Sablebay-Response-Stamp: another\nContent-Length: {length}\n",
];

/// A success that says that it did not run.
const CONTRADICTORY: &str = "HTTP/1.1 200 OK\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp: {stamp}\nX-Sablebay-Not-Executed: 1\nContent-Length: {length}\n";

/// A success whose bytes are not those that callers check.
const ENCODED: &str = "HTTP/1.1 200 OK\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp: {stamp}\nContent-Encoding: gzip\nContent-Length: {length}\n";

/// Successes that name no request, or more than one.
const UNADDRESSED: [&str; 4] = [
    "HTTP/1.1 200 OK\nX-Sablebay-Response-Stamp: {stamp}\nContent-Length: {length}\n",
    "HTTP/1.1 200 OK\nX-Sablebay-Request-Id:\nX-Sablebay-Response-Stamp: {stamp}\nContent-Length: {length}\n",
    "HTTP/1.1 200 OK\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Request-Id: another\nX-Sablebay-Response-Stamp: {stamp}\nContent-Length: {length}\n",
    "HTTP/1.1 200 OK\nX-Sablebay-Request-Id: another\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp: {stamp}\nContent-Length: {length}\n",
];

/// Checks that the answer is the node's own, and doesn't rule out that the request has run.
fn check_unknown(answer: &CallerAnswer, head: &str) {
    assert_eq!(answer.status.as_u16(), 502, "{head}");
    assert_eq!(answer.stamp, None, "{head}");
    assert!(answer.part_stamps.is_empty(), "{head}");
}

/// All back ends send this head: no caller gets a success, and what must run once has.
async fn check_all(deployment: &Deployment, node: &NodeProcess, number: usize, head: &'static str) {
    for leaf in deployment.leaves() {
        leaf.behave(LeafBehaviour::Head(head));
    }
    let once = format!("once-{number}");
    check_unknown(&node.get(SAFE_PATH, &format!("safe-{number}")).await, head);
    check_unknown(&node.call(&call_by(Method::POST, UNSAFE_PATH, &once)).await, head);
    assert_eq!(deployment.runs_of(&once), 1, "{head}");
    check_unknown(&node.get(GATHER_PATH, &format!("all-{number}")).await, head);
    for leaf in deployment.leaves() {
        leaf.behave(LeafBehaviour::Answer);
    }
}

/// One back end of each service sends this head: the other one answers what may be repeated.
async fn check_one(deployment: &Deployment, node: &NodeProcess, number: usize, head: &'static str) {
    for leaf in [&deployment.singles[0], &deployment.shards[0]] {
        leaf.behave(LeafBehaviour::Head(head));
    }
    for call in 0..6 {
        let id = format!("one-{number}-{call}");
        let answer = node.get(SAFE_PATH, &id).await;
        assert_eq!((answer.status.as_u16(), answer.stamp), (200, Some(format!("i-single-1.{id}"))), "{head}");
        let id = format!("shards-{number}-{call}");
        let answer = node.get(GATHER_PATH, &id).await;
        check_gathered(&answer, &id);
        assert_eq!(answer.missing, 0, "{head}");
        let id = format!("post-{number}-{call}");
        let answer = node.call(&call_by(Method::POST, UNSAFE_PATH, &id)).await;
        match answer.status.as_u16() {
            200 => assert_eq!(answer.stamp, Some(format!("i-single-1.{id}")), "{head}"),
            _ => check_unknown(&answer, head),
        }
        assert_eq!(deployment.runs_of(&id), 1, "{head}");
    }
    for leaf in [&deployment.singles[0], &deployment.shards[0]] {
        leaf.behave(LeafBehaviour::Answer);
    }
}

async fn check_heads(heads: &[&'static str]) {
    for (number, head) in heads.iter().enumerate() {
        let (deployment, node) = one_node().await;
        check_all(&deployment, &node, number, head).await;
        let (deployment, node) = one_node().await;
        check_one(&deployment, &node, number, head).await;
    }
}

/// Guards against a success that no back end has signed, passed on as the answer of one.
#[tokio::test(flavor = "multi_thread")]
async fn a_success_without_a_receipt_reaches_no_caller() {
    check_heads(&UNSIGNED).await;
}

/// Guards against a second run of a request whose answer says both that it ran and that it didn't.
#[tokio::test(flavor = "multi_thread")]
async fn a_success_that_says_it_did_not_run_reaches_no_caller_and_is_not_repeated() {
    check_heads(&[CONTRADICTORY]).await;
}

/// Guards against encoded bytes that are passed on, or merged as records, as if they were the back end's body.
#[tokio::test(flavor = "multi_thread")]
async fn a_success_with_an_encoding_nobody_asked_for_reaches_no_caller() {
    check_heads(&[ENCODED]).await;
}

/// Guards against an answer whose first line names this request and whose second line another.
#[tokio::test(flavor = "multi_thread")]
async fn a_success_that_names_no_request_or_two_reaches_no_caller() {
    check_heads(&UNADDRESSED).await;
}

/// Guards against an unsigned answer to a hedge that ends the request while the first call goes on.
#[tokio::test(flavor = "multi_thread")]
async fn an_unsigned_answer_to_a_hedge_leaves_the_first_call_going() {
    const WORK: Duration = Duration::from_secs(2);
    let (deployment, node) = one_node().await;
    record_latencies(&node).await;
    deployment.singles[0].behave(LeafBehaviour::Slow(WORK));
    deployment.singles[1].behave(LeafBehaviour::Head(UNSIGNED[0]));
    let before = deployment.singles[1].record().arrivals;
    for number in 0..4 {
        let id = format!("hedged-{number}");
        let answer = node.get(SAFE_PATH, &id).await;
        assert_eq!((answer.status.as_u16(), answer.stamp), (200, Some(format!("i-single-0.{id}"))));
    }
    assert!(deployment.singles[1].record().arrivals > before, "the other back end was never asked");
}

/// Guards against an unsigned answer that takes the place of a failure which a back end has signed.
#[tokio::test(flavor = "multi_thread")]
async fn a_signed_failure_beside_an_unsigned_success_is_passed_on_unchanged() {
    let (deployment, node) = one_node().await;
    deployment.singles[0].behave(LeafBehaviour::Fail);
    deployment.singles[1].behave(LeafBehaviour::Head(UNSIGNED[0]));
    for number in 0..8 {
        let id = format!("both-{number}");
        let answer = node.get(SAFE_PATH, &id).await;
        match answer.status.as_u16() {
            500 => {
                assert_eq!((answer.stamp, answer.body), (Some(format!("i-single-0.{id}")), b"failed".into()))
            }
            _ => check_unknown(&answer, UNSIGNED[0]),
        }
    }
}

/// Guards against a failure's receipt beside a status of the node's own.
#[tokio::test(flavor = "multi_thread")]
async fn too_few_parts_carry_no_receipt_of_a_failure() {
    let (deployment, node) = one_node().await;
    for (number, leaf) in deployment.shards.iter().enumerate() {
        let is_signed = number % 2 == 0;
        leaf.behave(if is_signed { LeafBehaviour::Fail } else { LeafBehaviour::Head(UNSIGNED[3]) });
    }
    check_unknown(&node.get(GATHER_PATH, "mixed").await, UNSIGNED[3]);
}

/// Guards against a list of receipts with an entry that no back end has signed.
#[tokio::test(flavor = "multi_thread")]
async fn a_shard_without_a_signed_answer_is_missing() {
    let (deployment, node) = one_node().await;
    for head in UNSIGNED {
        for leaf in &deployment.shards[..2] {
            leaf.behave(LeafBehaviour::Head(head));
        }
        let answer = node.get(GATHER_PATH, "missing").await;
        check_gathered(&answer, "missing");
        assert_eq!(answer.missing, 1, "{head}");
    }
}

/// A part that says of itself that it isn't whole.
const PARTIAL: &str = "HTTP/1.1 206 Partial Content\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp: {stamp}\nContent-Range: bytes 0-127/4096\nContent-Length: {length}\n";
/// A receipt that would stand as two entries of a list.
const TWO_ENTRIES: &str = "HTTP/1.1 200 OK\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp: {stamp},{stamp}\nContent-Length: {length}\n";

/// Checks that a signed answer is no part, and that a request to a single back end gets it unchanged.
async fn check_no_part(head: &'static str) {
    let (deployment, node) = one_node().await;
    for leaf in deployment.shards[..2].iter().chain(&deployment.singles) {
        leaf.behave(LeafBehaviour::Head(head));
    }
    let answer = node.get(GATHER_PATH, "no-part").await;
    check_gathered(&answer, "no-part");
    assert_eq!(answer.missing, 1);
    let single = node.get(SAFE_PATH, "single").await;
    assert!(single.status.is_success());
    assert_eq!(single.stamp_lines.len(), 1);
}

/// Guards against records that are left out of a merged answer while it says that no shard is missing.
#[tokio::test(flavor = "multi_thread")]
async fn a_partial_answer_is_no_part() {
    check_no_part(PARTIAL).await;
}

/// Guards against entries of a list that are no receipts.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_whose_receipt_would_stand_as_two_is_no_part() {
    check_no_part(TWO_ENTRIES).await;
}

/// Signed successes that look unusual.
const SIGNED: [(&str, u16); 5] = [
    (
        "HTTP/1.1 201 Created\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp: {stamp}\nContent-Length: {length}\n",
        201,
    ),
    ("HTTP/1.1 204 No Content\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp: {stamp}\n", 204),
    (
        "HTTP/1.1 205 Reset Content\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp: {stamp}\nContent-Length: 0\n",
        205,
    ),
    (
        "HTTP/1.1 206 Partial Content\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp: {stamp}\nContent-Length: {length}\n",
        206,
    ),
    (
        "HTTP/1.1 299 Odd\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp:\t {stamp}\t\nContent-Length: {length}\n",
        299,
    ),
];

/// Checks that signed answers of single back ends are passed on with their receipts.
async fn check_passed_on(answers: &[(&'static str, u16)]) {
    let (deployment, node) = one_node().await;
    for (number, (head, status)) in answers.iter().copied().enumerate() {
        for leaf in &deployment.singles {
            leaf.behave(LeafBehaviour::Head(head));
        }
        for (method, path) in [(Method::GET, SAFE_PATH), (Method::POST, UNSAFE_PATH)] {
            let id = format!("{number}-{method}");
            let answer = node.call(&call_by(method, path, &id)).await;
            assert_eq!(answer.status.as_u16(), status, "{head}");
            let stamps: Vec<String> = (0..2).map(|copy| format!("i-single-{copy}.{id}")).collect();
            assert!(answer.stamp.is_some_and(|stamp| stamps.contains(&stamp)), "{head}");
            assert_eq!(answer.stamp_lines.len(), 1, "{head}");
            assert_eq!(answer.body.is_empty(), !head.contains("{length}"), "{head}");
        }
    }
}

/// Guards against a check that is too strict.
#[tokio::test(flavor = "multi_thread")]
async fn a_signed_success_of_any_status_is_passed_on_with_its_receipt() {
    check_passed_on(&SIGNED).await;
}

/// A success that calls its receipt a matter of the connection.
const OF_THE_CONNECTION: &str = "HTTP/1.1 200 OK\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp: {stamp}\nConnection: X-Sablebay-Response-Stamp\nContent-Length: {length}\n";

/// Guards against a receipt that is dropped on its way to the caller, together with what concerns the connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_receipt_named_as_a_header_of_the_connection_reaches_the_caller() {
    check_passed_on(&[(OF_THE_CONNECTION, 200)]).await;
}

/// An answer to HEAD has the head alone.
const HEAD_ANSWER: &str =
    "HTTP/1.1 200 OK\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp: {stamp}\nContent-Length: 128\n";
const UNSIGNED_HEAD_ANSWER: &str =
    "HTTP/1.1 200 OK\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp:\nContent-Length: 128\n";

/// Guards against an answer without a body that is taken for one without a receipt, or the other way round.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_a_head_request_needs_a_receipt_too() {
    let (deployment, node) = one_node().await;
    for (number, (head, status)) in [(HEAD_ANSWER, 200), (UNSIGNED_HEAD_ANSWER, 502)].into_iter().enumerate()
    {
        for leaf in &deployment.singles {
            leaf.behave(LeafBehaviour::Head(head));
        }
        let id = format!("head-{number}");
        let answer = node.call(&call_by(Method::HEAD, SAFE_PATH, &id)).await;
        assert_eq!((answer.status.as_u16(), answer.stamp.is_some()), (status, status == 200), "{head}");
    }
}

/// Guards against a back end that goes on getting its full share of the requests that it answers without a receipt.
#[tokio::test(flavor = "multi_thread")]
async fn a_back_end_that_signs_nothing_is_avoided_as_one_that_fails() {
    const REQUESTS: u64 = 60;
    let (deployment, node) = one_node().await;
    deployment.singles[0].behave(LeafBehaviour::Head(UNSIGNED[0]));
    for number in 0..REQUESTS {
        let answer = node.get(SAFE_PATH, &format!("avoided-{number}")).await;
        assert_eq!(answer.status.as_u16(), 200);
    }
    let arrivals = deployment.singles[0].record().arrivals;
    assert!(arrivals < REQUESTS / 4, "{arrivals} of {REQUESTS} requests went to it first");
}

/// Heads that make an answer none, and the reason under which it is counted.
const REASONS: &[(&str, &str)] = &[
    (UNSIGNED[0], "unsigned"),
    (CONTRADICTORY, "contradictory"),
    (ENCODED, "encoded"),
    (UNADDRESSED[0], "foreign"),
];

/// Guards against answers that nobody signed and that no count tells of.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_reach_no_caller_are_counted_with_their_reason() {
    let (deployment, node) = one_node().await;
    for (head, reason) in REASONS.iter().copied() {
        for leaf in &deployment.singles {
            leaf.behave(LeafBehaviour::Head(head));
        }
        node.call(&call_by(Method::POST, UNSAFE_PATH, reason)).await;
        let name = format!("sablebay_gateway_no_answers_total{{reason=\"{reason}\"}}");
        assert_eq!(metric(&node, &name), 1, "{reason}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn signed_answers_beside_unsigned_ones_are_whole() {
    let (deployment, node) = one_node().await;
    for shard in 0..usize::from(SHARDS) {
        deployment.shards[2 * shard].behave(LeafBehaviour::Head(UNSIGNED[shard % 2 + 3]));
    }
    for number in 0..20 {
        let id = format!("beside-{number}");
        let answer = node.get(GATHER_PATH, &id).await;
        check_gathered(&answer, &id);
        assert_eq!(answer.missing, 0);
    }
}
