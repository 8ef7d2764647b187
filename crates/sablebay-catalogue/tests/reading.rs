//! When the source of the catalogue is read.

use std::time::Duration;

use sablebay_catalogue::{LONGEST_UNAWARE, ReadFailure, ReadingPolicy, SourceRead};

/// The bound on new configurations at the users' deployments.
const CONFIGURATION_BOUND: Duration = Duration::from_millis(3_000);

fn patience_of(read: SourceRead) -> Duration {
    match read {
        SourceRead::All { patience } | SourceRead::Changes { patience, .. } => patience,
    }
}

/// Seen on a hunted day: every node waited for changes when the source fell silent for two seconds,
/// and heard of the configuration accepted meanwhile when its wait of 6.9 s was over.
#[test]
fn a_wait_that_is_lost_is_noticed_within_the_bound_on_configurations() {
    for jitter in [0.0, 0.5, 1.0] {
        let mut policy = ReadingPolicy::default();
        policy.succeeded(7, false);
        let lost = patience_of(policy.next()) + policy.failed(ReadFailure::NoAnswer, jitter);
        assert!(lost <= LONGEST_UNAWARE, "{lost:?}");
        assert!(LONGEST_UNAWARE + Duration::from_millis(500) < CONFIGURATION_BOUND);
    }
}

#[test]
fn a_lost_history_is_read_whole() {
    let mut policy = ReadingPolicy::default();
    assert!(matches!(policy.next(), SourceRead::All { .. }));
    policy.succeeded(7, false);
    assert!(matches!(policy.next(), SourceRead::Changes { after: 7, .. }));
    policy.failed(ReadFailure::NoAnswer, 0.5);
    assert!(matches!(policy.next(), SourceRead::Changes { after: 7, .. }), "a lost answer loses no history");
    policy.failed(ReadFailure::MustReadAll, 0.5);
    assert!(matches!(policy.next(), SourceRead::All { .. }));
}

#[test]
fn a_slow_source_is_given_more_time_and_a_refusing_one_is_not_pressed() {
    let mut policy = ReadingPolicy::default();
    let first = patience_of(policy.next());
    let mut pauses = Vec::new();
    for _ in 0..6 {
        pauses.push(policy.failed(ReadFailure::NoAnswer, 0.5));
    }
    assert!(patience_of(policy.next()) >= first * 4);
    assert!(pauses.windows(2).all(|pair| pair[0] <= pair[1]));
    policy.succeeded(1, false);
    assert!(!policy.is_failing());
    let refused = policy.failed(ReadFailure::Refused, 0.5);
    assert!(refused > Duration::ZERO);
    assert!(matches!(policy.next(), SourceRead::Changes { .. }));
}
