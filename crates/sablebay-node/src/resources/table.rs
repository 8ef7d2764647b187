//! Which connections of callers are open, how much memory their requests and answers hold, and what is given up when a
//! node runs short of either.

use std::collections::HashMap;

use sablebay_model::Micros;

/// Size up to which a lease may take any memory that is left, so that small requests have room beside large ones.
pub const SMALL_LEASE_BYTES: usize = 32 << 10;
/// The part of the connections that may be closing while new ones are accepted is one in this many.
const CLOSING_DIVISOR: usize = 8;
/// How long a client must have made no progress before what it holds is given up in favour of others.
const STALL_TIME: Micros = Micros::from_secs(1);

/// What a node may spend on its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Number of open connections.
    pub connections: usize,
    /// Memory of requests and answers, in bytes.
    pub memory_bytes: usize,
}

/// Identifies a connection within a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionId(u64);

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No byte of the next request has been received.
    Idle,
    ReadingHead,
    ReadingBody,
    /// A whole request has been read and is not answered yet.
    Serving,
    /// An answer of this many bytes is being written.
    Writing {
        bytes: usize,
    },
}

#[derive(Clone, Debug)]
struct Connection<H> {
    phase: ConnectionPhase,
    /// When the phase began, or the client last sent or took a noticeable part.
    progress_at: Micros,
    /// Whether a whole request has been read since it was opened.
    was_used: bool,
    /// Bytes of the leases for its requests.
    leased_bytes: usize,
    is_evicted: bool,
    /// Tells the connection that it is evicted.
    handle: H,
}

impl<H> Connection<H> {
    fn stalled_for(&self, now: Micros) -> Micros {
        now.since(self.progress_at)
    }

    /// The bytes that are returned when the connection closes.
    fn held_bytes(&self) -> usize {
        match self.phase {
            ConnectionPhase::Writing { bytes } => self.leased_bytes + bytes,
            _ => self.leased_bytes,
        }
    }

    /// Whether the connection may be closed to return its memory: its client neither sends nor reads.
    fn holds_memory_idly(&self, now: Micros) -> bool {
        let is_waited_for = matches!(
            self.phase,
            ConnectionPhase::ReadingHead | ConnectionPhase::ReadingBody | ConnectionPhase::Writing { .. }
        );
        is_waited_for && !self.is_evicted && self.held_bytes() > 0 && self.stalled_for(now) >= STALL_TIME
    }

    /// The order in which connections are closed in favour of new ones; `None` if never.
    fn eviction_rank(&self, now: Micros) -> Option<EvictionRank> {
        if self.is_evicted {
            return None;
        }
        let is_stalled = self.stalled_for(now) >= STALL_TIME;
        match self.phase {
            ConnectionPhase::Serving => None,
            ConnectionPhase::Writing { .. } => is_stalled.then_some(EvictionRank::StalledAnswer),
            ConnectionPhase::Idle if self.was_used => Some(EvictionRank::Idle),
            _ if !is_stalled => Some(EvictionRank::Recent),
            _ if self.was_used => Some(EvictionRank::StalledRequest),
            _ => Some(EvictionRank::NeverUsed),
        }
    }
}

/// Which connections are closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// No request has been read whole, and none makes progress.
    NeverUsed,
    /// Part of a further request has been read, which makes no progress.
    StalledRequest,
    /// Between requests: closing it costs the client only a new connection.
    Idle,
    /// The client does not read its answer.
    StalledAnswer,
    /// A request that is being read makes progress.
    Recent,
}

/// Whether there is room for a new connection, and which one is to close for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slot<H> {
    /// `false`: there is no room until a connection has closed.
    pub is_free: bool,
    pub evicted: Option<H>,
}

/// Whether a lease may take more memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Growth<H> {
    Granted,
    /// The memory will be there once these connections and those evicted before have closed.
    Reclaiming(Vec<H>),
    Refused,
}

/// The open connections of callers and the memory leased. `H` is a handle that tells a connection of its eviction.
#[derive(Clone, Debug)]
pub struct ResourceTable<H> {
    limits: ResourceLimits,
    connections: HashMap<ConnectionId, Connection<H>>,
    evicted: usize,
    leased_bytes: usize,
    next_id: u64,
}

impl<H: Clone> ResourceTable<H> {
    pub fn new(limits: ResourceLimits) -> Self {
        Self { limits, connections: HashMap::new(), evicted: 0, leased_bytes: 0, next_id: 0 }
    }

    pub fn limits(&self) -> ResourceLimits {
        self.limits
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    pub fn leased_bytes(&self) -> usize {
        self.leased_bytes
    }

    /// Makes room for a new connection, if there is any. A part of the connections is left for those that are closing.
    pub fn make_slot(&mut self, now: Micros) -> Slot<H> {
        let limit = self.limits.connections;
        let kept = limit - limit / CLOSING_DIVISOR;
        let is_crowded = self.connections.len() - self.evicted >= kept;
        let evicted = if is_crowded { self.evict_connection(now) } else { None };
        Slot { is_free: self.connections.len() < limit, evicted }
    }

    /// Chooses a connection to close in favour of another one. Returns `None` if all of them are in use.
    pub fn evict_connection(&mut self, now: Micros) -> Option<H> {
        let ranked = self.connections.values_mut().filter_map(|connection| {
            let rank = connection.eviction_rank(now)?;
            Some(((rank, connection.progress_at), connection))
        });
        let (_, chosen) = ranked.min_by_key(|(order, _)| *order)?;
        chosen.is_evicted = true;
        self.evicted += 1;
        Some(chosen.handle.clone())
    }

    /// Adds an idle connection.
    pub fn open(&mut self, handle: H, now: Micros) -> ConnectionId {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let connection = Connection {
            phase: ConnectionPhase::Idle,
            progress_at: now,
            was_used: false,
            leased_bytes: 0,
            is_evicted: false,
            handle,
        };
        self.connections.insert(id, connection);
        id
    }

    /// Removes a connection. Its leases end on their own.
    pub fn close(&mut self, id: ConnectionId) {
        if self.connections.remove(&id).is_some_and(|connection| connection.is_evicted) {
            self.evicted -= 1;
        }
    }

    /// Records the phase that begins now.
    pub fn set_phase(&mut self, id: ConnectionId, phase: ConnectionPhase, now: Micros) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = phase;
            connection.progress_at = now;
            connection.was_used |= phase == ConnectionPhase::Serving;
        }
    }

    /// Records that the client has sent or taken a noticeable part.
    pub fn record_progress(&mut self, id: ConnectionId, now: Micros) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.progress_at = now;
        }
    }

    /// Takes memory for a lease of `held` bytes that is to have `wanted` bytes in all.
    pub fn grow(
        &mut self,
        owner: Option<ConnectionId>,
        held: usize,
        wanted: usize,
        now: Micros,
    ) -> Growth<H> {
        let growth = wanted.saturating_sub(held);
        let needed = growth.saturating_add(Self::least_remainder(wanted));
        let free = self.limits.memory_bytes.saturating_sub(self.leased_bytes);
        if growth == 0 || needed <= free {
            self.take(owner, growth);
            if let Some(id) = owner {
                self.record_progress(id, now);
            }
            return Growth::Granted;
        }
        self.reclaim(owner, needed - free, now).map_or(Growth::Refused, Growth::Reclaiming)
    }

    /// Takes memory that cannot be refused, because it is in use already.
    pub fn take(&mut self, owner: Option<ConnectionId>, bytes: usize) {
        self.leased_bytes += bytes;
        if let Some(connection) = owner.and_then(|id| self.connections.get_mut(&id)) {
            connection.leased_bytes += bytes;
        }
    }

    /// Returns the memory of a lease.
    pub fn release(&mut self, owner: Option<ConnectionId>, bytes: usize) {
        self.leased_bytes = self.leased_bytes.saturating_sub(bytes);
        if let Some(connection) = owner.and_then(|id| self.connections.get_mut(&id)) {
            connection.leased_bytes = connection.leased_bytes.saturating_sub(bytes);
        }
    }

    /// The memory that must be left free beside a lease of this size. Larger leases that grow together always leave room
    /// for one of nearly their size.
    fn least_remainder(wanted: usize) -> usize {
        if wanted <= SMALL_LEASE_BYTES { 0 } else { wanted }
    }

    /// Evicts the connections that have been stalled for longest until this much memory is on its way back. Evicts none
    /// and returns `None` if all of them hold too little.
    fn reclaim(&mut self, requester: Option<ConnectionId>, missing: usize, now: Micros) -> Option<Vec<H>> {
        let evicted = self.connections.values().filter(|connection| connection.is_evicted);
        let returning: usize = evicted.map(Connection::held_bytes).sum();
        let mut stalled: Vec<_> = self
            .connections
            .iter_mut()
            .filter(|(id, connection)| Some(**id) != requester && connection.holds_memory_idly(now))
            .map(|(_, connection)| connection)
            .collect();
        let available: usize = stalled.iter().map(|connection| connection.held_bytes()).sum();
        if returning + available < missing {
            return None;
        }
        stalled.sort_by_key(|connection| connection.progress_at);
        let mut handles = Vec::new();
        let mut returning = returning;
        for connection in stalled {
            if returning >= missing {
                break;
            }
            returning += connection.held_bytes();
            connection.is_evicted = true;
            self.evicted += 1;
            handles.push(connection.handle.clone());
        }
        Some(handles)
    }
}
