//! Guards against refusing requests too early, too late, or in the wrong order under overload.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use sablebay_dispatch::{Admission, AdmissionInputs, TypicalTimeout, admit, refusal_probability};
use sablebay_model::Micros;

fn inputs(crowded: usize) -> AdmissionInputs {
    AdmissionInputs { shards: 20, crowded, rank: 0, is_retry: false, timeout: Micros::from_millis(2_000) }
}

#[test]
fn nothing_is_refused_while_few_shards_are_crowded() {
    for crowded in 0..=5 {
        assert_eq!(refusal_probability(&AdmissionInputs { rank: 2, ..inputs(crowded) }), 0.0);
    }
}

#[test]
fn the_refused_part_grows_with_the_crowd_and_never_to_the_whole() {
    let refused: Vec<f64> = (0..=20).map(|crowded| refusal_probability(&inputs(crowded))).collect();
    assert!(refused.is_sorted());
    assert!(refused[20] > 0.5 && refused[20] < 1.0, "some requests are admitted to refresh the load hints");
}

#[test]
fn less_urgent_requests_go_first_and_those_that_come_back_go_last() {
    let crowded = inputs(14);
    let less_urgent = AdmissionInputs { rank: 1, ..crowded };
    let returning = AdmissionInputs { is_retry: true, ..crowded };
    assert!(refusal_probability(&less_urgent) > refusal_probability(&crowded));
    assert!(refusal_probability(&returning) < refusal_probability(&crowded));
}

#[test]
fn a_request_for_one_shard_is_left_to_its_replicas() {
    let single = AdmissionInputs { shards: 1, crowded: 1, ..inputs(1) };
    assert_eq!(refusal_probability(&single), 0.0);
}

#[test]
fn a_caller_that_comes_back_is_known_by_its_patience() {
    let mut usual = TypicalTimeout::default();
    for number in 0..40u64 {
        // A few callers have much longer timeouts than the others.
        let timeout = if number % 20 == 7 { 9_000 } else { 2_000 };
        assert!(!usual.note(Micros::from_millis(timeout)));
    }
    assert!(usual.note(Micros::from_millis(1_600)));
    assert!(!usual.note(Micros::from_millis(2_000)));
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(11), ..Config::default() })]

    /// `retry_after` leaves the caller most of its timeout for the retry.
    #[test]
    fn a_refused_caller_can_come_back_in_time(
        crowded in 0usize..=20,
        rank in 0u32..5,
        is_retry: bool,
        timeout_ms in 50u64..20_000,
        draw in 0.0f64..1.0,
        spread in 0.0f64..1.0,
    ) {
        let timeout = Micros::from_millis(timeout_ms);
        let asked = AdmissionInputs { rank, is_retry, timeout, ..inputs(crowded) };
        if let Admission::Refused { retry_after } = admit(&asked, draw, spread) {
            prop_assert!(retry_after > Micros(0));
            prop_assert!(retry_after.0 * 3 <= timeout.0);
        }
    }
}
