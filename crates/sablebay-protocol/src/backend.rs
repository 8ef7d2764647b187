//! Back-end protocol: JSON over HTTP, specified in `docs/BACKEND.md`.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use sablebay_model::{CallId, Hit, LeafId, PartitionSet, ServiceId, SnapshotVersion, SortOrder};

/// Path for search batches.
pub const SEARCH_PATH: &str = "/v1/search";
/// Path of cancellations.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// Path of operations.
pub const OPERATION_PATH: &str = "/v1/operation";
/// Path of the load report.
pub const LOAD_PATH: &str = "/v1/load";
/// Path of the health report.
pub const HEALTH_PATH: &str = "/v1/health";

/// Several searches in one request. Responses are streamed as one JSON object per line.
#[derive(Debug, Serialize, Deserialize)]
pub struct SearchBatch<Caller, Call> {
    /// Incarnation of the calling node; makes call ids unique across nodes.
    pub caller: Caller,
    pub calls: Vec<Call>,
}

/// Search of some partitions at one index version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeafCall {
    /// Echoed in the response.
    pub call_id: CallId,
    /// Service on whose behalf the leaf is called.
    pub service: ServiceId,
    pub partitions: PartitionSet,
    /// Index version to search.
    pub version: SnapshotVersion,
    /// Time to the deadline, after which the leaf aborts the call.
    pub remaining_ms: u64,
    /// Maximum number of hits.
    pub limit: usize,
    pub sort: SortOrder,
    /// Query of the caller, passed through unchanged.
    pub query: Arc<RawValue>,
}

/// Borrowed form of [`LeafCall`] for serialization without copies.
#[derive(Debug, Serialize)]
pub struct LeafCallRef<'a> {
    /// Echoed in the response.
    pub call_id: CallId,
    /// Service on whose behalf the leaf is called.
    pub service: &'a ServiceId,
    pub partitions: &'a PartitionSet,
    /// Index version to search.
    pub version: SnapshotVersion,
    /// Time to the deadline, after which the leaf aborts the call.
    pub remaining_ms: u64,
    /// Maximum number of hits.
    pub limit: usize,
    pub sort: SortOrder,
    /// Query of the caller, passed through unchanged.
    pub query: &'a RawValue,
}

/// Load report that a leaf attaches to each response.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeafLoad {
    /// Number of running calls.
    pub in_flight: u32,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Whether the leaf is shutting down and accepts no new calls.
    #[serde(default)]
    pub draining: bool,
    /// Available index versions.
    pub versions: Vec<SnapshotVersion>,
}

/// Reason why a leaf did not run a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeafRefusal {
    /// The leaf lacks the version or a partition.
    NotHeld,
    /// The leaf is shutting down.
    Draining,
    /// The leaf is overloaded.
    Shedding,
    /// The deadline passed before completion.
    TooLate,
    Cancelled,
    /// The call is invalid.
    BadCall,
}

/// Response of a leaf to one call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeafAnswer {
    /// Id of the answered call.
    pub call_id: CallId,
    /// Searched index version.
    pub version: SnapshotVersion,
    /// Searched partitions.
    pub partitions: PartitionSet,
    /// Absent with a refusal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hits: Option<Vec<Hit>>,
    /// Set when the call did not run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<LeafRefusal>,
    pub load: LeafLoad,
}

/// Cancels calls.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelCalls {
    /// Incarnation of the calling node.
    pub caller: String,
    pub call_ids: Vec<CallId>,
}

/// Non-idempotent operation; must not be repeated.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeafOperation {
    /// Incarnation of the calling node.
    pub caller: String,
    /// Echoed in the response.
    pub call_id: CallId,
    pub service: ServiceId,
    /// Ticket id; a leaf may store it but is not required to.
    pub ticket: String,
    /// Time to the deadline.
    pub remaining_ms: u64,
    /// Operation of the caller, passed through unchanged.
    pub operation: Box<RawValue>,
}

/// Response of a leaf to an operation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeafOperationAnswer {
    /// Id of the answered call.
    pub call_id: CallId,
    /// Absent with a refusal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result: Option<Box<RawValue>>,
    /// Set when the operation did not run and never will.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<LeafRefusal>,
    pub load: LeafLoad,
}

/// Self-reported health of a leaf. May be stale or wrong; nodes treat it as a hint.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeafHealth {
    pub leaf: LeafId,
    pub healthy: bool,
}

/// Machine in the platform inventory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the node or leaf.
    pub name: String,
    pub role: MachineRole,
    /// Peer address; set only for nodes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<std::net::SocketAddr>,
    /// Whether the machine is leaving the fleet.
    #[serde(default)]
    pub leaving: bool,
}

/// Role of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineRole {
    Node,
    Leaf,
}

/// Machine inventory of the platform.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    pub machines: Vec<Machine>,
}

/// Path of the platform configuration document.
pub const PLATFORM_CONFIGURATION_PATH: &str = "/v1/configuration";
/// Path of the platform machine inventory.
pub const PLATFORM_MACHINES_PATH: &str = "/v1/machines";
