//! Guards against small tenants being refused because of the demand of large ones.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use sablebay_dispatch::{Admission, AdmissionInputs, TenantShares, admit_fairly};
use sablebay_model::Micros;
use sablebay_tenants::TenantName;

fn tenant(number: usize) -> TenantName {
    TenantName::new(format!("tenant-{number}"))
}

/// Shares after `requests`, given as pairs of tenant number and shards.
fn shares(requests: &[(usize, usize)]) -> TenantShares {
    let mut shares = TenantShares::default();
    for (number, (who, shards)) in requests.iter().enumerate() {
        shares.note(&tenant(*who), *shards, Micros::from_millis(number as u64));
    }
    shares
}

fn demands(requests: &[(usize, usize)]) -> BTreeMap<usize, f64> {
    let mut demands = BTreeMap::new();
    for (who, shards) in requests {
        *demands.entry(*who).or_default() += *shards as f64;
    }
    demands
}

#[test]
fn equal_tenants_lose_alike() {
    let shares = shares(&[(0, 20), (1, 20), (2, 20), (3, 20)]);
    for number in 0..4 {
        assert!((shares.demand_of(&tenant(number)).refusal_fraction(0.3) - 0.3).abs() < 1e-9);
    }
}

#[test]
fn the_largest_loses_first_and_a_small_one_nothing() {
    let mut requests = vec![(0, 20); 8];
    requests.extend((1..9).map(|small| (small, 20)));
    let shares = shares(&requests);
    // 4 of 16 requests are to be refused, all of them from the tenant with eight.
    assert!((shares.demand_of(&tenant(0)).refusal_fraction(0.25) - 0.5).abs() < 1e-9);
    assert_eq!(shares.demand_of(&tenant(1)).refusal_fraction(0.25), 0.0);
}

#[test]
fn work_counts_and_not_requests() {
    let shares = shares(&[(0, 90), (1, 2), (1, 2), (1, 2)]);
    assert!(shares.demand_of(&tenant(0)).refusal_fraction(0.5) > 0.5);
    assert_eq!(shares.demand_of(&tenant(1)).refusal_fraction(0.5), 0.0);
}

#[test]
fn a_tenant_that_has_stopped_is_forgotten() {
    let mut shares = shares(&vec![(0, 20); 30]);
    shares.note(&tenant(1), 20, Micros::from_secs(30));
    assert_eq!(shares.remembered(), 1);
    assert_eq!(shares.demand_of(&tenant(0)).refusal_fraction(0.5), 0.0);
}

#[test]
fn tenants_that_come_and_go_take_bounded_memory() {
    let mut shares = TenantShares::default();
    for number in 0..10_000 {
        shares.note(&tenant(number), 20, Micros(number as u64));
    }
    assert!(shares.remembered() <= 64);
}

fn requests() -> impl Strategy<Value = Vec<(usize, usize)>> {
    proptest::collection::vec((0usize..12, 1usize..100), 1..60)
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(11), ..Config::default() })]

    /// A tenant whose demand is at most an equal share of the capacity loses nothing.
    #[test]
    fn nobody_below_an_equal_part_loses(requests in requests(), surplus in 0.0f64..1.0) {
        let shares = shares(&requests);
        let demands = demands(&requests);
        let all: f64 = demands.values().sum();
        let equal_part = all * (1.0 - surplus) / demands.len() as f64;
        for (who, demand) in &demands {
            if *demand <= equal_part {
                prop_assert!(shares.demand_of(&tenant(*who)).refusal_fraction(surplus) < 1e-9);
            }
        }
    }

    /// A larger demand loses a larger fraction, but keeps at least as much as a smaller one.
    #[test]
    fn what_is_kept_is_max_min_fair(requests in requests(), surplus in 0.0f64..1.0) {
        let shares = shares(&requests);
        let mut demands: Vec<(f64, usize)> = demands(&requests).into_iter().map(|(who, work)| (work, who)).collect();
        demands.sort_by(|one, other| one.0.total_cmp(&other.0));
        let parts: Vec<(f64, f64)> =
            demands.iter().map(|(work, who)| (*work, shares.demand_of(&tenant(*who)).refusal_fraction(surplus))).collect();
        for pair in parts.windows(2) {
            let ((small, small_part), (large, large_part)) = (pair[0], pair[1]);
            prop_assert!(small_part <= large_part + 1e-9);
            prop_assert!(small * (1.0 - small_part) <= large * (1.0 - large_part) + 1e-6);
        }
    }

    /// The refused work in total equals the surplus.
    #[test]
    fn the_refused_part_of_the_whole_is_the_surplus(requests in requests(), surplus in 0.0f64..1.0) {
        let shares = shares(&requests);
        let demands = demands(&requests);
        let all: f64 = demands.values().sum();
        let refused: f64 =
            demands.iter().map(|(who, work)| work * shares.demand_of(&tenant(*who)).refusal_fraction(surplus)).sum();
        prop_assert!((refused - surplus * all).abs() < 1e-6 * all);
    }

    /// No request is refused while no shard is crowded.
    #[test]
    fn nobody_is_refused_while_nothing_is_crowded(
        requests in requests(),
        who in 0usize..12,
        shards in 1usize..100,
        rank in 0u32..5,
        draw in 0.0f64..1.0,
    ) {
        let timeout = Micros::from_secs(1);
        let inputs = AdmissionInputs { shards, crowded: 0, rank, is_retry: false, timeout };
        let admission = admit_fairly(&inputs, &shares(&requests).demand_of(&tenant(who)), draw, 0.5);
        prop_assert_eq!(admission, Admission::Admitted);
    }
}
