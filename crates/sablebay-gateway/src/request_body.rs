//! Reads the whole body of a caller's request, within its limits of length and time.

use std::sync::OnceLock;
use std::time::Duration;

use axum::extract::Request;
use http::Uri;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::time::Instant;

use sablebay_catalogue::Route;
use sablebay_model::Micros;

use crate::call::{ForwardedRequest, end_to_end_headers};
use crate::edge::{CallerRequest, Refusal};

/// When to come back with a body that broke off or did not come.
const BROKEN_BODY_RETRY: Duration = Duration::from_millis(150);

/// Why the body of a request was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFailure {
    /// It is longer than the configuration allows.
    TooLong,
    /// Its connection ended before it did.
    BrokenOff,
    /// It did not come within the request's time.
    TooSlow,
}

impl BodyFailure {
    /// What the caller is told. Nothing of the request has gone on: unless it can never be taken, it may come back.
    pub fn refusal(self) -> Refusal {
        match self {
            BodyFailure::TooLong => Refusal::BodyTooLong,
            BodyFailure::BrokenOff | BodyFailure::TooSlow => {
                Refusal::NotRun { retry_after: BROKEN_BODY_RETRY }
            }
        }
    }

    /// The reason for the log.
    pub fn reason(self) -> &'static str {
        match self {
            BodyFailure::TooLong => "the body is too long",
            BodyFailure::BrokenOff => "the body was broken off",
            BodyFailure::TooSlow => "the body did not come within the request's time",
        }
    }
}

/// The request as it goes on, once its whole body is in.
///
/// # Errors
/// Why its body is not.
pub async fn read_request(
    request: Request,
    caller: CallerRequest,
    route: &Route,
    limit: usize,
    caller_deadline: Micros,
    body_deadline: Instant,
) -> Result<ForwardedRequest, BodyFailure> {
    let (head, body) = request.into_parts();
    let reading = Limited::new(body, limit).collect();
    let body = match tokio::time::timeout_at(body_deadline, reading).await {
        Err(_) => return Err(BodyFailure::TooSlow),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(BodyFailure::TooLong),
        Ok(Err(_)) => return Err(BodyFailure::BrokenOff),
        Ok(Ok(collected)) => collected.to_bytes(),
    };
    let path = head.uri.path_and_query().expect("the route was found by the path").clone();
    Ok(ForwardedRequest {
        id: caller.id,
        method: head.method,
        uri: Uri::from(path),
        headers: end_to_end_headers(head.headers),
        body,
        route: route.name.clone(),
        caller_deadline,
        digest: OnceLock::new(),
    })
}
