//! Bounds the connections and the memory that callers may take of a node.

mod table;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::Notify;

use sablebay_http::Room;
use sablebay_model::Micros;

use crate::clock::Clock;

pub use table::{
    ConnectionId, ConnectionPhase, Growth, ResourceLimits, ResourceTable, SMALL_LEASE_BYTES, Slot,
};

/// How long a lease waits for memory of connections that are being closed.
const RECLAIM_TIMEOUT: Duration = Duration::from_millis(500);
/// Memory that a connection takes without a request: its task, its buffers and its entry.
const CONNECTION_BYTES: usize = 20 << 10;
/// The part of the machine's memory for connections is one in this many.
const CONNECTION_MEMORY_DIVISOR: usize = 4;
/// The part of the machine's memory for requests and answers is one in this many. The allocator takes about twice the bytes
/// that are leased, and the rest of the process needs memory for its configuration, replicas and peers.
const REQUEST_MEMORY_DIVISOR: usize = 5;
/// The part of the descriptors that callers may take is one in this many. The rest is for replicas, the store, peers,
/// operators and logs.
const DESCRIPTOR_DIVISOR: usize = 2;
/// What a listener for operators or the readiness check may take is one in this many of the callers' bounds.
const OPERATOR_DIVISOR: usize = 8;
/// Maximum number of connections of such a listener.
const MAXIMUM_OPERATOR_CONNECTIONS: usize = 64;
/// Minimum interval between log lines about a lack of room.
const LOG_INTERVAL: Micros = Micros::from_secs(1);

impl ResourceLimits {
    /// The limits of callers on a machine of this size.
    pub fn of_machine(memory_mb: u64, descriptors: u64) -> Self {
        let machine_bytes = usize::try_from(memory_mb.saturating_mul(1 << 20)).unwrap_or(usize::MAX);
        let descriptors = usize::try_from(descriptors).unwrap_or(usize::MAX);
        let by_memory = machine_bytes / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
        Self {
            connections: (descriptors / DESCRIPTOR_DIVISOR).min(by_memory).max(1),
            memory_bytes: machine_bytes / REQUEST_MEMORY_DIVISOR,
        }
    }

    /// No limits.
    pub const fn unlimited() -> Self {
        Self { connections: usize::MAX, memory_bytes: usize::MAX }
    }
}

/// Tells a connection that it is to close.
#[derive(Debug, Default)]
struct Eviction {
    is_evicted: AtomicBool,
    notify: Notify,
}

impl Eviction {
    fn begin(&self) {
        self.is_evicted.store(true, Ordering::Release);
        self.notify.notify_waiters();
    }

    async fn begun(&self) {
        loop {
            let notified = self.notify.notified();
            if self.is_evicted.load(Ordering::Acquire) {
                return;
            }
            notified.await;
        }
    }
}

/// Counts of what was given up for lack of room.
#[derive(Debug, Default)]
pub struct ResourceCounters {
    /// Connections closed in favour of new ones.
    pub connections_evicted: AtomicU64,
    /// Connections closed because their clients neither sent nor read, in favour of other requests.
    pub memory_reclaimed: AtomicU64,
    /// Requests and answers for which there was no memory.
    pub memory_refused: AtomicU64,
}

#[derive(Debug)]
struct Inner {
    table: Mutex<ResourceTable<Arc<Eviction>>>,
    clock: Clock,
    /// Notifies of memory and connections that were given back.
    returned: Notify,
    counters: ResourceCounters,
    last_log_at: Mutex<Option<Micros>>,
}

/// The connections and the memory of callers.
#[derive(Clone, Debug)]
pub struct Resources {
    inner: Arc<Inner>,
}

impl Resources {
    pub fn new(limits: ResourceLimits, clock: Clock) -> Self {
        let inner = Inner {
            table: Mutex::new(ResourceTable::new(limits)),
            clock,
            returned: Notify::new(),
            counters: ResourceCounters::default(),
            last_log_at: Mutex::default(),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Bounds for a listener that few clients use, apart from those of the callers.
    pub fn for_operators(&self) -> Self {
        let limits = self.limits();
        let connections = (limits.connections / OPERATOR_DIVISOR).clamp(1, MAXIMUM_OPERATOR_CONNECTIONS);
        let memory_bytes = limits.memory_bytes / OPERATOR_DIVISOR;
        Self::new(ResourceLimits { connections, memory_bytes }, self.inner.clock)
    }

    pub fn counters(&self) -> &ResourceCounters {
        &self.inner.counters
    }

    pub fn limits(&self) -> ResourceLimits {
        self.inner.table.lock().limits()
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.inner.table.lock().connections()
    }

    pub fn leased_bytes(&self) -> usize {
        self.inner.table.lock().leased_bytes()
    }

    /// Waits until there is room for a new connection, for which another one may be closed.
    pub async fn wait_for_slot(&self) {
        loop {
            let returned = self.inner.returned.notified();
            let slot = self.inner.table.lock().make_slot(self.inner.clock.now());
            if let Some(evicted) = slot.evicted {
                self.count_evicted_connection(&evicted);
            }
            if slot.is_free {
                return;
            }
            returned.await;
        }
    }

    /// Closes a connection because the process has no descriptor for a new one.
    pub fn free_descriptor(&self) {
        let chosen = self.inner.table.lock().evict_connection(self.inner.clock.now());
        if let Some(evicted) = chosen {
            self.count_evicted_connection(&evicted);
        }
    }

    fn count_evicted_connection(&self, evicted: &Eviction) {
        evicted.begin();
        self.inner.counters.connections_evicted.fetch_add(1, Ordering::Relaxed);
        self.log("a connection was closed in favour of a new one");
    }

    /// Logs what is given up, at most once an interval.
    fn log(&self, what: &str) {
        let now = self.inner.clock.now();
        let mut last = self.inner.last_log_at.lock();
        if last.is_some_and(|at| now.since(at) < LOG_INTERVAL) {
            return;
        }
        *last = Some(now);
        drop(last);
        let counters = &self.inner.counters;
        let (connections, leased) = (self.connections(), self.leased_bytes());
        let limits = self.limits();
        log::warn!(connections = connections, maximum_connections = limits.connections, leased_bytes = leased, maximum_bytes = limits.memory_bytes, connections_evicted = counters.connections_evicted.load(Ordering::Relaxed), memory_reclaimed = counters.memory_reclaimed.load(Ordering::Relaxed), memory_refused = counters.memory_refused.load(Ordering::Relaxed); "callers: {what}.");
    }

    /// Registers a connection that was accepted.
    pub fn connect(&self) -> OpenConnection {
        let eviction = Arc::new(Eviction::default());
        let id = self.inner.table.lock().open(eviction.clone(), self.inner.clock.now());
        OpenConnection(CallerConnection { resources: self.clone(), id, eviction })
    }

    /// An empty lease that belongs to no connection.
    pub fn lease(&self) -> MemoryLease {
        MemoryLease { resources: self.clone(), owner: None, bytes: 0 }
    }
}

/// Counts a connection as open until dropped.
#[derive(Debug)]
pub struct OpenConnection(CallerConnection);

impl OpenConnection {
    pub fn connection(&self) -> &CallerConnection {
        &self.0
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let inner = &self.0.resources.inner;
        inner.table.lock().close(self.0.id);
        inner.returned.notify_waiters();
    }
}

/// A connection of a caller, shared by its task and its requests.
#[derive(Clone, Debug)]
pub struct CallerConnection {
    resources: Resources,
    id: ConnectionId,
    eviction: Arc<Eviction>,
}

impl CallerConnection {
    /// Records the phase that begins now.
    pub fn set_phase(&self, phase: ConnectionPhase) {
        let inner = &self.resources.inner;
        inner.table.lock().set_phase(self.id, phase, inner.clock.now());
    }

    /// Records that the client has taken a noticeable part of an answer.
    pub fn record_progress(&self) {
        let inner = &self.resources.inner;
        inner.table.lock().record_progress(self.id, inner.clock.now());
    }

    /// Waits until the connection is to close in favour of others.
    pub async fn evicted(&self) {
        self.eviction.begun().await;
    }

    pub fn is_evicted(&self) -> bool {
        self.eviction.is_evicted.load(Ordering::Acquire)
    }

    /// Closes this connection, for which there is no room.
    pub fn evict(&self) {
        self.eviction.begin();
    }

    /// An empty lease for a request on this connection.
    pub fn lease(&self) -> MemoryLease {
        MemoryLease { resources: self.resources.clone(), owner: Some(self.id), bytes: 0 }
    }
}

/// Memory that is taken until the lease is dropped.
#[derive(Debug)]
pub struct MemoryLease {
    resources: Resources,
    owner: Option<ConnectionId>,
    bytes: usize,
}

impl MemoryLease {
    /// Takes memory up to this size, if it is there at once.
    pub fn try_grow_to(&mut self, bytes: usize) -> bool {
        matches!(self.request(bytes), Growth::Granted)
    }

    /// Takes memory up to this size, which cannot be refused because it is in use already.
    pub fn take(&mut self, bytes: usize) {
        let growth = bytes.saturating_sub(self.bytes);
        self.resources.inner.table.lock().take(self.owner, growth);
        self.bytes += growth;
    }

    /// Keeps the lease until the last of these bytes is dropped.
    pub fn attach_to(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(LeasedBytes { bytes, _lease: self })
    }

    fn request(&mut self, bytes: usize) -> Growth<Arc<Eviction>> {
        if bytes <= self.bytes {
            return Growth::Granted;
        }
        let inner = &self.resources.inner;
        let growth = inner.table.lock().grow(self.owner, self.bytes, bytes, inner.clock.now());
        match &growth {
            Growth::Granted => self.bytes = bytes,
            Growth::Reclaiming(evicted) => {
                for eviction in evicted {
                    eviction.begin();
                }
                inner.counters.memory_reclaimed.fetch_add(evicted.len() as u64, Ordering::Relaxed);
                self.resources.log("stalled connections are closed in favour of other requests");
            }
            Growth::Refused => {}
        }
        growth
    }

    /// Takes memory up to this size, and waits for what is being reclaimed. Returns `false` if there is none.
    pub async fn grow_to(&mut self, bytes: usize) -> bool {
        let until = tokio::time::Instant::now() + RECLAIM_TIMEOUT;
        loop {
            let inner = self.resources.inner.clone();
            // Created first: it then misses nothing that is returned after the request.
            let returned = inner.returned.notified();
            match self.request(bytes) {
                Growth::Granted => return true,
                Growth::Refused => break,
                Growth::Reclaiming(_) => {}
            }
            if tokio::time::timeout_at(until, returned).await.is_err() {
                break;
            }
        }
        self.resources.inner.counters.memory_refused.fetch_add(1, Ordering::Relaxed);
        self.resources.log("there is no memory for a request or an answer");
        false
    }
}

impl Room for &mut MemoryLease {
    fn grow_to(&mut self, bytes: usize) -> impl Future<Output = bool> + Send {
        MemoryLease::grow_to(self, bytes)
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.resources.inner.table.lock().release(self.owner, self.bytes);
            self.resources.inner.returned.notify_waiters();
        }
    }
}

/// Bytes with the lease of their memory.
struct LeasedBytes {
    bytes: Bytes,
    _lease: MemoryLease,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
