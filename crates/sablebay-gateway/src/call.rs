//! One call to one replica: takes a connection, sends the request, reads the whole answer and records the
//! result in the replica table, even if the call was abandoned.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Uri, header};
use http_body_util::Full;
use tokio::sync::{mpsc, oneshot};

use sablebay_catalogue::RoutableReplica;
use sablebay_dispatch::{
    CallFailure, CallKey, CallNumber, CrashedRun, GatheredShards, LeaseRequest, LoadHint, RunId,
    lease_duration,
};
use sablebay_model::{Micros, RequestDigest};

use crate::answer::{AnswerScope, FailureAnswer, SuccessAnswer, Verdict, verdict};
use crate::back_end_answer::{InformationalHeads, NoAnswer, answer_body, answer_head};
use crate::connections::{Lease, Liveness, ReplicaConnections};
use crate::context::Context;
use crate::edge::{AnswerHead, BackendProtocol, CallerProtocol};
use crate::merge::MergedPart;
use crate::prepare_call::{Unsent, prepare, record_unsent};
use crate::quarantine::RunLease;
use crate::send_gate::SendGate;

/// A caller's request, as it is sent to every replica.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The caller's identifier of this attempt.
    pub id: HeaderValue,
    pub method: Method,
    pub uri: Uri,
    /// The headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// The name of the route.
    pub route: String,
    /// What it wants of each back end.
    pub scope: AnswerScope,
    pub caller_deadline: Micros,
    /// The request digest, computed on first use.
    pub digest: OnceLock<RequestDigest>,
}

/// The result of a call.
#[derive(Debug)]
pub enum CallResult {
    Success(SuccessAnswer),
    /// A failure, with the back end's answer if it sent one.
    Failure(CallFailure, Option<FailureAnswer>),
}

/// An update on a call or delegation.
#[derive(Debug)]
pub enum CallUpdate {
    Ended(CallResult),
    /// A gatherer reported progress, with the records merged since its last report.
    Gathered(GatheredShards, MergedPart),
    /// A delegation to a gatherer failed.
    GathererFailed(CallFailure),
}

/// An update on a call, for the request that made the call.
#[derive(Debug)]
pub struct CallEvent {
    pub call: CallNumber,
    pub update: CallUpdate,
}

/// A call to one replica.
pub struct OutgoingCall {
    /// Identifies the call within its request.
    pub number: CallNumber,
    /// Identifies the call within this node.
    pub key: CallKey,
    pub replica: RoutableReplica,
    pub request: Arc<ForwardedRequest>,
    /// Whether the call is a hedge or a retry.
    pub extra: bool,
    /// Typical duration of calls on this route.
    pub usual: Micros,
    /// When the call times out.
    pub deadline: Micros,
    /// Resolves when the call is abandoned; also when its sender is dropped.
    pub abandoned: oneshot::Receiver<()>,
    pub gate: Arc<SendGate>,
    /// Receives the result.
    pub events: mpsc::UnboundedSender<CallEvent>,
}

/// Makes a call and sends its result to the request.
pub async fn run_call<C: CallerProtocol, B: BackendProtocol>(
    context: Arc<Context<C, B>>,
    call: OutgoingCall,
) {
    let connections = context.connections_to(&call.replica);
    let OutgoingCall { number, key, replica, request, extra, usual, deadline, mut abandoned, gate, events } =
        call;
    let lease_request = LeaseRequest {
        run: RunId { node: context.observer(), call: key.0 },
        duration: lease_duration(usual),
    };
    let prepared = tokio::select! {
        prepared = prepare(&context, &connections, &replica, &request, lease_request) => prepared,
        _ = &mut abandoned => {
            context.dispatch.lock().table.forget(&replica.replica.id, key);
            return;
        }
        () = tokio::time::sleep_until(context.clock().instant(deadline)) => Err(Unsent::Late),
    };
    let (lease, run_lease) =
        match prepared.and_then(|prepared| permit_now(&context, &connections, prepared, &gate, deadline)) {
            Ok(prepared) => prepared,
            Err(why) => {
                let failure = record_unsent(&context, &replica, key, &request, why);
                let unsent = CallResult::Failure(failure, None);
                let _ = events.send(CallEvent { call: number, update: CallUpdate::Ended(unsent) });
                return;
            }
        };
    let started_at = context.clock().now();
    let mut exchange =
        std::pin::pin!(exchange(&context, &connections, lease, &replica, &request, extra, deadline));
    let finished = tokio::select! {
        result = &mut exchange => Some(result),
        _ = &mut abandoned => {
            let now = context.clock().now();
            let grace = match run_lease {
                // Other nodes wait for the lease, which is released when this run ends.
                Some(_) => lease_request.duration,
                None => context.dispatch.lock().table.abandoned_call_grace(&replica.replica.id, now),
            };
            tokio::time::timeout(grace.as_duration(), &mut exchange).await.ok()
        }
        () = tokio::time::sleep_until(context.clock().instant(deadline)) => None,
    };
    let result = finished.unwrap_or((CallResult::Failure(CallFailure::TimedOut, None), None));
    record_run(&context, &connections, &replica, &request, started_at, &result.0).await;
    drop(run_lease);
    record_result(&context, &replica, key, &request, started_at, &result);
    let _ = events.send(CallEvent { call: number, update: CallUpdate::Ended(result.0) });
}

/// The last check before a call is sent. Returns the connection to the pool if the call must not be sent.
fn permit_now<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    connections: &ReplicaConnections,
    (lease, run_lease): (Lease, Option<RunLease<C, B>>),
    gate: &SendGate,
    deadline: Micros,
) -> Result<(Lease, Option<RunLease<C, B>>), Unsent> {
    if context.clock().now() < deadline && gate.try_send() {
        return Ok((lease, run_lease));
    }
    connections.give_back(lease);
    Err(Unsent::Late)
}

/// Records in the quarantine whether the back end survived the request.
async fn record_run<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    connections: &ReplicaConnections,
    replica: &RoutableReplica,
    request: &ForwardedRequest,
    started_at: Micros,
    result: &CallResult,
) {
    let service = &replica.replica.service;
    match result {
        CallResult::Success(_) | CallResult::Failure(CallFailure::Failed, _) => {
            let quarantine = &context.node.quarantine;
            if !quarantine.is_empty() {
                quarantine.record_success(
                    &context.digest_of(request),
                    service,
                    started_at,
                    context.clock().now(),
                );
            }
        }
        CallResult::Failure(CallFailure::Broken, _) => {
            let ended_at = context.clock().now();
            if connections.probe(!replica.beyond_share).await != Liveness::Ended {
                return;
            }
            let run = CrashedRun {
                replica: replica.replica.id.clone(),
                service: service.clone(),
                observer: context.observer(),
                started_at,
                ended_at,
                known_at: ended_at,
                is_remote: false,
            };
            record_crash(context, request, run);
        }
        CallResult::Failure(..) => {}
    }
}

/// Records and logs that a back end crashed while it ran a request.
fn record_crash<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    request: &ForwardedRequest,
    run: CrashedRun,
) {
    let now = context.clock().now();
    let digest = context.digest_of(request);
    context.metrics.ended_back_ends.inc();
    if context.metrics.log_budget.take(now) {
        let id = request.id.to_str().unwrap_or("unreadable");
        log::warn!(request = id, digest = digest.to_string().as_str(), route = request.route.as_str(), replica = run.replica.as_str(), ran_for_ms = run.ended_at.since(run.started_at).as_millis(); "gateway: a back end ended while it had this request.");
    }
    context.dispatch.lock().table.note_ended([(run.replica.clone(), run.known_at)], now);
    context.node.quarantine.record_crash(digest, &request.route, run, now);
}

/// Records the result of a call in the replica table.
fn record_result<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    replica: &RoutableReplica,
    key: CallKey,
    request: &ForwardedRequest,
    sent_at: Micros,
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
                latencies.record(latency, now.since(sent_at), now);
            }
        }
        CallResult::Failure(CallFailure::Rejected, _) => dispatch.table.rejected(id, key, *load, now),
        CallResult::Failure(CallFailure::TimedOut, _) => dispatch.table.timed_out(id, key, now),
        CallResult::Failure(_, _) => dispatch.table.failed(id, key, now),
    }
}

/// The result of a call in which the replica sent no answer. Its connection is closed.
fn no_answer<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    replica: &RoutableReplica,
    request: &ForwardedRequest,
    why: NoAnswer,
) -> CallResult {
    why.record(&context.metrics, &request.id, replica.replica.id.as_str(), context.clock().now());
    CallResult::Failure(why.failure(), None)
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
    let remaining = request.caller_deadline.min(deadline).since(now).as_duration();
    let mut outgoing = outgoing_request(request);
    context.back_ends.address_to(&mut outgoing, &replica.replica, remaining);
    let informational_heads = InformationalHeads::count(&mut outgoing);
    let head = tokio::select! {
        sent = lease.send(outgoing, extra) => answer_head(sent),
        why = informational_heads.exceeded() => Err(why),
    };
    let response = match head {
        Ok(response) => response,
        Err(why) => return (no_answer(context, replica, request, why), None),
    };
    let (head, body) = response.into_parts();
    let stated = context.back_ends.read(head.status, &head.headers);
    if context.mechanisms.correlation && !stated.request.is(&request.id) {
        // Its load may be that of another replica.
        return (no_answer(context, replica, request, NoAnswer::Foreign), None);
    }
    let AnswerHead { load, .. } = stated;
    let verdict = match verdict(request.scope, head.status, &head.headers, &stated) {
        Ok(verdict) => verdict,
        Err(why) => return (no_answer(context, replica, request, why), load),
    };
    let body = match answer_body(body, &context.node.resources).await {
        Ok(body) => body,
        Err(why) => return (no_answer(context, replica, request, why), load),
    };
    if let Some(idle) = keep_alive(&head.headers) {
        lease.set_idle_timeout(idle);
    }
    // A connection beyond this node's share is closed at once to free the slot.
    if replica.beyond_share {
        drop(lease);
    } else {
        connections.give_back(lease);
    }
    let headers = end_to_end_headers(head.headers);
    let result = match verdict {
        Verdict::Success(success) => CallResult::Success(success.with_body(headers, body)),
        Verdict::Failure(failure) => {
            CallResult::Failure(CallFailure::Failed, Some(failure.with_body(headers, body)))
        }
        Verdict::NotRun => CallResult::Failure(CallFailure::Rejected, None),
        Verdict::WrongInstance => CallResult::Failure(CallFailure::WrongInstance, None),
    };
    (result, load)
}

fn outgoing_request(request: &ForwardedRequest) -> Request<Full<Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    *outgoing.headers_mut() = request.headers.clone();
    outgoing
}

/// The idle timeout from a `Keep-Alive` header.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let parameters = text.split(',').filter_map(|parameter| parameter.trim().split_once('='));
    let mut timeouts = parameters.filter(|(name, _)| name.eq_ignore_ascii_case("timeout"));
    let seconds: u64 = timeouts.next()?.1.trim().parse().ok()?;
    Some(Duration::from_secs(seconds))
}

/// Removes hop-by-hop headers, and `Content-Length`, which the HTTP library derives from the body.
pub fn end_to_end_headers(mut headers: HeaderMap) -> HeaderMap {
    const HOP_BY_HOP: [&str; 9] = [
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
    for name in HOP_BY_HOP.iter().copied().chain(named.iter().map(String::as_str)) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers
}
