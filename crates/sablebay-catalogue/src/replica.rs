//! Replicas and their identifiers.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

use sablebay_model::ZoneName;

use crate::revision::Era;

/// A backend service; each shard is a service.
#[derive(
    Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(transparent)]
#[musli(transparent)]
pub struct ServiceName(Arc<str>);

impl ServiceName {
    pub fn new(name: impl AsRef<str>) -> Self {
        Self(Arc::from(name.as_ref()))
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Separates the replica's name from its start time; not allowed in names.
const INCARNATION_SEPARATOR: char = '@';

/// Characters of replica names besides letters and digits: those that mean nothing in a request target, and the colon of
/// an address.
const NAME_PUNCTUATION: &[u8] = b"-._~:";

/// Identifies one incarnation of a replica: a restart gives a new incarnation, also under the same name.
/// Latencies, failures, open calls and connections are tracked per incarnation.
#[derive(
    Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(transparent)]
#[musli(transparent)]
pub struct ReplicaId(Arc<str>);

impl ReplicaId {
    /// An identifier without a start time.
    pub fn new(name: impl AsRef<str>) -> Self {
        Self(Arc::from(name.as_ref()))
    }

    /// The incarnation that started at `started_ms`, in Unix milliseconds; 0 if unknown.
    pub fn with_incarnation(name: impl AsRef<str>, started_ms: u64) -> Self {
        match started_ms {
            0 => Self::new(name),
            _ => Self(Arc::from(format!("{}{INCARNATION_SEPARATOR}{started_ms}", name.as_ref()))),
        }
    }

    /// Whether `name` is a valid replica name: letters, digits and [`NAME_PUNCTUATION`].
    pub fn is_name(name: &str) -> bool {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || NAME_PUNCTUATION.contains(&byte);
        !name.is_empty() && name.bytes().all(is_allowed)
    }

    /// The identifier including the start time.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The replica's name, shared by all incarnations.
    pub fn name(&self) -> &str {
        self.0.split_once(INCARNATION_SEPARATOR).map_or(&self.0, |(name, _)| name)
    }

    /// Start time of the incarnation in Unix milliseconds; 0 if unknown.
    pub fn started_ms(&self) -> u64 {
        self.0.split_once(INCARNATION_SEPARATOR).and_then(|(_, born)| born.parse().ok()).unwrap_or_default()
    }

    /// Orders `other` relative to this incarnation by start time; `None` unless both are known.
    pub fn incarnation_order(&self, other: &Self) -> Option<Ordering> {
        let known = self.started_ms() > 0 && other.started_ms() > 0;
        known.then(|| other.started_ms().cmp(&self.started_ms()))
    }

    /// The identifier shared by all incarnations of the replica.
    pub fn without_incarnation(&self) -> Self {
        if self.0.contains(INCARNATION_SEPARATOR) { Self::new(self.name()) } else { self.clone() }
    }
}

#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Encode, Decode)]
pub enum ReplicaPhase {
    #[display("ready")]
    Ready,
    /// Leaving; accepts no new requests.
    #[display("draining")]
    Draining,
}

/// A replica as it announces itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Replica {
    pub id: ReplicaId,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub zone: ZoneName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    pub phase: ReplicaPhase,
    /// Remaining warm-up time at the time of writing, in milliseconds.
    pub warm_up_left_ms: u64,
    /// Increases with each write of this incarnation.
    pub sequence: u64,
}

impl Replica {
    /// Orders `other` relative to this entry by incarnation and sequence; `None` if not comparable.
    pub fn version_order(&self, other: &Self) -> Option<Ordering> {
        if self.id == other.id {
            return Some(other.sequence.cmp(&self.sequence));
        }
        self.id.incarnation_order(&other.id)
    }
}

/// Wire format of a replica. The start time is a separate field for compatibility with releases that know
/// replicas only by name.
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
    /// Era of the revision sent along with the entry.
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
