//! Guards against calls to an evacuated zone from requests that started before the evacuation, and against
//! sending requests that cannot reach their minimum number of shards.

use std::collections::BTreeSet;
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use sablebay_catalogue::{Repeatability, Replica, ReplicaId, ReplicaPhase, RoutableReplica, ServiceName};
use sablebay_dispatch::{
    AlwaysSent, CallDurations, CallFailure, CallNumber, DelegatedShards, Fanout, FanoutAction, FanoutContext,
    FanoutOutcome, FanoutSettings, ReplicaTable, RetryAllowance, RetryBudgets, ShardTargets,
};
use sablebay_model::{Micros, NodeId, ZoneName};

const START: Micros = Micros::from_secs(10);
const HEDGE_DELAY: Micros = Micros::from_millis(20);
const ALLOWANCE: RetryAllowance =
    RetryAllowance { ratio: 1.0, fixed: 1_000.0, window: Micros::from_secs(10), nodes: 1 };

fn targets(zones_of: &[&[&str]]) -> Vec<ShardTargets> {
    let replica = |shard: usize, zone: &str| RoutableReplica {
        replica: Arc::new(Replica {
            id: ReplicaId::new(format!("{shard}-{zone}")),
            service: ServiceName::new(format!("s{shard}")),
            address: "127.0.0.1:1".parse().expect("an address"),
            zone: ZoneName::new(zone),
            slots: 2,
            phase: ReplicaPhase::Ready,
            warm_up_left_ms: 0,
            sequence: 0,
        }),
        last_resort: false,
        beyond_share: false,
        warm_at: Micros(0),
        cold_calls_per_s: None,
    };
    let shard = |(shard, zones): (usize, &&[&str])| ShardTargets {
        service: ServiceName::new(format!("s{shard}")),
        replicas: zones.iter().map(|zone| replica(shard, zone)).collect(),
    };
    zones_of.iter().enumerate().map(shard).collect()
}

fn settings(minimum_shards: usize) -> FanoutSettings {
    FanoutSettings {
        repeatability: Repeatability::Repeatable,
        maximum_attempts: 2,
        minimum_shards,
        deadline: START.plus(Micros::from_secs(1)),
        partial_at: START.plus(Micros::from_millis(500)),
        report_at: START.plus(Micros::from_millis(400)),
        hedge_delay: HEDGE_DELAY,
        gatherer_timeout: Micros::from_millis(30),
        usual_call: CallDurations::default(),
    }
}

/// Dependencies of a fan-out under test.
struct Harness {
    table: ReplicaTable,
    budgets: RetryBudgets,
    random: SmallRng,
}

impl Harness {
    fn new() -> Self {
        let table = ReplicaTable::new(ZoneName::new("a"));
        Self { table, budgets: RetryBudgets::default(), random: SmallRng::seed_from_u64(3) }
    }

    fn evacuate(&mut self, zones: &[&str]) {
        self.table.set_evacuated(zones.iter().map(ZoneName::new).collect::<BTreeSet<_>>());
    }

    fn step(
        &mut self,
        now: Micros,
        step: impl FnOnce(&mut FanoutContext<'_, SmallRng>),
    ) -> Vec<FanoutAction> {
        let mut actions = Vec::new();
        step(&mut FanoutContext {
            table: &self.table,
            budgets: &mut self.budgets,
            allowance: &ALLOWANCE,
            now,
            random: &mut self.random,
            actions: &mut actions,
            unsent: &mut AlwaysSent,
        });
        actions
    }
}

fn sent_to(actions: &[FanoutAction]) -> Vec<String> {
    let replica = |action: &FanoutAction| match action {
        FanoutAction::Send { replica, .. } => Some(replica.to_string()),
        _ => None,
    };
    actions.iter().filter_map(replica).collect()
}

#[test]
fn a_retry_passes_over_a_zone_that_was_evacuated_meanwhile() {
    let mut harness = Harness::new();
    let mut fanout = Fanout::new(settings(1), targets(&[&["a", "b", "c"]]));
    assert_eq!(sent_to(&harness.step(START, |context| fanout.start(context))), ["0-a"]);
    harness.evacuate(&["b"]);
    let failed =
        harness.step(START, |context| fanout.on_failure(CallNumber(0), CallFailure::Broken, context));
    assert_eq!(sent_to(&failed), ["0-c"]);
}

#[test]
fn a_hedge_passes_over_a_zone_that_was_evacuated_meanwhile() {
    let mut harness = Harness::new();
    let mut fanout = Fanout::new(settings(1), targets(&[&["a", "b"]]));
    harness.step(START, |context| fanout.start(context));
    harness.evacuate(&["b"]);
    let later = START.plus(HEDGE_DELAY);
    assert_eq!(sent_to(&harness.step(later, |context| fanout.on_wake(context))), Vec::<String>::new());
}

#[test]
fn the_spare_of_a_gathered_shard_is_not_called_in_an_evacuated_zone() {
    let mut harness = Harness::new();
    let spares = vec![Some(ReplicaId::new("0-c"))];
    let mut fanout = Fanout::new(settings(0), targets(&[&["a", "b", "c"]])).with_spares(spares);
    harness.step(START, |context| fanout.start(context));
    harness.evacuate(&["c"]);
    let failed =
        harness.step(START, |context| fanout.on_failure(CallNumber(0), CallFailure::Broken, context));
    assert_eq!(sent_to(&failed), Vec::<String>::new());
}

#[test]
fn what_cannot_reach_its_least_share_is_refused_before_anything_is_sent() {
    let mut harness = Harness::new();
    harness.evacuate(&["b"]);
    let mut fanout = Fanout::new(settings(2), targets(&[&["a", "b"], &["b"], &["b"]]));
    assert_eq!(harness.step(START, |context| fanout.start(context)), []);
    assert_eq!(fanout.outcome(), Some(FanoutOutcome::NotRun));
}

#[test]
fn a_shard_without_a_replica_is_left_out_and_no_other_node_is_asked_for_it() {
    let mut harness = Harness::new();
    harness.evacuate(&["b"]);
    let delegated = DelegatedShards {
        gatherer: NodeId::new("n2"),
        zone: ZoneName::new("b"),
        shards: vec![0, 1, 2],
        fallback: None,
        continued: false,
    };
    let mut fanout =
        Fanout::new(settings(2), targets(&[&["b", "c"], &["b"], &["c"]])).with_delegations(vec![delegated]);
    let actions = harness.step(START, |context| fanout.start(context));
    let [FanoutAction::Delegate { delegated, .. }] = &actions[..] else {
        panic!("expected one delegation, got {actions:?}");
    };
    assert_eq!(delegated.shards, [0, 2]);
    assert!(fanout.is_closed(1));
}
