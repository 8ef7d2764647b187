//! Tests of the request state machine, with answers, failures and timer events in any order.

mod common;

use std::collections::HashMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use sablebay_catalogue::{Repeatability, ReplicaId};
use sablebay_dispatch::{
    AlwaysSent, CallDurations, CallFailure, CallKey, CallNumber, Execution, Fanout, FanoutAction,
    FanoutContext, FanoutOutcome, FanoutSettings, ReplicaTable, RetryAllowance, RetryBudgets, ShardTargets,
};
use sablebay_model::{Micros, ZoneName};

use common::targets;

const START: Micros = Micros::from_secs(10);
const DEADLINE: Micros = Micros::from_secs(11);
const PARTIAL_AT: Micros = Micros::from_millis(10_500);

fn settings(repeatability: Repeatability, minimum_shards: usize) -> FanoutSettings {
    FanoutSettings {
        repeatability,
        maximum_attempts: 2,
        minimum_shards,
        deadline: DEADLINE,
        partial_at: PARTIAL_AT,
        report_at: PARTIAL_AT,
        hedge_delay: Micros::from_millis(50),
        gatherer_timeout: Micros::from_millis(100),
        usual_call: CallDurations::default(),
    }
}

/// Runs a request and records the calls that it sends.
struct Harness {
    fanout: Fanout,
    table: ReplicaTable,
    budgets: RetryBudgets,
    allowance: RetryAllowance,
    random: SmallRng,
    now: Micros,
    sent: HashMap<CallNumber, (usize, ReplicaId)>,
    open: Vec<CallNumber>,
    ends: HashMap<CallNumber, Execution>,
}

impl Harness {
    fn new(settings: FanoutSettings, targets: Vec<ShardTargets>, fixed: f64) -> Self {
        let mut harness = Self {
            fanout: Fanout::new(settings, targets),
            table: ReplicaTable::new(ZoneName::new("z")),
            budgets: RetryBudgets::default(),
            allowance: RetryAllowance { ratio: 0.2, fixed, window: Micros::from_secs(10), nodes: 1 },
            random: SmallRng::seed_from_u64(1),
            now: START,
            sent: HashMap::new(),
            open: Vec::new(),
            ends: HashMap::new(),
        };
        harness.step(|fanout, context| fanout.start(context));
        harness
    }

    fn step<T>(&mut self, step: impl FnOnce(&mut Fanout, &mut FanoutContext<'_, SmallRng>) -> T) -> T {
        let mut actions = Vec::new();
        let result = step(
            &mut self.fanout,
            &mut FanoutContext {
                table: &self.table,
                budgets: &mut self.budgets,
                allowance: &self.allowance,
                now: self.now,
                random: &mut self.random,
                actions: &mut actions,
                unsent: &mut AlwaysSent,
            },
        );
        for action in actions {
            match action {
                FanoutAction::Send { call, shard, replica, .. } => {
                    assert!(self.now < DEADLINE, "nothing is sent at or after the deadline");
                    self.table.sent(&replica, CallKey(u64::from(call.0)), Micros::from_millis(20), self.now);
                    self.sent.insert(call, (shard, replica));
                    self.open.push(call);
                }
                FanoutAction::Delegate { .. } => panic!("nothing is delegated here"),
                FanoutAction::Abandon { call } => self.open.retain(|open| *open != call),
            }
        }
        result
    }

    fn answer(&mut self, call: CallNumber) -> Option<usize> {
        self.open.retain(|open| *open != call);
        self.ends.insert(call, Execution::Possible);
        self.step(|fanout, context| fanout.on_answer(call, context))
    }

    fn fail(&mut self, call: CallNumber, failure: CallFailure) {
        self.open.retain(|open| *open != call);
        self.ends.insert(call, failure.execution());
        self.step(|fanout, context| fanout.on_failure(call, failure, context));
    }

    fn wait(&mut self, until: Micros) {
        self.now = until;
        self.step(|fanout, context| fanout.on_wake(context));
    }
}

#[test]
fn a_silent_replica_is_hedged_at_another() {
    let mut harness = Harness::new(settings(Repeatability::Repeatable, 1), targets(1, 2), 10.0);
    assert_eq!(harness.sent.len(), 1);
    harness.wait(harness.fanout.next_wake());
    assert_eq!(harness.sent.len(), 2);
    assert_ne!(harness.sent[&CallNumber(0)].1, harness.sent[&CallNumber(1)].1);
    assert_eq!(harness.answer(CallNumber(1)), Some(0));
    assert_eq!(harness.fanout.outcome(), Some(FanoutOutcome::Answered { missing: 0 }));
    assert!(harness.open.is_empty(), "the call to the silent replica is still open");
}

#[test]
fn without_budget_nothing_is_hedged() {
    let mut harness = Harness::new(settings(Repeatability::Repeatable, 1), targets(1, 2), 0.0);
    harness.wait(harness.fanout.next_wake());
    assert_eq!(harness.sent.len(), 1);
}

#[test]
fn the_target_latency_ends_a_request_that_has_enough() {
    let mut harness = Harness::new(settings(Repeatability::Repeatable, 2), targets(3, 1), 10.0);
    harness.answer(CallNumber(0));
    harness.wait(PARTIAL_AT);
    assert_eq!(harness.fanout.outcome(), None, "one of three shards is fewer than the minimum");
    harness.answer(CallNumber(1));
    assert_eq!(harness.fanout.outcome(), Some(FanoutOutcome::Answered { missing: 1 }));
}

#[test]
fn what_cannot_succeed_any_more_ends_at_once() {
    let mut harness = Harness::new(settings(Repeatability::Repeatable, 3), targets(3, 1), 10.0);
    harness.fail(CallNumber(0), CallFailure::Broken);
    assert_eq!(harness.fanout.outcome(), Some(FanoutOutcome::Unknown));
}

#[test]
fn a_service_without_replicas_did_not_run_anything() {
    let harness = Harness::new(settings(Repeatability::AtMostOnce, 1), targets(1, 0), 10.0);
    assert_eq!(harness.fanout.outcome(), Some(FanoutOutcome::NotRun));
}

#[test]
fn a_replica_that_cannot_be_reached_is_replaced_without_a_budget() {
    let mut harness = Harness::new(settings(Repeatability::AtMostOnce, 1), targets(1, 2), 0.0);
    harness.fail(CallNumber(0), CallFailure::NoConnection);
    assert_eq!(harness.sent.len(), 2);
    harness.fail(CallNumber(1), CallFailure::NoConnection);
    assert_eq!(
        harness.fanout.outcome(),
        None,
        "the shard is rescheduled, since a replica may accept connections later"
    );
    for call in 2.. {
        if harness.fanout.outcome().is_some() {
            break;
        }
        if !harness.sent.contains_key(&CallNumber(call)) {
            harness.wait(harness.fanout.next_wake());
        }
        harness.fail(CallNumber(call), CallFailure::NoConnection);
    }
    assert_eq!(harness.fanout.outcome(), Some(FanoutOutcome::NotRun));
    assert!(harness.now < PARTIAL_AT, "the request fails before the target latency");
}

/// Guards against failing a request at once when all replicas briefly refuse connections, for example
/// after a power loss.
#[test]
fn a_shard_that_reached_no_replica_is_tried_anew() {
    let mut harness = Harness::new(settings(Repeatability::AtMostOnce, 1), targets(1, 1), 0.0);
    harness.fail(CallNumber(0), CallFailure::NoConnection);
    harness.wait(harness.fanout.next_wake());
    assert_eq!(harness.answer(CallNumber(1)), Some(0));
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Answer(prop::sample::Index),
    Fail(prop::sample::Index, CallFailure),
    Wait(u64),
}

fn failure() -> impl Strategy<Value = CallFailure> {
    prop_oneof![
        Just(CallFailure::NoConnection),
        Just(CallFailure::Rejected),
        Just(CallFailure::WrongInstance),
        Just(CallFailure::Broken),
        Just(CallFailure::Mismatched),
        Just(CallFailure::Failed),
        Just(CallFailure::TimedOut),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        any::<prop::sample::Index>().prop_map(Event::Answer),
        (any::<prop::sample::Index>(), failure()).prop_map(|(index, failure)| Event::Fail(index, failure)),
        (0u64..300).prop_map(Event::Wait),
    ]
}

fn check(harness: &Harness, repeatability: Repeatability) {
    let mut by_shard: HashMap<usize, Vec<CallNumber>> = HashMap::new();
    for (call, (shard, _)) in &harness.sent {
        by_shard.entry(*shard).or_default().push(*call);
    }
    for calls in by_shard.values() {
        let arrived = calls.iter().filter(|call| harness.ends.get(call) != Some(&Execution::NotSent)).count();
        assert!(arrived <= 2, "a shard was sent to more replicas than the route allows");
        let possible =
            calls.iter().filter(|call| matches!(harness.ends.get(call), None | Some(Execution::Possible)));
        if repeatability == Repeatability::AtMostOnce {
            assert!(possible.count() <= 1, "a request that is not repeatable may run at most once");
        }
    }
    if let Some(FanoutOutcome::NotRun | FanoutOutcome::Expired { may_have_run: false }) =
        harness.fanout.outcome()
    {
        let all_known = harness
            .sent
            .keys()
            .all(|call| matches!(harness.ends.get(call), Some(Execution::NotSent | Execution::NotRun)));
        assert!(all_known, "\"not run\" is reported although a call may have run");
    }
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(41), cases: 500, ..Config::default() })]

    #[test]
    fn promises_hold_in_any_order_of_events(
        shards in 1usize..5,
        replicas in 0usize..4,
        minimum in 1usize..5,
        repeatable in any::<bool>(),
        events in proptest::collection::vec(event(), 0..40),
    ) {
        let repeatability = if repeatable { Repeatability::Repeatable } else { Repeatability::AtMostOnce };
        let minimum = minimum.min(shards);
        let mut harness = Harness::new(settings(repeatability, minimum), targets(shards, replicas), 10.0);
        let mut answered = 0;
        for event in events {
            match event {
                Event::Answer(index) if !harness.open.is_empty() => {
                    let call = harness.open[index.index(harness.open.len())];
                    answered += usize::from(harness.answer(call).is_some());
                }
                Event::Fail(index, failure) if !harness.open.is_empty() => {
                    let call = harness.open[index.index(harness.open.len())];
                    harness.fail(call, failure);
                }
                Event::Wait(milliseconds) => harness.wait(harness.now.plus(Micros::from_millis(milliseconds))),
                Event::Answer(_) | Event::Fail(..) => {}
            }
            check(&harness, repeatability);
            if let Some(FanoutOutcome::Answered { missing }) = harness.fanout.outcome() {
                prop_assert_eq!(missing, shards - answered);
                prop_assert!(answered >= minimum);
            }
        }
        harness.wait(DEADLINE.max(harness.now));
        check(&harness, repeatability);
        prop_assert!(harness.fanout.outcome().is_some(), "the deadline ends every request");
        prop_assert!(harness.open.is_empty(), "the deadline cancels all open calls");
    }
}

/// Answers all open calls except those of the shards below `first_open`.
fn answer_all_but(harness: &mut Harness, first_open: usize) {
    for call in harness.open.clone() {
        if harness.sent[&call].0 >= first_open {
            harness.open.retain(|open| *open != call);
            harness.step(|fanout, context| fanout.on_answer(call, context));
        }
    }
}

#[test]
fn a_request_that_is_slow_everywhere_is_not_hedged() {
    let mut harness = Harness::new(settings(Repeatability::Repeatable, 18), targets(20, 2), 1_000.0);
    for _ in 0..10 {
        harness.now = harness.fanout.next_wake();
        harness.step(|fanout, context| fanout.on_wake(context));
    }
    assert_eq!(harness.sent.len(), 20, "general overload must not cause hedged calls");
}

#[test]
fn the_last_shards_of_a_request_are_hedged() {
    let mut harness = Harness::new(settings(Repeatability::Repeatable, 18), targets(20, 2), 1_000.0);
    answer_all_but(&mut harness, 5);
    harness.now = harness.fanout.next_wake();
    harness.step(|fanout, context| fanout.on_wake(context));
    assert_eq!(harness.sent.len(), 25);
}
