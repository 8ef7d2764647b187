//! The HTTP API for callers: queries, operations and tickets.

use std::sync::Arc;

use axum::body::Body;
use axum::extract::{FromRequest, Path, Request, State};
use axum::http::{HeaderMap, HeaderValue, header};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use bytes::Bytes;
use http_body_util::BodyExt;
use rand::RngExt;
use serde_json::value::RawValue;

use sablebay_fleet::{Ticket, TicketState};
use sablebay_model::{Reason, Refusal, RequestId, ServiceId};
use sablebay_protocol::caller::{
    DEADLINE_HEADER, OperationAnswer, QueryBody, REQUEST_ID_HEADER, TICKET_HEADER, TicketAnswer,
    TicketStatusAnswer,
};

use crate::common_routes::with_common_routes;
use crate::operation::{OperationInput, mint_ticket, run_operation, ticket_state};
use crate::outcome_body::refusal_response;
use crate::request_body::{RequestBodyFailure, read_request_body};
use crate::root_search::{QueryInput, find_service, root_search, stopping};
use crate::shared::Shared;

const MAXIMUM_BODY_BYTES: usize = 256 * 1024;
/// Retry delay after a body found no memory. By then, clients that neither send nor read have been given up.
const NO_ROOM_RETRY_MS: u64 = 1_000;
/// Size up to which an answer is not counted. The number of connections bounds the memory of these.
const UNCOUNTED_ANSWER_BYTES: usize = 4 << 10;
/// Maximum number of hits that a query may request.
const MAXIMUM_LIMIT: usize = 10_000;
const MAXIMUM_DEADLINE_MS: u64 = 600_000;
/// In bytes.
const MAXIMUM_REQUEST_ID_LENGTH: usize = 128;

type Answer = Result<Response, Refusal>;

pub fn caller_routes(shared: Arc<Shared>) -> Router {
    let routes = Router::new()
        .route("/v1/services/{service}/query", post(query))
        .route("/v1/services/{service}/operations", post(operation))
        .route("/v1/services/{service}/tickets", post(new_ticket))
        .route("/v1/tickets/{ticket}", get(ticket));
    with_common_routes(routes)
        .layer(from_fn_with_state(shared.clone(), lease_answer))
        .layer(from_fn_with_state(shared.clone(), close_when_draining))
        .with_state(shared)
}

/// Adds `Connection: close` to responses while the node drains, so that callers reconnect to another node.
async fn close_when_draining(State(shared): State<Arc<Shared>>, request: Request, next: Next) -> Response {
    let mut response = next.run(request).await;
    if shared.lifecycle.is_draining() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Counts the memory of a large answer until its client has taken it.
async fn lease_answer(State(shared): State<Arc<Shared>>, request: Request, next: Next) -> Response {
    let (head, body) = next.run(request).await.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            let message = format!("the answer could not be read: {error}");
            return refusal_response(Refusal::unknown(Reason::PeerFailed, message));
        }
    };
    if body.len() <= UNCOUNTED_ANSWER_BYTES {
        return Response::from_parts(head, Body::from(body));
    }
    let mut lease = shared.resources.lease();
    if !lease.grow_to(body.len()).await {
        lease.take(body.len());
    }
    Response::from_parts(head, Body::from(lease.attach_to(body)))
}

fn respond(answer: Answer) -> Response {
    answer.unwrap_or_else(refusal_response)
}

/// Request options that callers send as headers.
struct CallerHeaders {
    request_id: RequestId,
    deadline_ms: Option<u64>,
    ticket: Option<String>,
}

fn text_header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str();
    let bad = |_| Refusal::not_run(Reason::BadRequest, format!("the header {name} is not plain ASCII text"));
    text.map(Some).map_err(bad)
}

fn read_headers(headers: &HeaderMap) -> Result<CallerHeaders, Refusal> {
    let request_id = match text_header(headers, REQUEST_ID_HEADER)? {
        Some(id) if id.len() > MAXIMUM_REQUEST_ID_LENGTH => {
            let message = format!("{REQUEST_ID_HEADER} exceeds {MAXIMUM_REQUEST_ID_LENGTH} bytes");
            return Err(Refusal::not_run(Reason::TooLarge, message));
        }
        Some(id) => RequestId::new(id),
        None => RequestId::new(format!("{:016x}", rand::rng().random::<u64>())),
    };
    let deadline_ms = match text_header(headers, DEADLINE_HEADER)? {
        None => None,
        Some(text) => {
            let limits = 1..=MAXIMUM_DEADLINE_MS;
            let value = text.parse::<u64>().ok().filter(|value| limits.contains(value));
            let message =
                format!("{DEADLINE_HEADER} is `{text}`; expected 1 to {MAXIMUM_DEADLINE_MS} milliseconds");
            Some(value.ok_or_else(|| Refusal::not_run(Reason::BadRequest, message))?)
        }
    };
    let ticket = text_header(headers, TICKET_HEADER)?.map(str::to_string);
    Ok(CallerHeaders { request_id, deadline_ms, ticket })
}

/// The whole body of a request, or why it was not read.
struct ReceivedBody(Result<Bytes, Refusal>);

impl<S: Send + Sync> FromRequest<S> for ReceivedBody {
    type Rejection = std::convert::Infallible;

    async fn from_request(request: Request, _state: &S) -> Result<Self, Self::Rejection> {
        let read = read_request_body(request, MAXIMUM_BODY_BYTES).await;
        Ok(Self(read.map(|(_, body)| body).map_err(body_refusal)))
    }
}

fn body_refusal(failure: RequestBodyFailure) -> Refusal {
    match failure {
        RequestBodyFailure::TooLong => {
            let message = format!("the request body exceeds {MAXIMUM_BODY_BYTES} bytes");
            Refusal::not_run(Reason::TooLarge, message)
        }
        RequestBodyFailure::Truncated => {
            Refusal::not_run(Reason::BadRequest, "the request body could not be read")
        }
        RequestBodyFailure::NoRoom => {
            let message = "the node has no memory for the request body";
            Refusal::not_run(Reason::Overloaded, message).retry_after(NO_ROOM_RETRY_MS)
        }
    }
}

fn parse_body<'a, T: serde::Deserialize<'a>>(body: &'a [u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| {
        Refusal::not_run(Reason::BadRequest, format!("the request body is invalid: {error}"))
    })
}

async fn query(
    State(shared): State<Arc<Shared>>,
    Path(service): Path<String>,
    headers: HeaderMap,
    body: ReceivedBody,
) -> Response {
    respond(answer_query(&shared, &service, &headers, body).await)
}

async fn answer_query(
    shared: &Arc<Shared>,
    service: &str,
    headers: &HeaderMap,
    body: ReceivedBody,
) -> Answer {
    let headers = read_headers(headers)?;
    let body = body.0?;
    let body: QueryBody = parse_body(&body)?;
    if body.limit > MAXIMUM_LIMIT {
        let message = format!("limit is {}; the maximum is {MAXIMUM_LIMIT}", body.limit);
        return Err(Refusal::not_run(Reason::TooLarge, message));
    }
    let request_id = headers.request_id.clone();
    let input = QueryInput {
        request_id: headers.request_id,
        query: body.query.into(),
        limit: body.limit,
        sort: body.sort,
        deadline_ms: headers.deadline_ms,
    };
    let result = root_search(shared, &ServiceId::new(service), input).await;
    match &result {
        Ok(answer) => {
            let covered = answer.coverage.partitions_answered;
            log::debug!(service = service, request = request_id.as_str(), partitions = covered; "query: answered.");
        }
        Err(refusal) => {
            let reason = refusal.reason.to_string();
            log::info!(service = service, request = request_id.as_str(), reason = reason.as_str(); "query: refused.");
        }
    }
    Ok(Json(result?).into_response())
}

async fn operation(
    State(shared): State<Arc<Shared>>,
    Path(service): Path<String>,
    headers: HeaderMap,
    body: ReceivedBody,
) -> Response {
    respond(answer_operation(&shared, &service, &headers, body).await)
}

async fn answer_operation(
    shared: &Arc<Shared>,
    service: &str,
    headers: &HeaderMap,
    body: ReceivedBody,
) -> Answer {
    let headers = read_headers(headers)?;
    let body = body.0?;
    let operation: Box<RawValue> = parse_body(&body)?;
    let request_id = headers.request_id.clone();
    let input = OperationInput { operation, ticket: headers.ticket, deadline_ms: headers.deadline_ms };
    // Spawned so that a caller's disconnect does not cancel the operation: it may have been sent
    // already, and its outcome must be recorded.
    let service_id = ServiceId::new(service);
    let running = {
        let shared = shared.clone();
        tokio::spawn(async move { run_operation(&shared, &service_id, input).await })
    };
    let joined = running.await;
    let result = joined.unwrap_or_else(|_| {
        Err(Refusal::unknown(Reason::PeerFailed, "the node failed while the operation was running"))
    });
    if let Err(refusal) = &result {
        let reason = refusal.reason.to_string();
        log::info!(service = service, request = request_id.as_str(), reason = reason.as_str(); "operation: refused.");
    }
    let (ticket, result) = result?;
    let answer = OperationAnswer { request_id: request_id.to_string(), ticket: ticket.to_string(), result };
    Ok(Json(answer).into_response())
}

async fn new_ticket(State(shared): State<Arc<Shared>>, Path(service): Path<String>) -> Response {
    respond(answer_new_ticket(&shared, &service))
}

fn answer_new_ticket(shared: &Arc<Shared>, service: &str) -> Answer {
    let _in_flight = shared.lifecycle.enter().ok_or_else(|| stopping(shared))?;
    let (_, settings) = find_service(shared, &ServiceId::new(service))?;
    let ticket = mint_ticket(shared, &settings);
    let answer = TicketAnswer { ticket: ticket.to_string(), lifetime_ms: ticket.lifetime_ms };
    Ok(Json(answer).into_response())
}

async fn ticket(State(shared): State<Arc<Shared>>, Path(ticket): Path<String>) -> Response {
    respond(answer_ticket(&shared, ticket).await)
}

async fn answer_ticket(shared: &Arc<Shared>, text: String) -> Answer {
    let ticket: Ticket = text.parse().map_err(|error: sablebay_fleet::FleetError| {
        Refusal::not_run(Reason::BadTicket, error.to_string())
    })?;
    let state = ticket_state(shared, &ticket).await?;
    let status_body = |name: &str| TicketStatusAnswer {
        ticket: text.clone(),
        state: name.to_string(),
        result: None,
        reason: None,
    };
    let answer = match state {
        None => status_body("unclaimed"),
        Some(TicketState::Claimed) => status_body("claimed"),
        Some(TicketState::Done { result }) => {
            TicketStatusAnswer { result: RawValue::from_string(result).ok(), ..status_body("done") }
        }
        Some(TicketState::NotRun { reason }) => {
            TicketStatusAnswer { reason: Some(reason.to_string()), ..status_body("not_run") }
        }
        Some(TicketState::Unknown { reason }) => {
            TicketStatusAnswer { reason: Some(reason.to_string()), ..status_body("unknown") }
        }
    };
    Ok(Json(answer).into_response())
}
