//! Connecting to machines that are starting.

use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::CONNECT_TIMEOUT;
use super::connection::{FIRST_ATTEMPT_TIMEOUT, connect};

/// A listener with a full backlog, so that the kernel silently drops SYN packets.
async fn full_listener() -> (TcpListener, TcpStream) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let listener = socket.listen(0).expect("a listener");
    let first = TcpStream::connect(listener.local_addr().expect("its address")).await;
    (listener, first.expect("room for one"))
}

/// Guards against waiting a second for the kernel to retransmit a dropped SYN when nodes start at the same time.
#[tokio::test]
async fn a_machine_that_missed_the_first_call_is_reached_before_the_attempt_is_given_up() {
    let (listener, _first) = full_listener().await;
    let address = listener.local_addr().expect("its address");
    let attempt = tokio::spawn(tokio::time::timeout(CONNECT_TIMEOUT, connect(address)));
    tokio::time::sleep(FIRST_ATTEMPT_TIMEOUT / 2).await;
    listener.accept().await.expect("the first connection");
    let connected = attempt.await.expect("the attempt ends");
    assert!(connected.is_ok_and(|stream| stream.is_some()), "it was reached");
}
