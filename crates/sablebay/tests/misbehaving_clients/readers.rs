//! Large answers that many clients read slowly, or not at all.

use std::time::Duration;

use sablebay_platform_standin::LeafBehaviour;

use crate::crowd::{Crowd, connect_with_small_buffer, gather_crowd, head, read_up_to, send_in_pieces};
use crate::support::{HOST, SAFE_PATH};
use crate::trial::Trial;

const CLIENTS: usize = 200;
const ANSWER_BYTES: usize = 4 << 20;
/// The bytes of an answer that a client reads before it stops.
const FIRST_BYTES: usize = 256;

/// Starts a node whose back ends answer with this many bytes.
async fn start_with_answers(bytes: usize) -> Trial {
    let trial = Trial::start().await;
    for leaf in &trial.deployment.singles {
        leaf.behave(LeafBehaviour::Large(bytes));
    }
    trial
}

/// Back to ordinary answers, as those of the checks.
fn answer_ordinarily(trial: &Trial) {
    for leaf in &trial.deployment.singles {
        leaf.behave(LeafBehaviour::Answer);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn large_answers_that_nobody_reads() {
    let mut trial = start_with_answers(ANSWER_BYTES).await;
    let address = trial.node.caller.address;
    let crowd: Crowd = gather_crowd(CLIENTS, |number| async move {
        let mut stream = connect_with_small_buffer(address).await?;
        let request = head("GET", SAFE_PATH, &format!("crowd-{number}"), &[]);
        send_in_pieces(&mut stream, request.as_bytes(), usize::MAX).await;
        read_up_to(&mut stream, FIRST_BYTES).await;
        Ok(stream)
    })
    .await;
    answer_ordinarily(&trial);
    trial.check_beside(crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn large_answers_that_are_read_slowly() {
    /// Read at once, after each pause.
    const PIECE_BYTES: usize = 256;
    const PAUSE: Duration = Duration::from_millis(100);
    const PIECES: usize = 40;
    let mut trial = start_with_answers(ANSWER_BYTES).await;
    let address = trial.node.caller.address;
    let crowd: Crowd = gather_crowd(CLIENTS, |number| async move {
        let mut stream = connect_with_small_buffer(address).await?;
        let request = head("GET", SAFE_PATH, &format!("crowd-{number}"), &[]);
        send_in_pieces(&mut stream, request.as_bytes(), usize::MAX).await;
        for _ in 0..PIECES {
            // A refusal is shorter than that.
            let _ = tokio::time::timeout(PAUSE, read_up_to(&mut stream, PIECE_BYTES)).await;
            tokio::time::sleep(PAUSE).await;
        }
        Ok(stream)
    })
    .await;
    answer_ordinarily(&trial);
    trial.check_beside(crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_requests_in_a_row_whose_answers_nobody_reads() {
    const REQUESTS: usize = 40;
    let mut trial = start_with_answers(1 << 20).await;
    let address = trial.node.caller.address;
    let crowd: Crowd = gather_crowd(CLIENTS, |number| async move {
        let mut stream = connect_with_small_buffer(address).await?;
        let requests: String = (0..REQUESTS)
            .map(|request| head("GET", SAFE_PATH, &format!("crowd-{number}-{request}"), &[]))
            .collect();
        send_in_pieces(&mut stream, requests.as_bytes(), usize::MAX).await;
        read_up_to(&mut stream, FIRST_BYTES).await;
        Ok(stream)
    })
    .await;
    answer_ordinarily(&trial);
    trial.check_beside(crowd).await;
}

/// In calm, an answer is whole however slowly its client reads.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_answer_that_one_client_reads_slowly_is_whole() {
    use tokio::io::AsyncReadExt;
    const PAUSES: usize = 20;
    const PAUSE: Duration = Duration::from_millis(100);
    let mut trial = start_with_answers(ANSWER_BYTES).await;
    let mut stream = connect_with_small_buffer(trial.node.caller.address).await.expect("a connection");
    let request = format!(
        "GET {SAFE_PATH} HTTP/1.1\r\nHost: {HOST}\r\nX-Sablebay-Request-Id: slow\r\nConnection: close\r\n\r\n"
    );
    send_in_pieces(&mut stream, request.as_bytes(), usize::MAX).await;
    let mut received = 0;
    for _ in 0..PAUSES {
        received += read_up_to(&mut stream, FIRST_BYTES).await;
        tokio::time::sleep(PAUSE).await;
    }
    let mut rest = Vec::new();
    received += stream.read_to_end(&mut rest).await.expect("the rest of the answer");
    assert!(received > ANSWER_BYTES, "the answer was cut");
    trial.check_machine();
}
