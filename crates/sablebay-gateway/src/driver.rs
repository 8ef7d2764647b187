//! Drives the fan-out state machine of one request: executes its actions and feeds it the results.

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{mpsc, oneshot};

use sablebay_catalogue::{Destination, Gather, Repeatability, ReplicaId, Route};
use sablebay_dispatch::{
    CallDurations, CallFailure, CallNumber, DelegatedShards, Fanout, FanoutAction, FanoutContext,
    FanoutOutcome, FanoutSettings, ShardTargets, UnsentCalls,
};
use sablebay_model::Micros;
use sablebay_node::StopWatch;

use crate::answer::FailureAnswer;
use crate::call::{CallEvent, CallResult, CallUpdate, ForwardedRequest, OutgoingCall, run_call};
use crate::context::Context;
use crate::delegated::{DelegationTimes, OutgoingDelegation, names_of, run_delegation};
use crate::edge::{BackendProtocol, CallerProtocol};
use crate::merge::{Part, TakenPart};
use crate::send_gate::SendGate;

/// Maximum number of events received at once.
const EVENT_BATCH: usize = 32;
/// Fraction of the target latency after which a gatherer that has not responded is replaced. A gatherer
/// reports as soon as it has sent its calls; the replacement needs time to do the same.
const GATHERER_TIMEOUT_FRACTION: f64 = 0.3;
/// Target latency of routes that set none, for the gatherer timeout.
const DEFAULT_TARGET_LATENCY: Micros = Micros::from_millis(500);

/// The result of a request.
pub struct DriverResult {
    pub outcome: FanoutOutcome,
    /// The parts that make up the answer.
    pub parts: Vec<TakenPart>,
    /// The last failure answer of a back end.
    pub failed_answer: Option<FailureAnswer>,
    /// When a partial answer was due.
    pub partial_at: Micros,
    /// Whether a planned stop of this node ended the request before its own deadline.
    pub is_limited_by_stop: bool,
    pub work: DriverWork,
}

/// Calls made for one request.
#[derive(Clone, Debug, Default)]
pub struct DriverWork {
    /// Calls from this node to replicas, including hedges and retries.
    pub calls: u32,
    /// Hedges and retries.
    pub extra_calls: u32,
    /// Delegations to other nodes.
    pub gatherers: u32,
    /// Shards in these delegations.
    pub delegated_shards: u32,
    /// Failed calls, each with its replica or node.
    pub failures: Vec<(String, CallFailure)>,
}

/// The time limits of a request.
pub struct RequestBounds {
    pub received_at: Micros,
    pub deadline: Micros,
}

/// The parameters of delegations of one request.
#[derive(Clone)]
pub struct DelegationTerms {
    gather: Gather,
    maximum_attempts: u32,
    times: DelegationTimes,
}

/// Runs a request until its outcome is known. Dropping the future abandons its calls.
pub async fn drive<C: CallerProtocol, B: BackendProtocol>(
    context: &Arc<Context<C, B>>,
    route: &Route,
    targets: Vec<ShardTargets>,
    delegations: Vec<DelegatedShards>,
    request: Arc<ForwardedRequest>,
    bounds: RequestBounds,
) -> DriverResult {
    let target = (route.target_latency_ms > 0).then(|| Micros::from_millis(route.target_latency_ms));
    let (usual_call, hedge_delay) = expected_times(context, &route.name, target);
    let settings = fanout_settings(context, route, targets.len(), &bounds, usual_call, hedge_delay);
    let terms = delegation_terms(route, target, &settings);
    let fanout = Fanout::new(settings, targets)
        .with_tenant(context.tenant_of(&request.headers))
        .with_delegations(delegations);
    let mut run = RunningRequest::start(context, fanout, request, usual_call.total, terms);
    while !run.is_finished() {
        run.run_until_stop(Micros::MAX).await;
    }
    let outcome = run.fanout.outcome().expect("an unlimited run ends with an outcome");
    DriverResult {
        outcome,
        parts: run.take_parts(),
        failed_answer: run.failed_answer.take(),
        partial_at: settings.partial_at,
        is_limited_by_stop: run.fanout.is_limited_by_stop(),
        work: std::mem::take(&mut run.work),
    }
}

fn delegation_terms(
    route: &Route,
    target: Option<Micros>,
    settings: &FanoutSettings,
) -> Option<DelegationTerms> {
    let Destination::Gather(gather) = &route.destination else {
        return None;
    };
    let times = DelegationTimes {
        target: target.unwrap_or_default(),
        gatherer_timeout: settings.gatherer_timeout,
        report_at: settings.report_at,
        deadline: settings.deadline,
    };
    Some(DelegationTerms { gather: gather.clone(), maximum_attempts: settings.maximum_attempts, times })
}

/// The midpoint between receipt and deadline: a gatherer that has not reported by then can still be replaced.
fn midpoint(bounds: &RequestBounds) -> Micros {
    let half = bounds.deadline.since(bounds.received_at).0 / 2;
    bounds.received_at.plus(Micros(half))
}

/// A fraction of the route's target latency, or of half the time until the deadline if that is less.
fn fraction_of(target: Option<Micros>, bounds: &RequestBounds, fraction: f64) -> Micros {
    let half = bounds.deadline.since(bounds.received_at).0 / 2;
    Micros((target.unwrap_or(DEFAULT_TARGET_LATENCY).0.min(half) as f64 * fraction) as u64)
}

/// The typical durations of calls on a route, and the delay after which a call is hedged.
pub fn expected_times<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    route: &str,
    target: Option<Micros>,
) -> (CallDurations, Micros) {
    let now = context.clock().now();
    let mut dispatch = context.dispatch.lock();
    if !dispatch.latencies.contains_key(route) {
        dispatch.latencies.insert(route.to_string(), sablebay_dispatch::RouteLatency::new(now));
    }
    let latencies = dispatch.latencies.get_mut(route).expect("an entry was just added");
    (latencies.usual(target, now), latencies.hedge_delay(target, now))
}

fn fanout_settings<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    route: &Route,
    shards: usize,
    bounds: &RequestBounds,
    usual_call: CallDurations,
    hedge_delay: Micros,
) -> FanoutSettings {
    let target = (route.target_latency_ms > 0).then(|| Micros::from_millis(route.target_latency_ms));
    let minimum_shards = match &route.destination {
        Destination::Gather(gather) => gather.minimum_shards(),
        Destination::Services(_) => shards.max(1),
    };
    let partial_at = match route.target_latency_ms {
        0 => bounds.deadline,
        target => planned_answer(context, bounds.received_at, Micros::from_millis(target)),
    };
    let repeatability = match context.mechanisms.at_most_once {
        true => route.repeatability,
        false => Repeatability::Repeatable,
    };
    FanoutSettings {
        repeatability,
        maximum_attempts: route.maximum_attempts.max(1),
        minimum_shards,
        deadline: bounds.deadline,
        partial_at,
        report_at: partial_at.min(midpoint(bounds)),
        hedge_delay: match route.repeatability {
            Repeatability::Repeatable => hedge_delay,
            Repeatability::AtMostOnce => Micros::MAX,
        },
        gatherer_timeout: fraction_of(target, bounds, GATHERER_TIMEOUT_FRACTION),
        usual_call,
    }
}

/// When a partial answer must be sent to reach its caller within the target latency.
fn planned_answer<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    received_at: Micros,
    target: Micros,
) -> Micros {
    let return_latency = Micros::from_millis(context.settings.load().partial_margin_ms);
    let lag = context.dispatch.lock().answer_lag.margin(target, context.clock().now());
    received_at.plus(target.since(return_latency.plus(lag)))
}

/// What a request needs to cancel one of its calls.
struct CallHandle {
    /// Dropped to abandon the call.
    abandon: Option<oneshot::Sender<()>>,
    /// None for a delegation, which counts as sent from the start.
    gate: Option<Arc<SendGate>>,
}

/// Handles of a request's calls, by call number.
struct CallHandles(Vec<CallHandle>);

impl CallHandles {
    /// Abandons a call, which is not sent any more if it has not been.
    fn abandon(&mut self, call: CallNumber) {
        let handle = &mut self.0[call.0 as usize];
        if let Some(gate) = &handle.gate {
            gate.try_withdraw();
        }
        handle.abandon = None;
    }
}

impl UnsentCalls for CallHandles {
    fn is_unsent(&self, call: CallNumber) -> bool {
        let gate = self.0.get(call.0 as usize).and_then(|handle| handle.gate.as_ref());
        gate.is_some_and(|gate| gate.is_pending())
    }

    fn withdraw(&mut self, call: CallNumber) -> bool {
        let Some(handle) = self.0.get_mut(call.0 as usize) else {
            return false;
        };
        let withdrawn = handle.gate.as_ref().is_some_and(|gate| gate.try_withdraw());
        if withdrawn {
            handle.abandon = None;
        }
        withdrawn
    }
}

/// A request in progress. Dropping it abandons its calls.
pub struct RunningRequest<C: CallerProtocol, B: BackendProtocol> {
    context: Arc<Context<C, B>>,
    fanout: Fanout,
    request: Arc<ForwardedRequest>,
    usual: Micros,
    terms: Option<DelegationTerms>,
    random: SmallRng,
    events: mpsc::UnboundedSender<CallEvent>,
    receiver: mpsc::UnboundedReceiver<CallEvent>,
    parts: Vec<TakenPart>,
    failed_answer: Option<FailureAnswer>,
    calls: CallHandles,
    stop: StopWatch,
    /// By call number: the replica or node called.
    call_targets: Vec<String>,
    work: DriverWork,
}

impl<C: CallerProtocol, B: BackendProtocol> RunningRequest<C, B> {
    /// Starts a request. `usual` is the typical duration of its calls.
    pub fn start(
        context: &Arc<Context<C, B>>,
        fanout: Fanout,
        request: Arc<ForwardedRequest>,
        usual: Micros,
        terms: Option<DelegationTerms>,
    ) -> Self {
        let (events, receiver) = mpsc::unbounded_channel();
        let shards = fanout.targets().len();
        let mut run = Self {
            context: context.clone(),
            fanout,
            request,
            usual,
            terms,
            random: SmallRng::from_rng(&mut rand::rng()),
            events,
            receiver,
            parts: Vec::with_capacity(shards),
            failed_answer: None,
            calls: CallHandles(Vec::with_capacity(shards)),
            stop: context.node.lifecycle.watch_stop(),
            call_targets: Vec::with_capacity(shards),
            work: DriverWork::default(),
        };
        run.note_stop();
        run.step(|fanout, fanout_context| fanout.start(fanout_context));
        run
    }

    /// Passes the limit of a planned stop to the state machine, once. Returns whether the stop has just begun.
    fn note_stop(&mut self) -> bool {
        let Some(times) = self.stop.take_begun().filter(|_| self.context.mechanisms.stop_answers) else {
            return false;
        };
        self.step(|fanout, fanout_context| fanout.on_stop(times.answer_by, fanout_context));
        true
    }

    /// Runs until the request has ended, `moment` is reached or a planned stop begins.
    pub async fn run_until_stop(&mut self, moment: Micros) {
        let mut events = Vec::with_capacity(EVENT_BATCH);
        while !self.is_finished() && self.context.clock().now() < moment {
            let wake = self.context.clock().instant(self.fanout.next_wake().min(moment));
            let received = self.receiver.recv_many(&mut events, EVENT_BATCH);
            // The result is irrelevant: events, the clock and the stop are checked below.
            tokio::select! {
                biased;
                _ = tokio::time::timeout_at(wake, received) => {}
                () = self.stop.begun() => {}
            }
            for event in events.drain(..) {
                self.take(event);
            }
            if self.context.clock().now() >= self.fanout.next_wake() {
                self.step(|fanout, fanout_context| fanout.on_wake(fanout_context));
            }
            if self.note_stop() {
                return;
            }
        }
    }

    pub fn is_finished(&self) -> bool {
        self.fanout.outcome().is_some()
    }

    pub fn fanout(&self) -> &Fanout {
        &self.fanout
    }

    /// The calls made so far.
    pub fn work(&self) -> &DriverWork {
        &self.work
    }

    /// Takes the current parts; parts superseded by those of other calls are dropped.
    pub fn take_parts(&mut self) -> Vec<TakenPart> {
        let parts = std::mem::take(&mut self.parts);
        let is_current = |taken: &TakenPart| {
            taken.shards.iter().all(|shard| self.fanout.answered_by(*shard) == Some(taken.call))
        };
        parts.into_iter().filter(is_current).collect()
    }

    fn take(&mut self, event: CallEvent) {
        let call = event.call;
        match event.update {
            CallUpdate::Ended(CallResult::Success(success)) => {
                let taken = self.step(|fanout, fanout_context| fanout.on_answer(call, fanout_context));
                let taken =
                    taken.map(|shard| TakenPart { call, shards: vec![shard], part: Part::Single(success) });
                self.parts.extend(taken);
            }
            CallUpdate::Ended(CallResult::Failure(failure, answer)) => {
                self.record_failure(call, failure);
                self.failed_answer = answer.or(self.failed_answer.take());
                self.step(|fanout, fanout_context| fanout.on_failure(call, failure, fanout_context));
            }
            CallUpdate::Gathered(gathered, merged) => {
                if self.step(|fanout, fanout_context| fanout.on_gathered(call, &gathered, fanout_context)) {
                    self.parts.push(TakenPart {
                        call,
                        shards: gathered.answered,
                        part: Part::Merged(merged),
                    });
                }
            }
            CallUpdate::GathererFailed(failure) => {
                self.record_failure(call, failure);
                self.step(|fanout, fanout_context| fanout.on_gatherer_failure(call, failure, fanout_context));
            }
        }
    }

    /// Advances the state machine by one step and executes the resulting actions.
    fn step<T>(&mut self, step: impl FnOnce(&mut Fanout, &mut FanoutContext<'_, SmallRng>) -> T) -> T {
        let mut actions = Vec::new();
        let now = self.context.clock().now();
        let allowance = self.context.allowance();
        let result = {
            let mut dispatch = self.context.dispatch.lock();
            let dispatch = &mut *dispatch;
            step(
                &mut self.fanout,
                &mut FanoutContext {
                    table: &dispatch.table,
                    budgets: &mut dispatch.budgets,
                    allowance: &allowance,
                    now,
                    random: &mut self.random,
                    actions: &mut actions,
                    unsent: &mut self.calls,
                },
            )
        };
        for action in actions {
            match action {
                FanoutAction::Send { call, shard, replica, first } => {
                    self.send(call, shard, &replica, first, now);
                    self.work.extra_calls += u32::from(!first);
                }
                FanoutAction::Delegate { call, delegated, spares } => {
                    self.delegate(call, delegated, spares, now);
                }
                FanoutAction::Abandon { call } => self.calls.abandon(call),
            }
        }
        result
    }

    /// Registers a call that is about to be made. The returned receiver resolves when the call is abandoned.
    fn open_call(
        &mut self,
        call: CallNumber,
        target: String,
        gate: Option<Arc<SendGate>>,
    ) -> oneshot::Receiver<()> {
        let (abandon, abandoned) = oneshot::channel();
        debug_assert_eq!(self.calls.0.len(), call.0 as usize);
        self.calls.0.push(CallHandle { abandon: Some(abandon), gate });
        self.call_targets.push(target);
        abandoned
    }

    fn send(&mut self, call: CallNumber, shard: usize, replica: &ReplicaId, first: bool, now: Micros) {
        let targets = &self.fanout.targets()[shard];
        let chosen = targets.replicas.iter().find(|known| known.replica.id == *replica);
        let chosen = chosen.expect("a replica is chosen among the targets").clone();
        let key = self.context.next_call();
        self.context.dispatch.lock().table.sent(replica, key, self.usual, now);
        self.work.calls += 1;
        let gate = Arc::new(SendGate::default());
        let abandoned = self.open_call(call, replica.to_string(), Some(gate.clone()));
        let outgoing = OutgoingCall {
            number: call,
            key,
            replica: chosen,
            request: self.request.clone(),
            extra: !first,
            usual: self.usual,
            deadline: self.fanout.deadline(),
            abandoned,
            gate,
            events: self.events.clone(),
        };
        tokio::spawn(run_call(self.context.clone(), outgoing));
    }

    fn delegate(
        &mut self,
        call: CallNumber,
        delegated: DelegatedShards,
        spares: Vec<Option<ReplicaId>>,
        now: Micros,
    ) {
        let terms = self.terms.as_ref().expect("only gather routes delegate shards").clone();
        let key = self.context.next_call();
        let gatherer_timeout = terms.times.gatherer_timeout;
        self.context.dispatch.lock().gatherers.sent(&delegated.gatherer, key, gatherer_timeout, now);
        self.work.gatherers += 1;
        self.work.delegated_shards += delegated.shards.len() as u32;
        let abandoned = self.open_call(call, delegated.gatherer.to_string(), None);
        let outgoing = OutgoingDelegation {
            number: call,
            key,
            address: self.context.fleet.lock().address_of(&delegated.gatherer),
            shards: names_of(&terms.gather, &delegated),
            spares,
            top: terms.gather.top,
            maximum_attempts: terms.maximum_attempts,
            delegated,
            request: self.request.clone(),
            times: terms.times,
            abandoned,
            events: self.events.clone(),
        };
        tokio::spawn(run_delegation(self.context.clone(), outgoing));
    }

    fn record_failure(&mut self, call: CallNumber, failure: CallFailure) {
        let target = self.call_targets.get(call.0 as usize).cloned().unwrap_or_default();
        self.work.failures.push((target, failure));
    }
}
