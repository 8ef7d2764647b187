//! A stand-in for a leaf that follows the protocol in `docs/BACKEND.md`.

mod http;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore};
use tokio::task::JoinHandle;

use sablebay_model::{CallId, PartitionSet, SnapshotVersion};
use sablebay_protocol::backend::{LeafAnswer, LeafCall, LeafLoad, LeafRefusal};

use crate::corpus::Corpus;
use crate::error::StandInError;
use crate::service_time::ServiceTime;

/// Configuration of a leaf.
#[derive(Clone, Debug)]
pub struct LeafOptions {
    pub name: String,
    /// Listen address.
    pub address: SocketAddr,
    /// Calls that run concurrently.
    pub slots: u32,
    pub partitions: PartitionSet,
    /// Index versions that the leaf holds.
    pub versions: Vec<SnapshotVersion>,
    pub service_time: ServiceTime,
    pub corpus: Corpus,
    /// Maximum number of calls waiting for a slot; further calls are shed.
    pub queue: usize,
    /// Seed of the service times.
    pub seed: u64,
}

impl LeafOptions {
    /// Options of a leaf with no service time that holds `partitions` at version 1.
    pub fn quick(name: &str, partitions: PartitionSet) -> Self {
        Self {
            name: name.to_string(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: 4,
            partitions,
            versions: vec![SnapshotVersion(1)],
            service_time: ServiceTime::NONE,
            corpus: Corpus { documents: 4 },
            queue: 1_000,
            seed: 1,
        }
    }
}

/// Faults of a leaf; can be changed at runtime.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeafFaults {
    /// Factor on the service time.
    pub slow_factor: f64,
    /// Calls are accepted but never answered.
    pub black_hole: bool,
    /// New calls are refused as draining.
    pub draining: bool,
    pub shedding: bool,
    /// Overrides the health endpoint's result.
    pub claims_healthy: Option<bool>,
    pub repeats_answers: bool,
    /// Answers carry a wrong call id.
    pub wrong_call_ids: bool,
    /// Answers are for the version before the requested one.
    pub wrong_version: bool,
    /// Answers cover one partition more than requested.
    pub wrong_partitions: bool,
    /// Answers lack their hits.
    pub omits_hits: bool,
    /// Operations run, and are answered with a result under the status of a failure.
    pub fails_operations: bool,
    /// Initial factor on the service time; falls linearly to 1 during warm-up.
    pub cold_factor: f64,
}

impl Default for LeafFaults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            black_hole: false,
            draining: false,
            shedding: false,
            claims_healthy: None,
            repeats_answers: false,
            wrong_call_ids: false,
            wrong_version: false,
            wrong_partitions: false,
            omits_hits: false,
            fails_operations: false,
            cold_factor: 1.0,
        }
    }
}

/// State of a leaf, shared with its controller.
pub struct LeafState {
    options: LeafOptions,
    pub faults: Mutex<LeafFaults>,
    pub partitions: Mutex<PartitionSet>,
    /// Index versions that the leaf holds.
    pub versions: Mutex<Vec<SnapshotVersion>>,
    /// Number of calls received.
    pub calls: AtomicU64,
    /// Number of calls received while draining.
    pub calls_while_draining: AtomicU64,
    /// Number of calls cancelled while running.
    pub cancelled: AtomicU64,
    /// Number of open connections.
    pub connections: AtomicU32,
    /// Maximum number of simultaneously open connections.
    pub connections_peak: AtomicU32,
    operations: Mutex<HashMap<String, u32>>,
    in_flight: AtomicU32,
    waiting: AtomicU32,
    slots: Semaphore,
    running: Mutex<HashMap<(String, CallId), Arc<Notify>>>,
    already_cancelled: Mutex<HashSet<(String, CallId)>>,
    random: Mutex<SmallRng>,
    started: Instant,
    stopped: AtomicBool,
}

/// Duration of the warm-up.
const WARM_UP: Duration = Duration::from_secs(5);

impl LeafState {
    fn new(options: LeafOptions) -> Self {
        Self {
            faults: Mutex::default(),
            partitions: Mutex::new(options.partitions.clone()),
            versions: Mutex::new(options.versions.clone()),
            calls: AtomicU64::new(0),
            calls_while_draining: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
            connections: AtomicU32::new(0),
            connections_peak: AtomicU32::new(0),
            operations: Mutex::default(),
            in_flight: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            slots: Semaphore::new(options.slots as usize),
            running: Mutex::default(),
            already_cancelled: Mutex::default(),
            random: Mutex::new(SmallRng::seed_from_u64(options.seed)),
            started: Instant::now(),
            stopped: AtomicBool::new(false),
            options,
        }
    }

    /// Number of runs of each operation, by ticket.
    pub fn operations(&self) -> HashMap<String, u32> {
        self.operations.lock().clone()
    }

    /// Returns the reported load.
    pub fn load(&self) -> LeafLoad {
        LeafLoad {
            in_flight: self.in_flight.load(Ordering::Relaxed),
            slots: self.options.slots,
            draining: self.faults.lock().draining,
            versions: self.versions.lock().clone(),
        }
    }

    /// Whether calls can be answered synchronously: no service time and no faults.
    fn is_immediate(&self) -> bool {
        self.options.service_time.median_us == 0.0 && *self.faults.lock() == LeafFaults::default()
    }

    fn refusal(&self, call: &LeafCall, refusal: LeafRefusal) -> LeafAnswer {
        LeafAnswer {
            call_id: call.call_id,
            version: call.version,
            partitions: PartitionSet::empty(),
            hits: None,
            refusal: Some(refusal),
            load: self.load(),
        }
    }

    /// Returns the reason to refuse a call before it starts, if any.
    fn reason_to_refuse(&self, call: &LeafCall) -> Option<LeafRefusal> {
        let faults = self.faults.lock();
        if faults.draining {
            self.calls_while_draining.fetch_add(1, Ordering::Relaxed);
            return Some(LeafRefusal::Draining);
        }
        let full = self.waiting.load(Ordering::Relaxed) as usize >= self.options.queue;
        if faults.shedding || full {
            return Some(LeafRefusal::Shedding);
        }
        drop(faults);
        let holds_version = self.versions.lock().contains(&call.version);
        let holds_partitions = self.partitions.lock().contains_all(&call.partitions);
        (!holds_version || !holds_partitions).then_some(LeafRefusal::NotHeld)
    }

    fn answer(&self, call: &LeafCall) -> LeafAnswer {
        let faults = self.faults.lock().clone();
        let version = if faults.wrong_version {
            SnapshotVersion(call.version.0.saturating_sub(1))
        } else {
            call.version
        };
        let partitions = if faults.wrong_partitions {
            let beyond = call.partitions.highest().map_or(0, |highest| highest + 1);
            call.partitions.union(&PartitionSet::range(beyond, beyond))
        } else {
            call.partitions.clone()
        };
        let call_id = if faults.wrong_call_ids { CallId(call.call_id.0 + 1) } else { call.call_id };
        let outlet = outlet_of(call);
        let hits = self.options.corpus.search(outlet, &partitions, version, call.sort, call.limit);
        let hits = (!faults.omits_hits).then_some(hits);
        LeafAnswer { call_id, version, partitions, hits, refusal: None, load: self.load() }
    }

    /// Runs a call. Never completes if the leaf is a black hole.
    async fn run(&self, caller: &str, call: &LeafCall) -> Option<LeafAnswer> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if let Some(refusal) = self.reason_to_refuse(call) {
            return Some(self.refusal(call, refusal));
        }
        let key = (caller.to_string(), call.call_id);
        if self.already_cancelled.lock().remove(&key) {
            return Some(self.refusal(call, LeafRefusal::Cancelled));
        }
        let cancel = Arc::new(Notify::new());
        self.running.lock().insert(key.clone(), cancel.clone());
        let limit = Duration::from_millis(call.remaining_ms);
        let outcome = tokio::select! {
            () = self.work() => Ok(()),
            () = cancel.notified() => Err(LeafRefusal::Cancelled),
            () = tokio::time::sleep(limit) => Err(LeafRefusal::TooLate),
        };
        self.running.lock().remove(&key);
        if self.faults.lock().black_hole {
            std::future::pending::<()>().await;
        }
        Some(match outcome {
            Ok(()) => self.answer(call),
            Err(refusal) => self.refusal(call, refusal),
        })
    }

    /// Waits for a slot, then holds it for the service time.
    async fn work(&self) {
        let waiting = Counted::new(&self.waiting);
        let slot = self.slots.acquire().await;
        drop(waiting);
        let _running = Counted::new(&self.in_flight);
        let time = self.options.service_time.draw(&mut *self.random.lock());
        let factor = self.time_factor();
        tokio::time::sleep(time.mul_f64(factor)).await;
        drop(slot);
    }

    fn time_factor(&self) -> f64 {
        let faults = self.faults.lock();
        let age = self.started.elapsed().as_secs_f64() / WARM_UP.as_secs_f64();
        let cold = 1.0 + (faults.cold_factor - 1.0) * (1.0 - age).max(0.0);
        faults.slow_factor * cold
    }

    fn cancel(&self, caller: &str, call_id: CallId) {
        let key = (caller.to_string(), call_id);
        match self.running.lock().get(&key) {
            Some(notify) => {
                self.cancelled.fetch_add(1, Ordering::Relaxed);
                notify.notify_one();
            }
            None => {
                self.already_cancelled.lock().insert(key);
            }
        }
    }
}

/// Returns the outlet of a query, or 0 if it names none.
fn outlet_of(call: &LeafCall) -> u64 {
    #[derive(Deserialize)]
    struct OutletQuery {
        #[serde(default)]
        outlet: u64,
    }
    serde_json::from_str::<OutletQuery>(call.query.get()).map_or(0, |query| query.outlet)
}

/// Increments a counter until dropped.
struct Counted<'a> {
    count: &'a AtomicU32,
}

impl<'a> Counted<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self { count }
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A running leaf; stops when dropped.
pub struct Leaf {
    /// Listen address.
    pub address: SocketAddr,
    pub state: Arc<LeafState>,
    task: JoinHandle<()>,
}

impl Leaf {
    /// Starts a leaf.
    ///
    /// # Errors
    /// Fails if the listener cannot be bound.
    pub async fn start(options: LeafOptions) -> Result<Leaf, StandInError> {
        let listener = TcpListener::bind(options.address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(LeafState::new(options));
        let task = tokio::spawn(http::serve(listener, state.clone()));
        Ok(Leaf { address, state, task })
    }
}

impl Drop for Leaf {
    fn drop(&mut self) {
        self.state.stopped.store(true, Ordering::Relaxed);
        self.task.abort();
    }
}
