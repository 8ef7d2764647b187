//! Reads the body of a caller's request within the memory of the node.

use axum::body::Body;
use axum::extract::Request;
use bytes::Bytes;
use derive_more::{Display, Error};
use http::request::Parts;

use sablebay_http::{BodyFailure, read_body_within};

use crate::resources::{CallerConnection, ConnectionPhase};

/// Why the body of a request was not read.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum RequestBodyFailure {
    #[display("the body is too long")]
    TooLong,
    /// The connection ended before the end of the body, or the body is malformed.
    #[display("the connection ended before the whole body arrived")]
    Truncated,
    /// Other requests need the memory, or there is none.
    #[display("there is no memory for the body")]
    NoRoom,
}

impl From<BodyFailure> for RequestBodyFailure {
    fn from(failure: BodyFailure) -> Self {
        match failure {
            BodyFailure::Broken => Self::Truncated,
            BodyFailure::TooLong => Self::TooLong,
            BodyFailure::NoRoom => Self::NoRoom,
        }
    }
}

/// Reads the whole body of a request. Its memory is leased from the node until the last of the bytes is dropped. A
/// request that came through no listener for callers has no lease.
///
/// # Errors
/// [`RequestBodyFailure`]; the connection can carry no further request then.
pub async fn read_request_body(request: Request, limit: usize) -> Result<(Parts, Bytes), RequestBodyFailure> {
    let (mut head, body) = request.into_parts();
    let Some(connection) = head.extensions.remove::<CallerConnection>() else {
        let body = sablebay_http::read_body(body, limit).await?;
        return Ok((head, body));
    };
    match read_leased(&connection, body, limit).await {
        Ok(body) => {
            connection.set_phase(ConnectionPhase::Serving);
            Ok((head, body))
        }
        Err(failure) => {
            // The rest of the body would have to be read before another request.
            connection.evict();
            Err(failure)
        }
    }
}

async fn read_leased(
    connection: &CallerConnection,
    body: Body,
    limit: usize,
) -> Result<Bytes, RequestBodyFailure> {
    let mut lease = connection.lease();
    let read = tokio::select! {
        biased;
        read = read_body_within(body, limit, &mut lease) => read?,
        () = connection.evicted() => return Err(RequestBodyFailure::NoRoom),
    };
    Ok(lease.attach_to(read))
}
