//! A planned stop with requests whose deadlines lie past it: each gets a complete answer that tells whether it may
//! have run.

use std::time::Duration;

use rustix::process::Signal;
use tokio::task::JoinHandle;

use sablebay_platform_standin::{CallerAnswer, CallerCall, LeafBehaviour, StandInError};

use crate::gathering::metric;
use crate::support::{
    Deployment, GATHER_PATH, HOST, NodeProcess, SHARDS, UNSAFE_PATH, configuration, eventually, settings_text,
};

/// Connections per replica from all nodes, of which a lone node uses few.
const MAXIMUM_CONNECTIONS: u32 = 8;
/// More than the node has connections for.
const REQUESTS: usize = 12;
/// Past the end of every stop here.
const CALLER_TIMEOUT: Duration = Duration::from_secs(60);

type Call = JoinHandle<Result<CallerAnswer, StandInError>>;

fn start_call(node: &NodeProcess, path: &str, id: &str) -> Call {
    let caller = node.caller;
    let call = CallerCall { timeout: CALLER_TIMEOUT, ..CallerCall::get(HOST, path, id) };
    tokio::spawn(async move { caller.call(&call).await })
}

/// Starts a node that stops within 2 s.
async fn start_node(deployment: &Deployment, name: &str) -> NodeProcess {
    let settings = settings_text(name, deployment.store.address, &[])
        .replace("stop_timeout_ms = 20000", "stop_timeout_ms = 2000");
    let node = NodeProcess::start_with(&settings);
    node.wait_ready().await;
    node
}

async fn wait_until_in_flight(node: &NodeProcess, requests: usize) {
    eventually("the node holds the requests", || async {
        metric(node, "sablebay_in_flight") as usize >= requests
    })
    .await;
}

/// Begins a stop while a back end that never answers has a request.
async fn stop_with_held_request(deployment: &Deployment, node: &NodeProcess) -> Call {
    deployment.singles.iter().for_each(|leaf| leaf.behave(LeafBehaviour::Silent));
    let call = start_call(node, UNSAFE_PATH, "held");
    eventually("the request arrives", || async { deployment.runs_of("held") > 0 }).await;
    node.signal(Signal::TERM);
    eventually("the stop has begun", || async { !node.is_ready().await }).await;
    call
}

async fn complete_answer(call: Call) -> CallerAnswer {
    call.await.expect("the task ends").expect("a complete answer")
}

/// Guards against a stop that closes connections whose requests wait at a back end or for a connection to one.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_outlast_a_stop_are_answered_by_whether_they_were_sent() {
    let deployment = Deployment::start().await;
    let mut narrow = configuration(2);
    narrow.services.iter_mut().for_each(|service| service.maximum_connections = MAXIMUM_CONNECTIONS);
    deployment.store.publish(&narrow);
    let mut node = start_node(&deployment, "node-1").await;
    deployment.singles.iter().for_each(|leaf| leaf.behave(LeafBehaviour::Silent));
    let ids: Vec<String> = (0..REQUESTS).map(|number| format!("r-{number}")).collect();
    let calls: Vec<Call> = ids.iter().map(|id| start_call(&node, UNSAFE_PATH, id)).collect();
    wait_until_in_flight(&node, REQUESTS).await;
    node.signal(Signal::TERM);
    let (mut sent, mut unsent) = (0, 0);
    for (id, call) in ids.iter().zip(calls) {
        let answer = complete_answer(call).await;
        if deployment.runs_of(id) == 0 {
            unsent += 1;
            assert_eq!(answer.status.as_u16(), 503, "{id} was sent to no back end");
            assert!(answer.retry_after.is_some(), "{id} may be repeated at once");
        } else {
            sent += 1;
            assert_eq!(answer.status.as_u16(), 504, "{id} may have run");
        }
    }
    assert!(sent > 0 && unsent > 0, "{sent} requests were sent, {unsent} were not");
    assert_eq!(node.exit_code().await, Some(0), "no request was cut");
    assert!(ids.iter().all(|id| deployment.runs_of(id) <= 1), "nothing ran twice");
}

/// Guards against a stop that closes the connection of a gathered request instead of returning the shards it has.
#[tokio::test(flavor = "multi_thread")]
async fn a_gathered_request_that_outlasts_a_stop_returns_the_shards_that_answered() {
    let deployment = Deployment::start().await;
    let mut node = start_node(&deployment, "node-1").await;
    deployment.shards[..2].iter().for_each(|leaf| leaf.behave(LeafBehaviour::Silent));
    let call = start_call(&node, GATHER_PATH, "gathered");
    eventually("every shard has the request", || async { deployment.runs_of("gathered") >= SHARDS.into() })
        .await;
    node.signal(Signal::TERM);
    let answer = complete_answer(call).await;
    crate::support::check_gathered(&answer, "gathered");
    assert_eq!(answer.missing, 1);
    assert_eq!(node.exit_code().await, Some(0), "no request was cut");
}

/// Guards against a process that resumes past the end of its stop and closes connections before it answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_suspended_past_the_end_of_its_stop_answers_when_it_resumes() {
    let deployment = Deployment::start().await;
    let mut node = start_node(&deployment, "node-1").await;
    let call = stop_with_held_request(&deployment, &node).await;
    node.signal(Signal::STOP);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    node.signal(Signal::CONT);
    assert_eq!(complete_answer(call).await.status.as_u16(), 504);
    assert_eq!(node.exit_code().await, Some(0), "no request was cut");
}

/// Guards against signals that interrupt a stop: a second SIGTERM, and a SIGHUP, which would end the process by default.
#[tokio::test(flavor = "multi_thread")]
async fn further_signals_do_not_interrupt_a_stop() {
    let deployment = Deployment::start().await;
    let mut node = start_node(&deployment, "node-1").await;
    let call = stop_with_held_request(&deployment, &node).await;
    for signal in [Signal::HUP, Signal::TERM, Signal::INT, Signal::HUP] {
        node.signal(signal);
    }
    assert_eq!(complete_answer(call).await.status.as_u16(), 504);
    assert_eq!(node.exit_code().await, Some(0), "no request was cut");
}

/// Guards against a stop that waits for the body of a request beyond its own end.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_does_not_arrive_before_the_stop_ends_is_refused() {
    use std::io::{Read, Write};
    let deployment = Deployment::start().await;
    let mut node = start_node(&deployment, "node-1").await;
    let mut stream = std::net::TcpStream::connect(node.caller.address).expect("a connection");
    let head = format!(
        "POST {UNSAFE_PATH} HTTP/1.1\r\nHost: {HOST}\r\nX-Sablebay-Request-Id: slow\r\n\
         X-Sablebay-Deadline-Ms: {}\r\nContent-Length: 100\r\n\r\nthe beginning",
        CALLER_TIMEOUT.as_millis()
    );
    stream.write_all(head.as_bytes()).expect("the request is sent");
    wait_until_in_flight(&node, 1).await;
    node.signal(Signal::TERM);
    let reading = tokio::task::spawn_blocking(move || {
        let mut answer = String::new();
        stream.read_to_string(&mut answer).map(|_| answer)
    });
    let answer = reading.await.expect("the task ends").expect("a complete answer");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(node.exit_code().await, Some(0), "no request was cut");
    assert_eq!(deployment.runs_of("slow"), 0);
}

/// Guards against a gatherer that keeps the shards of another node's request until it exits.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_answered_in_full_while_its_gatherer_stops() {
    let deployment = Deployment::start().await;
    let mut gatherer = start_node(&deployment, "gatherer").await;
    let root = NodeProcess::start_in("zone-b", "root", deployment.store.address, &[gatherer.peers]);
    root.wait_ready().await;
    crate::gathering::wait_until_delegated(&root).await;
    // Longer than the gatherer's stop, which therefore hands the shards back.
    deployment.shards.iter().for_each(|leaf| leaf.behave(LeafBehaviour::Slow(Duration::from_secs(3))));
    let calls: Vec<Call> = (0..4).map(|n| start_call(&root, GATHER_PATH, &format!("g-{n}"))).collect();
    wait_until_in_flight(&root, 1).await;
    gatherer.signal(Signal::TERM);
    for (number, call) in calls.into_iter().enumerate() {
        let answer = complete_answer(call).await;
        crate::support::check_gathered(&answer, &format!("g-{number}"));
        assert_eq!(answer.missing, 0);
    }
    assert_eq!(gatherer.exit_code().await, Some(0), "no request was cut");
}

/// Whether a response is complete: its body has the length that its head states.
fn is_complete(response: &[u8]) -> bool {
    let Some(end) = response.windows(4).position(|window| window == b"\r\n\r\n") else {
        return false;
    };
    let head = String::from_utf8_lossy(&response[..end]).to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
    length == Some(response.len() - end - 4)
}

/// Guards against answers that a stop cuts on kept connections, whenever the next request is sent on them.
#[tokio::test(flavor = "multi_thread")]
async fn requests_on_kept_connections_are_answered_in_full_or_not_read() {
    use std::io::{Read, Write};
    const CONNECTIONS: usize = 24;
    let deployment = Deployment::start().await;
    let mut node = start_node(&deployment, "node-1").await;
    let request = |number: usize| {
        format!(
            "GET {UNSAFE_PATH} HTTP/1.1\r\nHost: {HOST}\r\nX-Sablebay-Request-Id: kept-{number}\r\n\
             X-Sablebay-Deadline-Ms: 5000\r\n\r\n"
        )
    };
    let open = |number: usize| {
        let mut stream = std::net::TcpStream::connect(node.caller.address).expect("a connection");
        stream.write_all(request(number).as_bytes()).expect("the request is sent");
        let mut response = Vec::new();
        while !is_complete(&response) {
            let mut part = [0; 1024];
            let length = stream.read(&mut part).expect("an answer");
            assert!(length > 0, "the connection is kept before the stop");
            response.extend_from_slice(&part[..length]);
        }
        stream
    };
    let streams: Vec<_> = (0..CONNECTIONS).map(open).collect();
    node.signal(Signal::TERM);
    for (number, mut stream) in streams.into_iter().enumerate() {
        tokio::time::sleep(Duration::from_millis(60)).await;
        // Fails on a connection that was closed as idle.
        let sent = stream.write_all(request(CONNECTIONS + number).as_bytes());
        let mut response = Vec::new();
        let read = stream.read_to_end(&mut response);
        let whole = is_complete(&response);
        assert!(whole || response.is_empty(), "{sent:?} {read:?} {}", String::from_utf8_lossy(&response));
        let head = String::from_utf8_lossy(&response).to_ascii_lowercase();
        assert!(!whole || head.contains("connection: close"), "the caller is told to use another connection");
    }
    assert_eq!(node.exit_code().await, Some(0), "no request was cut");
}
