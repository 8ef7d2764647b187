//! Messages between nodes. One connection carries messages both ways; requests are numbered and
//! answered in any order.

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

/// The first message of each side: who it is.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Greeting {
    /// The sender.
    pub info: MemberInfo,
}

/// One message on a connection.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerMessage {
    /// Who the sender is; before anything else.
    Greeting(Greeting),
    /// Membership and configuration.
    Fleet(FleetMessage),
    /// A request, to be answered under its number.
    Request {
        /// The number.
        number: u64,
        /// The request.
        request: PeerRequest,
    },
    /// The answer to a request.
    Response {
        /// The number of the request.
        number: u64,
        /// The answer.
        response: PeerResponse,
    },
    /// The answer to a request is no longer wanted.
    Cancel {
        /// The number of the request.
        number: u64,
    },
    /// A part of the answer to a request; more will come.
    Progress {
        /// The number of the request.
        number: u64,
        /// The part.
        response: PeerResponse,
    },
}

/// Where a node stands that asks for news of the catalogue, beside the number of a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RequesterPosition {
    /// The stage of that revision's era.
    pub stage: EraStage,
    /// Up to where it knew the catalogue when it heard of that era.
    pub known_before: CataloguePosition,
    /// Up to where it knew the catalogue before it started, or before the source came back from an older copy, while it has yet
    /// to learn what others knew then.
    pub catch_up_from: Option<CataloguePosition>,
}

/// A request from one node to another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerRequest {
    /// Search some partitions of a service on the sender's behalf.
    PartialSearch(PartialSearch),
    /// Which versions can these partitions be had in?
    Versions {
        /// The service.
        service: ServiceId,
        /// The partitions.
        partitions: PartitionSet,
    },
    /// Record a claim.
    Claim(ClaimRequest),
    /// Record an outcome.
    RecordOutcome {
        /// The ticket.
        ticket: TicketId,
        /// The claimant, whose word it is.
        claimant: Claimant,
        /// The outcome.
        state: TicketState,
    },
    /// What is known of a ticket?
    LookupTicket {
        /// The ticket.
        ticket: Ticket,
    },
    /// The node's own report, as JSON, for the admin API of another.
    Report,
    /// What is in the catalogue that the sender does not have?
    Catalogue {
        /// The version of the routing configuration that the sender has; 0 when none.
        version: u64,
        /// The number of the revision up to which the sender knows the replicas; 0 when none.
        replicas_at: u64,
        /// How long the receiver may wait until it has something new, in milliseconds.
        wait_ms: u64,
        /// Whether the sender takes steps between configurations, and fetches large answers in chunks.
        #[musli(default)]
        takes_documents: bool,
        /// The rest of where the sender stands; nothing from a node of an earlier release, which knows numbers alone.
        #[musli(default)]
        requester: Option<RequesterPosition>,
    },
    /// Ask one replica of each of some shards on the sender's behalf, and merge their answers.
    PartialGather(Box<PartialGather>),
    /// What the sender knows of requests that back ends ended under. Sent only to members that say they share it.
    Quarantine {
        /// What it knows.
        notices: Vec<QuarantineNotice>,
        /// Whether every node is told the same.
        to_all_nodes: bool,
        /// Whether the receiver's own knowledge is wanted.
        compare: bool,
    },
    /// May this run have the lease of its request? Sent to the node that keeps account of the request first.
    QuarantineLease {
        /// What the sender knows of the request.
        notice: QuarantineNotice,
        /// The run, and how long it would keep others waiting.
        wanted: LeaseRequest,
    },
    /// The run that had the lease of its request is over.
    QuarantineLeaseEnd {
        /// What the sender knows of the request.
        notice: QuarantineNotice,
        /// The run.
        run: RunId,
    },
    /// May requests of a tenant run? Sent to the node that keeps its account, if it says that it keeps some.
    Quota(QuotaRequest),
    /// A chunk of a document that was offered to the sender.
    DocumentChunk {
        /// The document.
        digest: DocumentDigest,
        /// The number of the chunk.
        number: u64,
    },
}

/// A search of some partitions.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct PartialSearch {
    /// The service.
    pub service: ServiceId,
    /// The revision that the root planned with.
    pub revision: Revision,
    /// The version to search at.
    pub version: SnapshotVersion,
    /// The partitions.
    pub partitions: PartitionSet,
    /// Time left, in microseconds, when the request was sent.
    pub remaining_us: u64,
    /// Hits wanted at the most.
    pub limit: u32,
    /// Their order.
    pub order: SortOrder,
    /// The caller's query, as JSON text.
    pub query: String,
}

/// A request over shards whose records are merged, as one node hands some of its shards to another.
/// Times are spans from when it was sent: the clocks of nodes differ.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct PartialGather {
    /// The caller's identifier of this attempt.
    pub request: Vec<u8>,
    /// The method.
    pub method: String,
    /// Path and query.
    pub uri: String,
    /// The headers, without those that concern one connection.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
    /// The name of the route; latencies are kept by it.
    pub route: String,
    /// The shards. The root's configuration names them; any replica of theirs will do.
    pub shards: Vec<ServiceName>,
    /// The spare replica of each shard, which its last attempt is kept for: the root may send the
    /// shard there too. Empty texts where there is none.
    pub spares: Vec<String>,
    /// Records wanted at the most.
    pub top: u32,
    /// Replicas that each shard may be sent to.
    pub maximum_attempts: u32,
    /// The route's target latency, in microseconds; 0 when there is none.
    pub target_us: u64,
    /// When a sign of life is due, in microseconds; 0: once the replicas are asked.
    pub progress_us: u64,
    /// When what is in is wanted, in microseconds.
    pub wanted_us: u64,
    /// When the root gives the request up, in microseconds.
    pub limit_us: u64,
    /// How much longer the caller waits, in microseconds.
    pub remaining_us: u64,
    /// Whether another gatherer was asked before that may have sent the first call of each shard.
    #[musli(default)]
    pub continued: bool,
    /// What the sender knows that operators said of zones: a gatherer that has not heard of an
    /// evacuation goes by this.
    #[musli(default)]
    pub zones: Vec<ZoneNotice>,
    /// What the sender knows of back ends that ended under this request.
    #[musli(default)]
    pub quarantine: Option<QuarantineNotice>,
}

/// What a node gathered of the shards asked for since it last said something. Shards are positions
/// in the list of the request.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct GatheredPart {
    /// Shards whose records are merged here, rising.
    pub answered: Vec<u32>,
    /// What proves their answers to the caller, in the same order.
    pub receipts: Vec<Vec<u8>>,
    /// The greatest records of these answers, greatest first.
    pub records: Vec<u8>,
    /// Shards that were given up.
    pub closed: Vec<u32>,
    /// Shards that were sent to a second replica.
    pub retried: Vec<u32>,
    /// Shards at which work queues, of all that were asked for.
    pub crowded: u32,
    /// Calls to replicas so far.
    pub calls: u32,
    /// What is known here of back ends that ended under this request.
    #[musli(default)]
    pub quarantine: Option<QuarantineNotice>,
}

/// The result of a partial search.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct PartialResult {
    /// The version searched.
    pub version: SnapshotVersion,
    /// What was searched of the partitions asked for.
    pub coverage: Coverage,
    /// The hits as a JSON list, already merged and cut.
    pub hits: Vec<u8>,
    /// What it took.
    pub work: Work,
    /// Versions that all the partitions asked for can be had in.
    pub versions: Vec<SnapshotVersion>,
    /// Whether the node is leaving.
    pub leaving: bool,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerResponse {
    /// The result of a partial search.
    PartialSearch(Box<PartialResult>),
    /// Versions.
    Versions(Vec<SnapshotVersion>),
    /// The answer to a claim or a question about a ticket.
    Claim(ClaimAnswer),
    /// An outcome was recorded, or not.
    Recorded(bool),
    /// A report, as JSON text.
    Report(String),
    /// The request was not run.
    Refused(Refusal),
    /// The part of the catalogue that was asked for.
    Catalogue(Box<CatalogueSnapshot>),
    /// Shards that were gathered.
    Gathered(Box<GatheredPart>),
    /// What is known of requests that back ends ended under; nothing where that was not wanted.
    Quarantine(Vec<QuarantineNotice>),
    /// Whether a run has the lease of its request.
    QuarantineLease {
        /// Whether it has.
        granted: bool,
        /// What is known of the request.
        notice: Option<QuarantineNotice>,
    },
    /// How many of a tenant's requests may run.
    Quota(QuotaGrant),
    /// A chunk of a document.
    DocumentChunk {
        /// What it holds.
        #[musli(bytes)]
        content: Vec<u8>,
    },
    /// The document is not here, or the chunk did not arrive here in time.
    NoDocumentChunk,
}
