//! Reads the body of a caller's request, with limits on its size and time.

use std::sync::OnceLock;
use std::time::Duration;

use axum::extract::Request;
use http::Uri;
use tokio::time::Instant;

use sablebay_catalogue::{Destination, Route};
use sablebay_model::Micros;
use sablebay_node::{RequestBodyFailure, read_request_body};

use crate::answer::AnswerScope;
use crate::call::{ForwardedRequest, end_to_end_headers};
use crate::edge::{CallerRequest, Refusal};

/// Retry delay after a body was truncated or timed out.
const BODY_RETRY: Duration = Duration::from_millis(150);
/// Retry delay after a body found no memory. By then, clients that neither send nor read have been given up.
const NO_ROOM_RETRY: Duration = Duration::from_millis(1_000);

/// Why the body of a request could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFailure {
    /// The body exceeds the configured size.
    TooLong,
    /// The connection ended before the end of the body.
    Truncated,
    /// The body did not arrive before the deadline.
    TimedOut,
    /// The body did not arrive before the node stopped.
    Stopped,
    /// The node has no memory for the body.
    NoRoom,
}

impl From<RequestBodyFailure> for BodyFailure {
    fn from(failure: RequestBodyFailure) -> Self {
        match failure {
            RequestBodyFailure::TooLong => Self::TooLong,
            RequestBodyFailure::Truncated => Self::Truncated,
            RequestBodyFailure::NoRoom => Self::NoRoom,
        }
    }
}

impl BodyFailure {
    /// The refusal for the caller. Nothing was forwarded, so the request may be retried unless its body is
    /// too long.
    pub fn refusal(self) -> Refusal {
        match self {
            BodyFailure::TooLong => Refusal::BodyTooLong,
            BodyFailure::Truncated | BodyFailure::TimedOut | BodyFailure::Stopped => {
                Refusal::NotRun { retry_after: BODY_RETRY }
            }
            BodyFailure::NoRoom => Refusal::NotRun { retry_after: NO_ROOM_RETRY },
        }
    }

    /// The reason as written to the log.
    pub fn reason(self) -> &'static str {
        match self {
            BodyFailure::TooLong => "the body exceeds the size limit",
            BodyFailure::Truncated => "the connection ended before the whole body arrived",
            BodyFailure::TimedOut => "the body did not arrive before the deadline",
            BodyFailure::Stopped => "the body did not arrive before the node stopped",
            BodyFailure::NoRoom => "the node has no memory for the body",
        }
    }
}

/// Reads the whole body and returns the request to forward.
///
/// # Errors
/// If the body is too long, truncated or late, or there is no memory for it.
pub async fn read_request(
    request: Request,
    caller: CallerRequest,
    route: &Route,
    limit: usize,
    caller_deadline: Micros,
    body_deadline: Instant,
) -> Result<ForwardedRequest, BodyFailure> {
    let reading = tokio::time::timeout_at(body_deadline, read_request_body(request, limit));
    let (head, body) = reading.await.map_err(|_| BodyFailure::TimedOut)??;
    let path = head.uri.path_and_query().expect("the route was found by the path").clone();
    Ok(ForwardedRequest {
        id: caller.id,
        method: head.method,
        uri: Uri::from(path),
        headers: end_to_end_headers(head.headers),
        body,
        route: route.name.clone(),
        scope: match route.destination {
            Destination::Services(_) => AnswerScope::Whole,
            Destination::Gather(_) => AnswerScope::Shard,
        },
        caller_deadline,
        digest: OnceLock::new(),
    })
}
