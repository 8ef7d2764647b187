//! Requests in normal operation, and invalid requests.

use http::Method;

use sablebay_platform_standin::CallerCall;

use crate::support::{
    GATHER_PATH, HOST, SAFE_PATH, SHARDS, UNSAFE_PATH, check_gathered, eventually, expected_records, one_node,
};

#[tokio::test(flavor = "multi_thread")]
async fn a_gathered_answer_holds_the_greatest_records_of_all_shards() {
    let (deployment, node) = one_node().await;
    let answer = node.get(GATHER_PATH, "r-1").await;
    check_gathered(&answer, "r-1");
    assert_eq!(answer.missing, 0);
    assert_eq!(answer.body, expected_records(0..SHARDS));
    assert_eq!(deployment.runs_of("r-1"), u32::from(SHARDS), "one back end of each shard");
}

#[tokio::test(flavor = "multi_thread")]
async fn one_back_ends_answer_goes_back_unchanged() {
    let (deployment, node) = one_node().await;
    for path in [SAFE_PATH, UNSAFE_PATH] {
        let id = format!("r-{}", path.len());
        let answer = node.get(path, &id).await;
        assert_eq!(answer.status.as_u16(), 200);
        let stamp = answer.stamp.expect("the back end's signature");
        assert!(stamp.ends_with(&id), "{stamp} must be the signature of {id}");
        assert_eq!(deployment.runs_of(&id), 1);
    }
    let complete = deployment.leaves().all(|leaf| leaf.record().incomplete == 0);
    assert!(complete, "each request must name its deadline and its target instance");
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_are_kept_and_few() {
    let (deployment, node) = one_node().await;
    for number in 0..40 {
        node.get(GATHER_PATH, &format!("r-{number}")).await;
    }
    let opened: u64 = deployment.shards.iter().map(|leaf| leaf.record().connections).sum();
    assert!(opened <= 2 * deployment.shards.len() as u64, "{opened} connections for 160 calls");
}

#[tokio::test(flavor = "multi_thread")]
async fn method_path_query_and_body_go_on_as_they_came() {
    let (deployment, node) = one_node().await;
    let call = CallerCall {
        method: Method::POST,
        body: vec![7; 4_000],
        ..CallerCall::get(HOST, "/once/a%20b/?q=1&r=%2F", "r-1")
    };
    assert_eq!(node.caller.call(&call).await.expect("an answer").status.as_u16(), 200);
    let lines: Vec<String> = deployment.singles.iter().flat_map(|leaf| leaf.record().lines).collect();
    assert_eq!(lines, ["POST /once/a%20b/?q=1&r=%2F HTTP/1.1"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_request_is_rejected_and_reaches_no_back_end() {
    let (deployment, node) = one_node().await;
    assert_eq!(node.get("/nowhere/1", "r-1").await.status.as_u16(), 404);
    let nameless = CallerCall { id: None, ..CallerCall::get(HOST, SAFE_PATH, "") };
    assert_eq!(node.caller.call(&nameless).await.expect("an answer").status.as_u16(), 400);
    let long =
        CallerCall { method: Method::POST, body: vec![0; 5_000], ..CallerCall::get(HOST, SAFE_PATH, "r-2") };
    assert_eq!(node.caller.call(&long).await.expect("an answer").status.as_u16(), 413);
    assert!(deployment.leaves().all(|leaf| leaf.record().arrivals == 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_first_connection_to_each_back_end_is_open_before_a_request_needs_it() {
    let (deployment, node) = one_node().await;
    let open = || deployment.leaves().filter(|leaf| leaf.record().connections > 0).count();
    eventually("each back end has a connection", || async { open() == deployment.leaves().count() }).await;
    node.get(GATHER_PATH, "r-1").await;
    let opened: u64 = deployment.leaves().map(|leaf| leaf.record().connections).sum();
    assert_eq!(opened, deployment.leaves().count() as u64, "the request must not open another connection");
}
