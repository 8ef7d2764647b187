//! Many bodies of legal size at once.

use std::time::Duration;

use sablebay_platform_standin::LeafBehaviour;

use crate::crowd::{Crowd, CrowdBody, Framing, connect, gather_crowd, head, send_bodies, send_in_pieces};
use crate::support::{GATHER_PATH, SAFE_PATH};
use crate::trial::{LIMITS, Trial};

const CLIENTS: usize = 800;
/// Clients that send chunks of one byte, which take far more than their bytes.
const TINY_CHUNK_CLIENTS: usize = 200;
const PIECE_BYTES: usize = 1_024;

/// A body of the largest size that stops just short of its end.
const SHORT: CrowdBody = CrowdBody {
    bytes: LIMITS.body_bytes,
    framing: Framing::Length,
    piece_bytes: usize::MAX,
    is_whole: false,
};

async fn check_bodies(clients: usize, path: &'static str, body: CrowdBody) {
    let mut trial = Trial::start().await;
    let crowd = send_bodies(trial.node.caller.address, clients, path, body).await;
    trial.check_beside(crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_short() {
    check_bodies(CLIENTS, SAFE_PATH, SHORT).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_small_pieces_that_stop_short() {
    check_bodies(CLIENTS, SAFE_PATH, CrowdBody { piece_bytes: PIECE_BYTES, ..SHORT }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_a_gathered_route_that_stop_short() {
    check_bodies(CLIENTS, GATHER_PATH, CrowdBody { piece_bytes: PIECE_BYTES, ..SHORT }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_large_chunks_that_stop_short() {
    check_bodies(CLIENTS, SAFE_PATH, CrowdBody { framing: Framing::Chunks(16_384), ..SHORT }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_chunks_of_one_byte_that_stop_short() {
    let body = CrowdBody { bytes: 64_000, framing: Framing::Chunks(1), ..SHORT };
    check_bodies(TINY_CHUNK_CLIENTS, SAFE_PATH, body).await;
}

/// Checks whole bodies, all of which wait for back ends that are slower than the crowd.
async fn check_whole_bodies(path: &'static str, framing: Framing) {
    const WORK: Duration = Duration::from_millis(500);
    let mut trial = Trial::start().await;
    for leaf in trial.deployment.leaves() {
        leaf.behave(LeafBehaviour::Slow(WORK));
    }
    let body = CrowdBody { framing, is_whole: true, ..SHORT };
    let crowd = send_bodies(trial.node.caller.address, CLIENTS, path, body).await;
    trial.check_beside(crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_at_once() {
    check_whole_bodies(SAFE_PATH, Framing::Length).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_of_a_gathered_route_at_once() {
    check_whole_bodies(GATHER_PATH, Framing::Length).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_in_large_chunks_at_once() {
    check_whole_bodies(SAFE_PATH, Framing::Chunks(16_384)).await;
}

/// Guards against memory that is never used again: three crowds take no more than one may.
#[tokio::test(flavor = "multi_thread")]
async fn crowds_one_after_the_other() {
    let mut trial = Trial::start().await;
    let address = trial.node.caller.address;
    let pieces = CrowdBody { piece_bytes: PIECE_BYTES, ..SHORT };
    for body in [pieces, CrowdBody { is_whole: true, ..SHORT }, pieces] {
        let crowd = send_bodies(address, CLIENTS, SAFE_PATH, body).await;
        trial.check_beside(crowd).await;
    }
}

/// Clients that go on sending a byte at a time, so that each of them makes progress.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_go_on_a_byte_at_a_time() {
    let mut trial = Trial::start().await;
    let address = trial.node.caller.address;
    let crowd: Crowd = gather_crowd(CLIENTS, |number| async move {
        let mut stream = connect(address).await?;
        let mut request = SHORT.request(SAFE_PATH, &format!("crowd-{number}"));
        let rest = request.split_off(request.len() - 2_000);
        send_in_pieces(&mut stream, &request, usize::MAX).await;
        send_in_pieces(&mut stream, &rest, 1).await;
        Ok(stream)
    })
    .await;
    trial.check_beside(crowd).await;
}

/// Clients that ask whether they may send their body, and then say nothing.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_are_announced_and_never_sent() {
    let mut trial = Trial::start().await;
    let address = trial.node.caller.address;
    let crowd: Crowd = gather_crowd(CLIENTS, |number| async move {
        let mut stream = connect(address).await?;
        let length = format!("Content-Length: {}", LIMITS.body_bytes);
        let lines = ["Expect: 100-continue", &length];
        let request = head("POST", SAFE_PATH, &format!("crowd-{number}"), &lines);
        send_in_pieces(&mut stream, request.as_bytes(), usize::MAX).await;
        Ok(stream)
    })
    .await;
    trial.check_beside(crowd).await;
}

/// A crowd keeps no node from a planned stop.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_short_during_a_planned_stop() {
    let mut trial = Trial::start().await;
    let crowd = send_bodies(trial.node.caller.address, CLIENTS, SAFE_PATH, SHORT).await;
    trial.check_ordinary_request("before").await;
    trial.check_machine();
    trial.node.signal(rustix::process::Signal::TERM);
    assert_eq!(trial.node.exit_code().await, Some(0));
    drop(crowd);
}
