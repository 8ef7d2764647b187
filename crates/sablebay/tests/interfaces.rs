//! The caller API and the admin API: each kind of invalid input has its own status and reason.

mod common;

use common::{DESK, small_deployment, start};
use http::{Method, StatusCode};
use sablebay_bench::{NodeCommand, ProcessCluster};
use sablebay_model::{Outcome, Reason, Refusal};
use sablebay_standin::CallerClient;

async fn refusal(client: &CallerClient, path: &str, body: &str) -> (StatusCode, Refusal) {
    let (status, body) = client.send(Method::POST, path, body).await.expect("an answer");
    let refusal = serde_json::from_slice(&body).unwrap_or_else(|error| {
        panic!("{path}: {error}: {}", String::from_utf8_lossy(&body));
    });
    (status, refusal)
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_from_callers() {
    let cluster = start(small_deployment("latency", 1_000.0)).await;
    let client = cluster.nodes[0].client();
    let query = format!("/v1/services/{DESK}/query");
    let operations = format!("/v1/services/{DESK}/operations");
    let huge = format!("{{\"query\":\"{}\"}}", "x".repeat(300_000));
    let cases: [(&str, &str, StatusCode, Reason); 8] = [
        (&query, "{", StatusCode::BAD_REQUEST, Reason::BadRequest),
        (&query, "{}", StatusCode::BAD_REQUEST, Reason::BadRequest),
        (&query, "{\"query\":1,\"limt\":3}", StatusCode::BAD_REQUEST, Reason::BadRequest),
        (&query, "{\"query\":1,\"limit\":1000000}", StatusCode::PAYLOAD_TOO_LARGE, Reason::TooLarge),
        (&query, &huge, StatusCode::PAYLOAD_TOO_LARGE, Reason::TooLarge),
        ("/v1/services/nothing/query", "{\"query\":1}", StatusCode::NOT_FOUND, Reason::UnknownService),
        ("/v1/nothing", "", StatusCode::NOT_FOUND, Reason::NoSuchPath),
        (&operations, "not json", StatusCode::BAD_REQUEST, Reason::BadRequest),
    ];
    for (path, body, status, reason) in cases {
        let (got, refusal) = refusal(&client, path, body).await;
        let shown = &body[..body.len().min(40)];
        assert_eq!(
            (got, refusal.reason, refusal.outcome),
            (status, reason, Outcome::NotRun),
            "{path} {shown}"
        );
    }
    let (status, _) = client.send(Method::GET, &query, "").await.unwrap();
    assert_eq!(status, StatusCode::NOT_FOUND);
    assert!(cluster.leaves.operations().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn absurd_deadlines_tickets_and_identifiers() {
    let cluster = start(small_deployment("latency", 1_000.0)).await;
    let address = cluster.nodes[0].caller_address;
    let pool = sablebay_http::ConnectionPool::new(address, 1);
    let cases = [
        ("query", "sablebay-deadline-ms", "0".to_string(), Reason::BadRequest),
        ("query", "sablebay-deadline-ms", "-5".to_string(), Reason::BadRequest),
        ("query", "sablebay-deadline-ms", "99999999999".to_string(), Reason::BadRequest),
        ("query", "sablebay-request-id", "x".repeat(200), Reason::TooLarge),
        ("operations", "sablebay-ticket", "no.ticket".to_string(), Reason::BadTicket),
        ("operations", "sablebay-ticket", "t1.1.1.1.other.n@1".to_string(), Reason::BadTicket),
    ];
    for (path, header, value, reason) in cases {
        let mut request = sablebay_http::json_request(Method::POST, "/", "{\"query\":1}".into());
        *request.uri_mut() = format!("/v1/services/{DESK}/{path}").parse().unwrap();
        request.headers_mut().insert(header, value.parse().unwrap());
        let permit = pool.permit().await;
        let mut lease = pool.connect(permit).await.unwrap();
        let response = pool.send(&mut lease, request).await.unwrap();
        let body = http_body_util::BodyExt::collect(response.into_body()).await.unwrap().to_bytes();
        pool.release(lease);
        let refusal: Refusal = serde_json::from_slice(&body).unwrap();
        assert_eq!(refusal.reason, reason, "{header}: {value}");
    }
}

/// State-changing admin requests require the operator's token.
#[tokio::test(flavor = "multi_thread")]
async fn operators_without_the_token_change_nothing() {
    let command = NodeCommand::with_break(None).unwrap();
    let flags = ["--log-level", "warn", "--operator-token", "a-long-secret"];
    let deployment = small_deployment("latency", 1_000.0);
    let cluster = ProcessCluster::start(command, deployment, 1, &flags).await.unwrap();
    let admin = CallerClient::new(cluster.nodes[0].admin_address);
    for path in ["/v1/drain", "/v1/undrain"] {
        let (status, refusal) = refusal(&admin, path, "").await;
        assert_eq!((status, refusal.reason), (StatusCode::FORBIDDEN, Reason::Unauthorized));
    }
    let report = common::wait_for_report(&cluster, 0, "a report", |_| true).await;
    assert!(!report.draining);
}

/// The node's concurrency limit covers all services; refusals carry a retry delay.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_a_free_slot_refuses_at_once() {
    let command = NodeCommand::with_break(None).unwrap();
    let flags = ["--log-level", "warn", "--concurrency", "1"];
    let deployment = small_deployment("latency", 300_000.0);
    let cluster = ProcessCluster::start(command, deployment, 1, &flags).await.unwrap();
    let (first, second) = (cluster.nodes[0].client(), cluster.nodes[0].client());
    let query = |client: CallerClient| async move {
        let path = format!("/v1/services/{DESK}/query");
        client.send(Method::POST, &path, "{\"query\":1}").await.unwrap()
    };
    let answers = tokio::join!(query(first), query(second));
    let refused = [answers.0, answers.1].into_iter().find(|(status, _)| !status.is_success());
    let (status, body) = refused.expect("one of two is refused");
    let refusal: Refusal = serde_json::from_slice(&body).unwrap();
    assert_eq!((status, refusal.reason), (StatusCode::TOO_MANY_REQUESTS, Reason::Overloaded));
    assert_eq!(refusal.outcome, Outcome::NotRun);
    assert!(refusal.retry_after_ms.is_some());
}

/// Drain and undrain through the command line, as reported by the other nodes.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_is_drained_and_taken_back() {
    let cluster = start(small_deployment("latency", 1_000.0)).await;
    let admin = cluster.nodes[0].admin_address.to_string();
    let sablebay = |arguments: &[&str]| {
        let output =
            std::process::Command::new(env!("CARGO_BIN_EXE_sablebay")).args(arguments).output().unwrap();
        assert!(output.status.success(), "{arguments:?}: {}", String::from_utf8_lossy(&output.stderr));
        String::from_utf8_lossy(&output.stdout).into_owned()
    };
    assert!(sablebay(&["drain", "--admin", &admin, "--wait"]).contains("draining, 0 in flight"));
    let leaving = |report: &sablebay_node::NodeReport| {
        report.members.iter().any(|member| member.status == sablebay_fleet::MemberStatus::Leaving)
    };
    common::wait_for_report(&cluster, 1, "the status `leaving` of a member", leaving).await;
    assert!(sablebay(&["status", "--admin", &admin]).contains("draining"));
    sablebay(&["drain", "--admin", &admin, "--undo"]);
    cluster.wait_until_ready(3).await.unwrap();
    let shown = sablebay(&["config", "--admin", &admin, "--service", DESK]);
    assert!(shown.contains("\"deadline_ms\": 2000"), "{shown}");
    let metrics = CallerClient::new(cluster.nodes[0].admin_address);
    let (_, body) = metrics.send(Method::GET, "/metrics", "").await.unwrap();
    assert!(String::from_utf8_lossy(&body).contains("sablebay_members 3"));
}

/// The log level can be changed at run time; unknown levels are rejected.
#[tokio::test(flavor = "multi_thread")]
async fn the_log_level_is_changed_through_the_admin_api() {
    let command = NodeCommand::with_break(None).unwrap();
    let flags = ["--log-level", "warn", "--log-format", "json"];
    let deployment = small_deployment("latency", 1_000.0);
    let cluster = ProcessCluster::start(command, deployment, 1, &flags).await.unwrap();
    let admin = CallerClient::new(cluster.nodes[0].admin_address);
    let (status, _) = admin.send(Method::PUT, "/v1/log-level", "{\"level\":\"debug\"}").await.unwrap();
    assert_eq!(status, StatusCode::NO_CONTENT);
    let (status, _) = admin.send(Method::PUT, "/v1/log-level", "{\"level\":\"loud\"}").await.unwrap();
    assert_eq!(status, StatusCode::BAD_REQUEST);
}

/// Connections of processes without the fleet key are closed and counted.
#[tokio::test(flavor = "multi_thread")]
async fn strangers_among_peers_are_turned_away() {
    let cluster = start(small_deployment("latency", 1_000.0)).await;
    let connection = tokio::net::TcpStream::connect(cluster.nodes[0].peer_address).await.unwrap();
    let mut connection = connection;
    tokio::io::AsyncWriteExt::write_all(&mut connection, &[7; 16]).await.unwrap();
    let frame = [&[0, 0, 0, 32][..], &[9; 32][..]].concat();
    tokio::io::AsyncWriteExt::write_all(&mut connection, &frame).await.unwrap();
    let admin = CallerClient::new(cluster.nodes[0].admin_address);
    let started = std::time::Instant::now();
    loop {
        let (_, body) = admin.send(Method::GET, "/metrics", "").await.unwrap();
        if String::from_utf8_lossy(&body).contains("sablebay_frames_wrong_proof 1") {
            return;
        }
        assert!(started.elapsed() < common::EVENT_TIMEOUT, "the rejected connection was not counted");
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}
