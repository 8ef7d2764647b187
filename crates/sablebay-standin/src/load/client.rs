//! Client of a node's caller interface.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde::de::DeserializeOwned;

use sablebay_http::{ConnectionPool, ExchangeFailure};
use sablebay_model::{Outcome, Reason, Refusal};
use sablebay_protocol::caller::{
    DEADLINE_HEADER, OperationAnswer, QueryAnswer, TICKET_HEADER, TicketAnswer, TicketStatusAnswer,
};

use super::check::{CheckedAnswer, check_answer};
use crate::corpus::Corpus;

/// Maximum connections of a client.
const CONNECTIONS: usize = 4_096;
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Outcome of a query.
#[derive(Clone, Debug)]
pub enum QueryOutcome {
    Answered(CheckedAnswer),
    /// The query did not run: the node refused it or was unreachable.
    NotRun {
        /// The node's reason; `None` if the node was unreachable.
        reason: Option<Reason>,
        retry_after_ms: Option<u64>,
    },
    /// The node does not know whether the query ran.
    Unknown {
        reason: Reason,
    },
    /// The connection was lost before an answer.
    ConnectionLost,
}

/// Outcome of an operation.
#[derive(Clone, Debug, PartialEq)]
pub enum OperationOutcome {
    /// The operation ran.
    Done { ticket: String },
    /// The operation did not run and never will, or the node was unreachable.
    NotRun {
        /// The node's reason; `None` if the node was unreachable.
        reason: Option<Reason>,
    },
    /// Whether the operation ran is unknown.
    Unknown {
        /// The node's reason; `None` if the connection was lost.
        reason: Option<Reason>,
    },
}

/// Client of a node's caller interface.
pub struct CallerClient {
    pool: ConnectionPool,
}

enum ExchangeOutcome<T> {
    Answer(T),
    Refused(Refusal),
    NotSent,
    Broken,
}

impl CallerClient {
    pub fn new(address: SocketAddr) -> Self {
        Self { pool: ConnectionPool::new(address, CONNECTIONS) }
    }

    async fn exchange<T: DeserializeOwned>(&self, request: Request<Full<Bytes>>) -> ExchangeOutcome<T> {
        let result = tokio::time::timeout(CALL_TIMEOUT, self.fetch(request)).await;
        let (status, body) = match result {
            Ok(Ok(fetched)) => fetched,
            Ok(Err(ExchangeFailure::NotSent)) => return ExchangeOutcome::NotSent,
            Ok(Err(ExchangeFailure::Broken)) | Err(_) => return ExchangeOutcome::Broken,
        };
        if status.is_success() {
            return serde_json::from_slice(&body).map_or(ExchangeOutcome::Broken, ExchangeOutcome::Answer);
        }
        serde_json::from_slice(&body).map_or(ExchangeOutcome::Broken, ExchangeOutcome::Refused)
    }

    async fn fetch(&self, request: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes), ExchangeFailure> {
        let permit = self.pool.permit().await;
        let mut lease = self.pool.connect(permit).await.ok_or(ExchangeFailure::NotSent)?;
        let response = self.pool.send(&mut lease, request).await?;
        let status = response.status();
        let body = response.into_body().collect().await.map_err(|_| ExchangeFailure::Broken)?;
        self.pool.release(lease);
        Ok((status, body.to_bytes()))
    }

    /// Queries the orders of an outlet and checks the answer.
    pub async fn query(
        &self,
        service: &str,
        outlet: u64,
        limit: usize,
        deadline_ms: Option<u64>,
        corpus: &Corpus,
    ) -> QueryOutcome {
        let body = format!("{{\"query\":{{\"outlet\":{outlet}}},\"limit\":{limit}}}");
        let mut request = post(format!("/v1/services/{service}/query"), body);
        if let Some(deadline_ms) = deadline_ms {
            request.headers_mut().insert(DEADLINE_HEADER, HeaderValue::from(deadline_ms));
        }
        match self.exchange::<QueryAnswer>(request).await {
            ExchangeOutcome::Answer(answer) => {
                QueryOutcome::Answered(check_answer(&answer, outlet, limit, corpus))
            }
            ExchangeOutcome::Refused(refusal) if refusal.outcome == Outcome::NotRun => {
                QueryOutcome::NotRun { reason: Some(refusal.reason), retry_after_ms: refusal.retry_after_ms }
            }
            ExchangeOutcome::Refused(refusal) => QueryOutcome::Unknown { reason: refusal.reason },
            ExchangeOutcome::NotSent => QueryOutcome::NotRun { reason: None, retry_after_ms: None },
            ExchangeOutcome::Broken => QueryOutcome::ConnectionLost,
        }
    }

    /// Requests an operation ticket.
    pub async fn ticket(&self, service: &str) -> Option<String> {
        let request = post(format!("/v1/services/{service}/tickets"), String::new());
        match self.exchange::<TicketAnswer>(request).await {
            ExchangeOutcome::Answer(answer) => Some(answer.ticket),
            _ => None,
        }
    }

    pub async fn operation(
        &self,
        service: &str,
        ticket: Option<&str>,
        deadline_ms: Option<u64>,
    ) -> OperationOutcome {
        let body = "{\"order\":\"forty trays\"}".to_string();
        let mut request = post(format!("/v1/services/{service}/operations"), body);
        if let Some(value) = ticket.and_then(|ticket| HeaderValue::from_str(ticket).ok()) {
            request.headers_mut().insert(TICKET_HEADER, value);
        }
        if let Some(deadline_ms) = deadline_ms {
            request.headers_mut().insert(DEADLINE_HEADER, HeaderValue::from(deadline_ms));
        }
        match self.exchange::<OperationAnswer>(request).await {
            ExchangeOutcome::Answer(answer) => OperationOutcome::Done { ticket: answer.ticket },
            ExchangeOutcome::Refused(refusal) if refusal.outcome == Outcome::NotRun => {
                OperationOutcome::NotRun { reason: Some(refusal.reason) }
            }
            ExchangeOutcome::Refused(refusal) => OperationOutcome::Unknown { reason: Some(refusal.reason) },
            ExchangeOutcome::NotSent => OperationOutcome::NotRun { reason: None },
            ExchangeOutcome::Broken => OperationOutcome::Unknown { reason: None },
        }
    }

    /// Returns the status of a ticket.
    pub async fn ticket_state(&self, ticket: &str) -> Option<TicketStatusAnswer> {
        let mut request = Request::new(Full::default());
        *request.uri_mut() = format!("/v1/tickets/{ticket}").parse().ok()?;
        match self.exchange::<TicketStatusAnswer>(request).await {
            ExchangeOutcome::Answer(answer) => Some(answer),
            _ => None,
        }
    }

    /// Sends a request; returns status and body regardless of the status.
    pub async fn send(&self, method: Method, path: &str, body: &str) -> Option<(StatusCode, Bytes)> {
        let mut request = post(path.to_string(), body.to_string());
        *request.method_mut() = method;
        tokio::time::timeout(CALL_TIMEOUT, self.fetch(request)).await.ok()?.ok()
    }
}

fn post(path: String, body: String) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().unwrap_or_default();
    request.headers_mut().insert(http::header::HOST, HeaderValue::from_static("node"));
    request.headers_mut().insert(http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    request
}
