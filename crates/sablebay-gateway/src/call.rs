//! One call to one replica: takes a connection, sends, reads the whole answer, and tells the
//! replica table how it went, also when nobody waits for the answer any more.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use tokio::sync::{mpsc, oneshot};

use sablebay_catalogue::RoutableReplica;
use sablebay_dispatch::{CallFailure, CallKey, CallNumber, GatheredShards, LoadHint};
use sablebay_model::{Micros, RequestDigest};

use crate::connections::{Lease, Liveness, ReplicaConnections};
use crate::context::{Context, Withheld};
use crate::edge::{AnswerVerdict, BackendProtocol, CallerProtocol, WholeAnswer};
use crate::merge::MergedPart;

/// The longest answer of a back end.
const MAXIMUM_ANSWER_BYTES: usize = 8 << 20;

/// A caller's request, as it goes to every replica.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The caller's identifier.
    pub id: HeaderValue,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The headers, without those that concern one connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The name of its route.
    pub route: String,
    /// When the caller stops waiting.
    pub caller_deadline: Micros,
    /// What it asks for, once somebody wanted to know.
    pub digest: OnceLock<RequestDigest>,
}

/// A call that succeeded.
#[derive(Debug)]
pub struct CallSuccess {
    /// What proves it to the caller.
    pub receipt: HeaderValue,
    /// The answer.
    pub answer: WholeAnswer,
}

/// How a call ended, for the request that it belongs to.
#[derive(Debug)]
pub enum CallResult {
    /// With success.
    Success(CallSuccess),
    /// Without; a back end's own failure comes with its answer.
    Failure(CallFailure, Option<WholeAnswer>),
}

/// What comes back of a call.
#[derive(Debug)]
pub enum CallNews {
    /// A call to a replica ended.
    Ended(CallResult),
    /// A gatherer told how far it is, with what it has merged since.
    Gathered(GatheredShards, MergedPart),
    /// A gatherer is of no use.
    GathererFailed(CallFailure),
}

/// What a call tells its request.
#[derive(Debug)]
pub struct CallEvent {
    /// The call.
    pub call: CallNumber,
    /// What came back.
    pub news: CallNews,
}

/// One call to be made.
pub struct OutgoingCall {
    /// Names it in its request.
    pub number: CallNumber,
    /// Names it among all of this node.
    pub key: CallKey,
    /// Where to.
    pub replica: RoutableReplica,
    /// What.
    pub request: Arc<ForwardedRequest>,
    /// Whether it is a hedge or a retry.
    pub extra: bool,
    /// When the answer is no longer wanted.
    pub deadline: Micros,
    /// Ready when nobody waits any more; also when its other end is dropped.
    pub abandoned: oneshot::Receiver<()>,
    /// Where the result goes.
    pub events: mpsc::UnboundedSender<CallEvent>,
}

/// Makes a call.
pub async fn run_call<C: CallerProtocol, B: BackendProtocol>(
    context: Arc<Context<C, B>>,
    call: OutgoingCall,
) {
    let connections = context.connections_to(&call.replica);
    let OutgoingCall { number, key, replica, request, extra, deadline, mut abandoned, events } = call;
    let leased = tokio::select! {
        lease = connections.lease() => lease,
        _ = &mut abandoned => {
            // Nothing was sent.
            context.dispatch.lock().table.forget(&replica.replica.id, key);
            return;
        }
        () = tokio::time::sleep_until(context.clock().instant(deadline)) => {
            context.dispatch.lock().table.forget(&replica.replica.id, key);
            let unreached = CallResult::Failure(CallFailure::NoConnection, None);
            let _ = events.send(CallEvent { call: number, news: CallNews::Ended(unreached) });
            return;
        }
    };
    let Some(lease) = leased else {
        context.dispatch.lock().table.failed(&replica.replica.id, key, context.clock().now());
        let unreached = CallResult::Failure(CallFailure::NoConnection, None);
        let _ = events.send(CallEvent { call: number, news: CallNews::Ended(unreached) });
        return;
    };
    if let Err(why) = context.permit_sending(&replica) {
        connections.give_back(lease);
        note_withheld(&context, &replica, key, &request, why);
        let unsent = CallResult::Failure(CallFailure::NoConnection, None);
        let _ = events.send(CallEvent { call: number, news: CallNews::Ended(unsent) });
        return;
    }
    let mut exchange =
        std::pin::pin!(exchange(&context, &connections, lease, &replica, &request, extra, deadline));
    let finished = tokio::select! {
        result = &mut exchange => Some(result),
        _ = &mut abandoned => {
            let now = context.clock().now();
            let patience = context.dispatch.lock().table.abandoned_patience(&replica.replica.id, now);
            tokio::time::timeout(patience.as_duration(), &mut exchange).await.ok()
        }
        () = tokio::time::sleep_until(context.clock().instant(deadline)) => None,
    };
    let result = finished.unwrap_or((CallResult::Failure(CallFailure::TimedOut, None), None));
    if let CallResult::Failure(CallFailure::Broken, _) = result.0 {
        note_end_of_back_end(&context, &connections, &replica, &request).await;
    }
    note(&context, &replica, key, &request, &result);
    let _ = events.send(CallEvent { call: number, news: CallNews::Ended(result.0) });
}

/// Notes that a call was given up before anything of it was sent.
fn note_withheld<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    replica: &RoutableReplica,
    key: CallKey,
    request: &ForwardedRequest,
    why: Withheld,
) {
    context.dispatch.lock().table.forget(&replica.replica.id, key);
    if context.metrics.log_budget.take(context.clock().now()) {
        let request = request.id.to_str().unwrap_or("unreadable");
        log::info!(request = request, replica = replica.replica.id.as_str(), zone = replica.replica.zone.as_str(), catalogue_age_ms = context.catalogue_age().as_millis(); "gateway: nothing is sent to a replica that was chosen before: {why}.");
    }
}

/// A call broke: looks whether its back end has ended, or just the connection.
async fn note_end_of_back_end<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    connections: &ReplicaConnections,
    replica: &RoutableReplica,
    request: &ForwardedRequest,
) {
    if connections.check(!replica.beyond_share).await != Liveness::Ended {
        return;
    }
    context.metrics.ended_back_ends.inc();
    if context.metrics.log_budget.take(context.clock().now()) {
        let id = request.id.to_str().unwrap_or("unreadable");
        log::warn!(request = id, digest = context.digest_of(request).to_string().as_str(), route = request.route.as_str(), replica = replica.replica.id.as_str(); "gateway: a back end ended while it had this request.");
    }
}

/// Tells the replica table how a call went.
fn note<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    replica: &RoutableReplica,
    key: CallKey,
    request: &ForwardedRequest,
    (result, load): &(CallResult, Option<LoadHint>),
) {
    let now = context.clock().now();
    let id = &replica.replica.id;
    let mut dispatch = context.dispatch.lock();
    match result {
        CallResult::Success(_) => {
            if let Some(latency) = dispatch.table.answered(id, key, *load, now)
                && let Some(latencies) = dispatch.latencies.get_mut(&request.route)
            {
                latencies.record(latency, now);
            }
        }
        CallResult::Failure(CallFailure::Rejected, _) => dispatch.table.rejected(id, key, *load, now),
        CallResult::Failure(CallFailure::TimedOut, _) => dispatch.table.timed_out(id, key, now),
        CallResult::Failure(_, _) => dispatch.table.failed(id, key, now),
    }
}

/// Sends a request on a connection and reads the whole answer.
async fn exchange<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    connections: &ReplicaConnections,
    mut lease: Lease,
    replica: &RoutableReplica,
    request: &ForwardedRequest,
    extra: bool,
    deadline: Micros,
) -> (CallResult, Option<LoadHint>) {
    let now = context.clock().now();
    if now >= deadline {
        connections.give_back(lease);
        return (CallResult::Failure(CallFailure::NoConnection, None), None);
    }
    let remaining = request.caller_deadline.min(deadline).since(now).as_duration();
    let mut outgoing = outgoing_request(request);
    context.back_ends.address_to(&mut outgoing, &replica.replica, remaining);
    let Ok(response) = lease.send(outgoing, extra).await else {
        return (CallResult::Failure(CallFailure::Broken, None), None);
    };
    let (head, body) = response.into_parts();
    let mut read = context.back_ends.read(&request.id, head.status, &head.headers);
    if let (false, AnswerVerdict::Mismatched { receipt: Some(receipt) }) =
        (context.mechanisms.correlation, &read.verdict)
    {
        read.verdict = AnswerVerdict::Success { receipt: receipt.clone() };
    }
    if matches!(read.verdict, AnswerVerdict::Mismatched { .. }) {
        // What else comes on this connection cannot be told apart either: it is closed.
        return (CallResult::Failure(CallFailure::Mismatched, None), None);
    }
    let Ok(collected) = Limited::new(body, MAXIMUM_ANSWER_BYTES).collect().await else {
        return (CallResult::Failure(CallFailure::Broken, None), read.load);
    };
    if let Some(idle) = keep_alive(&head.headers) {
        lease.keep_for(idle);
    }
    // Where this node has no share, the connection makes room again at once.
    if replica.beyond_share {
        drop(lease);
    } else {
        connections.give_back(lease);
    }
    let headers = end_to_end_headers(head.headers);
    let answer = WholeAnswer { status: head.status, headers, body: collected.to_bytes() };
    let result = match read.verdict {
        AnswerVerdict::Success { receipt } => CallResult::Success(CallSuccess { receipt, answer }),
        AnswerVerdict::Failure => CallResult::Failure(CallFailure::Failed, Some(answer)),
        AnswerVerdict::NotRun => CallResult::Failure(CallFailure::Rejected, None),
        AnswerVerdict::WrongInstance => CallResult::Failure(CallFailure::WrongInstance, None),
        AnswerVerdict::Mismatched { .. } => CallResult::Failure(CallFailure::Mismatched, None),
    };
    (result, read.load)
}

fn outgoing_request(request: &ForwardedRequest) -> Request<Full<Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    *outgoing.headers_mut() = request.headers.clone();
    outgoing
}

/// How long a back end keeps an idle connection, when it says so.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let parameters = text.split(',').filter_map(|parameter| parameter.trim().split_once('='));
    let mut timeouts = parameters.filter(|(name, _)| name.eq_ignore_ascii_case("timeout"));
    let seconds: u64 = timeouts.next()?.1.trim().parse().ok()?;
    Some(Duration::from_secs(seconds))
}

/// The headers without those that concern one connection, and without the length, which the
/// library sets by the body.
pub fn end_to_end_headers(mut headers: HeaderMap) -> HeaderMap {
    const OF_ONE_CONNECTION: [&str; 9] = [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in OF_ONE_CONNECTION.iter().copied().chain(named.iter().map(String::as_str)) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers
}
