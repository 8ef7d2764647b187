//! Connections between nodes.
//!
//! A connection carries one-way fleet messages and numbered requests in both directions. Control and
//! data use separate connections, so that a large result never delays a probe.

mod connection;
#[cfg(test)]
mod connection_tests;
mod handshake;
mod listener;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Semaphore, mpsc};

use sablebay_fleet::{FleetMessage, MemberInfo};
use sablebay_model::{FleetName, InstanceKey, Refusal};
use sablebay_protocol::peer::{PeerMessage, PeerRequest, PeerResponse};

use crate::traffic::TrafficLedger;

use connection::{Connection, Outgoing, open_connection};

pub use connection::{PeerReply, PendingAnswer};

pub use listener::run_listener;

/// Whether a connection carries control traffic or queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lane {
    /// Membership, configuration, claims.
    Control,
    /// Searches on another node's behalf.
    Data,
}

/// A received fleet message.
#[derive(Debug)]
pub struct Incoming {
    /// The sender.
    pub from: InstanceKey,
    /// The sender's peer listener.
    pub address: SocketAddr,
    pub message: FleetMessage,
}

/// Why a request to a peer failed.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerFailure {
    /// No part of the request can have reached the peer.
    NotSent,
    /// The connection failed after the request was sent.
    Broken,
    /// The deadline passed without an answer.
    TimedOut,
    /// The peer refused the request without running it.
    Refused(Refusal),
}

/// Sends partial results of a request to the peer before the answer.
pub struct ProgressSender {
    number: u64,
    answers: mpsc::Sender<Outgoing>,
}

impl ProgressSender {
    /// Sends a part of the answer, waiting for space in the connection's queue.
    pub async fn send(&self, response: PeerResponse) {
        // Fails only when the connection is closed.
        let _ = self.answers.send(PeerMessage::Progress { number: self.number, response }.into()).await;
    }
}

/// Answers requests of peers.
pub trait RequestHandler: Send + Sync + 'static {
    /// Answers one request. The future is dropped when the peer cancels the request.
    fn handle(
        self: Arc<Self>,
        from: InstanceKey,
        request: PeerRequest,
        progress: ProgressSender,
    ) -> impl Future<Output = PeerResponse> + Send;
}

/// Rejected frames and dropped messages, by cause.
#[derive(Debug, Default)]
pub struct PeerCounters {
    /// Frames whose proof of the fleet's key is wrong.
    pub wrong_proof: AtomicU64,
    /// Malformed or oversized frames.
    pub malformed: AtomicU64,
    /// Messages dropped because a peer's queue was full or its connection was closed.
    pub dropped: AtomicU64,
}

/// State shared by all connections of this node.
pub struct PeerContext {
    pub fleet: FleetName,
    /// The fleet's shared key.
    pub secret: String,
    pub info: MemberInfo,
    /// Queue of received fleet messages.
    pub incoming: mpsc::Sender<Incoming>,
    pub counters: PeerCounters,
    /// Bytes of all connections, by kind.
    pub traffic: TrafficLedger,
    /// Limits the large answers being written at the same time.
    pub large_answers: Arc<Semaphore>,
}

/// Maximum number of large answers, of one chunk each, being written at the same time; bounds the delay of other
/// messages on a slow link.
const MAXIMUM_LARGE_ANSWERS: usize = 4;

pub fn large_answer_permits() -> Arc<Semaphore> {
    Arc::new(Semaphore::new(MAXIMUM_LARGE_ANSWERS))
}

/// How long a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of connections from which idle ones are closed.
const MAXIMUM_CONNECTIONS: usize = 512;
/// How long a connection without traffic counts as active.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

type Slot = Arc<tokio::sync::Mutex<Option<Arc<Connection>>>>;

/// Sends messages and requests to peers by address.
pub struct PeerTransport {
    context: Arc<PeerContext>,
    slots: Mutex<HashMap<(SocketAddr, Lane), Slot>>,
    next_request: AtomicU64,
}

impl PeerTransport {
    pub fn new(context: Arc<PeerContext>) -> Self {
        Self { context, slots: Mutex::default(), next_request: AtomicU64::new(1) }
    }

    pub fn counters(&self) -> &PeerCounters {
        &self.context.counters
    }

    pub fn traffic(&self) -> &TrafficLedger {
        &self.context.traffic
    }

    fn slot(&self, address: SocketAddr, lane: Lane) -> Slot {
        let mut slots = self.slots.lock();
        if slots.len() >= MAXIMUM_CONNECTIONS {
            slots.retain(|_, slot| {
                slot.try_lock().map_or(true, |open| open.as_ref().is_some_and(|c| !c.is_idle(IDLE_TIMEOUT)))
            });
        }
        slots.entry((address, lane)).or_default().clone()
    }

    async fn connection(&self, address: SocketAddr, lane: Lane) -> Option<Arc<Connection>> {
        let slot = self.slot(address, lane);
        let mut held = slot.lock().await;
        if let Some(connection) = held.as_ref().filter(|connection| connection.is_open()) {
            return Some(connection.clone());
        }
        let opening = open_connection(&self.context, address);
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, opening).await.ok()??;
        *held = Some(connection.clone());
        Some(connection)
    }

    /// Sends a fleet message without delivery guarantee.
    pub fn send(self: &Arc<Self>, address: SocketAddr, message: FleetMessage) {
        let transport = self.clone();
        tokio::spawn(async move {
            let connection = transport.connection(address, Lane::Control).await;
            let sent = connection.is_some_and(|connection| connection.send_fleet(message));
            if !sent {
                transport.context.counters.dropped.fetch_add(1, Ordering::Relaxed);
            }
        });
    }

    /// Sends a request and waits for its answer.
    ///
    /// # Errors
    /// [`PeerFailure`], which tells whether the peer may have run the request.
    pub async fn request(
        &self,
        address: SocketAddr,
        lane: Lane,
        request: PeerRequest,
        until: tokio::time::Instant,
    ) -> Result<PeerResponse, PeerFailure> {
        let mut answer = self.open_request(address, lane, request, until).await?;
        loop {
            match tokio::time::timeout_at(until, answer.next()).await {
                Ok(Some(PeerReply::Progress(_))) => {}
                Ok(Some(PeerReply::Answer(PeerResponse::Refused(refusal)))) => {
                    return Err(PeerFailure::Refused(refusal));
                }
                Ok(Some(PeerReply::Answer(response))) => return Ok(response),
                Ok(None) => return Err(PeerFailure::Broken),
                Err(_) => return Err(PeerFailure::TimedOut),
            }
        }
    }

    /// Sends a request whose answer may arrive in parts.
    ///
    /// # Errors
    /// [`PeerFailure::NotSent`] when the request could not be queued on a connection in time.
    pub async fn open_request(
        &self,
        address: SocketAddr,
        lane: Lane,
        request: PeerRequest,
        until: tokio::time::Instant,
    ) -> Result<PendingAnswer, PeerFailure> {
        let connecting = tokio::time::timeout_at(until, self.connection(address, lane)).await;
        let connection = connecting.ok().flatten().ok_or(PeerFailure::NotSent)?;
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        connection.request(number, request).ok_or(PeerFailure::NotSent)
    }
}
