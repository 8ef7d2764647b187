//! More connections than a node has descriptors, and heads without an end.

use tokio::io::AsyncWriteExt;

use crate::crowd::{Crowd, CrowdBody, Framing, connect, gather_crowd, head, send_bodies, send_in_pieces};
use crate::support::SAFE_PATH;
use crate::trial::{LIMITS, Trial};

/// Descriptors of a node that is to run out of them.
const FEW_DESCRIPTORS: u64 = 256;
/// Clients of a crowd that is larger than that.
const CLIENTS: usize = 600;

async fn check_readiness(trial: &Trial) {
    trial.node.wait_ready().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_beyond_the_descriptors() {
    let mut trial = Trial::start_with_descriptors(FEW_DESCRIPTORS).await;
    let address = trial.node.caller.address;
    let crowd: Crowd = gather_crowd(CLIENTS, |_| connect(address)).await;
    check_readiness(&trial).await;
    trial.check_beside(crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn small_bodies_that_stop_short_beyond_the_descriptors() {
    let mut trial = Trial::start_with_descriptors(FEW_DESCRIPTORS).await;
    let body = CrowdBody { bytes: 4_000, framing: Framing::Length, piece_bytes: usize::MAX, is_whole: false };
    let crowd = send_bodies(trial.node.caller.address, CLIENTS, SAFE_PATH, body).await;
    check_readiness(&trial).await;
    trial.check_beside(crowd).await;
}

/// Clients that were served once, and keep their connections.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_beyond_the_descriptors() {
    let mut trial = Trial::start_with_descriptors(FEW_DESCRIPTORS).await;
    let address = trial.node.caller.address;
    let crowd: Crowd = gather_crowd(CLIENTS, |number| async move {
        let mut stream = connect(address).await?;
        let request = head("GET", SAFE_PATH, &format!("crowd-{number}"), &[]);
        send_in_pieces(&mut stream, request.as_bytes(), usize::MAX).await;
        Ok(stream)
    })
    .await;
    check_readiness(&trial).await;
    trial.check_beside(crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_the_own_api_beyond_the_descriptors() {
    let mut trial = Trial::start_with_descriptors(FEW_DESCRIPTORS).await;
    let address = trial.node.own_callers;
    let crowd: Crowd = gather_crowd(CLIENTS, |_| connect(address)).await;
    check_readiness(&trial).await;
    trial.check_beside(crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_the_readiness_check_beyond_the_descriptors() {
    let mut trial = Trial::start_with_descriptors(FEW_DESCRIPTORS).await;
    let address = trial.node.readiness;
    let crowd: Crowd = gather_crowd(CLIENTS, |_| connect(address)).await;
    trial.check_beside(crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_the_admin_api_beyond_the_descriptors() {
    let mut trial = Trial::start_with_descriptors(FEW_DESCRIPTORS).await;
    let address = trial.node.admin;
    let crowd: Crowd = gather_crowd(CLIENTS, |_| connect(address)).await;
    check_readiness(&trial).await;
    trial.check_beside(crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_the_peers_address_beyond_the_descriptors() {
    let mut trial = Trial::start_with_descriptors(FEW_DESCRIPTORS).await;
    let address = trial.node.peers;
    let crowd: Crowd = gather_crowd(CLIENTS, |_| connect(address)).await;
    check_readiness(&trial).await;
    trial.check_beside(crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end() {
    /// As many as a machine has descriptors for, and more.
    const HEADS: usize = 4_200;
    /// Of the head that is sent. Below the limit, so that it is no error yet.
    const HEAD_BYTES: usize = 15_000;
    const _: () = assert!(HEAD_BYTES < LIMITS.header_bytes);
    let mut trial = Trial::start().await;
    let address = trial.node.caller.address;
    let crowd: Crowd = gather_crowd(HEADS, |number| async move {
        let mut stream = connect(address).await?;
        let line = format!("X-Long: {}", "x".repeat(HEAD_BYTES));
        let mut request = head("GET", SAFE_PATH, &format!("crowd-{number}"), &[&line]);
        request.truncate(HEAD_BYTES);
        send_in_pieces(&mut stream, request.as_bytes(), usize::MAX).await;
        Ok(stream)
    })
    .await;
    trial.check_beside(crowd).await;
}

/// Clients that send these bytes and wait for an answer.
async fn check_bytes(bytes: &'static [u8], closes_its_side: bool) {
    const TALKERS: usize = 200;
    let mut trial = Trial::start().await;
    let address = trial.node.caller.address;
    let crowd: Crowd = gather_crowd(TALKERS, |_| async move {
        let mut stream = connect(address).await?;
        send_in_pieces(&mut stream, bytes, usize::MAX).await;
        if closes_its_side {
            stream.shutdown().await?;
        }
        Ok(stream)
    })
    .await;
    trial.check_beside(crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn prefaces_of_another_protocol() {
    check_bytes(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0", false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_for_an_upgrade() {
    check_bytes(
        b"GET /one/1 HTTP/1.1\r\nHost: desk.example\r\nX-Sablebay-Request-Id: upgrade\r\n\
          Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
        false,
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn half_closed_connections() {
    check_bytes(
        b"POST /one/1 HTTP/1.1\r\nHost: desk.example\r\nX-Sablebay-Request-Id: half\r\n\
          Content-Length: 4000\r\n\r\nx",
        true,
    )
    .await;
}
