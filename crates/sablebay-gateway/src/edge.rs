//! The three edges of the request path, in the product's terms: callers, back ends, and the source
//! of the catalogue. An adapter implements them with the names and formats of one platform, and
//! decides nothing.

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

/// What a caller shows to say who it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Credential {
    /// Nothing.
    None,
    /// A key.
    Key(ApiKey),
    /// More than one key, or bytes that are none.
    Malformed,
}

/// On whose behalf a request runs.
#[derive(Clone, Copy, Debug)]
pub enum Identity<'a> {
    /// The configuration knows no tenants.
    Untracked,
    /// Anybody's: its route needs no key.
    Anonymous,
    /// A tenant's.
    Tenant(&'a TenantName),
}

/// What the gateway needs to know of a request's head.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The caller's identifier of this attempt.
    pub id: HeaderValue,
    /// How long the caller will wait.
    pub timeout: Option<Duration>,
    /// Who it says it is.
    pub credential: Credential,
}

/// Why a request gets no answer of a back end.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// No route serves it.
    #[display("no route")]
    NoRoute,
    /// It has no identifier.
    #[display("no identifier")]
    NoIdentifier,
    /// Its caller shows no key, or one that stands for no tenant.
    #[display("unknown caller")]
    UnknownCaller,
    /// It is beyond its tenant's quota, and did not run.
    #[display("over quota")]
    OverQuota {
        /// When there is quota again.
        retry_after: Duration,
    },
    /// Its body is longer than the configuration allows.
    #[display("body too long")]
    BodyTooLong,
    /// It did not run, and never will; come back after this time.
    #[display("not run")]
    NotRun {
        /// When to come back.
        retry_after: Duration,
    },
    /// It did not run: back ends in a row ended under requests that asked for the same. It is not tried before
    /// this time has passed.
    #[display("held back")]
    HeldBack {
        /// When it may be tried again.
        retry_after: Duration,
    },
    /// It may have run.
    #[display("unknown")]
    Unknown,
    /// Its time is over; it may have run.
    #[display("expired")]
    Expired,
}

/// The whole answer of one back end.
#[derive(Clone, Debug)]
pub struct FullAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without those that concern one connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// What the answers of all shards were merged to.
#[derive(Clone, Debug)]
pub struct GatheredAnswer {
    /// The receipts of the shards that are in.
    pub receipts: Vec<HeaderValue>,
    /// The number of shards left out.
    pub missing: usize,
    /// The merged records.
    pub body: Bytes,
}

/// What callers speak.
pub trait CallerProtocol: Send + Sync + 'static {
    /// Reads the head of a request; nothing when it has no identifier.
    fn read(&self, headers: &HeaderMap) -> Option<CallerRequest>;
    /// Puts on whose behalf a request runs into its head, in place of whatever its caller wrote there, and takes
    /// the caller's key out.
    fn identify(&self, headers: &mut HeaderMap, identity: Identity<'_>);
    /// The header in which back ends find on whose behalf a request runs.
    fn identity_header(&self) -> HeaderName;
    /// An answer that one back end gave.
    fn relayed(&self, answer: FullAnswer) -> Response<Full<Bytes>>;
    /// An answer that was put together from shards.
    fn gathered(&self, answer: GatheredAnswer) -> Response<Full<Bytes>>;
    /// An answer of the gateway's own.
    fn refused(&self, refusal: Refusal) -> Response<Full<Bytes>>;
}

/// What the head of a back end's answer says.
#[derive(Clone, Debug)]
pub enum AnswerVerdict {
    /// It succeeded; the receipt proves it to the caller.
    Success {
        /// The receipt.
        receipt: HeaderValue,
    },
    /// It ran, or may have, and failed.
    Failure,
    /// It did not run.
    NotRun,
    /// Another replica has the address; it did not run.
    WrongInstance,
    /// It is the answer to another request, or names none.
    Mismatched {
        /// The receipt that it carries, if any.
        receipt: Option<HeaderValue>,
    },
}

/// What the gateway needs to know of an answer's head.
#[derive(Clone, Debug)]
pub struct BackendAnswer {
    /// What became of the request.
    pub verdict: AnswerVerdict,
    /// The back end's load, when it tells it.
    pub load: Option<LoadHint>,
}

/// What back ends speak.
pub trait BackendProtocol: Send + Sync + 'static {
    /// Adds to a request what a replica must be told; `remaining` is how long its answer is wanted.
    fn address_to(&self, request: &mut Request<Full<Bytes>>, replica: &Replica, remaining: Duration);
    /// Reads the head of an answer to the request `id`.
    fn read(&self, id: &HeaderValue, status: StatusCode, headers: &HeaderMap) -> BackendAnswer;
}

/// Why the source of the catalogue gave nothing.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum SourceError {
    /// The changes since the revision asked for are forgotten.
    #[display("history is lost")]
    HistoryLost,
    /// It has come back from an older copy: what changed since the revision asked for means nothing now.
    #[display("it came back from an older copy")]
    Restored,
    /// Its answer is of an era that is over: it was on its way for long, or comes from a store that was left behind.
    #[display("an answer of an earlier era")]
    Outdated,
    /// It refuses for now.
    #[display("refused for now")]
    Busy,
    /// It does not answer.
    #[display("no answer")]
    Unavailable,
    /// Its answer cannot be read.
    #[display("malformed answer")]
    Malformed,
}

/// Everything that the source holds.
#[derive(Clone, Debug)]
pub struct CatalogueListing {
    /// The configuration; none before the first was published.
    pub configuration: Option<RoutingConfiguration>,
    /// The replicas and the evacuated zones, and the revision that the listing was begun at.
    pub listing: Listing,
    /// What could not be read and was left out, one sentence each.
    pub rejected: Vec<String>,
    /// Where the configuration lay, and whether it could be read.
    pub revisions: ConfigurationRevisions,
}

/// What changed after a revision.
#[derive(Clone, Debug, Default)]
pub struct CatalogueChanges {
    /// The configurations that were published, in order.
    pub configurations: Vec<RoutingConfiguration>,
    /// Changes of replicas with their revisions, in order.
    pub replicas: Vec<(ReplicaChange, CatalogueRevision)>,
    /// What the operator said of zones, in order.
    pub zones: Vec<ZoneNotice>,
    /// What could not be read and was left out, one sentence each.
    pub rejected: Vec<String>,
    /// Which configurations among the changes could be read, and could not.
    pub revisions: ConfigurationRevisions,
    /// Whether there may be further changes at the source that are in no answer yet.
    pub partial: bool,
    /// The revision to go on from.
    pub at: CatalogueRevision,
}

/// Where the catalogue comes from.
pub trait CatalogueSource: Send + Sync + 'static {
    /// Reads everything within `patience`.
    fn list(&self, timeout: Duration) -> impl Future<Output = Result<CatalogueListing, SourceError>> + Send;
    /// Waits up to `wait` for changes after a revision; the answer comes within `patience`, and is of the revision's era.
    fn watch(
        &self,
        after: CatalogueRevision,
        wait: Duration,
        timeout: Duration,
    ) -> impl Future<Output = Result<CatalogueChanges, SourceError>> + Send;
}
