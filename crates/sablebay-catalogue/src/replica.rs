//! A replica as it announces itself.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

use sablebay_model::ZoneName;

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

/// One life of one replica: a replica that starts again has another.
#[derive(
    Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(transparent)]
#[musli(transparent)]
pub struct ReplicaId(Arc<str>);

impl ReplicaId {
    /// Wraps an identifier.
    pub fn new(name: impl AsRef<str>) -> Self {
        Self(Arc::from(name.as_ref()))
    }

    /// The identifier as text.
    pub fn as_str(&self) -> &str {
        &self.0
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
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
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
}
