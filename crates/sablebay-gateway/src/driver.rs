//! Runs one request's state machine: performs its actions, feeds it what comes back.

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{mpsc, oneshot};

use sablebay_catalogue::{Repeatability, Route};
use sablebay_dispatch::{
    CallFailure, CallNumber, Fanout, FanoutAction, FanoutOutcome, FanoutSettings, FanoutTurn, ShardTargets,
};
use sablebay_model::Micros;

use crate::call::{CallEvent, CallResult, CallSuccess, ForwardedRequest, OutgoingCall, run_call};
use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol, WholeAnswer};

/// Events handled in one turn.
const EVENTS_PER_TURN: usize = 32;

/// What one request has come to.
pub struct DriverResult {
    /// How it ended.
    pub outcome: FanoutOutcome,
    /// The answers that were taken, with the positions of their shards.
    pub answers: Vec<(usize, CallSuccess)>,
    /// The last answer of a back end that failed.
    pub failed_answer: Option<WholeAnswer>,
    /// When an answer that leaves shards out was planned for.
    pub partial_at: Micros,
    /// What was needed.
    pub work: DriverWork,
}

/// What one request needed.
#[derive(Clone, Debug, Default)]
pub struct DriverWork {
    /// Calls of all kinds.
    pub calls: u32,
    /// Calls after the first of their shard.
    pub extra_calls: u32,
    /// The failures of its calls, with the replica of each.
    pub failures: Vec<(String, CallFailure)>,
}

/// One request being run.
struct Driver<'a, C, B> {
    context: &'a Arc<Context<C, B>>,
    request: Arc<ForwardedRequest>,
    deadline: Micros,
    usual: Micros,
    events: mpsc::UnboundedSender<CallEvent>,
    /// By call number: dropping one abandons its call.
    open: Vec<Option<oneshot::Sender<()>>>,
    replicas: Vec<String>,
    work: DriverWork,
}

/// What bounds a request on a route.
pub struct RequestBounds {
    /// When it came in.
    pub received_at: Micros,
    /// When it is given up.
    pub deadline: Micros,
}

/// Runs a request to its end. Dropping the future abandons its calls.
pub async fn drive<C: CallerProtocol, B: BackendProtocol>(
    context: &Arc<Context<C, B>>,
    route: &Route,
    targets: Vec<ShardTargets>,
    request: Arc<ForwardedRequest>,
    bounds: RequestBounds,
) -> DriverResult {
    let (events, mut receiver) = mpsc::unbounded_channel();
    let target = (route.target_latency_ms > 0).then(|| Micros::from_millis(route.target_latency_ms));
    let (usual, hedge_delay) = expected_times(context, route, target);
    let settings = fanout_settings(context, route, targets.len(), &bounds, hedge_delay);
    let mut random = SmallRng::from_rng(&mut rand::rng());
    let mut driver = Driver {
        context,
        request,
        deadline: bounds.deadline,
        usual,
        events,
        open: Vec::with_capacity(targets.len()),
        replicas: Vec::with_capacity(targets.len()),
        work: DriverWork::default(),
    };
    let mut fanout = Fanout::new(settings, targets);
    let mut answers = Vec::with_capacity(fanout.targets().len());
    let mut failed_answer = None;
    driver.step(&mut fanout, &mut random, |fanout, turn| fanout.start(turn));
    let mut events = Vec::with_capacity(EVENTS_PER_TURN);
    while fanout.outcome().is_none() {
        let wake = context.clock().instant(fanout.next_wake());
        let woken = tokio::time::timeout_at(wake, receiver.recv_many(&mut events, EVENTS_PER_TURN)).await;
        for event in events.drain(..) {
            let call = event.call;
            match event.result {
                CallResult::Success(success) => {
                    let taken =
                        driver.step(&mut fanout, &mut random, |fanout, turn| fanout.on_answer(call, turn));
                    answers.extend(taken.map(|shard| (shard, success)));
                }
                CallResult::Failure(failure, answer) => {
                    driver.note_failure(call, failure);
                    failed_answer = answer.or(failed_answer);
                    driver.step(&mut fanout, &mut random, |fanout, turn| {
                        fanout.on_failure(call, failure, turn)
                    });
                }
            }
        }
        if woken.is_err() || context.clock().now() >= fanout.next_wake() {
            driver.step(&mut fanout, &mut random, |fanout, turn| fanout.on_wake(turn));
        }
    }
    let outcome = fanout.outcome().expect("the loop ends with an outcome");
    DriverResult { outcome, answers, failed_answer, partial_at: settings.partial_at, work: driver.work }
}

fn expected_times<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    route: &Route,
    target: Option<Micros>,
) -> (Micros, Micros) {
    let now = context.clock().now();
    let mut dispatch = context.dispatch.lock();
    if !dispatch.latencies.contains_key(&route.name) {
        dispatch.latencies.insert(route.name.clone(), sablebay_dispatch::RouteLatency::new(now));
    }
    let latencies = dispatch.latencies.get_mut(&route.name).expect("an entry was just added");
    (latencies.usual(target, now), latencies.hedge_delay(target, now))
}

fn fanout_settings<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    route: &Route,
    shards: usize,
    bounds: &RequestBounds,
    hedge_delay: Micros,
) -> FanoutSettings {
    let minimum_shards = match &route.destination {
        sablebay_catalogue::Destination::Gather(gather) => gather.minimum_shards(),
        sablebay_catalogue::Destination::Services(_) => shards.max(1),
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
        hedge_delay: match route.repeatability {
            Repeatability::Repeatable => hedge_delay,
            Repeatability::AtMostOnce => Micros::MAX,
        },
    }
}

/// When an answer that leaves shards out must go, to be with its caller within the target latency.
fn planned_answer<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    received_at: Micros,
    target: Micros,
) -> Micros {
    let way_back = Micros::from_millis(context.settings.load().partial_margin_ms);
    let lag = context.dispatch.lock().answer_lag.margin(target, context.clock().now());
    received_at.plus(target.since(way_back.plus(lag)))
}

impl<C: CallerProtocol, B: BackendProtocol> Driver<'_, C, B> {
    /// One step of the machine, and the actions that follow.
    fn step<T>(
        &mut self,
        fanout: &mut Fanout,
        random: &mut SmallRng,
        step: impl FnOnce(&mut Fanout, &mut FanoutTurn<'_, SmallRng>) -> T,
    ) -> T {
        let mut actions = Vec::new();
        let now = self.context.clock().now();
        let allowance = self.context.allowance();
        let mut dispatch = self.context.dispatch.lock();
        let dispatch = &mut *dispatch;
        let result = step(
            fanout,
            &mut FanoutTurn {
                table: &dispatch.table,
                budgets: &mut dispatch.budgets,
                allowance: &allowance,
                now,
                random,
                actions: &mut actions,
            },
        );
        for action in actions {
            match action {
                FanoutAction::Send { call, shard, replica, first } => {
                    let targets = &fanout.targets()[shard];
                    let chosen = targets.replicas.iter().find(|known| known.replica.id == replica);
                    let chosen = chosen.expect("a replica is chosen among the targets").clone();
                    let key = self.context.next_call();
                    dispatch.table.sent(&replica, key, self.usual, now);
                    self.work.calls += 1;
                    self.work.extra_calls += u32::from(!first);
                    self.replicas.push(replica.to_string());
                    let (abandon, abandoned) = oneshot::channel();
                    debug_assert_eq!(self.open.len(), call.0 as usize);
                    self.open.push(Some(abandon));
                    tokio::spawn(run_call(
                        self.context.clone(),
                        OutgoingCall {
                            number: call,
                            key,
                            replica: chosen,
                            request: self.request.clone(),
                            deadline: self.deadline,
                            abandoned,
                            events: self.events.clone(),
                        },
                    ));
                }
                FanoutAction::Abandon { call } => self.open[call.0 as usize] = None,
            }
        }
        result
    }

    fn note_failure(&mut self, call: CallNumber, failure: CallFailure) {
        let replica = self.replicas.get(call.0 as usize).cloned().unwrap_or_default();
        self.work.failures.push((replica, failure));
    }
}
