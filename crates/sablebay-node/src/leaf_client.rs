//! Calls to one leaf: coalesced into batches, over a bounded pool of connections.
//!
//! The leaf's connections are the scarce thing: it takes about a hundred from the whole fleet.
//! While all of a node's share are busy its calls queue up, and the next batch is larger.

mod batch;
mod operation;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde_json::value::RawValue;
use tokio::sync::mpsc;

use sablebay_config::LeafSettings;
use sablebay_model::{
    CallId, InstanceKey, LeafId, Micros, PartitionSet, ServiceId, SnapshotVersion, SortOrder,
};
use sablebay_protocol::backend::{CANCEL_PATH, CancelCalls, LOAD_PATH, LeafLoad};
use sablebay_query::{AttemptNumber, CallFailure, LoadReport, ShardAnswer};

use crate::clock::Clock;
use sablebay_http::ConnectionPool;

pub use operation::OperationFailure;

/// What all searches of one query have in common.
#[derive(Debug)]
pub struct OutgoingSearch {
    /// The service.
    pub service: ServiceId,
    /// Hits wanted.
    pub limit: usize,
    /// Their order.
    pub sort: SortOrder,
    /// The caller's query.
    pub query: Arc<RawValue>,
    /// How long a call may wait for others, in microseconds.
    pub coalesce: Micros,
    /// Calls in one batch at the most.
    pub batch: usize,
}

/// What came of a call.
#[derive(Debug)]
pub struct CallEvent {
    /// The call.
    pub attempt: AttemptNumber,
    /// The answer, or how it failed and what the leaf said of itself.
    pub outcome: Result<ShardAnswer, (CallFailure, Option<LoadReport>)>,
}

/// One search on its way to the leaf.
pub(crate) struct QueuedCall {
    pub call_id: CallId,
    pub attempt: AttemptNumber,
    pub search: Arc<OutgoingSearch>,
    pub partitions: Arc<PartitionSet>,
    pub version: SnapshotVersion,
    pub deadline: Micros,
    pub events: mpsc::UnboundedSender<CallEvent>,
}

impl QueuedCall {
    fn fail(&self, failure: CallFailure, report: Option<LoadReport>) {
        // A query that is over has dropped its receiver; nobody wants the word then.
        let _ = self.events.send(CallEvent { attempt: self.attempt, outcome: Err((failure, report)) });
    }
}

enum Command {
    Search(QueuedCall),
    Cancel(CallId),
}

/// Counts of what a client discarded.
#[derive(Debug, Default)]
pub struct ClientCounters {
    /// Answers with a call id that was not asked, or asked in another batch.
    pub misaddressed: AtomicU64,
    /// Lines that could not be understood.
    pub malformed: AtomicU64,
    /// Batches sent.
    pub batches: AtomicU64,
    /// Calls sent.
    pub calls: AtomicU64,
}

pub(crate) struct ClientContext {
    pub leaf: LeafId,
    pub caller: String,
    pub clock: Clock,
    pub pool: ConnectionPool,
    pub counters: Arc<ClientCounters>,
    /// Whether answers are held against the calls that they name; off in tests alone.
    pub correlates: bool,
}

/// The calls of this node to one leaf.
pub struct LeafClient {
    context: Arc<ClientContext>,
    settings: Arc<LeafSettings>,
    commands: mpsc::UnboundedSender<Command>,
    next_call: Arc<AtomicU64>,
}

impl LeafClient {
    /// A client that uses `connections` connections at the most. `correlates` is off in tests alone.
    pub fn new(
        settings: Arc<LeafSettings>,
        connections: usize,
        own: &InstanceKey,
        clock: Clock,
        next_call: Arc<AtomicU64>,
        counters: Arc<ClientCounters>,
        correlates: bool,
    ) -> Self {
        let context = Arc::new(ClientContext {
            leaf: settings.leaf.clone(),
            caller: own.to_string(),
            clock,
            pool: ConnectionPool::new(settings.address, connections),
            counters,
            correlates,
        });
        let (commands, receiver) = mpsc::unbounded_channel();
        tokio::spawn(batch::run_dispatcher(context.clone(), receiver));
        Self { context, settings, commands, next_call }
    }

    /// The leaf, as configured.
    pub fn settings(&self) -> &LeafSettings {
        &self.settings
    }

    /// Changes how many connections are used.
    pub fn set_connections(&self, connections: usize) {
        self.context.pool.set_limit(connections);
    }

    /// Sends a search. What comes of it goes to `events`.
    pub fn search(
        &self,
        search: &Arc<OutgoingSearch>,
        attempt: AttemptNumber,
        partitions: Arc<PartitionSet>,
        version: SnapshotVersion,
        deadline: Micros,
        events: &mpsc::UnboundedSender<CallEvent>,
    ) -> CallId {
        let call_id = CallId(self.next_call.fetch_add(1, Ordering::Relaxed));
        let call = QueuedCall {
            call_id,
            attempt,
            search: search.clone(),
            partitions,
            version,
            deadline,
            events: events.clone(),
        };
        // A call that need not wait for company or for a connection's turn is sent at once; the
        // dispatcher would only add a hop between tasks.
        if search.coalesce == Micros(0)
            && let Some(permit) = self.context.pool.try_permit()
        {
            tokio::spawn(batch::send_batch(self.context.clone(), permit, vec![call]));
            return call_id;
        }
        if let Err(returned) = self.commands.send(Command::Search(call))
            && let Command::Search(call) = returned.0
        {
            call.fail(CallFailure::NotSent, None);
        }
        call_id
    }

    /// Tells the leaf that an answer is no longer wanted.
    pub fn cancel(&self, call_id: CallId) {
        // A closed queue means that the client is gone, and its calls with it.
        let _ = self.commands.send(Command::Cancel(call_id));
    }

    /// Asks the leaf for its load; warms a connection on the way.
    pub async fn load(&self) -> Option<LeafLoad> {
        let body = self.context.pool.get(LOAD_PATH).await?;
        serde_json::from_slice(&body).ok()
    }
}

impl ClientContext {
    async fn send_cancellations(&self, call_ids: Vec<CallId>) {
        let cancel = CancelCalls { caller: self.caller.clone(), call_ids };
        if let Ok(body) = serde_json::to_vec(&cancel) {
            // A cancellation that is lost costs the leaf some work, and nothing else.
            let _ = self.pool.post(CANCEL_PATH, body.into()).await;
        }
    }
}

/// The report in a leaf's load.
pub(crate) fn load_report(load: LeafLoad) -> LoadReport {
    LoadReport {
        in_flight: load.in_flight,
        slots: load.slots,
        draining: load.draining,
        versions: load.versions,
    }
}
