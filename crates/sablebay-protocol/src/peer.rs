//! Messages between nodes. One connection carries messages both ways; requests are numbered and
//! answered in any order.

use musli::{Decode, Encode};

use sablebay_catalogue::CatalogueSnapshot;
use sablebay_fleet::{
    ClaimAnswer, ClaimRequest, Claimant, FleetMessage, MemberInfo, Ticket, TicketId, TicketState,
};
use sablebay_model::{PartitionSet, Refusal, Revision, ServiceId, SnapshotVersion, SortOrder};
use sablebay_query::{Coverage, Work};

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
    QuestionTicket {
        /// The ticket.
        ticket: Ticket,
    },
    /// The node's own report, as JSON, for the admin API of another.
    Report,
    /// What is in the catalogue that the sender does not have?
    Catalogue {
        /// The version of the routing configuration that the sender has; 0 when none.
        version: u64,
        /// The revision up to which the sender knows the replicas; 0 when none.
        replicas_at: u64,
        /// How long the receiver may wait until it has something new, in milliseconds.
        wait_ms: u64,
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
}
