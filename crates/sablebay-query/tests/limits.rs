//! Tests of admission limits, the extra-load budget and replica selection.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use sablebay_model::{LeafId, Micros, SnapshotVersion, ZoneName};
use sablebay_query::{Admission, Arrival, Balancer, ExtraLoadBudget, LoadReport, ReplicaIndex, Target};

fn settings() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn at_ms(milliseconds: u64) -> Micros {
    Micros::from_millis(milliseconds)
}

proptest! {
    #![proptest_config(settings())]

    /// Guards against exceeding the concurrency or queue limit.
    #[test]
    fn admission_keeps_its_limits(steps in proptest::collection::vec((any::<bool>(), 1u64..40), 1..200)) {
        let mut admission = Admission::new(3, 2);
        let mut now = 0;
        for (arrives, passes) in steps {
            now += passes;
            if arrives {
                admission.arrive(at_ms(now), at_ms(now + 100));
            } else if admission.running() > 0 {
                admission.leave(at_ms(now), at_ms(10));
            }
            prop_assert!(admission.running() <= 3);
            prop_assert!(admission.waiting() <= 2);
        }
    }

    /// Guards against more extra calls than the budget allows.
    #[test]
    fn the_budget_bounds_extra_calls(answered_in_time in proptest::collection::vec(any::<bool>(), 1..2_000)) {
        let mut budget = ExtraLoadBudget::new(5.0, at_ms(0));
        for in_time in &answered_in_time {
            budget.first_call();
            if *in_time {
                budget.earn();
            }
            budget.spend(at_ms(0));
        }
        let in_time = answered_in_time.iter().filter(|in_time| **in_time).count() as f64;
        prop_assert!(budget.extra_calls() as f64 <= 1.0 + in_time * 0.05);
    }

    /// Guards against choosing a replica that is leaving, evacuated, already tried or known not to
    /// hold the version.
    #[test]
    fn the_choice_respects_what_is_known(
        leaving in proptest::collection::vec(any::<bool>(), 5),
        holds in proptest::collection::vec(any::<bool>(), 5),
        evacuated in proptest::collection::vec(any::<bool>(), 5),
        tried in proptest::collection::vec(0u32..5, 0..3),
        seed in any::<u64>(),
    ) {
        let mut balancer = Balancer::new(true);
        let mut candidates = Vec::new();
        for number in 0..5 {
            let target = Target::Leaf(LeafId::new(format!("leaf-{number}")));
            let index = balancer.intern(&target, &ZoneName::new("z"), at_ms(0));
            let versions = vec![SnapshotVersion(if holds[number] { 2 } else { 1 })];
            balancer.reported(index, LoadReport { versions, slots: 1, ..LoadReport::default() }, at_ms(0));
            balancer.set_leaving(&target, leaving[number]);
            balancer.set_evacuated(index, evacuated[number], at_ms(0));
            candidates.push(index);
        }
        let tried: Vec<ReplicaIndex> = tried.into_iter().map(ReplicaIndex).collect();
        let mut random = SmallRng::seed_from_u64(seed);
        let chosen = balancer.choose(&candidates, &tried, SnapshotVersion(2), at_ms(1), &mut random);
        let fits = |index: &ReplicaIndex| {
            let number = index.0 as usize;
            !leaving[number] && !evacuated[number] && holds[number] && !tried.contains(index)
        };
        match chosen {
            Some(index) => prop_assert!(fits(&index)),
            None => prop_assert!(!candidates.iter().any(fits)),
        }
    }
}

#[test]
fn a_request_that_cannot_start_in_time_is_refused_at_once() {
    let mut admission = Admission::new(1, 100);
    assert_eq!(admission.arrive(at_ms(0), at_ms(1_000)), Arrival::Run);
    for _ in 0..200 {
        admission.leave(at_ms(0), at_ms(400));
        assert_eq!(admission.arrive(at_ms(0), at_ms(1_000)), Arrival::Run);
    }
    assert!(matches!(admission.arrive(at_ms(0), at_ms(1_000)), Arrival::Wait(_)));
    assert!(matches!(admission.arrive(at_ms(0), at_ms(300)), Arrival::Refuse { .. }));
}

#[test]
fn a_silent_replica_is_left_alone_however_well_it_says_it_is() {
    let mut balancer = Balancer::new(true);
    let mut random = SmallRng::seed_from_u64(1);
    let candidates: Vec<ReplicaIndex> = ["black-hole", "sound"]
        .iter()
        .map(|name| balancer.intern(&Target::Leaf(LeafId::new(name)), &ZoneName::new("z"), at_ms(0)))
        .collect();
    let version = SnapshotVersion(1);
    for _ in 0..3 {
        balancer.failed(candidates[0], at_ms(1_000));
        let healthy = LoadReport { slots: 100, versions: vec![version], ..LoadReport::default() };
        balancer.reported(candidates[0], healthy, at_ms(1_000));
    }
    balancer.answered(candidates[1], at_ms(50), at_ms(1_000));
    for _ in 0..100 {
        let chosen = balancer.choose(&candidates, &[], version, at_ms(1_050), &mut random);
        assert_eq!(chosen, Some(candidates[1]));
    }
}
