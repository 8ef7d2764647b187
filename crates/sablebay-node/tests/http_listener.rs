//! Guards against requests lost while a listener closes, whether in the kernel's accept queue or on
//! an open connection.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use axum::Router;
use axum::http::header;
use axum::routing::get;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use sablebay_node::{
    Clock, ConnectionLimits, ListenerPhase, ResourceLimits, Resources, serve_callers, serve_http,
    serve_http_within,
};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: node\r\n\r\n";

async fn start() -> (SocketAddr, watch::Sender<ListenerPhase>, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let routes = Router::new().route("/", get(|| async { ([(header::CONNECTION, "close")], "served") }));
    let (listeners, phase) = watch::channel(ListenerPhase::Open);
    (address, listeners, tokio::spawn(serve_http(listener, routes, phase)))
}

/// Reads until the server closes the connection.
async fn read_to_end(mut stream: TcpStream) -> String {
    let reading = tokio::task::spawn_blocking(move || {
        let mut text = String::new();
        stream.read_to_string(&mut text).map(|_| text)
    });
    reading.await.unwrap().expect("the server closes the connection without an error")
}

/// Waits until the listener refuses new connections.
async fn wait_until_refused(address: SocketAddr) {
    loop {
        match TcpStream::connect(address) {
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => return,
            _ => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

#[tokio::test]
async fn a_connection_that_waits_to_be_accepted_is_served() {
    let (address, listeners, server) = start().await;
    tokio::task::yield_now().await;
    // The runtime is single-threaded: the server cannot accept before the listener is closed.
    let mut streams: Vec<TcpStream> = (0..20).map(|_| TcpStream::connect(address).unwrap()).collect();
    for stream in &mut streams {
        stream.write_all(REQUEST).unwrap();
    }
    listeners.send_replace(ListenerPhase::Closed);
    for stream in streams {
        assert!(read_to_end(stream).await.ends_with("served"));
    }
    server.await.unwrap();
}

#[tokio::test]
async fn a_request_on_an_open_connection_is_served_after_the_listener_closed() {
    let (address, listeners, server) = start().await;
    let mut silent = TcpStream::connect(address).unwrap();
    listeners.send_replace(ListenerPhase::Closed);
    wait_until_refused(address).await;
    silent.write_all(REQUEST).unwrap();
    assert!(read_to_end(silent).await.ends_with("served"));
    server.await.unwrap();
}

#[tokio::test]
async fn a_silent_connection_does_not_hold_the_end_up() {
    let (address, listeners, server) = start().await;
    let silent = TcpStream::connect(address).unwrap();
    listeners.send_replace(ListenerPhase::Closed);
    wait_until_refused(address).await;
    listeners.send_replace(ListenerPhase::Ended);
    server.await.unwrap();
    assert_eq!(read_to_end(silent).await, "");
}

/// Large enough that the client's and the server's socket buffers cannot hold it.
const LARGE_ANSWER_BYTES: usize = 64 << 20;

/// Guards against the idle timeout running while a client reads a large answer slowly.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_read_slowly_arrives_whole() {
    const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let routes = Router::new().route("/", get(|| async { vec![7_u8; LARGE_ANSWER_BYTES] }));
    let (_listeners, phase) = watch::channel(ListenerPhase::Open);
    let limits = || ConnectionLimits { idle_timeout: IDLE_TIMEOUT, ..ConnectionLimits::default() };
    tokio::spawn(serve_http_within(listener, routes, phase, limits));
    let reading = tokio::task::spawn_blocking(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(REQUEST).unwrap();
        let mut received = 0;
        let mut buffer = vec![0; 1 << 20];
        let started = Instant::now();
        while received < LARGE_ANSWER_BYTES {
            if started.elapsed() < 2 * IDLE_TIMEOUT {
                std::thread::sleep(IDLE_TIMEOUT / 20);
            }
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(length) => received += length,
            }
        }
        received
    });
    assert!(reading.await.unwrap() >= LARGE_ANSWER_BYTES, "the answer was cut");
}

/// Guards against a reset that destroys an early answer because part of the request was left unread.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_a_request_that_is_still_being_sent_arrives() {
    const BODY_BYTES: usize = 1 << 20;
    let (address, _listeners, _server) = start().await;
    let mut stream = TcpStream::connect(address).unwrap();
    let head = format!("GET / HTTP/1.1\r\nhost: node\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    // The answer has arrived, and the client, which has not read it, goes on sending.
    while stream.peek(&mut [0]).unwrap_or(0) == 0 {
        tokio::task::yield_now().await;
    }
    for part in [7; BODY_BYTES].chunks(BODY_BYTES / 8) {
        stream.write_all(part).expect("the server still takes the request");
    }
    assert!(read_to_end(stream).await.ends_with("served"));
}

/// Guards against connections that are never used and keep others out.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_make_room_for_new_ones() {
    const CONNECTIONS: usize = 16;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let routes = Router::new().route("/", get(|| async { ([(header::CONNECTION, "close")], "served") }));
    let (_listeners, phase) = watch::channel(ListenerPhase::Open);
    let limits = ResourceLimits { connections: CONNECTIONS, ..ResourceLimits::unlimited() };
    let resources = Resources::new(limits, Clock::start());
    let serving = serve_callers(listener, routes, phase, ConnectionLimits::default, resources.clone());
    tokio::spawn(serving);
    let _silent: Vec<_> = (0..4 * CONNECTIONS).map(|_| TcpStream::connect(address).unwrap()).collect();
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(REQUEST).unwrap();
    assert!(read_to_end(stream).await.ends_with("served"));
    assert!(resources.connections() <= CONNECTIONS);
}
