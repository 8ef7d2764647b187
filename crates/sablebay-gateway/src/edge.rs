//! Protocol traits for callers, back ends and the catalogue source. An adapter implements them for the names
//! and formats of one platform, and contains no policy.

use std::fmt::Display;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;

use sablebay_catalogue::{
    CatalogueRevision, ConfigurationRevisions, Listing, Replica, ReplicaChange, RoutingConfiguration,
    ZoneNotice,
};
use sablebay_dispatch::LoadHint;
use sablebay_tenants::{ApiKey, TenantName};

pub use crate::answer::{PartReceipt, Receipt, RelayedAnswer, RelayedParts};

/// The credential in a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Credential {
    None,
    Key(ApiKey),
    /// More than one key, or bytes that are not a valid key.
    Malformed,
}

/// The authenticated identity of a request.
#[derive(Clone, Copy, Debug)]
pub enum Identity<'a> {
    /// The configuration defines no tenants.
    Untracked,
    /// The route requires no key.
    Anonymous,
    Tenant(&'a TenantName),
}

/// The parsed head of a caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    pub id: HeaderValue,
    /// How long the caller will wait, if stated.
    pub timeout: Option<Duration>,
    pub credential: Credential,
}

/// Why the gateway refuses a request, or cannot answer it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// No route matches the request.
    #[display("no route")]
    NoRoute,
    /// The request has no identifier.
    #[display("no identifier")]
    NoIdentifier,
    /// The request has no key, or one that belongs to no tenant.
    #[display("unknown caller")]
    UnknownCaller,
    /// The request exceeds its tenant's quota and did not run.
    #[display("over quota")]
    OverQuota {
        /// Time until quota is available.
        retry_after: Duration,
    },
    /// The body exceeds the configured size.
    #[display("body too long")]
    BodyTooLong,
    /// The request did not run and never will; it may be retried.
    #[display("not run")]
    NotRun {
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// The request is quarantined and did not run: consecutive back ends crashed while running the same
    /// request.
    #[display("held back")]
    HeldBack {
        /// Delay before a retry is allowed.
        retry_after: Duration,
    },
    /// The request may have run.
    #[display("unknown")]
    Unknown,
    /// The deadline has passed; the request may have run.
    #[display("expired")]
    Expired,
}

/// The merged answers of the shards of a request.
#[derive(Clone, Debug)]
pub struct GatheredAnswer {
    /// The receipts of the shards that answered.
    pub receipts: Vec<PartReceipt>,
    /// The number of shards without an answer.
    pub missing: usize,
    pub body: Bytes,
}

/// The protocol between callers and the gateway.
pub trait CallerProtocol: Send + Sync + 'static {
    /// Parses the head of a request; `None` if it has no identifier.
    fn read(&self, headers: &HeaderMap) -> Option<CallerRequest>;
    /// Sets the identity header, replacing any value sent by the caller, and removes the caller's key.
    fn identify(&self, headers: &mut HeaderMap, identity: Identity<'_>);
    /// The name of the header that tells back ends the caller's identity.
    fn identity_header(&self) -> HeaderName;
    /// Builds the response from the answer of one back end.
    fn relayed(&self, answer: RelayedAnswer) -> Response<Full<Bytes>>;
    /// Builds the response from the merged answers of several shards.
    fn gathered(&self, answer: GatheredAnswer) -> Response<Full<Bytes>>;
    /// Builds the response for a refusal.
    fn refused(&self, refusal: Refusal) -> Response<Full<Bytes>>;
}

/// A header that may stand once in the head of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Stated {
    #[default]
    Absent,
    Once(HeaderValue),
    /// In several lines, which readers of the head may not take alike.
    Repeated,
}

impl Stated {
    /// Reads a header from the head of an answer.
    pub fn of(headers: &HeaderMap, name: &HeaderName) -> Self {
        let mut lines = headers.get_all(name).iter();
        match (lines.next(), lines.next()) {
            (None, _) => Self::Absent,
            (Some(value), None) => Self::Once(value.clone()),
            (Some(_), Some(_)) => Self::Repeated,
        }
    }

    /// Whether it stands once, with this value.
    pub fn is(&self, value: &HeaderValue) -> bool {
        matches!(self, Self::Once(stated) if stated == value)
    }
}

/// What the head of a back end's answer states in the back ends' protocol.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    /// The identifier of the request that it answers.
    pub request: Stated,
    /// Proves to the caller which back end ran the request.
    pub receipt: Stated,
    /// Whether it says that the request did not run.
    pub is_not_executed: bool,
    /// Whether it says that another replica has taken over the address, and that the request did not run.
    pub is_wrong_instance: bool,
    /// The back end's load, if reported.
    pub load: Option<LoadHint>,
}

/// The protocol between the gateway and back ends.
pub trait BackendProtocol: Send + Sync + 'static {
    /// Adds the headers for a replica; `remaining` is the time until the deadline.
    fn address_to(&self, request: &mut Request<Full<Bytes>>, replica: &Replica, remaining: Duration);
    /// Parses the head of an answer.
    fn read(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;
}

/// Why a read of the catalogue source failed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum SourceError {
    /// The source no longer has the changes since the requested revision.
    #[display("history is lost")]
    HistoryLost,
    /// The source was restored from an older copy, so changes since the requested revision are invalid.
    #[display("it came back from an older copy")]
    Restored,
    /// The answer belongs to an earlier era: it was delayed, or comes from a store that has been replaced.
    #[display("an answer of an earlier era")]
    Outdated,
    /// The source refuses requests temporarily.
    #[display("refused for now")]
    Busy,
    /// The source does not answer.
    #[display("no answer")]
    Unavailable,
    /// The answer cannot be parsed.
    #[display("malformed answer")]
    Malformed,
    /// The source answered with a page that the listing already holds, so the listing would never end.
    #[display("a page came again")]
    RepeatedPage,
    /// The source holds more than a node can.
    #[display("too many entries")]
    TooLarge,
    /// A key of the source forms no valid request, so the listing cannot go on.
    #[display("a key forms no valid request")]
    InvalidTarget,
}

/// Entries that could not be parsed and were left out. Holds the first findings and the number of all.
#[derive(Clone, Debug, Default)]
pub struct RejectedItems {
    count: usize,
    findings: Vec<String>,
}

impl RejectedItems {
    /// Number of findings that are kept.
    const MAXIMUM_FINDINGS: usize = 5;
    /// Length at which a finding is cut, since it may quote what was found.
    const MAXIMUM_FINDING_BYTES: usize = 400;

    /// Counts an entry that was left out for this reason.
    pub fn record(&mut self, finding: impl Display) {
        self.count += 1;
        if self.findings.len() == Self::MAXIMUM_FINDINGS {
            return;
        }
        let mut finding = finding.to_string();
        if finding.len() > Self::MAXIMUM_FINDING_BYTES {
            finding.truncate(finding.floor_char_boundary(Self::MAXIMUM_FINDING_BYTES));
            finding.push_str("...");
        }
        self.findings.push(finding);
    }

    pub fn count(&self) -> usize {
        self.count
    }

    /// The first findings, one sentence each.
    pub fn findings(&self) -> &[String] {
        &self.findings
    }
}

/// The full contents of the source.
#[derive(Clone, Debug)]
pub struct CatalogueListing {
    /// The configuration; none before the first one is published.
    pub configuration: Option<RoutingConfiguration>,
    /// The replicas and evacuated zones, with the revision at the start of the listing.
    pub listing: Listing,
    pub rejected: RejectedItems,
    /// The revision of the configuration, and whether it could be parsed.
    pub revisions: ConfigurationRevisions,
}

/// The changes after a revision.
#[derive(Clone, Debug, Default)]
pub struct CatalogueChanges {
    /// The published configurations, in order.
    pub configurations: Vec<RoutingConfiguration>,
    /// Changes of replicas with their revisions, in order.
    pub replicas: Vec<(ReplicaChange, CatalogueRevision)>,
    /// The operator's zone notices, in order.
    pub zones: Vec<ZoneNotice>,
    pub rejected: RejectedItems,
    /// The revisions of the configurations that could and could not be parsed.
    pub revisions: ConfigurationRevisions,
    /// Whether the source may have further changes that no answer contains yet.
    pub partial: bool,
    /// The revision to continue from.
    pub at: CatalogueRevision,
}

/// The source of the catalogue.
pub trait CatalogueSource: Send + Sync + 'static {
    /// Reads the full contents within `timeout`.
    fn list(&self, timeout: Duration) -> impl Future<Output = Result<CatalogueListing, SourceError>> + Send;
    /// Waits up to `wait` for changes after a revision. The answer arrives within `timeout`, and belongs to
    /// the revision's era.
    fn watch(
        &self,
        after: CatalogueRevision,
        wait: Duration,
        timeout: Duration,
    ) -> impl Future<Output = Result<CatalogueChanges, SourceError>> + Send;
}
