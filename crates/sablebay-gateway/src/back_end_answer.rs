//! Reads the answer of a back end, and decides whether what it sent is one.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::ext::on_informational;
use tokio::sync::Notify;

use sablebay_dispatch::CallFailure;
use sablebay_http::{BodyFailure, Room, is_answer_status, read_body_within};
use sablebay_model::Micros;
use sablebay_node::{MemoryLease, Resources};

use crate::metrics::GatewayMetrics;

/// Maximum size of a back end's answer.
const MAXIMUM_ANSWER_BYTES: usize = 8 << 20;

/// Size up to which an answer is not counted. The number of calls bounds the memory of these.
const UNCOUNTED_BYTES: usize = 4 << 10;

/// Maximum number of informational heads before an answer.
const MAXIMUM_INFORMATIONAL_HEADS: u32 = 16;

/// Why what a back end sent is no answer to its request. The request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoAnswer {
    /// The connection ended first.
    Closed,
    /// The head is not HTTP, or is too long.
    MalformedHead,
    /// Too many informational heads came before the answer.
    InformationalHeads,
    /// The status is not one that an answer can have.
    Status,
    /// The body ended early, or is malformed.
    BrokenBody,
    LongBody,
    /// The requests and answers of the node leave no memory for this one.
    NoRoom,
    /// It names another request, none, or more than one.
    Foreign,
    /// It reports a success without one receipt that callers can check.
    Unsigned,
    /// It reports a success, and that the request did not run.
    Contradictory,
    /// Its body is encoded, which nobody asked for.
    Encoded,
    /// It holds a part of the records of a shard.
    Partial,
}

impl NoAnswer {
    fn label(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::MalformedHead => "malformed_head",
            Self::InformationalHeads => "informational_heads",
            Self::Status => "status",
            Self::BrokenBody => "broken_body",
            Self::LongBody => "long_body",
            Self::NoRoom => "no_room",
            Self::Foreign => "foreign",
            Self::Unsigned => "unsigned",
            Self::Contradictory => "contradictory",
            Self::Encoded => "encoded",
            Self::Partial => "partial",
        }
    }

    /// How a call with such an answer failed.
    pub fn failure(self) -> CallFailure {
        match self {
            Self::Closed
            | Self::MalformedHead
            | Self::InformationalHeads
            | Self::Status
            | Self::BrokenBody
            | Self::LongBody
            | Self::NoRoom => CallFailure::Broken,
            Self::Foreign | Self::Unsigned | Self::Contradictory | Self::Encoded | Self::Partial => {
                CallFailure::Mismatched
            }
        }
    }

    /// Counts and logs bytes of a replica that are no answer to a request.
    pub fn record(self, metrics: &GatewayMetrics, request: &HeaderValue, replica: &str, now: Micros) {
        metrics.no_answer(self.label());
        // A back end that ends closes its connections, which says nothing new of each request.
        if self != Self::Closed && metrics.no_answer_log_budget.take(now) {
            let id = request.to_str().unwrap_or("unreadable");
            log::warn!(request = id, replica = replica, reason = self.label(); "gateway: what a back end sent is no answer.");
        }
    }
}

/// The head of an answer, unless the connection failed or the status belongs to no answer.
pub fn answer_head(sent: Result<Response<Incoming>, hyper::Error>) -> Result<Response<Incoming>, NoAnswer> {
    match sent {
        Ok(response) if is_answer_status(response.status()) => Ok(response),
        Ok(_) => Err(NoAnswer::Status),
        Err(error) if error.is_parse() => Err(NoAnswer::MalformedHead),
        Err(_) => Err(NoAnswer::Closed),
    }
}

impl From<BodyFailure> for NoAnswer {
    fn from(failure: BodyFailure) -> Self {
        match failure {
            BodyFailure::Broken => Self::BrokenBody,
            BodyFailure::TooLong => Self::LongBody,
            BodyFailure::NoRoom => Self::NoRoom,
        }
    }
}

/// Counts the informational heads before an answer, which nothing else bounds.
pub struct InformationalHeads {
    left: AtomicU32,
    exceeded: Notify,
}

impl InformationalHeads {
    /// Starts to count the informational heads that answer this request.
    pub fn count<B>(request: &mut Request<B>) -> Arc<Self> {
        let heads =
            Arc::new(Self { left: AtomicU32::new(MAXIMUM_INFORMATIONAL_HEADS), exceeded: Notify::new() });
        let counted = heads.clone();
        on_informational(request, move |_| counted.note());
        heads
    }

    fn note(&self) {
        let none_left = |left: u32| left.checked_sub(1);
        if self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, none_left).is_err() {
            self.exceeded.notify_one();
        }
    }

    /// Waits until there are too many.
    pub async fn exceeded(&self) -> NoAnswer {
        self.exceeded.notified().await;
        NoAnswer::InformationalHeads
    }
}

/// The memory of an answer that is being read.
struct AnswerRoom {
    lease: MemoryLease,
}

impl Room for &mut AnswerRoom {
    async fn grow_to(&mut self, bytes: usize) -> bool {
        bytes <= UNCOUNTED_BYTES || self.lease.grow_to(bytes).await
    }
}

/// Reads the whole body of an answer. Its memory is leased until the last of the bytes is dropped.
pub async fn answer_body(body: Incoming, resources: &Resources) -> Result<Bytes, NoAnswer> {
    let mut room = AnswerRoom { lease: resources.lease() };
    let read = read_body_within(body, MAXIMUM_ANSWER_BYTES, &mut room).await?;
    Ok(room.lease.attach_to(read))
}
