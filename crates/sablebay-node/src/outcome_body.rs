//! Converts refusals into HTTP responses with a common JSON body.

use axum::Json;
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};

use sablebay_model::{Reason, Refusal};

fn status_of(reason: Reason) -> StatusCode {
    match reason {
        Reason::BadRequest | Reason::BadTicket => StatusCode::BAD_REQUEST,
        Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::UnknownService | Reason::NoSuchPath => StatusCode::NOT_FOUND,
        Reason::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        Reason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        Reason::TicketExpired => StatusCode::GONE,
        Reason::ClaimedElsewhere => StatusCode::CONFLICT,
        Reason::Unauthorized => StatusCode::FORBIDDEN,
        Reason::BackEndFailed | Reason::BackEndRefused | Reason::PeerFailed => StatusCode::BAD_GATEWAY,
        Reason::NoReplica
        | Reason::NoVersion
        | Reason::Stopping
        | Reason::NotReady
        | Reason::Unconfirmed
        | Reason::HoldersLost => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Converts a refusal into a response. `Retry-After` is in seconds, rounded up; the body has
/// milliseconds.
pub fn refusal_response(refusal: Refusal) -> Response {
    let status = status_of(refusal.reason);
    let retry_after = refusal.retry_after_ms.map(|milliseconds| milliseconds.div_ceil(1_000));
    let mut response = (status, Json(refusal)).into_response();
    if let Some(value) = retry_after.and_then(|seconds| HeaderValue::from_str(&seconds.to_string()).ok()) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
