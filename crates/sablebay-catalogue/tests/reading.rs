//! Who reads the source of the catalogue, and when.

use std::time::Duration;

use sablebay_catalogue::{
    CataloguePosition, CatalogueRevision, Era, LimitedAge, MAXIMUM_STALENESS, ReadFailure, ReadingInputs,
    ReadingPolicy, SourceRead, SourceStep,
};

/// The bound on new configurations at the users' deployments.
const CONFIGURATION_BOUND: Duration = Duration::from_millis(3_000);
/// What is left of it for the answer and its way to the other nodes.
const DELIVERY_TIME: Duration = Duration::from_millis(500);

/// The revision that the inputs of these tests know the catalogue up to.
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
        SourceStep::Wait(_) => panic!("a reader reads"),
    }
}

/// Seen on a hunted day: every node waited for changes when the source fell silent for two seconds,
/// and heard of the configuration accepted meanwhile when its wait of 6.9 s was over.
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
    // Between these it looks often enough to be in time.
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
    assert!(matches!(policy.next(&at(0, true, false)), SourceStep::Wait(_)), "alone it would be a reader");
    assert!(matches!(policy.next(&at(100, true, true)), SourceStep::Read(SourceRead::All { .. })));
    assert!(matches!(policy.next(&at(100, false, true)), SourceStep::Wait(_)));
    assert!(matches!(policy.next(&at(900, false, true)), SourceStep::Read(SourceRead::All { .. })));
    assert!(matches!(policy.next(&at(900, true, false)), SourceStep::Read(SourceRead::All { .. })));
}

/// Seen on the standard days: after all nodes were killed, refusals went on for as long as each
/// waited for the others.
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
        "a lost answer loses no history"
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
    // Who is no reader presses a source in trouble less than a reader does.
    let mut non_reader = ReadingPolicy::default();
    assert!(non_reader.failed(ReadFailure::NoAnswer, false, 0.5) > pauses[5]);
}

/// A node whose configuration is `age_ms` old where 5 seconds are the limit.
fn limited(is_reader: bool, age_ms: u64, position: f64) -> ReadingInputs {
    let configuration_age =
        LimitedAge { age: Duration::from_millis(age_ms), limit: Duration::from_millis(5_000) };
    ReadingInputs { configuration_age: Some(configuration_age), position, ..inputs(is_reader, Some(0)) }
}

fn wait_of(step: SourceStep) -> Duration {
    match step {
        SourceStep::Read(SourceRead::Changes { wait, .. }) => wait,
        other => panic!("it asks for changes: {other:?}"),
    }
}

/// While all answers are in time the age of a reader's configuration comes to the second that waits may miss, and
/// two waits.
#[test]
fn a_reader_in_touch_waits_for_changes_as_where_ages_are_not_limited() {
    let policy = ReadingPolicy::default();
    let unlimited = wait_of(policy.next(&inputs(true, Some(0))));
    let usual_age_ms = 1_000 + unlimited.as_millis() as u64;
    assert_eq!(wait_of(policy.next(&limited(true, usual_age_ms, 0.0))), unlimited);
    assert!(matches!(policy.next(&limited(false, usual_age_ms + 900 + 700, 0.0)), SourceStep::Wait(_)));
}

/// A lost wait is followed by a question that is answered at once: with another wait, the age would come to
/// 1 s + 0.9 s + 1.3 s + 0.9 s with the reader, and to 0.7 s more with those that hear from it.
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
        (0..5_000).step_by(10).find(|age_ms| read(*age_ms)).expect("it reads before the limit")
    };
    let ages: Vec<u64> = (0..=10).map(|tenth| reads_from(f64::from(tenth) / 10.0)).collect();
    assert!(ages.windows(2).all(|pair| pair[0] < pair[1]), "{ages:?}");
    assert!(ages[0] > 3_600, "beyond what is usual: {ages:?}");
    assert!(ages[10] + 400 < 5_000, "in time for an answer: {ages:?}");
}

/// Where the limit is less than answers can do, or the source tells of changes without end, each read leaves the
/// configuration close to its limit.
#[test]
fn reads_that_wait_for_nothing_do_not_follow_each_other_at_once() {
    let mut policy = ReadingPolicy::default();
    assert_eq!(policy.succeeded(false, &limited(true, 1_900, 0.0)), Duration::ZERO);
    let reader = policy.succeeded(false, &limited(true, 4_900, 0.0));
    assert!(reader >= Duration::from_millis(250));
    // Two are readers, all others are not.
    assert!(policy.succeeded(false, &limited(false, 4_900, 0.0)) >= reader * 4);
}
