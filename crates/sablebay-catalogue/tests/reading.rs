//! Scheduling of reads of the catalogue's source.

use std::time::Duration;

use sablebay_catalogue::{
    CataloguePosition, CatalogueRevision, Era, LimitedAge, MAXIMUM_STALENESS, ReadFailure, ReadingInputs,
    ReadingPolicy, SourceRead, SourceStep,
};

/// Time within which a new configuration must be in force.
const CONFIGURATION_BOUND: Duration = Duration::from_millis(3_000);
/// Part of the bound reserved for the response and its distribution.
const DELIVERY_TIME: Duration = Duration::from_millis(500);

const SEVEN: CatalogueRevision = CatalogueRevision::new(Era::UNNAMED, 7);

fn inputs(is_reader: bool, heard_ago_ms: Option<u64>) -> ReadingInputs {
    ReadingInputs {
        is_reader,
        has_peers: true,
        running_for: Duration::from_secs(60),
        startup_wait: Duration::from_millis(500),
        contact_ago: heard_ago_ms.map(Duration::from_millis),
        configuration_age: None,
        position: 0.5,
        known_up_to: CataloguePosition::new(SEVEN, true),
        must_settle: false,
    }
}

fn timeout_of(step: SourceStep) -> Duration {
    match step {
        SourceStep::Read(SourceRead::All { timeout } | SourceRead::Changes { timeout, .. }) => timeout,
        SourceStep::Wait(_) => panic!("expected a read"),
    }
}

/// Guards against a lost watch delaying a new configuration beyond the bound.
#[test]
fn a_wait_that_is_lost_is_noticed_within_the_bound_on_configurations() {
    for jitter in [0.0, 0.5, 1.0] {
        let mut policy = ReadingPolicy::default();
        let reader = inputs(true, Some(0));
        let lost = timeout_of(policy.next(&reader)) + policy.failed(ReadFailure::NoAnswer, true, jitter);
        assert!(lost <= MAXIMUM_STALENESS, "{lost:?}");
        assert!(MAXIMUM_STALENESS + DELIVERY_TIME < CONFIGURATION_BOUND);
    }
}

#[test]
fn who_is_no_reader_reads_when_nobody_confirms_the_catalogue() {
    let policy = ReadingPolicy::default();
    assert!(matches!(policy.next(&inputs(false, Some(0))), SourceStep::Wait(_)));
    let longest = MAXIMUM_STALENESS.as_millis() as u64;
    assert!(matches!(policy.next(&inputs(false, Some(longest))), SourceStep::Read(_)));
    // Polling in between is frequent enough to meet the bound.
    let mut ago = Duration::ZERO;
    while let SourceStep::Wait(wait) = policy.next(&inputs(false, Some(ago.as_millis() as u64))) {
        assert!(wait > Duration::ZERO);
        ago += wait;
    }
    assert!(ago <= MAXIMUM_STALENESS, "{ago:?}");
}

#[test]
fn a_starting_node_asks_others_first_and_then_the_source() {
    let policy = ReadingPolicy::default();
    let at = |milliseconds, is_reader, has_peers| ReadingInputs {
        is_reader,
        has_peers,
        running_for: Duration::from_millis(milliseconds),
        startup_wait: Duration::from_millis(500),
        contact_ago: None,
        configuration_age: None,
        position: 0.5,
        known_up_to: CataloguePosition::NOTHING,
        must_settle: false,
    };
    assert!(matches!(policy.next(&at(0, true, false)), SourceStep::Wait(_)), "waits for peers first");
    assert!(matches!(policy.next(&at(100, true, true)), SourceStep::Read(SourceRead::All { .. })));
    assert!(matches!(policy.next(&at(100, false, true)), SourceStep::Wait(_)));
    assert!(matches!(policy.next(&at(900, false, true)), SourceStep::Read(SourceRead::All { .. })));
    assert!(matches!(policy.next(&at(900, true, false)), SourceStep::Read(SourceRead::All { .. })));
}

/// Guards against restarted nodes waiting for each other while none reads the source.
#[test]
fn a_node_that_comes_back_reads_at_once() {
    let restarted = ReadingInputs {
        running_for: Duration::ZERO,
        startup_wait: Duration::ZERO,
        has_peers: false,
        known_up_to: CataloguePosition::NOTHING,
        ..inputs(false, None)
    };
    assert!(matches!(ReadingPolicy::default().next(&restarted), SourceStep::Read(SourceRead::All { .. })));
}

#[test]
fn a_lost_history_is_read_whole() {
    let mut policy = ReadingPolicy::default();
    let reader = inputs(true, Some(0));
    assert!(matches!(policy.next(&reader), SourceStep::Read(SourceRead::Changes { after: SEVEN, .. })));
    policy.failed(ReadFailure::NoAnswer, true, 0.5);
    let again = policy.next(&reader);
    assert!(
        matches!(again, SourceStep::Read(SourceRead::Changes { after: SEVEN, .. })),
        "a timeout does not require a full listing"
    );
    policy.failed(ReadFailure::MustReadAll, true, 0.5);
    assert!(matches!(policy.next(&reader), SourceStep::Read(SourceRead::All { .. })));
    policy.succeeded(true, &reader);
    assert!(matches!(policy.next(&reader), SourceStep::Read(SourceRead::Changes { .. })));
}

#[test]
fn a_slow_source_is_given_more_time_and_a_refusing_one_is_not_pressed() {
    let mut policy = ReadingPolicy::default();
    let reader = ReadingInputs { known_up_to: CataloguePosition::NOTHING, ..inputs(true, Some(0)) };
    let first = timeout_of(policy.next(&reader));
    let mut pauses = Vec::new();
    for _ in 0..6 {
        pauses.push(policy.failed(ReadFailure::NoAnswer, true, 0.5));
    }
    assert!(timeout_of(policy.next(&reader)) >= first * 4);
    assert!(pauses.windows(2).all(|pair| pair[0] <= pair[1]));
    policy.succeeded(false, &reader);
    assert!(!policy.is_failing());
    assert!(policy.failed(ReadFailure::Refused, true, 0.5) > Duration::ZERO);
    // Non-readers retry less often than readers.
    let mut non_reader = ReadingPolicy::default();
    assert!(non_reader.failed(ReadFailure::NoAnswer, false, 0.5) > pauses[5]);
}

/// A node whose configuration has this age, with an age limit of 5 s.
fn limited(is_reader: bool, age_ms: u64, position: f64) -> ReadingInputs {
    let configuration_age =
        LimitedAge { age: Duration::from_millis(age_ms), limit: Duration::from_millis(5_000) };
    ReadingInputs { configuration_age: Some(configuration_age), position, ..inputs(is_reader, Some(0)) }
}

fn wait_of(step: SourceStep) -> Duration {
    match step {
        SourceStep::Read(SourceRead::Changes { wait, .. }) => wait,
        other => panic!("expected a read of changes, got {other:?}"),
    }
}

/// While responses are in time, the age stays below the sum of the watch silence and two watches.
#[test]
fn a_reader_in_touch_waits_for_changes_as_where_ages_are_not_limited() {
    let policy = ReadingPolicy::default();
    let unlimited = wait_of(policy.next(&inputs(true, Some(0))));
    let usual_age_ms = 1_000 + unlimited.as_millis() as u64;
    assert_eq!(wait_of(policy.next(&limited(true, usual_age_ms, 0.0))), unlimited);
    assert!(matches!(policy.next(&limited(false, usual_age_ms + 900 + 700, 0.0)), SourceStep::Wait(_)));
}

/// Guards against exceeding the age limit by another watch after a lost one.
#[test]
fn a_reader_whose_configuration_is_close_to_its_limit_waits_for_nothing() {
    let mut policy = ReadingPolicy::default();
    let lost = timeout_of(policy.next(&limited(true, 1_900, 0.0)));
    let pause = policy.failed(ReadFailure::NoAnswer, true, 1.0);
    let age = Duration::from_millis(1_900) + lost + pause;
    let next = policy.next(&limited(true, age.as_millis() as u64, 0.0));
    assert_eq!(wait_of(next), Duration::ZERO);
    assert!(age + Duration::from_millis(700) < Duration::from_millis(5_000));
}

#[test]
fn nodes_whose_configurations_are_close_to_their_limits_read_one_after_the_other() {
    let reads_from = |position: f64| {
        let policy = ReadingPolicy::default();
        let read = |age_ms| matches!(policy.next(&limited(false, age_ms, position)), SourceStep::Read(_));
        (0..5_000).step_by(10).find(|age_ms| read(*age_ms)).expect("reads before the limit")
    };
    let ages: Vec<u64> = (0..=10).map(|tenth| reads_from(f64::from(tenth) / 10.0)).collect();
    assert!(ages.windows(2).all(|pair| pair[0] < pair[1]), "{ages:?}");
    assert!(ages[0] > 3_600, "no read at usual ages: {ages:?}");
    assert!(ages[10] + 400 < 5_000, "leaves time for a response: {ages:?}");
}

/// Guards against a busy loop when every read leaves the configuration close to its age limit.
#[test]
fn reads_that_wait_for_nothing_do_not_follow_each_other_at_once() {
    let mut policy = ReadingPolicy::default();
    assert_eq!(policy.succeeded(false, &limited(true, 1_900, 0.0)), Duration::ZERO);
    let reader = policy.succeeded(false, &limited(true, 4_900, 0.0));
    assert!(reader >= Duration::from_millis(250));
    // Non-readers far outnumber readers, so they pause for longer.
    assert!(policy.succeeded(false, &limited(false, 4_900, 0.0)) >= reader * 4);
}
