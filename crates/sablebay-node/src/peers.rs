//! Connections between nodes.
//!
//! One connection carries one-way fleet messages and numbered requests, both ways. Control and
//! data have connections of their own, so that a large result never delays a probe.

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

/// Whether a connection is for the fleet's own needs or for queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lane {
    /// Membership, configuration, claims.
    Control,
    /// Searches on another node's behalf.
    Data,
}

/// A fleet message that came in.
#[derive(Debug)]
pub struct Incoming {
    /// Who sent it.
    pub from: InstanceKey,
    /// Where that node listens.
    pub address: SocketAddr,
    /// The message.
    pub message: FleetMessage,
}

/// Why a request to a peer has no answer.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerFailure {
    /// No byte can have reached it.
    NotSent,
    /// The connection failed after the request was sent.
    Broken,
    /// No answer came in time.
    TimedOut,
    /// The peer refused it without running it.
    Refused(Refusal),
}

/// Tells a peer how far its request is, before the answer.
pub struct ProgressSender {
    number: u64,
    answers: mpsc::Sender<Outgoing>,
}

impl ProgressSender {
    /// Sends a part of the answer. It waits for room in the peer's queue.
    pub async fn send(&self, response: PeerResponse) {
        // A peer that is gone wants no answer.
        let _ = self.answers.send(PeerMessage::Progress { number: self.number, response }.into()).await;
    }
}

/// Answers requests of peers.
pub trait RequestHandler: Send + Sync + 'static {
    /// Answers one request. Dropped when the peer cancels it.
    fn handle(
        self: Arc<Self>,
        from: InstanceKey,
        request: PeerRequest,
        progress: ProgressSender,
    ) -> impl Future<Output = PeerResponse> + Send;
}

/// Frames that were turned away, by cause.
#[derive(Debug, Default)]
pub struct PeerCounters {
    /// Wrong proof of the fleet's key.
    pub wrong_proof: AtomicU64,
    /// Malformed or oversized.
    pub malformed: AtomicU64,
    /// Messages dropped because a peer's queue was full or its connection was closed.
    pub dropped: AtomicU64,
}

/// What every connection of this node needs.
pub struct PeerContext {
    /// The fleet.
    pub fleet: FleetName,
    /// The fleet's shared key.
    pub secret: String,
    /// This node.
    pub info: MemberInfo,
    /// Where fleet messages go.
    pub incoming: mpsc::Sender<Incoming>,
    /// Counts.
    pub counters: PeerCounters,
    /// The bytes of all connections, by kind.
    pub traffic: TrafficLedger,
    /// How many large answers may be on their way to peers at one moment; the others wait.
    pub large_answers: Arc<Semaphore>,
}

/// Large answers, of one chunk each, that are on their way to peers at one moment: 64 kB, which hold a link of 14 Mbit/s
/// for 37 ms. What the node asks and is asked else waits no longer behind them.
const MAXIMUM_LARGE_ANSWERS: usize = 4;

/// The room for large answers of one node.
pub fn large_answer_permits() -> Arc<Semaphore> {
    Arc::new(Semaphore::new(MAXIMUM_LARGE_ANSWERS))
}

/// How long a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections kept open at the most; the least recently used are closed first.
const MAXIMUM_CONNECTIONS: usize = 512;
/// How long a connection without traffic is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

type Slot = Arc<tokio::sync::Mutex<Option<Arc<Connection>>>>;

/// Sends messages and requests to peers by their address.
pub struct PeerTransport {
    context: Arc<PeerContext>,
    slots: Mutex<HashMap<(SocketAddr, Lane), Slot>>,
    next_request: AtomicU64,
}

impl PeerTransport {
    /// A transport without connections.
    pub fn new(context: Arc<PeerContext>) -> Self {
        Self { context, slots: Mutex::default(), next_request: AtomicU64::new(1) }
    }

    /// The counts of turned-away frames and sent bytes.
    pub fn counters(&self) -> &PeerCounters {
        &self.context.counters
    }

    /// The bytes of this node's connections, by kind.
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

    /// Sends a fleet message. It may be lost; the protocols above allow for that.
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
    /// [`PeerFailure`], which tells whether the peer can have run it.
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

    /// Sends a request whose answer comes in parts.
    ///
    /// # Errors
    /// [`PeerFailure::NotSent`].
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
