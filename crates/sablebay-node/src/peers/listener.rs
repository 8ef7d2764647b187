//! Accepts connections of peers and answers their requests.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::AbortHandle;

use sablebay_protocol::peer::{PeerMessage, PeerRequest, PeerResponse};

use super::connection::{Outgoing, deliver, run_writer};
use super::handshake::handshake;
use super::{PeerContext, ProgressSender, RequestHandler};
use crate::traffic::TrafficSpan;

/// Maximum number of open accepted connections.
const MAXIMUM_ACCEPTED: usize = 8_192;
/// Maximum number of queued answers per connection.
const QUEUE_LENGTH: usize = 8_192;

/// Accepts connections until the task is dropped.
pub async fn run_listener<H: RequestHandler>(
    context: Arc<PeerContext>,
    listener: TcpListener,
    handler: Arc<H>,
) {
    let permits = Arc::new(Semaphore::new(MAXIMUM_ACCEPTED));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("peer: a connection was not accepted: {error}.");
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
                continue;
            }
        };
        let context = context.clone();
        let handler = handler.clone();
        tokio::spawn(async move {
            serve_peer(context, stream, handler).await;
            drop(permit);
        });
    }
}

async fn serve_peer<H: RequestHandler>(context: Arc<PeerContext>, stream: TcpStream, handler: Arc<H>) {
    let Some((peer, mut reader, writer)) = handshake(&context, stream).await else {
        return;
    };
    let (answers, receiver) = mpsc::channel(QUEUE_LENGTH);
    let span = TrafficSpan::between(&context.info.zone, &peer.zone);
    tokio::spawn(run_writer(context.clone(), writer, receiver, span));
    let running: Arc<Mutex<HashMap<u64, AbortHandle>>> = Arc::default();
    while let Some(message) = reader.next(&context).await {
        match message {
            PeerMessage::Fleet(message) => deliver(&context, &peer, message).await,
            PeerMessage::Request { number, request } => {
                let cancellable =
                    matches!(request, PeerRequest::PartialSearch(_) | PeerRequest::PartialGather(_));
                let answering = answer(
                    handler.clone(),
                    peer.key.clone(),
                    number,
                    request,
                    answers.clone(),
                    running.clone(),
                    context.large_answers.clone(),
                );
                let mut table = running.lock();
                let task = tokio::spawn(answering);
                if cancellable {
                    table.insert(number, task.abort_handle());
                }
            }
            PeerMessage::Cancel { number } => {
                if let Some(task) = running.lock().remove(&number) {
                    task.abort();
                }
            }
            PeerMessage::Greeting(_) | PeerMessage::Response { .. } | PeerMessage::Progress { .. } => {}
        }
    }
    // The connection is closed: cancel the peer's searches.
    for (_, task) in running.lock().drain() {
        task.abort();
    }
}

async fn answer<H: RequestHandler>(
    handler: Arc<H>,
    from: sablebay_model::InstanceKey,
    number: u64,
    request: PeerRequest,
    answers: mpsc::Sender<Outgoing>,
    running: Arc<Mutex<HashMap<u64, AbortHandle>>>,
    large_answers: Arc<Semaphore>,
) {
    let progress = ProgressSender { number, answers: answers.clone() };
    let response = handler.handle(from, request, progress).await;
    running.lock().remove(&number);
    // The semaphore is never closed.
    let permit = match &response {
        PeerResponse::DocumentChunk { .. } => large_answers.acquire_owned().await.ok(),
        _ => None,
    };
    // Fails only when the connection is closed.
    let _ = answers.send(Outgoing { message: PeerMessage::Response { number, response }, permit }).await;
}
