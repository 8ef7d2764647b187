//! Property tests of a query over arbitrary answer orders, delays, losses, duplicates, version
//! changes and process pauses, in virtual time.

use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use sablebay_model::{Hit, LeafId, Micros, PartitionSet, Revision, SnapshotVersion, SortOrder, ZoneName};
use sablebay_query::{
    Action, AttemptNumber, CallFailure, Coverage, LoadReport, Mechanisms, PlannedShard, RoutingSettings,
    Search, SearchContext, SearchRequest, SearchResult, ServiceRouting, ShardAnswer, ShardPlan, Target, Work,
};

const SHARDS: u32 = 4;
const REPLICAS: u32 = 3;
const PARTITIONS_PER_SHARD: u32 = 2;
const DEADLINE: Micros = Micros::from_millis(1_000_100);

fn settings() -> ProptestConfig {
    ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Outcome of one call.
#[derive(Clone, Debug)]
enum CallOutcome {
    Answer { delay_ms: u64, repeated: bool },
    WrongVersion { delay_ms: u64 },
    WrongPartitions { delay_ms: u64 },
    Fail { delay_ms: u64, failure: CallFailure },
    Silent,
}

fn outcome() -> impl Strategy<Value = CallOutcome> {
    let failure = prop_oneof![
        Just(CallFailure::NotSent),
        Just(CallFailure::Broken),
        Just(CallFailure::NotHeld),
        Just(CallFailure::Draining),
        Just(CallFailure::Shedding),
    ];
    prop_oneof![
        6 => (0u64..150, any::<bool>()).prop_map(|(delay_ms, repeated)| CallOutcome::Answer { delay_ms, repeated }),
        1 => (0u64..50).prop_map(|delay_ms| CallOutcome::WrongVersion { delay_ms }),
        1 => (0u64..50).prop_map(|delay_ms| CallOutcome::WrongPartitions { delay_ms }),
        2 => (0u64..50, failure).prop_map(|(delay_ms, failure)| CallOutcome::Fail { delay_ms, failure }),
        1 => Just(CallOutcome::Silent),
    ]
}

#[derive(Clone, Debug)]
struct Scenario {
    outcomes: Vec<CallOutcome>,
    /// Event number before which the process pauses, and the pause in milliseconds.
    pause: Option<(usize, u64)>,
    coverage_first: bool,
    seed: u64,
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let pause = proptest::option::of((0usize..10, 1u64..300));
    (proptest::collection::vec(outcome(), 40), pause, any::<bool>(), any::<u64>()).prop_map(
        |(outcomes, pause, coverage_first, seed)| Scenario { outcomes, pause, coverage_first, seed },
    )
}

fn routing(coverage_first: bool, mechanisms: Mechanisms, now: Micros) -> ServiceRouting {
    let settings = RoutingSettings {
        hedge: true,
        hedge_quantile: 0.95,
        extra_load_percent: 10.0,
        retry: true,
        coverage_first,
        mechanisms,
    };
    let mut routing = ServiceRouting::new(settings, now);
    let mut shards = Vec::new();
    for shard in 0..SHARDS {
        let first = shard * PARTITIONS_PER_SHARD;
        let replicas = (0..REPLICAS).map(|replica| {
            let target = Target::Leaf(LeafId::new(format!("leaf-{shard}-{replica}")));
            let index = routing.balancer.intern(&target, &ZoneName::new("z"), now);
            let versions = vec![SnapshotVersion(1), SnapshotVersion(2)];
            routing.balancer.reported(index, LoadReport { slots: 4, versions, ..LoadReport::default() }, now);
            index
        });
        let partitions = Arc::new(PartitionSet::range(first, first + PARTITIONS_PER_SHARD - 1));
        shards.push(PlannedShard { partitions, replicas: replicas.collect() });
    }
    routing.plan = Arc::new(ShardPlan { revision: Revision(1), shards, through_peers: false });
    routing
}

fn hit(partition: u32, version: SnapshotVersion) -> Hit {
    let body = serde_json::value::to_raw_value(&serde_json::json!([partition, version.0])).unwrap();
    Hit { key: format!("p{partition}").into(), sort: f64::from(partition), body }
}

fn answer(partitions: &PartitionSet, version: SnapshotVersion) -> ShardAnswer {
    ShardAnswer {
        version,
        coverage: Coverage { answered: partitions.clone(), missing: Vec::new() },
        hits: partitions.iter().map(|partition| hit(partition, version)).collect(),
        report: None,
        work: Work::default(),
    }
}

enum Event {
    Answer(AttemptNumber, ShardAnswer),
    Failure(AttemptNumber, CallFailure),
}

/// Observations of one run.
struct Run {
    result: SearchResult,
    dispatched_at: Vec<Micros>,
    extra_calls: u64,
    extra_paid: u64,
    ended_at: Micros,
}

fn run(scenario: &Scenario, mechanisms: Mechanisms) -> Run {
    let mut now = Micros::from_millis(1_000_000);
    let mut routing = routing(scenario.coverage_first, mechanisms, now);
    let mut random = SmallRng::seed_from_u64(scenario.seed);
    let request =
        SearchRequest { deadline: DEADLINE, limit: 100, order: SortOrder::Descending, may_replan: true };
    let mut search = Search::new(request, routing.plan.clone(), SnapshotVersion(2));
    let mut actions = Vec::new();
    let mut pending: Vec<(Micros, Event)> = Vec::new();
    let (mut dispatched_at, mut step) = (Vec::new(), 0);
    search.start(&mut SearchContext {
        routing: &mut routing,
        now,
        random: &mut random,
        actions: &mut actions,
    });
    while !search.is_finished() {
        for action in actions.drain(..) {
            let Action::Dispatch { attempt, partitions, version, .. } = action else { continue };
            dispatched_at.push(now);
            let outcome = &scenario.outcomes[attempt.0 as usize % scenario.outcomes.len()];
            schedule(outcome, attempt, &partitions, version, now, &mut pending);
        }
        pending.sort_by_key(|(at, _)| *at);
        let due = pending.first().map_or(Micros::MAX, |(at, _)| *at).min(search.next_wake());
        now = now.max(due);
        if let Some((before, pause_ms)) = scenario.pause
            && step == before
        {
            now = now.plus(Micros::from_millis(pause_ms));
        }
        step += 1;
        let mut context =
            SearchContext { routing: &mut routing, now, random: &mut random, actions: &mut actions };
        if search.next_wake() <= now {
            search.on_wake(&mut context);
        } else {
            match pending.remove(0).1 {
                Event::Answer(attempt, answer) => {
                    search.on_answer(attempt, answer, &mut context);
                }
                Event::Failure(attempt, failure) => search.on_failure(attempt, failure, None, &mut context),
            }
        }
        assert!(step < 10_000, "the search does not end");
    }
    let result = search.into_result();
    Run {
        extra_calls: result.work.hedges,
        extra_paid: routing.budget.extra_calls(),
        result,
        dispatched_at,
        ended_at: now,
    }
}

fn schedule(
    outcome: &CallOutcome,
    attempt: AttemptNumber,
    partitions: &PartitionSet,
    version: SnapshotVersion,
    now: Micros,
    pending: &mut Vec<(Micros, Event)>,
) {
    let at = |delay_ms: u64| now.plus(Micros::from_millis(delay_ms));
    match outcome {
        CallOutcome::Answer { delay_ms, repeated } => {
            pending.push((at(*delay_ms), Event::Answer(attempt, answer(partitions, version))));
            if *repeated {
                pending.push((at(delay_ms + 1), Event::Answer(attempt, answer(partitions, version))));
            }
        }
        CallOutcome::WrongVersion { delay_ms } => {
            let other = SnapshotVersion(version.0 + 7);
            pending.push((at(*delay_ms), Event::Answer(attempt, answer(partitions, other))));
        }
        CallOutcome::WrongPartitions { delay_ms } => {
            let wider = partitions.union(&PartitionSet::range(0, SHARDS * PARTITIONS_PER_SHARD - 1));
            pending.push((at(*delay_ms), Event::Answer(attempt, answer(&wider, version))));
        }
        CallOutcome::Fail { delay_ms, failure } => {
            pending.push((at(*delay_ms), Event::Failure(attempt, *failure)))
        }
        CallOutcome::Silent => {}
    }
}

/// Returns whether any hit is at a version other than the reported one.
fn has_mixed_versions(result: &SearchResult) -> bool {
    result.hits.iter().any(|hit| {
        let (_, version): (u32, u64) = serde_json::from_str(hit.body.get()).unwrap();
        version != result.version.0
    })
}

/// Returns whether there is exactly one hit for each covered partition.
fn hits_fit_coverage(result: &SearchResult) -> bool {
    let mut found: Vec<u32> = Vec::new();
    for hit in &result.hits {
        let (partition, _): (u32, u64) = serde_json::from_str(hit.body.get()).unwrap();
        found.push(partition);
    }
    found.sort_unstable();
    found == result.coverage.answered.iter().collect::<Vec<_>>()
}

proptest! {
    #![proptest_config(settings())]

    #[test]
    fn an_answer_comes_from_one_snapshot(scenario in scenario()) {
        let run = run(&scenario, Mechanisms::default());
        prop_assert!(!has_mixed_versions(&run.result));
    }

    #[test]
    fn coverage_is_true_and_nothing_is_doubled(scenario in scenario()) {
        let run = run(&scenario, Mechanisms::default());
        let whole = PartitionSet::all(SHARDS * PARTITIONS_PER_SHARD);
        prop_assert!(run.result.coverage.covers_exactly(&whole), "{:?}", run.result.coverage);
        prop_assert!(hits_fit_coverage(&run.result));
    }

    #[test]
    fn nothing_is_sent_at_or_after_the_deadline(scenario in scenario()) {
        let run = run(&scenario, Mechanisms::default());
        prop_assert!(run.dispatched_at.iter().all(|at| *at < DEADLINE));
    }

    #[test]
    fn every_hedge_is_paid_for(scenario in scenario()) {
        let run = run(&scenario, Mechanisms::default());
        prop_assert!(run.extra_calls <= run.extra_paid);
    }

    #[test]
    fn the_answer_does_not_wait_when_nothing_is_open(scenario in scenario()) {
        // Every call is refused immediately.
        let outcomes = vec![CallOutcome::Fail { delay_ms: 0, failure: CallFailure::Draining }; 40];
        let run = run(&Scenario { outcomes, pause: None, ..scenario }, Mechanisms::default());
        prop_assert!(run.ended_at < DEADLINE);
    }
}

fn fixed(outcomes: Vec<CallOutcome>) -> Scenario {
    Scenario { outcomes, pause: None, coverage_first: false, seed: 1 }
}

/// Guards against properties that pass vacuously: disabling a mechanism must violate its property.
#[test]
fn the_properties_fail_when_their_mechanism_is_off() {
    let wrong_version = fixed(vec![
        CallOutcome::WrongVersion { delay_ms: 1 },
        CallOutcome::Answer { delay_ms: 2, repeated: false },
    ]);
    let off = Mechanisms { version_check: false, ..Mechanisms::default() };
    assert!(has_mixed_versions(&run(&wrong_version, off).result));
    let wrong_partitions = fixed(vec![
        CallOutcome::WrongPartitions { delay_ms: 1 },
        CallOutcome::Answer { delay_ms: 2, repeated: false },
    ]);
    let off = Mechanisms { partition_check: false, ..Mechanisms::default() };
    assert!(!hits_fit_coverage(&run(&wrong_partitions, off).result));
}

/// Guards against mixing versions when every replica drops the pinned version during a query.
#[test]
fn a_version_that_vanishes_is_replaced_by_another_for_the_whole_answer() {
    let now = Micros::from_millis(1_000_000);
    let mut routing = routing(true, Mechanisms::default(), now);
    let mut random = SmallRng::seed_from_u64(1);
    let request =
        SearchRequest { deadline: DEADLINE, limit: 100, order: SortOrder::Descending, may_replan: true };
    let mut search = Search::new(request, routing.plan.clone(), SnapshotVersion(2));
    let mut actions = Vec::new();
    search.start(&mut SearchContext {
        routing: &mut routing,
        now,
        random: &mut random,
        actions: &mut actions,
    });
    for _ in 0..100 {
        let Some(Action::Dispatch { attempt, partitions, version, .. }) = actions.pop() else { continue };
        let mut context =
            SearchContext { routing: &mut routing, now, random: &mut random, actions: &mut actions };
        if version == SnapshotVersion(2) && partitions.contains(0) {
            let report = LoadReport { versions: vec![SnapshotVersion(1)], slots: 4, ..LoadReport::default() };
            search.on_failure(attempt, CallFailure::NotHeld, Some(report), &mut context);
        } else {
            search.on_answer(attempt, answer(&partitions, version), &mut context);
        }
        if search.is_finished() {
            break;
        }
    }
    let result = search.into_result();
    assert_eq!(result.version, SnapshotVersion(1));
    assert!(result.coverage.is_full());
    assert!(!has_mixed_versions(&result));
    assert_eq!(result.work.replans, 1);
}

/// Guards against losing coverage when an aggregator fails and the budget is empty. Calls to a leaf
/// whose connection broke stay subject to the budget, since the leaf may be overloaded.
#[test]
fn a_lost_aggregator_is_replaced_without_the_budget() {
    for (through_peers, expected) in [(true, true), (false, false)] {
        let now = Micros::from_millis(1_000_000);
        let mut routing = routing(false, Mechanisms::default(), now);
        routing.settings.hedge = false;
        routing.plan = Arc::new(ShardPlan { through_peers, ..(*routing.plan).clone() });
        while routing.spend_extra(now) {}
        let mut random = SmallRng::seed_from_u64(1);
        let request =
            SearchRequest { deadline: DEADLINE, limit: 100, order: SortOrder::Descending, may_replan: true };
        let mut search = Search::new(request, routing.plan.clone(), SnapshotVersion(2));
        let mut actions = Vec::new();
        search.start(&mut SearchContext {
            routing: &mut routing,
            now,
            random: &mut random,
            actions: &mut actions,
        });
        let mut first = true;
        while let Some(action) = actions.pop() {
            let Action::Dispatch { attempt, partitions, version, .. } = action else { continue };
            let mut context =
                SearchContext { routing: &mut routing, now, random: &mut random, actions: &mut actions };
            if std::mem::take(&mut first) {
                search.on_failure(attempt, CallFailure::Broken, None, &mut context);
            } else {
                search.on_answer(attempt, answer(&partitions, version), &mut context);
            }
        }
        assert_eq!(search.into_result().coverage.is_full(), expected);
    }
}
