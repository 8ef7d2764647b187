//! Reads the answer of a back end, and decides whether what it sent is one.

use bytes::Bytes;
use http::{HeaderValue, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use sablebay_http::is_answer_status;
use sablebay_model::Micros;

use crate::metrics::GatewayMetrics;

/// Maximum size of a back end's answer.
const MAXIMUM_ANSWER_BYTES: usize = 8 << 20;

/// Why what a back end sent is no answer. The request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoAnswer {
    /// The connection ended first.
    Closed,
    /// The head is not HTTP, or is too long.
    MalformedHead,
    /// The status is not one that an answer can have.
    Status,
    /// The body ended early, is malformed or too long.
    Body,
}

impl NoAnswer {
    fn label(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::MalformedHead => "malformed_head",
            Self::Status => "status",
            Self::Body => "body",
        }
    }

    /// Counts and logs bytes of a replica that are no answer to a request.
    pub fn record(self, metrics: &GatewayMetrics, request: &HeaderValue, replica: &str, now: Micros) {
        metrics.no_answer(self.label());
        // A back end that ends closes its connections, which says nothing new of each request.
        if self != Self::Closed && metrics.log_budget.take(now) {
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

/// Reads the whole body of an answer.
pub async fn answer_body(body: Incoming) -> Result<Bytes, NoAnswer> {
    let collected = Limited::new(body, MAXIMUM_ANSWER_BYTES).collect().await;
    collected.map(|body| body.to_bytes()).map_err(|_| NoAnswer::Body)
}
