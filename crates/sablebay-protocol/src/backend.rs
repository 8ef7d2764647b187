//! What back ends speak: HTTP with JSON. `docs/BACKEND.md` describes it for their writers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use sablebay_model::{CallId, Hit, LeafId, PartitionSet, ServiceId, SnapshotVersion, SortOrder};

/// Path of a batch of searches.
pub const SEARCH_PATH: &str = "/v1/search";
/// Path of cancellations.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// Path of operations.
pub const OPERATION_PATH: &str = "/v1/operation";
/// Path of the load report.
pub const LOAD_PATH: &str = "/v1/load";
/// Path of the health report.
pub const HEALTH_PATH: &str = "/v1/health";

/// Several searches in one request. Answers are streamed back, one JSON object a line.
#[derive(Debug, Serialize, Deserialize)]
pub struct SearchBatch<Caller, Call> {
    /// The calling node's life, which makes call ids unique among all nodes.
    pub caller: Caller,
    /// The searches.
    pub calls: Vec<Call>,
}

/// One search of some partitions at one version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeafCall {
    /// Echoed in the answer.
    pub call_id: CallId,
    /// The service that asks.
    pub service: ServiceId,
    /// The partitions to search.
    pub partitions: PartitionSet,
    /// The version to search at.
    pub version: SnapshotVersion,
    /// Milliseconds that are left; a leaf gives up then.
    pub remaining_ms: u64,
    /// Hits wanted at the most.
    pub limit: usize,
    /// Their order.
    pub sort: SortOrder,
    /// The caller's query, passed on as it is.
    pub query: Arc<RawValue>,
}

/// A [`LeafCall`] as the calling side writes it, without copying its parts.
#[derive(Debug, Serialize)]
pub struct LeafCallRef<'a> {
    /// Echoed in the answer.
    pub call_id: CallId,
    /// The service that asks.
    pub service: &'a ServiceId,
    /// The partitions to search.
    pub partitions: &'a PartitionSet,
    /// The version to search at.
    pub version: SnapshotVersion,
    /// Milliseconds that are left; a leaf gives up then.
    pub remaining_ms: u64,
    /// Hits wanted at the most.
    pub limit: usize,
    /// Their order.
    pub sort: SortOrder,
    /// The caller's query, passed on as it is.
    pub query: &'a RawValue,
}

/// What a leaf says of itself with each answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeafLoad {
    /// Calls that it is running.
    pub in_flight: u32,
    /// Calls that it can run at once.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    #[serde(default)]
    pub draining: bool,
    /// Index versions that it holds.
    pub versions: Vec<SnapshotVersion>,
}

/// Why a leaf did not run a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeafRefusal {
    /// It does not hold the version or a partition.
    NotHeld,
    /// It is leaving.
    Draining,
    /// It has too much work.
    Shedding,
    /// The deadline passed before it was done.
    TooLate,
    /// The call was cancelled.
    Cancelled,
    /// The call makes no sense to it.
    BadCall,
}

/// A leaf's answer to one call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeafAnswer {
    /// Of the call.
    pub call_id: CallId,
    /// The version searched.
    pub version: SnapshotVersion,
    /// The partitions searched.
    pub partitions: PartitionSet,
    /// The hits; empty with a refusal.
    #[serde(default)]
    pub hits: Vec<Hit>,
    /// Set when the call did not run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<LeafRefusal>,
    /// The leaf's load.
    pub load: LeafLoad,
}

/// Answers to these calls are no longer wanted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelCalls {
    /// The calling node's life.
    pub caller: String,
    /// The calls.
    pub call_ids: Vec<CallId>,
}

/// One operation, which must not be repeated.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeafOperation {
    /// The calling node's life.
    pub caller: String,
    /// Echoed in the answer.
    pub call_id: CallId,
    /// The service.
    pub service: ServiceId,
    /// The ticket's identity: a leaf may keep it, and is not required to.
    pub ticket: String,
    /// Milliseconds that are left.
    pub remaining_ms: u64,
    /// The caller's operation, passed on as it is.
    pub operation: Box<RawValue>,
}

/// A leaf's answer to an operation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeafOperationAnswer {
    /// Of the call.
    pub call_id: CallId,
    /// The result; absent with a refusal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result: Option<Box<RawValue>>,
    /// Set when the operation did not run, and will not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<LeafRefusal>,
    /// The leaf's load.
    pub load: LeafLoad,
}

/// A leaf's word on its health. Known to lag and to mislead; nodes take it as a hint.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeafHealth {
    /// The leaf.
    pub leaf: LeafId,
    /// Whether it says that it is well.
    pub healthy: bool,
}

/// One machine in the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// The node's or leaf's name.
    pub name: String,
    /// What runs on it.
    pub role: MachineRole,
    /// Where peers connect; for nodes alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<std::net::SocketAddr>,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// What runs on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineRole {
    /// A node of sablebay.
    Node,
    /// A leaf.
    Leaf,
}

/// The platform's list of machines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines.
    pub machines: Vec<Machine>,
}

/// Path of the platform's configuration.
pub const PLATFORM_CONFIGURATION_PATH: &str = "/v1/configuration";
/// Path of the platform's list of machines.
pub const PLATFORM_MACHINES_PATH: &str = "/v1/machines";
