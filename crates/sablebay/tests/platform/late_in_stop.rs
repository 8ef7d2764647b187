//! Requests that arrive while a planned stop goes on, up to its end, while the back ends take longer than is left: each
//! gets a complete answer that tells whether it may have run, or was never passed on.

use std::time::Duration;

use rustix::process::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use sablebay_platform_standin::LeafBehaviour;

use crate::support::{Deployment, HOST, NodeProcess, SAFE_PATH, UNSAFE_PATH, settings_text};

/// Requests of each kind on each kind of connection, one after the other. They reach beyond the end of the stop.
const REQUESTS: usize = 50;
/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(60);
/// What a back end takes. Requests of the last part of the stop cannot be answered by one.
const WORK: Duration = Duration::from_millis(800);

/// What a caller got for a request: a status, or no complete answer.
type Outcome = Option<u16>;

fn request(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Sablebay-Request-Id: {id}\r\n\
         X-Sablebay-Deadline-Ms: 20000\r\n\r\n"
    )
}

/// The status of a complete response.
fn complete_status(response: &[u8]) -> Outcome {
    let end = response.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&response[..end]).to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
    let is_complete = length == Some(response.len() - end - 4);
    is_complete.then(|| head.split(' ').nth(1)?.parse().ok()).flatten()
}

/// Sends a request and reads until its response is complete or the connection ends.
async fn exchange(stream: &mut TcpStream, path: &str, id: &str) -> Outcome {
    stream.write_all(request(path, id).as_bytes()).await.ok()?;
    let mut response = Vec::new();
    loop {
        if let Some(status) = complete_status(&response) {
            return Some(status);
        }
        if stream.read_buf(&mut response).await.ok()? == 0 {
            return None;
        }
    }
}

/// A connection on which a request has been answered.
async fn kept_connection(node: &NodeProcess, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(node.caller.address).await.expect("a connection");
    assert_eq!(exchange(&mut stream, SAFE_PATH, id).await, Some(200));
    stream
}

async fn new_connection_exchange(address: std::net::SocketAddr, path: &str, id: &str) -> Outcome {
    exchange(&mut TcpStream::connect(address).await.ok()?, path, id).await
}

#[tokio::test(flavor = "multi_thread")]
async fn late_requests_are_answered_or_never_passed_on() {
    let deployment = Deployment::start().await;
    // Requests are taken until shortly before the end of the stop.
    let settings = settings_text("node-1", deployment.store.address, &[])
        .replace("stop_timeout_ms = 20000", "stop_timeout_ms = 2500")
        .replace("stop_linger_ms = 300", "stop_linger_ms = 2000");
    let mut node = NodeProcess::start_with(&settings);
    node.wait_ready().await;
    let mut kept = Vec::new();
    for number in 0..2 * REQUESTS {
        kept.push(kept_connection(&node, &format!("before-{number}")).await);
    }
    deployment.singles.iter().for_each(|leaf| leaf.behave(LeafBehaviour::Slow(WORK)));
    node.signal(Signal::TERM);
    let address = node.caller.address;
    let mut calls = Vec::new();
    for number in 0..REQUESTS {
        for path in [SAFE_PATH, UNSAFE_PATH] {
            let id = format!("kept-{number}{path}");
            let mut stream = kept.pop().expect("a connection for each request");
            let call_id = id.clone();
            let call = async move { exchange(&mut stream, path, &call_id).await };
            calls.push((path, id, tokio::spawn(call)));
            let id = format!("new-{number}{path}");
            let call_id = id.clone();
            let call = async move { new_connection_exchange(address, path, &call_id).await };
            calls.push((path, id, tokio::spawn(call)));
        }
        tokio::time::sleep(PAUSE).await;
    }
    assert_eq!(node.exit_code().await, Some(0), "no request was cut");
    let mut late = 0;
    for (path, id, call) in calls {
        let outcome = call.await.expect("the call ends");
        let runs = deployment.runs_of(&id);
        match outcome {
            Some(200 | 504) => {}
            Some(503) => assert_eq!(runs, 0, "{id} was said not to have run"),
            None => assert_eq!(runs, 0, "{id} was passed on, and cut"),
            Some(status) => panic!("{id} ended with {status}"),
        }
        assert!(path == SAFE_PATH || runs <= 1, "{id} ran {runs} times");
        late += u32::from(matches!(outcome, Some(503 | 504)));
    }
    assert!(late > 0, "some requests came too late to be served");
}
