//! Tests of delegated shards: the choice of gatherers, and the request state machine with merged parts,
//! failures and timer events in any order.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use sablebay_catalogue::{Repeatability, Replica, ReplicaId, ReplicaPhase, RoutableReplica, ServiceName};
use sablebay_dispatch::{
    AlwaysSent, CallDurations, CallFailure, CallKey, CallNumber, DelegatedShards, Fanout, FanoutAction,
    FanoutContext, FanoutOutcome, FanoutSettings, GatheredShards, GathererInputs, GathererNode,
    GathererTable, ReplicaTable, RetryAllowance, RetryBudgets, ShardTargets, choose_gatherers,
    gatherer_count, owned_shards,
};
use sablebay_model::{Micros, NodeId, ZoneName};

const START: Micros = Micros::from_secs(10);
const DEADLINE: Micros = Micros::from_secs(11);
const PARTIAL_AT: Micros = Micros::from_millis(10_500);
const REPORT_AT: Micros = Micros::from_millis(10_400);
const RESCUE_DELAY: Micros = Micros::from_millis(100);

/// Builds shards with one replica in each of the given zones.
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

fn node(name: &str, zone: &str) -> GathererNode {
    GathererNode { node: NodeId::new(name), zone: ZoneName::new(zone), takes_over: true, core_percent: 0 }
}

fn choose(
    own: &GathererNode,
    others: &[GathererNode],
    shards: &[ShardTargets],
    own_rate: f64,
    seed: u64,
) -> Vec<DelegatedShards> {
    let table = GathererTable::default();
    let inputs = GathererInputs { own, others, shards, own_rate, table: &table, now: START };
    choose_gatherers(&inputs, &mut SmallRng::seed_from_u64(seed))
}

#[test]
fn shards_of_the_own_zone_are_called_directly_where_every_node_calls_often() {
    let own = node("n1", "a");
    let others = [node("n2", "a"), node("n3", "b")];
    let shards = targets(&[&["a", "b"][..]; 8]);
    assert_eq!(choose(&own, &others, &shards, 30.0, 1), []);
}

#[test]
fn shards_without_a_replica_in_the_own_zone_travel_together() {
    let own = node("n1", "c");
    let others = [node("n2", "a"), node("n3", "b")];
    let shards = targets(&[&["a", "b"], &["c", "a"], &["b", "a"], &["a", "b"], &["c"]]);
    let chosen = choose(&own, &others, &shards, 30.0, 1);
    assert_eq!(chosen.len(), 1, "shards must go to one node of one zone");
    assert_eq!(chosen[0].shards, [0, 2, 3]);
}

#[test]
fn a_far_zone_without_nodes_is_called_directly() {
    let own = node("n1", "c");
    let shards = targets(&[&["a"][..]; 8]);
    assert_eq!(choose(&own, &[node("n2", "c"), node("n3", "b")], &shards, 30.0, 1), []);
}

#[test]
fn a_node_that_failed_or_fell_silent_is_not_asked() {
    let own = node("n1", "c");
    let others = [node("n2", "a"), node("n3", "a")];
    let shards = targets(&[&["a"][..]; 8]);
    let chosen_by = |table: &GathererTable, seed: u64| {
        let now = START.plus(RESCUE_DELAY);
        let inputs =
            GathererInputs { own: &own, others: &others, shards: &shards, own_rate: 30.0, table, now };
        let chosen = choose_gatherers(&inputs, &mut SmallRng::seed_from_u64(seed));
        chosen.into_iter().next().map(|delegated| delegated.gatherer)
    };
    let now = START.plus(RESCUE_DELAY);
    let mut table = GathererTable::default();
    table.sent(&others[0].node, CallKey(1), RESCUE_DELAY, START);
    for seed in 0..20 {
        let chosen = chosen_by(&table, seed);
        assert_eq!(
            chosen.as_ref(),
            Some(&others[1].node),
            "the other node has exceeded the gatherer timeout"
        );
    }
    for key in [1, 2] {
        table.failed(&others[1].node, CallKey(key), now);
    }
    assert_eq!(chosen_by(&table, 1), None, "no healthy gatherer is left");
    table.reported(&others[0].node, CallKey(1), 0.0, now);
    assert_eq!(
        chosen_by(&table, 1).as_ref(),
        Some(&others[0].node),
        "a report makes the silent node eligible again"
    );
}

/// Returns the owners of each shard in a zone with many nodes and few requests, from the delegations of all
/// nodes.
fn owners(nodes: &[GathererNode], shards: &[ShardTargets]) -> Vec<BTreeSet<NodeId>> {
    let mut owners = vec![BTreeSet::new(); shards.len()];
    for own in nodes {
        let others: Vec<_> = nodes.iter().filter(|other| *other != own).cloned().collect();
        for seed in 0..4 {
            let mut direct: BTreeSet<usize> = (0..shards.len()).collect();
            for delegated in choose(own, &others, shards, 0.8, seed) {
                for shard in delegated.shards {
                    owners[shard].insert(delegated.gatherer.clone());
                    direct.remove(&shard);
                }
            }
            direct.into_iter().for_each(|shard| {
                owners[shard].insert(own.node.clone());
            });
        }
    }
    owners
}

#[test]
fn few_nodes_of_a_zone_own_a_shard_and_a_node_that_leaves_moves_its_own_alone() {
    let nodes: Vec<_> = (0..20).map(|number| node(&format!("n{number}"), "a")).collect();
    let shards = targets(&[&["a", "b"][..]; 90]);
    let before = owners(&nodes, &shards);
    assert!(before.iter().all(|owners| owners.len() == 2), "16 calls per second need two owners");
    let gone = nodes[7].node.clone();
    let left: Vec<_> = nodes.iter().filter(|known| known.node != gone).cloned().collect();
    for (owners, before) in owners(&left, &shards).iter().zip(&before) {
        assert!(!owners.contains(&gone));
        let stayed = before.iter().filter(|owner| owners.contains(*owner)).count();
        assert!(
            stayed >= 1 && (stayed == 2 || before.contains(&gone)),
            "only shards of the node that left may change owner"
        );
    }
}

#[test]
fn no_shard_is_delegated_twice_and_far_too_few_are_not_delegated_at_all() {
    let own = node("n1", "a");
    let others: Vec<_> =
        (2..12).map(|number| node(&format!("n{number}"), ["a", "b", "c"][number % 3])).collect();
    let zones: Vec<&[&str]> =
        (0..40).map(|shard| [&["a", "b"][..], &["b", "c"], &["c"]][shard % 3]).collect();
    for rate in [0.1, 1.0, 5.0, 50.0] {
        for seed in 0..20 {
            let chosen = choose(&own, &others, &targets(&zones), rate, seed);
            let mut seen = BTreeSet::new();
            for delegated in &chosen {
                assert!(delegated.shards.is_sorted_by(|one, next| one < next));
                assert!(delegated.shards.len() >= 3, "fewer than three shards must be called directly");
                assert!(
                    delegated.shards.iter().all(|shard| seen.insert(*shard)),
                    "a shard is in two delegations"
                );
            }
        }
    }
    let few = targets(&[&["a"], &["b"], &["b"]]);
    assert_eq!(choose(&own, &others, &few, 50.0, 1), []);
}

#[test]
fn whom_others_ask_keeps_connections_to_the_replicas() {
    let nodes: Vec<_> = (0..40).map(|number| node(&format!("n{number}"), ["a", "b"][number % 2])).collect();
    let shards = targets(&[&["a", "b"][..]; 90]);
    let names: Vec<_> = shards.iter().map(|shard| shard.service.clone()).collect();
    let kept = |own: &GathererNode| {
        let others: Vec<_> = nodes.iter().filter(|other| *other != own).cloned().collect();
        owned_shards(own, &others, &names, 0.8).expect("few nodes own a shard")
    };
    let kept: BTreeMap<NodeId, Vec<bool>> = nodes.iter().map(|own| (own.node.clone(), kept(own))).collect();
    for own in &nodes {
        let others: Vec<_> = nodes.iter().filter(|other| *other != own).cloned().collect();
        for delegated in choose(own, &others, &shards, 0.8, 1) {
            assert!(delegated.shards.iter().all(|shard| kept[&delegated.gatherer][*shard]));
        }
    }
    for shard in 0..90 {
        let owners = kept.values().filter(|kept| kept[shard]).count();
        assert_eq!(owners, 6, "two owners and one standby in each of two zones");
        assert_eq!(owners, gatherer_count(&nodes[0], &nodes[1..], 0.8));
    }
    assert_eq!(
        owned_shards(&nodes[0], &nodes[1..], &names, 30.0),
        None,
        "every node owns all shards at a high request rate"
    );
}

#[test]
fn a_chunk_stays_whole_at_an_owner_of_the_own_zone_wherever_its_replicas_are() {
    let zones = ["a", "b", "c", "d", "e", "f"];
    let nodes: Vec<_> = (0..48).map(|number| node(&format!("n{number}"), zones[number % 6])).collect();
    let placements: Vec<[&str; 3]> = (0..180)
        .map(|shard| [shard % 6, (shard / 6 + 1) % 6, (shard / 36 + 3) % 6].map(|at| zones[at]))
        .collect();
    let shards = targets(&placements.iter().map(|zones| &zones[..]).collect::<Vec<_>>());
    let names: Vec<_> = shards.iter().map(|shard| shard.service.clone()).collect();
    for own in &nodes {
        let others: Vec<_> = nodes.iter().filter(|other| *other != own).cloned().collect();
        let chosen = choose(own, &others, &shards, 0.2, 1);
        let kept = owned_shards(own, &others, &names, 0.2).expect("few nodes own a shard");
        let mut direct: BTreeSet<usize> = (0..180).collect();
        direct.retain(|shard| !chosen.iter().any(|delegated| delegated.shards.contains(shard)));
        assert!(
            direct.iter().all(|shard| kept[*shard]),
            "only shards owned by this node may be called directly"
        );
        for delegated in &chosen {
            assert_eq!(delegated.zone, own.zone);
            assert!(delegated.shards.len() >= 12, "a chunk was split");
            assert!(delegated.fallback.as_ref().is_some_and(|second| *second != delegated.gatherer));
        }
    }
}

#[test]
fn the_chunks_of_a_request_are_spread_over_the_owners() {
    let nodes: Vec<_> = (0..50).map(|number| node(&format!("n{number}"), "a")).collect();
    let shards = targets(&[&["a", "b"][..]; 180]);
    for own in &nodes {
        let others: Vec<_> = nodes.iter().filter(|other| *other != own).cloned().collect();
        let mut given: BTreeMap<NodeId, usize> = BTreeMap::new();
        for delegated in choose(own, &others, &shards, 0.2, 1) {
            *given.entry(delegated.gatherer).or_default() += delegated.shards.len();
        }
        assert!(
            given.values().all(|shards| *shards <= 2 * 14),
            "more than two chunks at one node: {given:?}"
        );
    }
}

#[test]
fn nodes_own_chunks_in_proportion_to_their_share_of_a_core() {
    let names: Vec<_> = (0..400).map(|shard| ServiceName::new(format!("s{shard}"))).collect();
    let with_share = |number: usize| GathererNode {
        core_percent: if number < 5 { 50 } else { 10 },
        ..node(&format!("n{number}"), "a")
    };
    let nodes: Vec<_> = (0..50).map(with_share).collect();
    let owned = |own: &GathererNode| {
        let others: Vec<_> = nodes.iter().filter(|other| *other != own).cloned().collect();
        owned_shards(own, &others, &names, 0.2).expect("few own a shard").iter().filter(|own| **own).count()
    };
    let large: usize = nodes[..5].iter().map(owned).sum();
    let small: usize = nodes[5..].iter().map(owned).sum();
    assert_eq!(large + small, 3 * 400, "two owners and one standby per shard");
    // Five of 50 nodes have about a third of the CPU. A node owns a chunk only once, which reduces their
    // share.
    assert!(
        (2.0..6.0).contains(&(9.0 * large as f64 / small as f64)),
        "{large} shards at large nodes, {small} at small ones"
    );
}

/// Runs a request and records the calls that it sends.
struct Harness {
    fanout: Fanout,
    table: ReplicaTable,
    budgets: RetryBudgets,
    allowance: RetryAllowance,
    random: SmallRng,
    now: Micros,
    /// The shards of each call, and whether the call went to a gatherer.
    sent: BTreeMap<CallNumber, (Vec<usize>, bool)>,
    /// The delegations sent, by call.
    asked: BTreeMap<CallNumber, DelegatedShards>,
    open: Vec<CallNumber>,
}

impl Harness {
    /// Starts a request over eight shards; one node gathers the first four, another the next two.
    fn new(minimum_shards: usize, fixed: f64) -> Self {
        Self::with_second(minimum_shards, fixed, None)
    }

    /// Like `new`, with an optional fallback for both gatherers.
    fn with_second(minimum_shards: usize, fixed: f64, second: Option<&str>) -> Self {
        let settings = FanoutSettings {
            repeatability: Repeatability::Repeatable,
            maximum_attempts: 2,
            minimum_shards,
            deadline: DEADLINE,
            partial_at: PARTIAL_AT,
            report_at: REPORT_AT,
            hedge_delay: Micros::from_millis(50),
            gatherer_timeout: RESCUE_DELAY,
            usual_call: CallDurations::default(),
        };
        let delegated = |name: &str, shards: std::ops::Range<usize>| DelegatedShards {
            gatherer: NodeId::new(name),
            zone: ZoneName::new("a"),
            shards: shards.collect(),
            fallback: second.map(NodeId::new),
            continued: false,
        };
        let delegations = vec![delegated("n1", 0..4), delegated("n2", 4..6)];
        let mut harness = Self {
            fanout: Fanout::new(settings, targets(&[&["a", "b", "c"][..]; 8])).with_delegations(delegations),
            table: ReplicaTable::new(ZoneName::new("c")),
            budgets: RetryBudgets::default(),
            allowance: RetryAllowance { ratio: 0.2, fixed, window: Micros::from_secs(10), nodes: 1 },
            random: SmallRng::seed_from_u64(1),
            now: START,
            sent: BTreeMap::new(),
            asked: BTreeMap::new(),
            open: Vec::new(),
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
            let (call, sent) = match action {
                FanoutAction::Send { call, shard, .. } => (call, (vec![shard], false)),
                FanoutAction::Delegate { call, delegated, .. } => {
                    self.asked.insert(call, delegated.clone());
                    (call, (delegated.shards, true))
                }
                FanoutAction::Abandon { call } => {
                    self.open.retain(|open| *open != call);
                    continue;
                }
            };
            assert!(self.now < DEADLINE, "nothing is sent at or after the deadline");
            self.sent.insert(call, sent);
            self.open.push(call);
        }
        result
    }

    fn gathered(&mut self, call: u32, answered: &[usize], closed: &[usize], last: bool) -> bool {
        let gathered = GatheredShards {
            answered: answered.to_vec(),
            closed: closed.to_vec(),
            retried: Vec::new(),
            last,
        };
        if last {
            self.open.retain(|open| open.0 != call);
        }
        self.step(|fanout, context| fanout.on_gathered(CallNumber(call), &gathered, context))
    }

    fn answer(&mut self, call: CallNumber) -> Option<usize> {
        self.open.retain(|open| *open != call);
        self.step(|fanout, context| fanout.on_answer(call, context))
    }

    fn wait(&mut self, until: Micros) {
        self.now = until;
        self.step(|fanout, context| fanout.on_wake(context));
    }

    /// Answers all open calls to replicas.
    fn answer_replicas(&mut self) {
        for call in self.open.clone() {
            if !self.sent[&call].1 {
                self.answer(call);
            }
        }
    }

    fn direct_calls_of(&self, shard: usize) -> usize {
        self.sent.values().filter(|(shards, gatherer)| !gatherer && shards.contains(&shard)).count()
    }
}

#[test]
fn each_shard_is_asked_for_once_at_a_gatherer_or_a_replica() {
    let harness = Harness::new(8, 100.0);
    let mut asked: Vec<usize> = harness.sent.values().flat_map(|(shards, _)| shards.clone()).collect();
    asked.sort_unstable();
    assert_eq!(asked, (0..8).collect::<Vec<_>>());
}

#[test]
fn merged_parts_and_single_answers_make_a_whole() {
    let mut harness = Harness::new(8, 100.0);
    assert!(harness.gathered(0, &[0, 1, 3], &[], false), "a partial report is accepted");
    assert!(harness.gathered(1, &[4, 5], &[], true));
    harness.answer_replicas();
    assert_eq!(harness.fanout.outcome(), None, "shard 2 is still being gathered");
    assert!(harness.gathered(0, &[2], &[], true));
    assert_eq!(harness.fanout.outcome(), Some(FanoutOutcome::Answered { missing: 0 }));
}

#[test]
fn the_shards_of_a_refused_delegation_are_first_calls_without_a_budget() {
    let mut harness = Harness::new(8, 0.0);
    harness.step(|fanout, context| fanout.on_gatherer_failure(CallNumber(0), CallFailure::Rejected, context));
    assert!((0..4).all(|shard| harness.direct_calls_of(shard) == 1));
}

#[test]
fn the_shards_of_a_gatherer_that_broke_are_paid_for() {
    let mut harness = Harness::new(4, 0.0);
    harness.step(|fanout, context| fanout.on_gatherer_failure(CallNumber(0), CallFailure::Broken, context));
    assert!(
        (0..4).all(|shard| harness.direct_calls_of(shard) == 0),
        "the gatherer's calls may have arrived, and no budget is left"
    );
    let mut harness = Harness::new(8, 100.0);
    harness.step(|fanout, context| fanout.on_gatherer_failure(CallNumber(0), CallFailure::Broken, context));
    assert!((0..4).all(|shard| harness.direct_calls_of(shard) == 1));
}

#[test]
fn the_shards_of_a_silent_gatherer_are_called_directly_and_those_of_a_living_one_are_not() {
    let mut harness = Harness::new(8, 100.0);
    harness.answer_replicas();
    harness.gathered(1, &[], &[], false);
    harness.wait(START.plus(RESCUE_DELAY));
    assert!(
        (0..4).all(|shard| harness.direct_calls_of(shard) == 1),
        "all shards of the silent gatherer must be called directly"
    );
    assert!(
        (4..6).all(|shard| harness.direct_calls_of(shard) == 0),
        "a gatherer that reports hedges its own shards"
    );
    harness.answer_replicas();
    assert!(harness.gathered(1, &[4, 5], &[], true));
    assert_eq!(harness.fanout.outcome(), Some(FanoutOutcome::Answered { missing: 0 }));
}

#[test]
fn a_merged_part_takes_the_place_of_single_answers_and_never_stands_beside_them() {
    let mut harness = Harness::new(8, 100.0);
    harness.wait(START.plus(RESCUE_DELAY));
    let direct_call =
        *harness.sent.iter().find(|(_, sent)| **sent == (vec![1], false)).expect("a direct call").0;
    assert_eq!(harness.answer(direct_call), Some(1));
    assert!(harness.gathered(0, &[0, 1, 2, 3], &[], true), "the merged part replaces the single answer");
    assert_eq!(
        harness.fanout.answered_by(1),
        Some(CallNumber(0)),
        "the single answer must not count any more"
    );
    assert!(!harness.open.contains(&direct_call));
}

#[test]
fn the_other_owner_takes_over_from_a_silent_gatherer() {
    let mut harness = Harness::with_second(8, 100.0, Some("n3"));
    harness.answer_replicas();
    harness.gathered(1, &[], &[], false);
    harness.wait(START.plus(RESCUE_DELAY));
    assert!(
        (0..8).all(|shard| harness.direct_calls_of(shard) == usize::from(shard >= 6)),
        "shards of a silent gatherer must go to its fallback, not to replicas"
    );
    let (call, asked) = harness.asked.iter().next_back().expect("another gatherer is asked");
    assert_eq!((asked.gatherer.as_str(), asked.shards.as_slice()), ("n3", &[0, 1, 2, 3][..]));
    assert!(asked.continued, "the first gatherer may have sent calls");
    let call = *call;
    assert!(harness.gathered(call.0, &[0, 1, 2], &[], false));
    assert!(!harness.gathered(0, &[0, 1], &[], false), "a shard must not be accepted in two parts");
    assert!(harness.gathered(0, &[3], &[], true), "a late report of the first gatherer is accepted");
    assert!(!harness.open.contains(&call), "a gatherer without outstanding shards must be canceled");
    assert!(harness.gathered(1, &[4, 5], &[], true));
    assert_eq!(harness.fanout.outcome(), Some(FanoutOutcome::Answered { missing: 0 }));
}

#[test]
fn the_other_owner_takes_over_what_a_broken_gatherer_still_owes() {
    let mut harness = Harness::with_second(8, 100.0, Some("n3"));
    assert!(harness.gathered(0, &[0, 2], &[], false));
    harness.step(|fanout, context| fanout.on_gatherer_failure(CallNumber(0), CallFailure::Broken, context));
    let asked = harness.asked.values().next_back().expect("another gatherer is asked");
    assert_eq!((asked.shards.as_slice(), asked.continued), (&[1, 3][..], true));
}

#[test]
fn the_other_owner_begins_anew_where_the_first_refused() {
    let mut harness = Harness::with_second(8, 0.0, Some("n3"));
    harness.step(|fanout, context| fanout.on_gatherer_failure(CallNumber(0), CallFailure::Rejected, context));
    let (call, asked) = harness.asked.iter().next_back().expect("another gatherer is asked");
    assert_eq!((asked.shards.as_slice(), asked.continued), (&[0, 1, 2, 3][..], false));
    let call = *call;
    harness.step(|fanout, context| fanout.on_gatherer_failure(call, CallFailure::Rejected, context));
    assert!(
        (0..4).all(|shard| harness.direct_calls_of(shard) == 1),
        "without a fallback, first calls are sent directly and free of charge"
    );
}

#[test]
fn what_was_begun_elsewhere_is_paid_for_also_when_the_other_owner_refuses() {
    let mut harness = Harness::with_second(4, 0.0, Some("n3"));
    harness.step(|fanout, context| fanout.on_gatherer_failure(CallNumber(0), CallFailure::Broken, context));
    let call = *harness.asked.keys().next_back().expect("another gatherer is asked");
    harness.step(|fanout, context| fanout.on_gatherer_failure(call, CallFailure::Rejected, context));
    assert!(
        (0..4).all(|shard| harness.direct_calls_of(shard) == 0),
        "calls of the first gatherer may have arrived"
    );
}

#[test]
fn what_another_gatherer_may_have_sent_counts_also_when_the_first_turns_out_to_refuse() {
    let mut harness = Harness::with_second(4, 100.0, Some("n3"));
    harness.wait(START.plus(RESCUE_DELAY));
    let mut asked = harness.asked.iter().skip(2);
    let second = *asked.find(|(_, asked)| asked.shards == [0, 1, 2, 3]).expect("another gatherer is asked").0;
    harness.step(|fanout, context| fanout.on_gatherer_failure(second, CallFailure::Broken, context));
    harness.step(|fanout, context| fanout.on_gatherer_failure(CallNumber(0), CallFailure::Rejected, context));
    let attempts: Vec<u32> = (0..4).map(|shard| harness.fanout.attempts(shard)).collect();
    assert_eq!(attempts, [2; 4], "one attempt by the gatherer, one by this node");
}

#[test]
fn a_gatherer_that_falls_silent_after_its_first_word_is_replaced_when_it_should_tell_what_is_in() {
    let mut harness = Harness::with_second(8, 100.0, Some("n3"));
    harness.gathered(0, &[], &[], false);
    harness.gathered(1, &[], &[], false);
    harness.wait(START.plus(RESCUE_DELAY));
    assert_eq!(harness.asked.len(), 2, "both gatherers have reported in time");
    harness.gathered(1, &[4], &[], false);
    harness.wait(REPORT_AT.plus(RESCUE_DELAY));
    assert_eq!(harness.asked.len(), 3, "the gatherer without a second report must be replaced");
    assert_eq!(harness.asked.values().next_back().expect("three").shards, [0, 1, 2, 3]);
}

#[test]
fn what_a_gatherer_may_not_say_is_not_taken() {
    let mut harness = Harness::new(8, 100.0);
    assert!(!harness.gathered(0, &[0, 4], &[], false), "shard 4 is not delegated to this gatherer");
    assert!(!harness.gathered(0, &[1, 1], &[], false), "a shard must not be repeated");
    assert!(!harness.gathered(0, &[99], &[99], false), "there is no such shard");
    assert!(harness.gathered(0, &[0, 1], &[], false));
    assert!(!harness.gathered(0, &[1, 2], &[], false), "shard 1 was reported before");
    assert!(!harness.gathered(7, &[7], &[], true), "that call is not a delegation");
}

#[derive(Clone, Debug)]
enum Event {
    Gathered { first: bool, answered: Vec<bool>, closed: Vec<bool>, retried: Vec<bool>, last: bool },
    GathererFailed(bool, CallFailure),
    Answer(prop::sample::Index),
    Fail(prop::sample::Index, CallFailure),
    Wait(u64),
}

fn failure() -> impl Strategy<Value = CallFailure> {
    prop_oneof![Just(CallFailure::NoConnection), Just(CallFailure::Rejected), Just(CallFailure::Broken)]
}

fn event() -> impl Strategy<Value = Event> {
    let flags = || proptest::collection::vec(any::<bool>(), 4);
    prop_oneof![
        (any::<bool>(), flags(), flags(), flags(), any::<bool>()).prop_map(
            |(first, answered, closed, retried, last)| Event::Gathered {
                first,
                answered,
                closed,
                retried,
                last
            }
        ),
        (any::<bool>(), failure()).prop_map(|(first, failure)| Event::GathererFailed(first, failure)),
        any::<prop::sample::Index>().prop_map(Event::Answer),
        (any::<prop::sample::Index>(), failure()).prop_map(|(index, failure)| Event::Fail(index, failure)),
        (0u64..150).prop_map(Event::Wait),
    ]
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(43), cases: 800, ..Config::default() })]

    #[test]
    fn coverage_is_true_in_any_order_of_events(
        minimum in 1usize..9,
        second in any::<bool>(),
        events in proptest::collection::vec(event(), 0..40),
    ) {
        let mut harness = Harness::with_second(minimum, 20.0, second.then_some("n3"));
        // The shards of each accepted part, by call, as the gateway keeps them.
        let mut parts: Vec<(CallNumber, Vec<usize>)> = Vec::new();
        for event in events {
            match event {
                Event::Gathered { first, answered, closed, retried, last } => {
                    // The most recent gatherer of these shards; an earlier one has been replaced.
                    let offset = if first { 0 } else { 4 };
                    let of_these = |asked: &&DelegatedShards| asked.shards.iter().all(|shard| (*shard < 4) == first);
                    let last_asked = harness.asked.iter().rfind(|(_, asked)| of_these(asked));
                    let call = *last_asked.expect("each was asked once").0;
                    let named = |flags: Vec<bool>| -> Vec<usize> {
                        flags.iter().enumerate().filter(|(_, set)| **set).map(|(at, _)| at + offset).collect()
                    };
                    let gathered = GatheredShards {
                        answered: named(answered),
                        closed: named(closed),
                        retried: named(retried),
                        last,
                    };
                    if harness.step(|fanout, context| fanout.on_gathered(call, &gathered, context)) {
                        parts.push((call, gathered.answered));
                    }
                    if last {
                        harness.open.retain(|open| *open != call);
                    }
                }
                Event::GathererFailed(first, failure) => {
                    let of_these = |asked: &DelegatedShards| asked.shards.iter().all(|shard| (*shard < 4) == first);
                    let last_asked = harness.asked.iter().rfind(|(_, asked)| of_these(asked));
                    let call = *last_asked.expect("each was asked once").0;
                    harness.open.retain(|open| *open != call);
                    harness.step(|fanout, context| fanout.on_gatherer_failure(call, failure, context));
                }
                Event::Answer(index) if !harness.open.is_empty() => {
                    let call = harness.open[index.index(harness.open.len())];
                    if !harness.sent[&call].1 {
                        parts.extend(harness.answer(call).map(|shard| (call, vec![shard])));
                    }
                }
                Event::Fail(index, failure) if !harness.open.is_empty() => {
                    let call = harness.open[index.index(harness.open.len())];
                    if !harness.sent[&call].1 {
                        harness.open.retain(|open| *open != call);
                        harness.step(|fanout, context| fanout.on_failure(call, failure, context));
                    }
                }
                Event::Wait(milliseconds) => harness.wait(harness.now.plus(Micros::from_millis(milliseconds))),
                Event::Answer(_) | Event::Fail(..) => {}
            }
            let counted = parts
                .iter()
                .filter(|(call, shards)| {
                    shards.iter().all(|shard| harness.fanout.answered_by(*shard) == Some(*call))
                })
                .flat_map(|(_, shards)| shards.clone());
            let counted: Vec<usize> = counted.collect();
            let distinct: BTreeSet<usize> = counted.iter().copied().collect();
            prop_assert_eq!(distinct.len(), counted.len(), "a shard is counted in two parts");
            let answered = (0..8).filter(|shard| harness.fanout.answered_by(*shard).is_some()).count();
            prop_assert_eq!(answered, counted.len(), "a shard is answered by a part that is not counted");
            if let Some(FanoutOutcome::Answered { missing }) = harness.fanout.outcome() {
                prop_assert_eq!(missing, 8 - counted.len(), "the reported number of missing shards is wrong");
                prop_assert!(counted.len() >= minimum);
            }
            for shard in 0..8 {
                prop_assert!(harness.direct_calls_of(shard) <= 8, "too many direct calls of a shard");
                prop_assert!(harness.fanout.attempts(shard) <= 2, "more replicas used than the route allows");
            }
        }
        harness.wait(DEADLINE.max(harness.now));
        prop_assert!(harness.fanout.outcome().is_some(), "the deadline ends every request");
        prop_assert!(harness.open.is_empty(), "the deadline cancels all open calls");
    }
}

/// A node that sends calls of delegated shards, with the replicas that it has used.
struct Sender {
    fanout: Fanout,
    budgets: RetryBudgets,
    random: SmallRng,
    used: BTreeSet<(usize, ReplicaId)>,
    open: Vec<CallNumber>,
    /// The delegations of the node with their spares, the newest last.
    delegated: Vec<(CallNumber, DelegatedShards, Vec<Option<ReplicaId>>)>,
}

impl Sender {
    /// Creates a sender without starting its request.
    fn idle(fanout: Fanout) -> Self {
        Self {
            fanout,
            budgets: RetryBudgets::default(),
            random: SmallRng::seed_from_u64(0),
            used: BTreeSet::new(),
            open: Vec::new(),
            delegated: Vec::new(),
        }
    }

    fn new(fanout: Fanout, seed: u64) -> Self {
        let mut sender = Self { random: SmallRng::seed_from_u64(seed), ..Self::idle(fanout) };
        sender.step(START, |fanout, context| fanout.start(context));
        sender
    }

    fn step<T>(
        &mut self,
        now: Micros,
        step: impl FnOnce(&mut Fanout, &mut FanoutContext<'_, SmallRng>) -> T,
    ) -> T {
        let mut actions = Vec::new();
        let allowance =
            RetryAllowance { ratio: 0.2, fixed: 1_000.0, window: Micros::from_secs(10), nodes: 1 };
        let result = step(
            &mut self.fanout,
            &mut FanoutContext {
                table: &ReplicaTable::new(ZoneName::new("a")),
                budgets: &mut self.budgets,
                allowance: &allowance,
                now,
                random: &mut self.random,
                actions: &mut actions,
                unsent: &mut AlwaysSent,
            },
        );
        for action in actions {
            match action {
                FanoutAction::Send { call, shard, replica, .. } => {
                    self.used.insert((shard, replica));
                    self.open.push(call);
                }
                FanoutAction::Delegate { call, delegated, spares } => {
                    self.delegated.push((call, delegated, spares));
                }
                FanoutAction::Abandon { call } => self.open.retain(|open| *open != call),
            }
        }
        result
    }

    fn fail_one(&mut self, now: Micros, index: prop::sample::Index) {
        if !self.open.is_empty() {
            let call = self.open.swap_remove(index.index(self.open.len()));
            self.step(now, |fanout, context| fanout.on_failure(call, CallFailure::Broken, context));
        }
    }
}

#[derive(Clone, Debug)]
enum Race {
    RootWaits(u64),
    GathererWaits(u64),
    RootCallFails(prop::sample::Index),
    GathererCallFails(prop::sample::Index),
    GathererBreaks,
    GathererRefuses,
}

fn race() -> impl Strategy<Value = Race> {
    prop_oneof![
        (0u64..200).prop_map(Race::RootWaits),
        (0u64..200).prop_map(Race::GathererWaits),
        any::<prop::sample::Index>().prop_map(Race::RootCallFails),
        any::<prop::sample::Index>().prop_map(Race::GathererCallFails),
        Just(Race::GathererBreaks),
        Just(Race::GathererRefuses),
    ]
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(47), cases: 500, ..Config::default() })]

    /// Guards against using too many replicas when a gatherer reports late, so that both nodes send calls
    /// of the same shard.
    #[test]
    fn a_root_and_its_gatherer_use_no_more_replicas_than_the_route_allows(
        maximum_attempts in 1u32..4,
        seed in any::<u64>(),
        events in proptest::collection::vec(race(), 0..30),
    ) {
        let settings = FanoutSettings {
            repeatability: Repeatability::Repeatable,
            maximum_attempts,
            minimum_shards: 0,
            deadline: DEADLINE,
            partial_at: DEADLINE,
            report_at: DEADLINE,
            hedge_delay: Micros::from_millis(50),
            gatherer_timeout: RESCUE_DELAY,
            usual_call: CallDurations::default(),
        };
        let zones: [&[&str]; 3] = [&["a", "b", "c", "d"][..]; 3];
        let delegated = DelegatedShards {
            gatherer: NodeId::new("n1"),
            zone: ZoneName::new("a"),
            shards: vec![0, 1, 2],
            fallback: None,
            continued: false,
        };
        let root = Fanout::new(settings, targets(&zones)).with_delegations(vec![delegated]);
        let mut root = Sender::new(root, seed);
        let (_, _, spares) = root.delegated[0].clone();
        let gatherer = Fanout::new(settings, targets(&zones)).with_spares(spares);
        let mut gatherer = Sender::new(gatherer, !seed);
        let (mut root_now, mut gatherer_now) = (START, START);
        for event in events {
            match event {
                Race::RootWaits(wait) => {
                    root_now = root_now.plus(Micros::from_millis(wait));
                    root.step(root_now, |fanout, context| fanout.on_wake(context));
                }
                Race::GathererWaits(wait) => {
                    gatherer_now = gatherer_now.plus(Micros::from_millis(wait));
                    gatherer.step(gatherer_now, |fanout, context| fanout.on_wake(context));
                }
                Race::RootCallFails(index) => root.fail_one(root_now, index),
                Race::GathererCallFails(index) => gatherer.fail_one(gatherer_now, index),
                Race::GathererBreaks => root.step(root_now, |fanout, context| {
                    fanout.on_gatherer_failure(CallNumber(0), CallFailure::Broken, context);
                }),
                Race::GathererRefuses => {}
            }
            for shard in 0..3 {
                let used = root.used.union(&gatherer.used).filter(|(known, _)| *known == shard).count();
                prop_assert!(used <= maximum_attempts as usize, "{used} replicas of shard {shard}");
            }
        }
    }

    /// Like the test above, with a fallback that takes over from a gatherer that may only be slow.
    #[test]
    fn no_more_replicas_are_used_than_the_route_allows_also_when_another_takes_over(
        maximum_attempts in 1u32..4,
        seed in any::<u64>(),
        refuses in any::<bool>(),
        events in proptest::collection::vec((any::<bool>(), race()), 0..40),
    ) {
        let settings = FanoutSettings {
            repeatability: Repeatability::Repeatable,
            maximum_attempts,
            minimum_shards: 0,
            deadline: DEADLINE,
            partial_at: DEADLINE,
            report_at: DEADLINE,
            hedge_delay: Micros::from_millis(50),
            gatherer_timeout: RESCUE_DELAY,
            usual_call: CallDurations::default(),
        };
        let zones: [&[&str]; 3] = [&["a", "b", "c", "d"][..]; 3];
        let delegated = DelegatedShards {
            gatherer: NodeId::new("n1"),
            zone: ZoneName::new("a"),
            shards: vec![0, 1, 2],
            fallback: Some(NodeId::new("n2")),
            continued: false,
        };
        let root = Fanout::new(settings, targets(&zones)).with_delegations(vec![delegated]);
        let mut root = Sender::new(root, seed);
        let gatherer_of = |root: &Sender, asked: usize| {
            let (_, delegated, spares) = root.delegated[asked].clone();
            let fanout = Fanout::new(settings, targets(&zones)).with_spares(spares);
            let fanout = if delegated.continued { fanout.continuing() } else { fanout };
            // A gatherer that will refuse sends no calls.
            let runs = delegated.continued || !refuses;
            if runs { Sender::new(fanout, !seed ^ asked as u64) } else { Sender::idle(fanout) }
        };
        let mut gatherers = vec![gatherer_of(&root, 0)];
        let mut now = START;
        for (of_first, event) in events {
            let last = gatherers.len() - 1;
            let gatherer = &mut gatherers[if of_first { 0 } else { last }];
            match event {
                Race::RootWaits(wait) => {
                    now = now.plus(Micros::from_millis(wait));
                    root.step(now, |fanout, context| fanout.on_wake(context));
                }
                Race::GathererWaits(wait) => {
                    now = now.plus(Micros::from_millis(wait));
                    gatherer.step(now, |fanout, context| fanout.on_wake(context));
                }
                Race::RootCallFails(index) => root.fail_one(now, index),
                Race::GathererCallFails(index) => gatherer.fail_one(now, index),
                Race::GathererBreaks => {
                    let call = root.delegated[if of_first { 0 } else { last }].0;
                    root.step(now, |fanout, context| {
                        fanout.on_gatherer_failure(call, CallFailure::Broken, context);
                    });
                }
                // A gatherer that has sent calls cannot refuse.
                Race::GathererRefuses if gatherer.used.is_empty() => {
                    let call = root.delegated[if of_first { 0 } else { last }].0;
                    root.step(now, |fanout, context| {
                        fanout.on_gatherer_failure(call, CallFailure::Rejected, context);
                    });
                }
                Race::GathererRefuses => {}
            }
            if root.delegated.len() > gatherers.len() {
                gatherers.push(gatherer_of(&root, gatherers.len()));
            }
            for shard in 0..3 {
                let senders = gatherers.iter().chain([&root]);
                let used: BTreeSet<&(usize, ReplicaId)> =
                    senders.flat_map(|sender| &sender.used).filter(|(known, _)| *known == shard).collect();
                prop_assert!(used.len() <= maximum_attempts as usize, "{} replicas of shard {shard}", used.len());
            }
        }
    }
}
