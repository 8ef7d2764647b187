//! Accepts requests from callers: authenticates, admits and runs them, and builds the responses.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::Response;
use bytes::Bytes;
use http::{HeaderValue, header};
use http_body_util::Full;

use sablebay_catalogue::{Destination, Route, RouteTable};
use sablebay_dispatch::{Admission, DelegatedShards, FanoutOutcome, ShardTargets};
use sablebay_model::Micros;

use crate::answer::RelayedAnswer;
use crate::authentication::Caller;
use crate::context::Context;
use crate::driver::{DriverResult, DriverWork, RequestBounds, drive};
use crate::edge::{BackendProtocol, CallerProtocol, CallerRequest, Refusal};
use crate::merge::merge;
use crate::metrics::StopEnding;
use crate::request_body::{BodyFailure, read_request};
use crate::request_log::{self, Crowding, RequestRecord};
use crate::routing_view::RoutingView;
use crate::start_delay::retry_during_start;
use crate::tenant_admission::AdmissionRequest;

/// Timeout of a request that states none.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time reserved before the caller's deadline for returning the answer.
const ANSWER_MARGIN: Micros = Micros::from_millis(5);
/// Maximum size of a body that is sent to other nodes.
const MAXIMUM_DELEGATED_BODY_BYTES: usize = 16 << 10;
/// Retry delay while the catalogue is too old or unconfirmed.
const NOT_READY_RETRY: Duration = Duration::from_millis(400);
/// Retry delay after every replica rejected the request.
const REJECTED_RETRY: Duration = Duration::from_millis(150);

/// Retry delay of requests refused because the node stops. Another node may serve them at once, but load balancers may
/// not know of the stop yet.
const STOPPING_RETRY: Duration = Duration::from_millis(100);
/// Retry delay when no replica is available. A replica whose entry was lost registers again within about
/// two heartbeats.
const NO_REPLICA_RETRY: Duration = Duration::from_millis(2_000);

/// The router of the callers' listener, with a single handler for all paths.
pub fn caller_routes<C: CallerProtocol, B: BackendProtocol>(context: Arc<Context<C, B>>) -> Router {
    Router::new().fallback(handle::<C, B>).with_state(context)
}

async fn handle<C: CallerProtocol, B: BackendProtocol>(
    State(context): State<Arc<Context<C, B>>>,
    request: Request,
) -> Response {
    // A graceful stop waits for this request; requests are accepted until the listener closes.
    let _in_flight = context.node.lifecycle.track();
    let mut response = answer(&context, request).await.map(Body::new);
    if context.node.lifecycle.is_draining() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn answer<C: CallerProtocol, B: BackendProtocol>(
    context: &Arc<Context<C, B>>,
    request: Request,
) -> http::Response<Full<Bytes>> {
    let received_at = context.clock().now();
    let Some(caller) = context.callers.read(request.headers()) else {
        return context.callers.refused(Refusal::NoIdentifier);
    };
    let mut record = RequestRecord::new(&caller, received_at);
    if !context.is_confirmed() {
        let refusal = Refusal::NotRun { retry_after: NOT_READY_RETRY };
        return refuse(context, record, refusal, "the machine was suspended");
    }
    let view = context.view.load_full();
    let Some(routes) = view.routes.clone() else {
        return refuse(
            context,
            record,
            Refusal::NotRun { retry_after: retry_during_start(context.clock().running_for()) },
            "no configuration yet",
        );
    };
    record.version = routes.version();
    let Some(route) = find_route(&routes, &request) else {
        // A newer configuration may contain the route, so the caller should retry.
        if context.catalogue_is_old() || context.is_behind() {
            let refusal = Refusal::NotRun { retry_after: NOT_READY_RETRY };
            return refuse(context, record, refusal, "no route in an old configuration");
        }
        return refuse(context, record, Refusal::NoRoute, "no route");
    };
    record.route = Some(route.clone());
    let identity = match context.authenticate(&caller, &route) {
        Ok(identity) => identity,
        Err(failure) => {
            context.node.callers.refused(failure.label());
            return refuse(context, record, failure.refusal(), &failure.reason());
        }
    };
    record.tenant = identity.tenant().map(|tenant| tenant.name.clone());
    // Precedes all load accounting: requests over quota count neither as demand nor as crowding.
    let token = match context.take_token(identity.tenant()).await {
        Ok(token) => token,
        Err(retry_after) => {
            let refusal = Refusal::OverQuota { retry_after: retry_after.as_duration() };
            return refuse(context, record, refusal, "its tenant is over its quota");
        }
    };
    let resolved = ResolvedRequest { view, routes, route, identity };
    let served = serve(context, record, request, caller, resolved).await;
    if !served.may_have_run {
        context.give_back(token);
    }
    served.response
}

/// A request's configuration snapshot, route and caller, fixed for its whole duration.
struct ResolvedRequest {
    view: Arc<RoutingView>,
    routes: Arc<RouteTable>,
    route: Arc<Route>,
    identity: Caller,
}

/// The response to a request, and whether the request may have run.
struct Served {
    response: http::Response<Full<Bytes>>,
    /// Whether a back end may have run the request.
    may_have_run: bool,
}

impl Served {
    /// A request that was refused before anything was sent.
    fn refused(response: http::Response<Full<Bytes>>) -> Self {
        Self { response, may_have_run: false }
    }
}

/// Runs an authenticated request that is within its quota, or refuses it.
async fn serve<C: CallerProtocol, B: BackendProtocol>(
    context: &Arc<Context<C, B>>,
    mut record: RequestRecord,
    request: Request,
    caller: CallerRequest,
    resolved: ResolvedRequest,
) -> Served {
    let ResolvedRequest { view, routes, route, identity } = resolved;
    let targets = context.targets_of(&view, &route);
    let delegations = context.delegations(&route, &targets);
    record.crowding = crowding(context, &targets, &delegations);
    let timeout = Micros::from(caller.timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT));
    let admission_request = AdmissionRequest {
        route: &route,
        tenant: record.tenant.as_ref(),
        rank: routes.rank(&route, identity.tenant().map(Arc::as_ref)),
        crowding: record.crowding,
        timeout,
    };
    let (admission, priority) = context.admission(&admission_request);
    record.priority = priority;
    if let Admission::Refused { retry_after } = admission {
        let refusal = Refusal::NotRun { retry_after: retry_after.as_duration() };
        let why = "work queues at too many of its shards";
        return Served::refused(refuse(context, record, refusal, why));
    }
    let bounds = bounds_of(&caller, &route, record.received_at);
    let caller_deadline = record.received_at.plus(timeout);
    let limit = routes.configuration().limits.body_bytes;
    let body_deadline = context.clock().instant(bounds.deadline);
    let reading = read_request(request, caller, &route, limit, caller_deadline, body_deadline);
    let read = context.node.lifecycle.before_stop(context.clock(), reading).await;
    let forwarded = match read.unwrap_or(Err(BodyFailure::Stopped)) {
        Ok(mut forwarded) => {
            if context.mechanisms.identity {
                context.callers.identify(&mut forwarded.headers, identity.identity());
            }
            forwarded
        }
        Err(failure) => {
            if failure == BodyFailure::Stopped {
                context.metrics.stopped(StopEnding::NotRun);
            }
            return Served::refused(refuse(context, record, failure.refusal(), failure.reason()));
        }
    };
    if let Some(retry_after) = context.held_back(&forwarded) {
        record.digest = Some(context.digest_of(&forwarded));
        let refusal = Refusal::HeldBack { retry_after: retry_after.as_duration() };
        return Served::refused(refuse(context, record, refusal, "consecutive back ends crashed on it"));
    }
    // Gatherers would send a suspect request to several back ends at once, and each would hold a copy of a large body.
    let is_delegable =
        forwarded.body.len() <= MAXIMUM_DELEGATED_BODY_BYTES && !context.is_suspect(&forwarded);
    let delegations = if is_delegable { delegations } else { Vec::new() };
    let forwarded = Arc::new(forwarded);
    let result = drive(context, &route, targets, delegations, forwarded.clone(), bounds).await;
    if !matches!(result.outcome, FanoutOutcome::Answered { .. }) {
        record.digest = Some(context.digest_of(&forwarded));
    }
    let may_have_run =
        !matches!(result.outcome, FanoutOutcome::NotRun | FanoutOutcome::Expired { may_have_run: false });
    let held_back = context.held_back(&forwarded);
    let response = build_response(context, record, &route, result, held_back);
    Served { response, may_have_run }
}

/// Counts the shards of a request and how many of them are crowded.
fn crowding<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    targets: &[ShardTargets],
    delegations: &[DelegatedShards],
) -> Crowding {
    let now = context.clock().now();
    let dispatch = context.dispatch.lock();
    let crowded_shards = |delegated: &DelegatedShards| {
        dispatch.gatherers.crowded_fraction(&delegated.gatherer, now) * delegated.shards.len() as f64
    };
    let delegated: f64 = delegations.iter().map(crowded_shards).sum();
    let is_direct = |shard: &usize| delegations.iter().all(|known| !known.shards.contains(shard));
    let is_crowded = |shard: &usize| dispatch.table.is_crowded(&targets[*shard].replicas, now);
    let direct = (0..targets.len()).filter(is_direct).filter(is_crowded).count();
    Crowding { shards: targets.len(), crowded: direct + delegated.round() as usize }
}

fn find_route(routes: &RouteTable, request: &Request) -> Option<Arc<Route>> {
    let named = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
    let host = request.uri().authority().map(|authority| authority.as_str()).or(named)?;
    routes.find(host, request.uri().path()).cloned()
}

fn bounds_of(caller: &CallerRequest, route: &Route, received_at: Micros) -> RequestBounds {
    let timeout = Micros::from(caller.timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT)).since(ANSWER_MARGIN);
    let limit = match route.time_limit_ms {
        0 => timeout,
        milliseconds => timeout.min(Micros::from_millis(milliseconds)),
    };
    RequestBounds { received_at, deadline: received_at.plus(limit) }
}

fn refuse<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    record: RequestRecord,
    refusal: Refusal,
    why: &str,
) -> http::Response<Full<Bytes>> {
    context.metrics.refused(refusal);
    record.tenant.iter().for_each(|tenant| context.node.callers.failed(tenant.as_str()));
    request_log::refused(context, &record, refusal, why, &DriverWork::default());
    context.callers.refused(refusal)
}

/// Builds the caller's response from the outcome of a request, and records the outcome.
fn build_response<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    mut record: RequestRecord,
    route: &Route,
    result: DriverResult,
    held_back: Option<Micros>,
) -> http::Response<Full<Bytes>> {
    let DriverResult { outcome, parts, failed_answer, partial_at, is_limited_by_stop, work } = result;
    context.metrics.work(&work);
    let stop_ending = StopEnding::of(outcome).filter(|_| is_limited_by_stop);
    if let Some(ending) = stop_ending {
        context.metrics.stopped(ending);
        if ending != StopEnding::Answered {
            request_log::stopped(context, &record, ending, &work);
        }
    }
    let refusal = match outcome {
        FanoutOutcome::Answered { missing } => {
            request_log::answered(context, &record, missing, &work);
            record.tenant.iter().for_each(|tenant| context.node.callers.answered(tenant.as_str()));
            context.metrics.answered(context.clock().now().since(record.received_at), missing);
            let reported_missing = if context.mechanisms.coverage { missing } else { 0 };
            let response = merge(context, route, parts, reported_missing);
            record_answer_lag(context, partial_at, missing);
            return response;
        }
        FanoutOutcome::NotRun | FanoutOutcome::Expired { may_have_run: false } if held_back.is_some() => {
            Refusal::HeldBack { retry_after: held_back.unwrap_or_default().as_duration() }
        }
        FanoutOutcome::NotRun | FanoutOutcome::Expired { may_have_run: false } if is_limited_by_stop => {
            Refusal::NotRun { retry_after: STOPPING_RETRY }
        }
        FanoutOutcome::NotRun => {
            let has_no_replica = work.calls == 0 && work.gatherers == 0;
            Refusal::NotRun { retry_after: if has_no_replica { NO_REPLICA_RETRY } else { REJECTED_RETRY } }
        }
        FanoutOutcome::Unknown if !context.mechanisms.not_run => {
            Refusal::NotRun { retry_after: REJECTED_RETRY }
        }
        FanoutOutcome::Unknown => Refusal::Unknown,
        FanoutOutcome::Expired { may_have_run: true } => Refusal::Expired,
        FanoutOutcome::Expired { may_have_run: false } => Refusal::NotRun { retry_after: REJECTED_RETRY },
    };
    let is_single = matches!(route.destination, Destination::Services(_));
    let relayed = failed_answer.filter(|_| is_single && refusal == Refusal::Unknown);
    record.relayed_status = relayed.as_ref().map(|failure| failure.status());
    context.metrics.refused(refusal);
    record.tenant.iter().for_each(|tenant| context.node.callers.failed(tenant.as_str()));
    if stop_ending.is_none() {
        request_log::refused(context, &record, refusal, "too few shards answered", &work);
    }
    match relayed {
        Some(failure) => context.callers.relayed(RelayedAnswer::Failure(failure)),
        None => context.callers.refused(refusal),
    }
}

/// Records how late a partial answer was ready compared with its planned time.
fn record_answer_lag<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    planned_at: Micros,
    missing: usize,
) {
    let ready_at = context.clock().now();
    if missing > 0 && ready_at >= planned_at {
        context.dispatch.lock().answer_lag.record(planned_at, ready_at);
    }
}
