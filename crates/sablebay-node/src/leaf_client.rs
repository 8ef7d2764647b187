//! Calls to one leaf, coalesced into batches over a bounded pool of connections.
//!
//! A leaf accepts a limited number of connections from the whole fleet. While all connections of
//! this node are busy, calls queue up and form a larger batch.

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

/// The parameters shared by all calls of one query.
#[derive(Debug)]
pub struct OutgoingSearch {
    pub service: ServiceId,
    /// Maximum number of hits.
    pub limit: usize,
    pub sort: SortOrder,
    /// The caller's query, passed through unchanged.
    pub query: Arc<RawValue>,
    /// How long a call may wait for others to join its batch.
    pub coalesce: Micros,
    /// Maximum number of calls in one batch.
    pub batch: usize,
}

/// The outcome of a call.
#[derive(Debug)]
pub struct CallEvent {
    pub attempt: AttemptNumber,
    /// The answer, or the failure with the load report of the leaf, if any.
    pub outcome: Result<ShardAnswer, (CallFailure, Option<LoadReport>)>,
}

/// A call that is queued or in flight.
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
        // The receiver is dropped when the query has ended; the event is then not needed.
        let _ = self.events.send(CallEvent { attempt: self.attempt, outcome: Err((failure, report)) });
    }
}

enum Command {
    Search(QueuedCall),
    Cancel(CallId),
}

/// Counters of calls sent and answers discarded.
#[derive(Debug, Default)]
pub struct ClientCounters {
    /// Answers whose call id is not open in the batch.
    pub misaddressed: AtomicU64,
    /// Lines that could not be parsed.
    pub malformed: AtomicU64,
    pub batches: AtomicU64,
    pub calls: AtomicU64,
}

pub(crate) struct ClientContext {
    pub leaf: LeafId,
    pub caller: String,
    pub clock: Clock,
    pub pool: ConnectionPool,
    pub counters: Arc<ClientCounters>,
    /// Whether answers are matched to calls by call id; disabled only in tests.
    pub correlates: bool,
}

/// The client of this node for one leaf.
pub struct LeafClient {
    context: Arc<ClientContext>,
    settings: Arc<LeafSettings>,
    commands: mpsc::UnboundedSender<Command>,
    next_call: Arc<AtomicU64>,
}

impl LeafClient {
    /// Creates a client with at most `connections` connections. `correlates` is false only in tests.
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

    pub fn settings(&self) -> &LeafSettings {
        &self.settings
    }

    /// Sets the maximum number of connections.
    pub fn set_connections(&self, connections: usize) {
        self.context.pool.set_limit(connections);
    }

    /// Sends a search; its outcome is sent to `events`.
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
        // Without coalescing and with a connection free, the call bypasses the dispatcher task.
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

    /// Cancels a call that is queued or was sent.
    pub fn cancel(&self, call_id: CallId) {
        // The queue is closed only when the client has been dropped, with all of its calls.
        let _ = self.commands.send(Command::Cancel(call_id));
    }

    /// Requests the load of the leaf; also keeps a connection warm.
    pub async fn load(&self) -> Option<LeafLoad> {
        let body = self.context.pool.get(LOAD_PATH).await?;
        serde_json::from_slice(&body).ok()
    }
}

impl ClientContext {
    async fn send_cancellations(&self, call_ids: Vec<CallId>) {
        let cancel = CancelCalls { caller: self.caller.clone(), call_ids };
        if let Ok(body) = serde_json::to_vec(&cancel) {
            // Best effort: a lost cancellation only costs the leaf unneeded work.
            let _ = self.pool.post(CANCEL_PATH, body.into()).await;
        }
    }
}

pub(crate) fn load_report(load: LeafLoad) -> LoadReport {
    LoadReport {
        in_flight: load.in_flight,
        slots: load.slots,
        draining: load.draining,
        versions: load.versions,
    }
}
