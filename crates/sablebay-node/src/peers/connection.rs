//! One connection that this node opened, or accepted.

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

/// Messages that wait to be written at the most; more are dropped.
const QUEUE_LENGTH: usize = 8_192;

/// How long a large answer may keep others waiting: a peer that takes nothing any more holds nobody up.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(300);

/// A message that waits to be written.
#[derive(Debug)]
pub struct Outgoing {
    /// The message.
    pub message: PeerMessage,
    /// Its part of what large answers may take of the link; given back once it is written.
    pub permit: Option<OwnedSemaphorePermit>,
}

impl From<PeerMessage> for Outgoing {
    fn from(message: PeerMessage) -> Self {
        Self { message, permit: None }
    }
}

/// What a peer says to a request.
#[derive(Debug)]
pub enum PeerReply {
    /// A part of the answer; more will come.
    Progress(PeerResponse),
    /// The answer, or the last part of it.
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

/// The answer to a request; cancels the request when it is dropped before the answer came.
pub struct PendingAnswer {
    number: u64,
    receiver: mpsc::UnboundedReceiver<PeerReply>,
    pending: Pending,
    queue: mpsc::Sender<Outgoing>,
}

impl PendingAnswer {
    /// What the peer says next; nothing after the answer, and when the connection broke.
    pub async fn next(&mut self) -> Option<PeerReply> {
        self.receiver.recv().await
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        // An answered request is no longer pending.
        if self.pending.lock().remove(&self.number).is_some() {
            // A full queue loses the cancellation: the peer then works in vain, and no more.
            let _ = self.queue.try_send(PeerMessage::Cancel { number: self.number }.into());
        }
    }
}

impl Connection {
    /// Whether messages can still be sent.
    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::Acquire)
    }

    /// Whether nothing was sent for `limit`, and nothing is waited for.
    pub fn is_idle(&self, limit: Duration) -> bool {
        self.pending.lock().is_empty() && self.last_used.lock().elapsed() >= limit
    }

    fn put(&self, message: PeerMessage) -> bool {
        *self.last_used.lock() = Instant::now();
        self.queue.try_send(message.into()).is_ok()
    }

    /// Sends a fleet message; false when it was dropped.
    pub fn send_fleet(&self, message: FleetMessage) -> bool {
        self.put(PeerMessage::Fleet(message))
    }

    /// Sends a request; nothing when it was not sent.
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

/// How long the first attempt to reach a machine may take. Each further one may take twice as long, for machines far away.
pub(super) const FIRST_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(100);

/// Connects to a machine that may be starting. Where it is not there yet, nothing answers the opening packet, and the
/// kernel sends it again only after a second: a fleet that gets its power back at once would meet that much later.
pub(super) async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let mut timeout = FIRST_ATTEMPT_TIMEOUT;
    loop {
        if let Ok(connected) = tokio::time::timeout(timeout, TcpStream::connect(address)).await {
            return connected.ok();
        }
        timeout *= 2;
    }
}

/// Opens a connection and starts its tasks. Goes on trying until it is dropped where nothing answers.
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

/// Writes what is queued, as many messages at a time as there are.
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

/// Sends what was put, and gives the room of large answers back when that is done or takes long.
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
                    // The asker may have given up between the two lines.
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

/// Hands a fleet message on.
pub async fn deliver(context: &PeerContext, peer: &MemberInfo, message: FleetMessage) {
    let incoming = Incoming { from: peer.key.clone(), address: peer.peer_address, message };
    // The receiver ends with the node; what comes later is for nobody.
    let _ = context.incoming.send(incoming).await;
}
