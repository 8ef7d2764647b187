//! Gathers shards for another node, with hedges and retries as for this node's own callers. Reports the
//! merged records in a single part, or in several if some shards are late.

use std::pin::Pin;
use std::sync::{Arc, OnceLock, Weak};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};

use sablebay_catalogue::{CatalogueView, Repeatability, ReplicaId, RoutableReplica};
use sablebay_dispatch::{Fanout, FanoutSettings, ShardTargets};
use sablebay_model::{InstanceKey, Micros, Reason, Refusal};
use sablebay_node::{PartialGatherer, ProgressSender};
use sablebay_protocol::peer::{GatheredPart, PartialGather, PeerResponse};

use crate::answer::AnswerScope;
use crate::call::ForwardedRequest;
use crate::context::Context;
use crate::driver::{RunningRequest, expected_times};
use crate::edge::{BackendProtocol, CallerProtocol};
use crate::merge::merge_parts;
use crate::request_log;
use crate::routing_view::RoutingView;

/// Gathers shards for other nodes through a gateway.
pub struct GatewayGatherer<C, B> {
    /// Dangles after the gateway has stopped.
    context: Weak<Context<C, B>>,
}

impl<C, B> GatewayGatherer<C, B> {
    pub fn new(context: &Arc<Context<C, B>>) -> Self {
        Self { context: Arc::downgrade(context) }
    }
}

impl<C: CallerProtocol, B: BackendProtocol> PartialGatherer for GatewayGatherer<C, B> {
    fn gather(
        &self,
        from: InstanceKey,
        partial: PartialGather,
        progress: ProgressSender,
    ) -> Pin<Box<dyn Future<Output = PeerResponse> + Send>> {
        let context = self.context.upgrade();
        Box::pin(async move {
            match context {
                Some(context) => gather(&context, from, partial, &progress).await,
                None => refuse(Reason::Stopping, "the gateway has stopped"),
            }
        })
    }
}

fn refuse(reason: Reason, message: &str) -> PeerResponse {
    PeerResponse::Refused(Refusal::not_run(reason, message))
}

/// The time limits of a delegated request, by this node's clock.
#[derive(Clone, Copy, Debug)]
struct GatherTimes {
    received_at: Micros,
    progress_at: Micros,
    wanted_at: Micros,
    deadline: Micros,
}

async fn gather<C: CallerProtocol, B: BackendProtocol>(
    context: &Arc<Context<C, B>>,
    from: InstanceKey,
    partial: PartialGather,
    progress: &ProgressSender,
) -> PeerResponse {
    let Some(_in_flight) = context.node.lifecycle.enter() else {
        return refuse(Reason::Stopping, "the node is stopping");
    };
    let view = context.view.load_full();
    let targets = targets_of(context, &view, &partial);
    if targets.iter().any(|target| target.replicas.is_empty()) {
        return refuse(Reason::NoReplica, "no replica is known for at least one shard");
    }
    let now = context.clock().now();
    let Some(request) = forwarded(&partial, now) else {
        return refuse(Reason::BadRequest, "the delegated request is malformed");
    };
    let tenant = context.tenant_of(&request.headers);
    if let Some(tenant) = &tenant {
        context.record_gathered_request(&partial.route, tenant);
    }
    let target = (partial.target_us > 0).then_some(Micros(partial.target_us));
    let lag = context.dispatch.lock().answer_lag.margin(target.unwrap_or_default(), now);
    let times = GatherTimes {
        received_at: now,
        progress_at: now.plus(Micros(partial.progress_us)),
        wanted_at: now.plus(Micros(partial.wanted_us).since(lag)),
        deadline: now.plus(Micros(partial.limit_us)),
    };
    let (usual_call, hedge_delay) = expected_times(context, &partial.route, target);
    let settings = FanoutSettings {
        repeatability: Repeatability::Repeatable,
        maximum_attempts: partial.maximum_attempts.max(1),
        // The request ends when every shard is answered or closed; reports are sent meanwhile.
        minimum_shards: 0,
        deadline: times.deadline,
        partial_at: times.deadline,
        // A gatherer doesn't delegate further.
        report_at: times.deadline,
        hedge_delay,
        gatherer_timeout: Micros::MAX,
        usual_call,
    };
    if let Some(notice) = &partial.quarantine {
        context.node.quarantine.merge_notices(from.node.as_str(), std::slice::from_ref(notice), false, now);
    }
    let crowded = crowded(context, &targets, now);
    let spares = spares(&partial, &targets);
    let mut fanout = Fanout::new(settings, targets).with_tenant(tenant).with_spares(spares);
    if partial.continued {
        fanout = fanout.continuing();
    }
    let request = Arc::new(request);
    let mut run = RunningRequest::start(context, fanout, request.clone(), usual_call.total, None);
    let mut reported = GatherProgress::new(partial.shards.len(), partial.top as usize, crowded);
    // Reports are sent even without answers: the root abandons a gatherer that hasn't reported when the answer is due.
    for report_at in [times.progress_at, times.wanted_at, Micros::MAX] {
        run.run_until_stop(report_at).await;
        while !run.is_finished() && context.clock().now() < report_at {
            // A stop has begun. The root is told at once which shards it must get elsewhere.
            progress.send(reported.part(context, &request, &mut run)).await;
            run.run_until_stop(report_at).await;
        }
        if run.is_finished() {
            break;
        }
        progress.send(reported.part(context, &request, &mut run)).await;
    }
    let last = reported.part(context, &request, &mut run);
    context.metrics.work(run.work());
    if reported.closed > 0 || context.clock().now() > times.wanted_at {
        let held = context.clock().now().since(times.received_at);
        request_log::gathered(context, &partial, from.node.as_str(), reported.closed, held, run.work());
    }
    last
}

/// The replicas of the shards. Evacuation notices from the root that are new to this node are applied, for
/// this request and for later ones.
fn targets_of<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    view: &RoutingView,
    partial: &PartialGather,
) -> Vec<ShardTargets> {
    let mut targets: Vec<ShardTargets> = partial.shards.iter().map(|shard| view.targets(shard)).collect();
    let now = context.clock().now();
    let apply_notices = |view: &mut CatalogueView| {
        let changes = partial.zones.iter().filter(|notice| view.apply_notice(notice, now));
        changes.count() > 0
    };
    if partial.zones.is_empty() || !context.node.catalogue.update(apply_notices) {
        return targets;
    }
    context.node.catalogue.read(|known| {
        for target in &mut targets {
            let is_available = |replica: &&RoutableReplica| !known.is_evacuated(&replica.replica.zone);
            target.replicas = target.replicas.iter().filter(is_available).cloned().collect();
        }
    });
    targets
}

/// The spare replica of each shard, if any, with its incarnation as known to this node.
fn spares(partial: &PartialGather, targets: &[ShardTargets]) -> Vec<Option<ReplicaId>> {
    let spare = |(name, targets): (&String, &ShardTargets)| {
        let known = targets.replicas.iter().map(|known| &known.replica.id).find(|id| id.name() == name);
        (!name.is_empty()).then(|| known.cloned().unwrap_or_else(|| ReplicaId::new(name)))
    };
    partial.spares.iter().zip(targets).map(spare).collect()
}

fn crowded<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    targets: &[ShardTargets],
    now: Micros,
) -> usize {
    let dispatch = context.dispatch.lock();
    targets.iter().filter(|target| dispatch.table.is_crowded(&target.replicas, now)).count()
}

/// The request as it is sent to replicas; `None` if it is malformed.
fn forwarded(partial: &PartialGather, now: Micros) -> Option<ForwardedRequest> {
    let mut headers = HeaderMap::with_capacity(partial.headers.len());
    for (name, value) in &partial.headers {
        headers.append(HeaderName::from_bytes(name.as_bytes()).ok()?, HeaderValue::from_bytes(value).ok()?);
    }
    Some(ForwardedRequest {
        id: HeaderValue::from_bytes(&partial.request).ok()?,
        method: Method::from_bytes(partial.method.as_bytes()).ok()?,
        uri: partial.uri.parse::<Uri>().ok()?,
        headers,
        body: Bytes::from(partial.body.clone()),
        route: partial.route.clone(),
        scope: AnswerScope::Shard,
        caller_deadline: now.plus(Micros(partial.remaining_us)),
        digest: OnceLock::new(),
    })
}

/// What has been reported to the root so far.
struct GatherProgress {
    top: usize,
    crowded: usize,
    closed_reported: Vec<bool>,
    closed: usize,
}

impl GatherProgress {
    fn new(shards: usize, top: usize, crowded: usize) -> Self {
        Self { top, crowded, closed_reported: vec![false; shards], closed: 0 }
    }

    /// Builds a report of the shards answered and closed since the last one.
    fn part<C: CallerProtocol, B: BackendProtocol>(
        &mut self,
        context: &Context<C, B>,
        request: &ForwardedRequest,
        run: &mut RunningRequest<C, B>,
    ) -> PeerResponse {
        let mut parts = run.take_parts();
        parts.sort_by_key(|taken| taken.shards.first().copied());
        let answered =
            parts.iter().flat_map(|taken| taken.shards.iter().map(|shard| *shard as u32)).collect();
        let merged = merge_parts(self.top, parts);
        let mut closed = Vec::new();
        let mut retried = Vec::new();
        for (shard, reported) in self.closed_reported.iter_mut().enumerate() {
            if run.fanout().is_closed(shard) && !*reported {
                *reported = true;
                closed.push(shard as u32);
            }
            if run.fanout().attempts(shard) > 1 {
                retried.push(shard as u32);
            }
        }
        self.closed += closed.len();
        PeerResponse::Gathered(Box::new(GatheredPart {
            answered,
            receipts: merged.receipts.iter().map(|receipt| receipt.as_bytes().to_vec()).collect(),
            records: merged.records.to_vec(),
            closed,
            retried,
            crowded: self.crowded as u32,
            calls: run.work().calls,
            quarantine: context.quarantine_notice(request, context.clock().now()),
        }))
    }
}
