//! Callers that are slow, half-closed, disconnected, or ambiguous: each gets a definite answer or a closed
//! connection, and no unintended request reaches a back end.

use std::time::Duration;

use sablebay_catalogue::{CallerLimits, RoutingConfiguration};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{
    Deployment, EVENT_TIMEOUT, HOST, NodeProcess, SAFE_PATH, UNSAFE_PATH, configuration, eventually,
};

/// Limits in the published configuration.
const HEAD_TIMEOUT_MS: u64 = 300;
const IDLE_TIMEOUT_MS: u64 = 700;
const HEADER_BYTES: usize = 9_000;

async fn node_with_limits() -> (Deployment, NodeProcess) {
    let deployment = Deployment::start().await;
    let limits = CallerLimits {
        header_bytes: HEADER_BYTES,
        header_timeout_ms: HEAD_TIMEOUT_MS,
        idle_timeout_ms: IDLE_TIMEOUT_MS,
        ..configuration(2).limits
    };
    deployment.store.publish(&RoutingConfiguration { limits, ..configuration(2) });
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    (deployment, node)
}

async fn connect(node: &NodeProcess) -> TcpStream {
    TcpStream::connect(node.caller.address).await.expect("a connection")
}

/// Reads until the node closes the connection.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset counts as closed too.
    let reading = async { while matches!(stream.read_buf(&mut bytes).await, Ok(count) if count > 0) {} };
    tokio::time::timeout(EVENT_TIMEOUT, reading).await.expect("the node closes the connection");
    String::from_utf8_lossy(&bytes).into_owned()
}

fn head(method: &str, path: &str, id: &str, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Sablebay-Request-Id: {id}\r\n\
         X-Sablebay-Deadline-Ms: 1500\r\n{more}\r\n"
    )
}

fn arrivals(deployment: &Deployment) -> u64 {
    deployment.leaves().map(|leaf| leaf.record().arrivals).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_never_ends_is_given_up() {
    let (deployment, node) = node_with_limits().await;
    let mut stream = connect(&node).await;
    stream.write_all(b"GET /one/1 HTTP/1.1\r\nHost: des").await.expect("written");
    assert_eq!(read_to_end(&mut stream).await, "");
    assert_eq!(arrivals(&deployment), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_rests_too_long_is_closed_and_not_before() {
    let (_deployment, node) = node_with_limits().await;
    let mut stream = connect(&node).await;
    for number in 0..3 {
        let request = head("GET", SAFE_PATH, &format!("rest-{number}"), "");
        stream.write_all(request.as_bytes()).await.expect("written");
        let mut bytes = [0; 4_096];
        let count = stream.read(&mut bytes).await.expect("an answer");
        assert!(bytes[..count].starts_with(b"HTTP/1.1 200"));
        tokio::time::sleep(Duration::from_millis(IDLE_TIMEOUT_MS / 4)).await;
    }
    assert_eq!(read_to_end(&mut stream).await, "");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_over_the_limit_is_refused() {
    let (deployment, node) = node_with_limits().await;
    let mut stream = connect(&node).await;
    let long = format!("X-Long: {}\r\n", "x".repeat(2 * HEADER_BYTES));
    stream.write_all(head("GET", SAFE_PATH, "long", &long).as_bytes()).await.expect("written");
    let answer = read_to_end(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 431") || answer.is_empty(), "{answer}");
    assert_eq!(arrivals(&deployment), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_stalls_is_refused_in_time_and_did_not_run() {
    let (deployment, node) = node_with_limits().await;
    let mut stream = connect(&node).await;
    let request = head("POST", UNSAFE_PATH, "stalled", "Content-Length: 100\r\n") + "only a part";
    stream.write_all(request.as_bytes()).await.expect("written");
    let answer = read_to_end(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.to_ascii_lowercase().contains("retry-after"));
    assert_eq!(deployment.runs_of("stalled"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_caller_disconnects_within_the_body_does_not_run() {
    let (deployment, node) = node_with_limits().await;
    let mut stream = connect(&node).await;
    let request = head("POST", UNSAFE_PATH, "left", "Content-Length: 100\r\n") + "only a part";
    stream.write_all(request.as_bytes()).await.expect("written");
    drop(stream);
    // A request on another connection is served, and the incomplete one has not run.
    assert_eq!(node.get(SAFE_PATH, "after").await.status.as_u16(), 200);
    assert_eq!(deployment.runs_of("left"), 0);
}

/// Guards against request smuggling: two parsers could disagree where these requests end, and the
/// second request inside must never run.
#[tokio::test(flavor = "multi_thread")]
async fn ambiguous_requests_reach_no_back_end() {
    let (deployment, node) = node_with_limits().await;
    let hidden = head("POST", UNSAFE_PATH, "hidden", "Content-Length: 0\r\n");
    let ambiguous = [
        head("POST", UNSAFE_PATH, "ambiguous", "Content-Length: 5\r\nContent-Length: 6\r\n")
            + "12345"
            + &hidden,
        head("POST", UNSAFE_PATH, "ambiguous", "Content-Length: 5, 6\r\n") + "12345" + &hidden,
        head("POST", UNSAFE_PATH, "ambiguous", "Content-Length: +5\r\n") + "12345" + &hidden,
        head("POST", UNSAFE_PATH, "ambiguous", "Transfer-Encoding: chunked, identity\r\n")
            + "0\r\n\r\n"
            + &hidden,
        head("POST", UNSAFE_PATH, "ambiguous", "Transfer-Encoding: chunked\r\n") + "zz\r\n" + &hidden,
        head("POST", UNSAFE_PATH, "ambiguous", "Content-Length : 5\r\n") + "12345" + &hidden,
    ];
    for request in ambiguous {
        let mut stream = connect(&node).await;
        stream.write_all(request.as_bytes()).await.expect("written");
        let answer = read_to_end(&mut stream).await;
        assert!(!answer.contains(" 200 "), "{request:?} was answered {answer:?}");
        assert_eq!(deployment.runs_of("hidden"), 0, "{request:?}");
        assert_eq!(deployment.runs_of("ambiguous"), 0, "{request:?}");
    }
}

/// With both headers present, the chunks delimit the body and `Content-Length` is not forwarded.
#[tokio::test(flavor = "multi_thread")]
async fn chunked_encoding_takes_precedence_over_content_length() {
    let (deployment, node) = node_with_limits().await;
    let mut stream = connect(&node).await;
    let both = head("POST", UNSAFE_PATH, "both", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n");
    stream.write_all((both + "5\r\n12345\r\n0\r\n\r\n").as_bytes()).await.expect("written");
    let answer = read_to_end(&mut stream).await;
    let runs = deployment.runs_of("both");
    assert!(runs <= 1);
    assert_eq!(answer.starts_with("HTTP/1.1 200"), runs == 1, "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn many_silent_connections_are_closed() {
    let (_deployment, node) = node_with_limits().await;
    let mut silent = Vec::new();
    for _ in 0..50 {
        silent.push(connect(&node).await);
    }
    assert_eq!(node.get(SAFE_PATH, "beside").await.status.as_u16(), 200);
    for mut stream in silent {
        assert_eq!(read_to_end(&mut stream).await, "");
    }
    eventually("the node still serves requests", || async {
        node.get(SAFE_PATH, "on").await.status.as_u16() == 200
    })
    .await;
}
