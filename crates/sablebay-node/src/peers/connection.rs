//! Connections to peers: the sending side, and the reader and writer tasks.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, mpsc};

use sablebay_fleet::{FleetMessage, MemberInfo};
use sablebay_protocol::peer::{PeerMessage, PeerRequest, PeerResponse};

use super::handshake::{MessageReader, MessageWriter, handshake};
use super::{Incoming, PeerContext};
use crate::traffic::{TrafficKind, TrafficSpan};

/// Maximum number of queued messages; further messages are dropped.
const QUEUE_LENGTH: usize = 8_192;

/// How long a large answer may hold its permit, so that a stalled peer does not block answers to others.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(300);

/// A queued message.
#[derive(Debug)]
pub struct Outgoing {
    pub message: PeerMessage,
    /// The permit of a large answer; released once the answer is written.
    pub permit: Option<OwnedSemaphorePermit>,
}

impl From<PeerMessage> for Outgoing {
    fn from(message: PeerMessage) -> Self {
        Self { message, permit: None }
    }
}

/// A reply to a request.
#[derive(Debug)]
pub enum PeerReply {
    /// A part of the answer; more parts follow.
    Progress(PeerResponse),
    /// The answer, or its last part.
    Answer(PeerResponse),
}

type Pending = Arc<Mutex<HashMap<u64, mpsc::UnboundedSender<PeerReply>>>>;

/// The sending side of a connection.
pub struct Connection {
    queue: mpsc::Sender<Outgoing>,
    pending: Pending,
    open: Arc<AtomicBool>,
    last_used: Mutex<Instant>,
}

/// The pending answer to a request. Dropping it before the answer arrives cancels the request.
pub struct PendingAnswer {
    number: u64,
    receiver: mpsc::UnboundedReceiver<PeerReply>,
    pending: Pending,
    queue: mpsc::Sender<Outgoing>,
}

impl PendingAnswer {
    /// The next reply; `None` after the answer or when the connection failed.
    pub async fn next(&mut self) -> Option<PeerReply> {
        self.receiver.recv().await
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        // An answered request is no longer pending.
        if self.pending.lock().remove(&self.number).is_some() {
            // If the queue is full, the cancellation is lost and the peer finishes the request.
            let _ = self.queue.try_send(PeerMessage::Cancel { number: self.number }.into());
        }
    }
}

impl Connection {
    /// Whether messages can still be sent.
    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::Acquire)
    }

    /// Whether nothing was sent for `limit` and no request is pending.
    pub fn is_idle(&self, limit: Duration) -> bool {
        self.pending.lock().is_empty() && self.last_used.lock().elapsed() >= limit
    }

    fn put(&self, message: PeerMessage) -> bool {
        *self.last_used.lock() = Instant::now();
        self.queue.try_send(message.into()).is_ok()
    }

    /// Queues a fleet message; false when it was dropped.
    pub fn send_fleet(&self, message: FleetMessage) -> bool {
        self.put(PeerMessage::Fleet(message))
    }

    /// Queues a request; `None` when it was not sent.
    pub fn request(&self, number: u64, request: PeerRequest) -> Option<PendingAnswer> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.pending.lock().insert(number, sender);
        if !self.is_open() || !self.put(PeerMessage::Request { number, request }) {
            self.pending.lock().remove(&number);
            return None;
        }
        let pending = self.pending.clone();
        Some(PendingAnswer { number, receiver, pending, queue: self.queue.clone() })
    }
}

/// Timeout of the first connection attempt; doubled for each further attempt.
pub(super) const FIRST_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(100);

/// Connects to a machine that may still be starting. Retries early, since the kernel retransmits an unanswered SYN
/// only after a second.
pub(super) async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let mut timeout = FIRST_ATTEMPT_TIMEOUT;
    loop {
        if let Ok(connected) = tokio::time::timeout(timeout, TcpStream::connect(address)).await {
            return connected.ok();
        }
        timeout *= 2;
    }
}

/// Opens a connection and starts its tasks. Retries without limit while the peer does not answer.
pub async fn open_connection(context: &Arc<PeerContext>, address: SocketAddr) -> Option<Arc<Connection>> {
    let stream = connect(address).await?;
    let (info, reader, writer) = handshake(context, stream).await?;
    let (queue, receiver) = mpsc::channel(QUEUE_LENGTH);
    let connection = Arc::new(Connection {
        queue,
        pending: Pending::default(),
        open: Arc::new(AtomicBool::new(true)),
        last_used: Mutex::new(Instant::now()),
    });
    let span = TrafficSpan::between(&context.info.zone, &info.zone);
    tokio::spawn(run_writer(context.clone(), writer, receiver, span));
    tokio::spawn(run_reader(context.clone(), reader, info, connection.clone()));
    Some(connection)
}

/// Writes queued messages in batches until the queue or the connection is closed.
pub async fn run_writer(
    context: Arc<PeerContext>,
    mut writer: MessageWriter,
    mut queue: mpsc::Receiver<Outgoing>,
    span: TrafficSpan,
) {
    const MESSAGES_PER_WRITE: usize = 64;
    let mut messages = Vec::new();
    while queue.recv_many(&mut messages, MESSAGES_PER_WRITE).await > 0 {
        let mut put = Vec::with_capacity(messages.len());
        let mut permits = Vec::new();
        for Outgoing { message, permit } in messages.drain(..) {
            permits.extend(permit);
            match writer.put(&message) {
                Ok(bytes) => put.push((TrafficKind::of(&message), bytes as u64)),
                Err(error) => log::warn!("peer: a message was not sent: {error}."),
            }
        }
        for (kind, bytes) in &put {
            context.traffic.sent(*kind, span, *bytes);
            context.traffic.queued(*kind, span, *bytes);
        }
        let flushed = flush(&mut writer, permits).await;
        for (kind, bytes) in &put {
            context.traffic.unqueued(*kind, span, *bytes);
        }
        if flushed.is_err() {
            return;
        }
    }
}

/// Flushes the writer; releases the permits of large answers when done or after `PERMIT_TIMEOUT`.
async fn flush(writer: &mut MessageWriter, permits: Vec<OwnedSemaphorePermit>) -> std::io::Result<()> {
    if permits.is_empty() {
        return writer.flush().await;
    }
    let mut flushing = std::pin::pin!(writer.flush());
    if let Ok(flushed) = tokio::time::timeout(PERMIT_TIMEOUT, flushing.as_mut()).await {
        return flushed;
    }
    drop(permits);
    flushing.await
}

/// Reads answers and fleet messages on a connection that this node opened.
async fn run_reader(
    context: Arc<PeerContext>,
    mut reader: MessageReader,
    peer: MemberInfo,
    connection: Arc<Connection>,
) {
    while let Some(message) = reader.next(&context).await {
        match message {
            PeerMessage::Response { number, response } => {
                if let Some(sender) = connection.pending.lock().remove(&number) {
                    // The requester may have dropped the receiver meanwhile.
                    let _ = sender.send(PeerReply::Answer(response));
                }
            }
            PeerMessage::Progress { number, response } => {
                if let Some(sender) = connection.pending.lock().get(&number) {
                    let _ = sender.send(PeerReply::Progress(response));
                }
            }
            PeerMessage::Fleet(message) => deliver(&context, &peer, message).await,
            PeerMessage::Greeting(_) | PeerMessage::Request { .. } | PeerMessage::Cancel { .. } => {}
        }
    }
    connection.open.store(false, Ordering::Release);
    connection.pending.lock().clear();
}

/// Passes a fleet message to the node's queue.
pub async fn deliver(context: &PeerContext, peer: &MemberInfo, message: FleetMessage) {
    let incoming = Incoming { from: peer.key.clone(), address: peer.peer_address, message };
    // Fails only when the node has stopped.
    let _ = context.incoming.send(incoming).await;
}
