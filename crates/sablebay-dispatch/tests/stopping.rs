//! A planned stop of the node at any moment of a request.

mod common;

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use sablebay_catalogue::Repeatability;
use sablebay_dispatch::{
    CallDurations, CallFailure, CallKey, CallNumber, DelegatedShards, Execution, Fanout, FanoutAction,
    FanoutContext, FanoutOutcome, FanoutSettings, GatheredShards, ReplicaTable, RetryAllowance, RetryBudgets,
    ShardTargets, UnsentCalls,
};
use sablebay_model::{Micros, NodeId, ZoneName};

use common::targets;

const START: Micros = Micros::from_secs(10);
const DEADLINE: Micros = Micros::from_secs(18);
const USUAL: CallDurations =
    CallDurations { total: Micros::from_millis(600), exchange: Micros::from_millis(200) };
/// More wakes than this without time passing mean that the request never sleeps.
const MAXIMUM_WAKES_AT_ONCE: u32 = 20;

fn settings(repeatability: Repeatability, minimum_shards: usize) -> FanoutSettings {
    FanoutSettings {
        repeatability,
        maximum_attempts: 2,
        minimum_shards,
        deadline: DEADLINE,
        partial_at: DEADLINE,
        report_at: DEADLINE,
        hedge_delay: Micros::from_millis(150),
        gatherer_timeout: Micros::from_millis(300),
        usual_call: USUAL,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallState {
    /// Waits for a connection.
    Unsent,
    Sent,
    Withdrawn,
    Ended(Execution),
}

/// The calls of a request and their progress.
#[derive(Default)]
struct Calls(BTreeMap<CallNumber, CallState>);

impl Calls {
    fn in_state(&self, wanted: CallState) -> Vec<CallNumber> {
        self.0.iter().filter(|(_, state)| **state == wanted).map(|(call, _)| *call).collect()
    }

    fn may_have_run(&self) -> bool {
        let possible =
            |state: &CallState| matches!(state, CallState::Sent | CallState::Ended(Execution::Possible));
        self.0.values().any(possible)
    }
}

impl UnsentCalls for Calls {
    fn is_unsent(&self, call: CallNumber) -> bool {
        self.0.get(&call) == Some(&CallState::Unsent)
    }

    fn withdraw(&mut self, call: CallNumber) -> bool {
        let withdrawn = self.is_unsent(call);
        if withdrawn {
            self.0.insert(call, CallState::Withdrawn);
        }
        withdrawn
    }
}

/// Runs a request whose calls wait for connections.
struct Harness {
    fanout: Fanout,
    table: ReplicaTable,
    budgets: RetryBudgets,
    random: SmallRng,
    now: Micros,
    calls: Calls,
    /// Open calls to gatherers.
    delegations: Vec<CallNumber>,
    answer_by: Option<Micros>,
    ended_at: Option<Micros>,
}

impl Harness {
    /// A request that has not started.
    fn new(fanout: Fanout) -> Self {
        Self {
            fanout,
            table: ReplicaTable::new(ZoneName::new("z")),
            budgets: RetryBudgets::default(),
            random: SmallRng::seed_from_u64(1),
            now: START,
            calls: Calls::default(),
            delegations: Vec::new(),
            answer_by: None,
            ended_at: None,
        }
    }

    fn started(settings: FanoutSettings, targets: Vec<ShardTargets>) -> Self {
        let mut harness = Self::new(Fanout::new(settings, targets));
        harness.start();
        harness
    }

    fn start(&mut self) {
        self.step(|fanout, context| fanout.start(context));
    }

    fn step<T>(&mut self, step: impl FnOnce(&mut Fanout, &mut FanoutContext<'_, SmallRng>) -> T) -> T {
        let allowance = RetryAllowance { ratio: 0.2, fixed: 100.0, window: Micros::from_secs(10), nodes: 1 };
        let mut actions = Vec::new();
        let result = step(
            &mut self.fanout,
            &mut FanoutContext {
                table: &self.table,
                budgets: &mut self.budgets,
                allowance: &allowance,
                now: self.now,
                random: &mut self.random,
                actions: &mut actions,
                unsent: &mut self.calls,
            },
        );
        for action in actions {
            match action {
                FanoutAction::Send { call, replica, .. } => {
                    assert!(self.answer_by.is_none_or(|at| self.now < at), "sent after answers were due");
                    self.table.sent(&replica, CallKey(u64::from(call.0)), USUAL.total, self.now);
                    self.calls.0.insert(call, CallState::Unsent);
                }
                FanoutAction::Delegate { call, .. } => {
                    assert!(
                        self.answer_by.is_none_or(|at| self.now < at),
                        "delegated after answers were due"
                    );
                    self.calls.0.insert(call, CallState::Sent);
                    self.delegations.push(call);
                }
                FanoutAction::Abandon { call } => {
                    self.calls.withdraw(call);
                }
            }
        }
        if self.fanout.outcome().is_some() {
            self.ended_at.get_or_insert(self.now);
        }
        result
    }

    fn stop(&mut self, answer_by: Micros) {
        self.answer_by = Some(answer_by);
        self.step(|fanout, context| fanout.on_stop(answer_by, context));
    }

    fn wait(&mut self, until: Micros) {
        let mut wakes_at_once = 0;
        while self.fanout.outcome().is_none() && self.fanout.next_wake() <= until {
            let wake = self.fanout.next_wake();
            wakes_at_once = if wake > self.now { 0 } else { wakes_at_once + 1 };
            assert!(wakes_at_once < MAXIMUM_WAKES_AT_ONCE, "the request wakes without end at {wake}");
            self.now = wake.max(self.now);
            self.step(|fanout, context| fanout.on_wake(context));
        }
        self.now = until.max(self.now);
    }

    fn send(&mut self, call: CallNumber) {
        self.calls.0.insert(call, CallState::Sent);
    }

    fn answer(&mut self, call: CallNumber) {
        self.calls.0.insert(call, CallState::Ended(Execution::Possible));
        self.step(|fanout, context| fanout.on_answer(call, context));
    }

    fn fail(&mut self, call: CallNumber, failure: CallFailure) {
        self.calls.0.insert(call, CallState::Ended(failure.execution()));
        self.step(|fanout, context| fanout.on_failure(call, failure, context));
    }

    /// Ends the first open delegation, with an answer for all its shards or a failure.
    fn gather(&mut self, answers: bool) {
        if self.delegations.is_empty() {
            return;
        }
        let call = self.delegations.remove(0);
        self.calls.0.insert(call, CallState::Ended(Execution::Possible));
        let all = GatheredShards { answered: vec![0, 1], last: true, ..GatheredShards::default() };
        self.step(|fanout, context| match answers {
            true => drop(fanout.on_gathered(call, &all, context)),
            false => fanout.on_gatherer_failure(call, CallFailure::Broken, context),
        });
    }

    /// Calls to replicas in a state.
    fn direct_calls(&self, state: CallState) -> Vec<CallNumber> {
        let calls = self.calls.in_state(state);
        calls.into_iter().filter(|call| !self.delegations.contains(call)).collect()
    }

    fn outcome(&self) -> Option<FanoutOutcome> {
        self.fanout.outcome()
    }

    /// "Not run" promises that no back end has run the request and none ever will.
    fn check_promise(&self) {
        if let Some(FanoutOutcome::NotRun | FanoutOutcome::Expired { may_have_run: false }) = self.outcome() {
            assert!(!self.calls.may_have_run(), "\"not run\" although a call may have run");
            assert!(self.calls.in_state(CallState::Unsent).is_empty(), "a call may still be sent");
        }
    }
}

fn single(repeatability: Repeatability) -> Harness {
    Harness::started(settings(repeatability, 1), targets(1, 2))
}

#[test]
fn a_call_that_waits_for_a_connection_is_refused_at_once_if_its_answer_would_come_too_late() {
    let mut harness = single(Repeatability::AtMostOnce);
    harness.stop(START.plus(USUAL.total).since(Micros(1)));
    assert_eq!(harness.outcome(), Some(FanoutOutcome::NotRun));
    assert_eq!(harness.calls.in_state(CallState::Withdrawn).len(), 1);
}

#[test]
fn a_call_that_waits_for_a_connection_is_served_if_there_is_time() {
    let mut harness = single(Repeatability::AtMostOnce);
    harness.stop(START.plus(USUAL.total));
    assert_eq!(harness.outcome(), None);
    harness.send(CallNumber(0));
    harness.answer(CallNumber(0));
    assert_eq!(harness.outcome(), Some(FanoutOutcome::Answered { missing: 0 }));
}

#[test]
fn a_call_that_still_waits_when_no_exchange_would_end_in_time_is_refused_before_the_answers_are_due() {
    let mut harness = single(Repeatability::AtMostOnce);
    let answer_by = START.plus(Micros::from_secs(5));
    harness.stop(answer_by);
    harness.wait(answer_by);
    assert_eq!(harness.outcome(), Some(FanoutOutcome::NotRun));
    assert_eq!(harness.ended_at, Some(answer_by.since(USUAL.exchange)));
}

#[test]
fn a_call_that_was_sent_is_waited_for_until_the_answers_are_due() {
    let mut harness = single(Repeatability::AtMostOnce);
    harness.send(CallNumber(0));
    let answer_by = START.plus(Micros::from_secs(5));
    harness.stop(answer_by);
    harness.wait(answer_by);
    assert_eq!(harness.outcome(), Some(FanoutOutcome::Expired { may_have_run: true }));
    assert_eq!(harness.ended_at, Some(answer_by));
}

#[test]
fn a_request_that_arrives_too_late_in_a_stop_sends_nothing() {
    let mut harness = Harness::new(Fanout::new(settings(Repeatability::Repeatable, 1), targets(1, 2)));
    harness.stop(START.plus(USUAL.total).since(Micros(1)));
    harness.start();
    assert_eq!(harness.outcome(), Some(FanoutOutcome::NotRun));
    assert!(harness.calls.0.is_empty());
}

#[test]
fn a_request_that_arrives_early_in_a_stop_is_served() {
    let mut harness = Harness::new(Fanout::new(settings(Repeatability::Repeatable, 1), targets(1, 2)));
    harness.stop(START.plus(Micros::from_secs(5)));
    harness.start();
    harness.send(CallNumber(0));
    harness.answer(CallNumber(0));
    assert_eq!(harness.outcome(), Some(FanoutOutcome::Answered { missing: 0 }));
}

#[test]
fn the_shards_that_answered_are_returned_when_the_answers_are_due() {
    let mut harness = Harness::started(settings(Repeatability::Repeatable, 2), targets(3, 1));
    (0..3).for_each(|call| harness.send(CallNumber(call)));
    harness.answer(CallNumber(0));
    harness.answer(CallNumber(1));
    let answer_by = START.plus(Micros::from_secs(5));
    harness.stop(answer_by);
    harness.wait(answer_by);
    assert_eq!(harness.outcome(), Some(FanoutOutcome::Answered { missing: 1 }));
}

/// Guards against a stop that drops shards of a request which can no longer be repeated elsewhere.
#[test]
fn a_shard_that_waits_for_a_connection_is_not_given_up_once_another_was_sent() {
    let mut harness = Harness::started(settings(Repeatability::Repeatable, 1), targets(2, 1));
    harness.send(CallNumber(0));
    harness.stop(START.plus(USUAL.exchange));
    harness.wait(START.plus(Micros(1)));
    assert_eq!(harness.calls.in_state(CallState::Unsent), [CallNumber(1)]);
    harness.send(CallNumber(1));
    harness.answer(CallNumber(0));
    harness.answer(CallNumber(1));
    assert_eq!(harness.outcome(), Some(FanoutOutcome::Answered { missing: 0 }));
}

#[test]
fn a_gatherer_gives_up_each_shard_that_waits_so_that_the_root_gets_it_elsewhere() {
    let mut harness = Harness::started(settings(Repeatability::Repeatable, 0), targets(2, 1));
    harness.send(CallNumber(0));
    harness.stop(START.plus(USUAL.exchange));
    assert_eq!(harness.calls.in_state(CallState::Withdrawn), [CallNumber(1)]);
    assert!(harness.fanout.is_closed(1));
    assert_eq!(harness.outcome(), None, "the shard that was sent is waited for");
}

#[test]
fn a_deadline_before_the_end_of_the_stop_stays_in_force() {
    let mut harness = single(Repeatability::AtMostOnce);
    harness.stop(DEADLINE.plus(Micros(1)));
    assert!(!harness.fanout.is_limited_by_stop());
    harness.send(CallNumber(0));
    harness.wait(DEADLINE);
    assert_eq!(harness.ended_at, Some(DEADLINE));
}

#[test]
fn a_request_whose_deadline_passes_before_it_was_sent_did_not_run() {
    let mut harness = single(Repeatability::AtMostOnce);
    harness.wait(DEADLINE);
    assert_eq!(harness.outcome(), Some(FanoutOutcome::Expired { may_have_run: false }));
}

#[test]
fn no_other_gatherer_is_asked_once_its_answer_would_come_too_late() {
    let delegated = DelegatedShards {
        gatherer: NodeId::new("n1"),
        zone: ZoneName::new("z"),
        shards: vec![0, 1],
        fallback: Some(NodeId::new("n2")),
        continued: false,
    };
    let fanout = Fanout::new(settings(Repeatability::Repeatable, 2), targets(2, 2));
    let mut harness = Harness::new(fanout.with_delegations(vec![delegated]));
    harness.start();
    assert_eq!(harness.calls.0.len(), 1);
    harness.stop(START.plus(USUAL.exchange));
    harness.step(|fanout, context| fanout.on_gatherer_failure(CallNumber(0), CallFailure::Rejected, context));
    assert_eq!(harness.calls.0.len(), 1, "nothing is sent any more");
    assert_eq!(harness.outcome(), Some(FanoutOutcome::NotRun));
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Send(prop::sample::Index),
    Answer(prop::sample::Index),
    Fail(prop::sample::Index, CallFailure),
    /// A gatherer answers for all its shards, or fails.
    Gather(bool),
    Wait(u64),
}

fn failure() -> impl Strategy<Value = CallFailure> {
    prop_oneof![
        Just(CallFailure::NoConnection),
        Just(CallFailure::Rejected),
        Just(CallFailure::WrongInstance),
        Just(CallFailure::Broken),
        Just(CallFailure::Failed),
        Just(CallFailure::HeldBack),
        Just(CallFailure::TimedOut),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => any::<prop::sample::Index>().prop_map(Event::Send),
        2 => any::<prop::sample::Index>().prop_map(Event::Answer),
        2 => (any::<prop::sample::Index>(), failure()).prop_map(|(index, failure)| Event::Fail(index, failure)),
        1 => any::<bool>().prop_map(Event::Gather),
        4 => (0u64..900).prop_map(Event::Wait),
    ]
}

/// A request of the given shape; if it is gathered, another node gathers the first two of at least two shards.
fn request(
    shards: usize,
    replicas: usize,
    minimum: usize,
    repeatability: Repeatability,
    gathered: bool,
) -> Fanout {
    let fanout = Fanout::new(settings(repeatability, minimum.min(shards)), targets(shards, replicas));
    if !gathered || shards < 2 || repeatability == Repeatability::AtMostOnce {
        return fanout;
    }
    fanout.with_delegations(vec![DelegatedShards {
        gatherer: NodeId::new("n1"),
        zone: ZoneName::new("z"),
        shards: vec![0, 1],
        fallback: Some(NodeId::new("n2")),
        continued: false,
    }])
}

fn apply(harness: &mut Harness, event: Event) {
    let pick = |calls: Vec<CallNumber>, index: prop::sample::Index| {
        (!calls.is_empty()).then(|| calls[index.index(calls.len())])
    };
    match event {
        Event::Send(index) => {
            if let Some(call) = pick(harness.calls.in_state(CallState::Unsent), index) {
                harness.send(call);
            }
        }
        Event::Answer(index) => {
            if let Some(call) = pick(harness.direct_calls(CallState::Sent), index) {
                harness.answer(call);
            }
        }
        Event::Fail(index, failure) => {
            // A call that was not sent fails only in ways that say so.
            let state = match failure.execution() {
                Execution::NotSent => CallState::Unsent,
                Execution::NotRun | Execution::Possible => CallState::Sent,
            };
            if let Some(call) = pick(harness.direct_calls(state), index) {
                harness.fail(call, failure);
            }
        }
        Event::Gather(answers) => harness.gather(answers),
        Event::Wait(milliseconds) => harness.wait(harness.now.plus(Micros::from_millis(milliseconds))),
    }
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(57), cases: 2_000, ..Config::default() })]

    /// Guards against requests that a stop leaves without an answer, and against promises that it breaks.
    #[test]
    fn every_request_ends_before_the_answers_are_due_and_promises_only_what_holds(
        shards in 1usize..5,
        replicas in 0usize..4,
        minimum in 0usize..5,
        repeatable in any::<bool>(),
        gathered in any::<bool>(),
        stops_first in any::<bool>(),
        time_ms in 0u64..4_000,
        before in proptest::collection::vec(event(), 0..20),
        after in proptest::collection::vec(event(), 0..30),
    ) {
        let repeatability = if repeatable { Repeatability::Repeatable } else { Repeatability::AtMostOnce };
        let mut harness = Harness::new(request(shards, replicas, minimum, repeatability, gathered));
        if !stops_first {
            harness.start();
            for event in before {
                apply(&mut harness, event);
                harness.check_promise();
            }
        }
        let answer_by = harness.now.plus(Micros::from_millis(time_ms));
        harness.stop(answer_by);
        harness.check_promise();
        if stops_first {
            harness.start();
            harness.check_promise();
        }
        for event in after {
            apply(&mut harness, event);
            harness.check_promise();
        }
        harness.wait(answer_by.max(harness.now));
        harness.check_promise();
        prop_assert!(harness.outcome().is_some(), "the request ends");
        prop_assert!(harness.ended_at.is_some_and(|at| at <= answer_by.min(DEADLINE)), "it ends in time");
        prop_assert!(harness.calls.in_state(CallState::Unsent).is_empty(), "nothing can be sent afterwards");
    }
}
