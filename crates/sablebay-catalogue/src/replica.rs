//! A replica as it announces itself.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

use sablebay_model::ZoneName;

use crate::revision::Era;

/// A service of back ends; a shard is one.
#[derive(
    Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(transparent)]
#[musli(transparent)]
pub struct ServiceName(Arc<str>);

impl ServiceName {
    /// Wraps a name.
    pub fn new(name: impl AsRef<str>) -> Self {
        Self(Arc::from(name.as_ref()))
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Between a replica's name and the start of its life. No name may hold it.
const INCARNATION_SEPARATOR: char = '@';

/// One life of one replica: a replica that starts again has another, also under the name that it had. All that is known of
/// a replica is kept by its life: a new one has no latencies, no failures, no open calls and no connections.
#[derive(
    Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(transparent)]
#[musli(transparent)]
pub struct ReplicaId(Arc<str>);

impl ReplicaId {
    /// Wraps a name, of a replica that does not tell when it started.
    pub fn new(name: impl AsRef<str>) -> Self {
        Self(Arc::from(name.as_ref()))
    }

    /// The life of a replica that started at `started_ms`, in Unix milliseconds; 0 when it does not tell.
    pub fn with_incarnation(name: impl AsRef<str>, started_ms: u64) -> Self {
        match started_ms {
            0 => Self::new(name),
            _ => Self(Arc::from(format!("{}{INCARNATION_SEPARATOR}{started_ms}", name.as_ref()))),
        }
    }

    /// Whether a name can be one: requests can carry it in a header, and it does not look like one with a life.
    pub fn is_name(name: &str) -> bool {
        !name.is_empty()
            && name.bytes().all(|byte| byte.is_ascii_graphic())
            && !name.contains(INCARNATION_SEPARATOR)
    }

    /// The identifier as text, the life in it.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The replica's name, the same in all of its lives.
    pub fn name(&self) -> &str {
        self.0.split_once(INCARNATION_SEPARATOR).map_or(&self.0, |(name, _)| name)
    }

    /// When the life began, in Unix milliseconds; 0 when that is not known.
    pub fn started_ms(&self) -> u64 {
        self.0.split_once(INCARNATION_SEPARATOR).and_then(|(_, born)| born.parse().ok()).unwrap_or_default()
    }

    /// How another life of the replica stands to this one by when they began; nothing where that is not known of both.
    pub fn incarnation_order(&self, other: &Self) -> Option<Ordering> {
        let known = self.started_ms() > 0 && other.started_ms() > 0;
        known.then(|| other.started_ms().cmp(&self.started_ms()))
    }

    /// What all lives of the replica are known by.
    pub fn without_incarnation(&self) -> Self {
        if self.0.contains(INCARNATION_SEPARATOR) { Self::new(self.name()) } else { self.clone() }
    }
}

/// Whether a replica takes new work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Encode, Decode)]
pub enum ReplicaPhase {
    /// It does.
    #[display("ready")]
    Ready,
    /// It is leaving, and takes none.
    #[display("draining")]
    Draining,
}

/// A replica as it announces itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Replica {
    /// Which life of which replica.
    pub id: ReplicaId,
    /// What it is a replica of.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: ReplicaPhase,
    /// How much longer it is slow from its start, in milliseconds, when it wrote this.
    pub warm_up_left_ms: u64,
    /// Counts what it has written in this life, and only rises.
    pub sequence: u64,
}

impl Replica {
    /// How another word of the same replica stands to this one by what replicas count themselves; nothing where that does
    /// not tell.
    pub fn version_order(&self, other: &Self) -> Option<Ordering> {
        if self.id == other.id {
            return Some(other.sequence.cmp(&self.sequence));
        }
        self.id.incarnation_order(&other.id)
    }
}

/// A replica as nodes tell each other of it. Its life stands in a field of its own: nodes of an earlier release know
/// replicas by their names.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ReplicaEntry {
    name: ReplicaId,
    service: ServiceName,
    address: SocketAddr,
    zone: ZoneName,
    slots: u32,
    phase: ReplicaPhase,
    warm_up_left_ms: u64,
    #[musli(default)]
    started_ms: u64,
    #[musli(default)]
    sequence: u64,
    /// Of the revision that it is told with.
    #[musli(default)]
    pub(crate) era: Era,
}

impl From<&Replica> for ReplicaEntry {
    fn from(replica: &Replica) -> Self {
        Self {
            name: replica.id.without_incarnation(),
            service: replica.service.clone(),
            address: replica.address,
            zone: replica.zone.clone(),
            slots: replica.slots,
            phase: replica.phase,
            warm_up_left_ms: replica.warm_up_left_ms,
            started_ms: replica.id.started_ms(),
            sequence: replica.sequence,
            era: Era::UNNAMED,
        }
    }
}

impl From<ReplicaEntry> for Replica {
    fn from(entry: ReplicaEntry) -> Self {
        Self {
            id: ReplicaId::with_incarnation(entry.name.name(), entry.started_ms),
            service: entry.service,
            address: entry.address,
            zone: entry.zone,
            slots: entry.slots,
            phase: entry.phase,
            warm_up_left_ms: entry.warm_up_left_ms,
            sequence: entry.sequence,
        }
    }
}
