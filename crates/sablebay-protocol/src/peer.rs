//! Messages between nodes. A connection carries messages in both directions; responses are matched
//! to requests by number and may arrive in any order.

use musli::{Decode, Encode};

use sablebay_catalogue::{
    CataloguePosition, CatalogueSnapshot, DocumentDigest, EraStage, ServiceName, ZoneNotice,
};
use sablebay_dispatch::{LeaseRequest, QuarantineNotice, RunId};
use sablebay_fleet::{
    ClaimAnswer, ClaimRequest, Claimant, FleetMessage, MemberInfo, Ticket, TicketId, TicketState,
};
use sablebay_model::{PartitionSet, Refusal, Revision, ServiceId, SnapshotVersion, SortOrder};
use sablebay_query::{Coverage, Work};
use sablebay_tenants::quota::{QuotaGrant, QuotaRequest};

/// First message of each side.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Greeting {
    pub info: MemberInfo,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerMessage {
    /// Identity of the sender; precedes all other messages.
    Greeting(Greeting),
    /// Membership and fleet configuration.
    Fleet(FleetMessage),
    /// Request, answered with the same number.
    Request { number: u64, request: PeerRequest },
    /// Final response to the request of that number.
    Response { number: u64, response: PeerResponse },
    /// Cancels the request of that number.
    Cancel { number: u64 },
    /// Partial response to the request of that number; more responses follow.
    Progress { number: u64, response: PeerResponse },
}

/// Catalogue position of a requesting node, in addition to its revision number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RequesterPosition {
    /// Stage of the revision's era.
    pub stage: EraStage,
    /// Position of the requester when it learned of that era.
    pub known_before: CataloguePosition,
    /// Position from before the requester started, or before the source was restored from an older copy.
    /// Set until the requester has caught up with its peers.
    pub catch_up_from: Option<CataloguePosition>,
}

/// A request from one node to another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerRequest {
    /// Search some partitions of a service on the sender's behalf.
    PartialSearch(PartialSearch),
    /// Get the index versions in which these partitions are available.
    Versions { service: ServiceId, partitions: PartitionSet },
    /// Record a claim of a ticket.
    Claim(ClaimRequest),
    /// Record the outcome of an operation, as reported by its claimant.
    RecordOutcome { ticket: TicketId, claimant: Claimant, state: TicketState },
    /// Look up the recorded state of a ticket.
    LookupTicket { ticket: Ticket },
    /// Get the status report of the node, as JSON, for the admin API of the sender.
    Report,
    /// Get the catalogue changes that the sender lacks.
    Catalogue {
        /// Routing configuration version of the sender; 0 if none.
        version: u64,
        /// Replica revision number of the sender; 0 if none.
        replicas_at: u64,
        /// Maximum time for which the receiver may wait for a change, in milliseconds.
        wait_ms: u64,
        /// Whether the sender accepts incremental configurations and fetches large responses in chunks.
        #[musli(default)]
        takes_documents: bool,
        /// Remainder of the position of the sender; `None` from earlier releases, which send only numbers.
        #[musli(default)]
        requester: Option<RequesterPosition>,
    },
    /// Call one replica of each listed shard on the sender's behalf, and merge the responses.
    PartialGather(Box<PartialGather>),
    /// Share notices about requests that crashed back ends. Sent only to members that advertise support.
    Quarantine {
        notices: Vec<QuarantineNotice>,
        /// Whether the notices are sent to all nodes.
        to_all_nodes: bool,
        /// Whether the receiver should respond with its own notices.
        compare: bool,
    },
    /// Acquire the lease of a quarantined request for one run. Sent to the first owner of the request.
    QuarantineLease {
        notice: QuarantineNotice,
        /// The run and the lease duration.
        wanted: LeaseRequest,
    },
    /// Release the lease of a quarantined request after its run.
    QuarantineLeaseEnd { notice: QuarantineNotice, run: RunId },
    /// Acquire quota for requests of a tenant. Sent to the owner of its quota account, if the node
    /// advertises that it owns accounts.
    Quota(QuotaRequest),
    /// Fetch one chunk of a document offered to the sender.
    DocumentChunk {
        digest: DocumentDigest,
        /// Index of the chunk.
        number: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct PartialSearch {
    pub service: ServiceId,
    /// Configuration revision with which the root planned the query.
    pub revision: Revision,
    /// Index version to search.
    pub version: SnapshotVersion,
    pub partitions: PartitionSet,
    /// Time to the deadline when the request was sent, in microseconds.
    pub remaining_us: u64,
    /// Maximum number of hits.
    pub limit: u32,
    pub order: SortOrder,
    /// Query of the caller, as JSON text.
    pub query: String,
}

/// Fan-out over some shards of a request, delegated to another node. Times are relative to sending,
/// since the clocks of nodes differ.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct PartialGather {
    /// Caller's identifier of this attempt.
    pub request: Vec<u8>,
    pub method: String,
    /// Path and query string.
    pub uri: String,
    /// Headers without hop-by-hop headers.
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
    /// Route name; latencies are recorded by route.
    pub route: String,
    /// Shards named by the root's configuration. Any of their replicas may be called.
    pub shards: Vec<ServiceName>,
    /// Spare replica of each shard, reserved for its last attempt; the root may also call it. An empty
    /// string means no spare.
    pub spares: Vec<String>,
    /// Maximum number of records.
    pub top: u32,
    /// Maximum number of replicas called for each shard.
    pub maximum_attempts: u32,
    /// Target latency of the route, in microseconds; 0 if none.
    pub target_us: u64,
    /// Time of the progress message, in microseconds; 0 to send it once the replicas are called.
    pub progress_us: u64,
    /// Time at which the responses gathered so far are due, in microseconds.
    pub wanted_us: u64,
    /// Time at which the root abandons the request, in microseconds.
    pub limit_us: u64,
    /// Time to the deadline of the caller, in microseconds.
    pub remaining_us: u64,
    /// Whether an earlier gatherer may already have sent the first call of each shard.
    #[musli(default)]
    pub continued: bool,
    /// Zone notices known to the sender; they apply to a gatherer that has not yet received an evacuation.
    #[musli(default)]
    pub zones: Vec<ZoneNotice>,
    /// Back-end crashes caused by this request, as known to the sender.
    #[musli(default)]
    pub quarantine: Option<QuarantineNotice>,
}

/// Results of a delegated fan-out since the previous message. Shards are indexes into the list of the
/// request.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct GatheredPart {
    /// Shards whose records are merged into this part, ascending.
    pub answered: Vec<u32>,
    /// Receipts of their responses for the caller, in the same order.
    pub receipts: Vec<Vec<u8>>,
    /// Top records of these responses, in descending order.
    pub records: Vec<u8>,
    /// Abandoned shards.
    pub closed: Vec<u32>,
    /// Shards retried on a second replica.
    pub retried: Vec<u32>,
    /// Number of requested shards with queued work.
    pub crowded: u32,
    /// Number of calls to replicas so far.
    pub calls: u32,
    /// Back-end crashes caused by this request, as known to the gatherer.
    #[musli(default)]
    pub quarantine: Option<QuarantineNotice>,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct PartialResult {
    /// Searched index version.
    pub version: SnapshotVersion,
    /// Searched part of the requested partitions.
    pub coverage: Coverage,
    /// Hits as a JSON list, merged and truncated to the limit.
    pub hits: Vec<u8>,
    pub work: Work,
    /// Versions in which all requested partitions are available.
    pub versions: Vec<SnapshotVersion>,
    /// Whether the node is leaving the fleet.
    pub leaving: bool,
}

/// Response to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerResponse {
    PartialSearch(Box<PartialResult>),
    /// Available versions.
    Versions(Vec<SnapshotVersion>),
    /// Answer to a claim or to a ticket lookup.
    Claim(ClaimAnswer),
    /// Whether the outcome was recorded.
    Recorded(bool),
    /// Status report, as JSON text.
    Report(String),
    /// The request did not run.
    Refused(Refusal),
    /// Requested catalogue changes.
    Catalogue(Box<CatalogueSnapshot>),
    Gathered(Box<GatheredPart>),
    /// Quarantine notices of the receiver; empty unless `compare` was set.
    Quarantine(Vec<QuarantineNotice>),
    /// Result of a lease request.
    QuarantineLease {
        granted: bool,
        /// Quarantine state of the request, if known.
        notice: Option<QuarantineNotice>,
    },
    /// Number of requests that the tenant may run.
    Quota(QuotaGrant),
    DocumentChunk {
        #[musli(bytes)]
        content: Vec<u8>,
    },
    /// The document is unavailable, or the chunk was not received in time.
    NoDocumentChunk,
}
