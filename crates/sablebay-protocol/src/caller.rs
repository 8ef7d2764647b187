//! What callers see: HTTP with JSON. `docs/API.md` describes it.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use sablebay_model::{Hit, PartitionSet, Revision, SnapshotVersion, SortOrder};
use sablebay_query::{Gap, Work};

/// Header with the time a caller waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "sablebay-deadline-ms";
/// Header with the caller's identifier of the request.
pub const REQUEST_ID_HEADER: &str = "sablebay-request-id";
/// Header with the ticket of an operation.
pub const TICKET_HEADER: &str = "sablebay-ticket";
/// Header with the operator's token.
pub const TOKEN_HEADER: &str = "sablebay-operator-token";

/// A query.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryBody {
    /// Passed to the leaves as it is.
    pub query: Box<RawValue>,
    /// Hits wanted at the most. Default 10.
    #[serde(default = "default_limit")]
    pub limit: usize,
    /// Their order. Default descending.
    #[serde(default)]
    pub sort: SortOrder,
}

const fn default_limit() -> usize {
    10
}

/// What an answer covers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CoverageBody {
    /// Partitions that the hits come from.
    pub partitions_answered: u32,
    /// Partitions that were asked for.
    pub partitions_total: u32,
    /// What is missing, and why.
    pub missing: Vec<Gap>,
    /// The partitions answered, as a set.
    pub answered: PartitionSet,
}

/// The configuration that an answer was made under.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigurationBody {
    /// The revision.
    pub revision: Revision,
    /// How long ago a peer confirmed that it is the newest; absent when none ever did.
    pub confirmed_ms_ago: Option<u64>,
}

/// The answer to a query.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QueryAnswer {
    /// The caller's identifier of the request, or one that the node chose.
    pub request_id: String,
    /// The one index version that every hit is from.
    pub snapshot: SnapshotVersion,
    /// The hits in order.
    pub hits: Vec<Hit>,
    /// What they cover.
    pub coverage: CoverageBody,
    /// The configuration.
    pub configuration: ConfigurationBody,
    /// What it took.
    pub work: Work,
}

/// The answer to an operation that ran.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OperationAnswer {
    /// The caller's identifier of the request, or one that the node chose.
    pub request_id: String,
    /// The ticket.
    pub ticket: String,
    /// The back end's result.
    pub result: Box<RawValue>,
}

/// A ticket that was minted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TicketAnswer {
    /// The ticket.
    pub ticket: String,
    /// For how long it can be used, in milliseconds.
    pub lifetime_ms: u64,
}

/// What became of a ticket.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TicketStatusAnswer {
    /// The ticket.
    pub ticket: String,
    /// `unclaimed`, `claimed`, `done`, `not_run` or `unknown`.
    pub state: String,
    /// The back end's result, when it is done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result: Option<Box<RawValue>>,
    /// Why it did not run or is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}
