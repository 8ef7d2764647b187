//! Who reads the source of the catalogue, and when.

use std::time::Duration;

use sablebay_catalogue::{
    LONGEST_UNAWARE, ReadFailure, ReadingInputs, ReadingPolicy, SourceRead, SourceStep,
};

/// The bound on new configurations at the users' deployments.
const CONFIGURATION_BOUND: Duration = Duration::from_millis(3_000);
/// What is left of it for the answer and its way to the other nodes.
const WAY: Duration = Duration::from_millis(500);

fn inputs(is_reader: bool, confirmed_ago_ms: Option<u64>) -> ReadingInputs {
    ReadingInputs {
        is_reader,
        has_peers: true,
        running_for: Duration::from_secs(60),
        starting_patience: Duration::from_millis(500),
        confirmed_ago: confirmed_ago_ms.map(Duration::from_millis),
        known_up_to: 7,
    }
}

fn patience_of(step: SourceStep) -> Duration {
    match step {
        SourceStep::Read(SourceRead::All { patience } | SourceRead::Changes { patience, .. }) => patience,
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
        let lost = patience_of(policy.next(&reader)) + policy.failed(ReadFailure::NoAnswer, true, jitter);
        assert!(lost <= LONGEST_UNAWARE, "{lost:?}");
        assert!(LONGEST_UNAWARE + WAY < CONFIGURATION_BOUND);
    }
}

#[test]
fn who_is_no_reader_reads_when_nobody_confirms_the_catalogue() {
    let policy = ReadingPolicy::default();
    assert!(matches!(policy.next(&inputs(false, Some(0))), SourceStep::Wait(_)));
    let longest = LONGEST_UNAWARE.as_millis() as u64;
    assert!(matches!(policy.next(&inputs(false, Some(longest))), SourceStep::Read(_)));
    // Between these it looks often enough to be in time.
    let mut ago = Duration::ZERO;
    while let SourceStep::Wait(wait) = policy.next(&inputs(false, Some(ago.as_millis() as u64))) {
        assert!(wait > Duration::ZERO);
        ago += wait;
    }
    assert!(ago <= LONGEST_UNAWARE, "{ago:?}");
}

#[test]
fn a_starting_node_asks_others_first_and_then_the_source() {
    let policy = ReadingPolicy::default();
    let at = |milliseconds, is_reader, has_peers| ReadingInputs {
        is_reader,
        has_peers,
        running_for: Duration::from_millis(milliseconds),
        starting_patience: Duration::from_millis(500),
        confirmed_ago: None,
        known_up_to: 0,
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
    let hurried = ReadingInputs {
        running_for: Duration::ZERO,
        starting_patience: Duration::ZERO,
        has_peers: false,
        known_up_to: 0,
        ..inputs(false, None)
    };
    assert!(matches!(ReadingPolicy::default().next(&hurried), SourceStep::Read(SourceRead::All { .. })));
}

#[test]
fn a_lost_history_is_read_whole() {
    let mut policy = ReadingPolicy::default();
    let reader = inputs(true, Some(0));
    assert!(matches!(policy.next(&reader), SourceStep::Read(SourceRead::Changes { after: 7, .. })));
    policy.failed(ReadFailure::NoAnswer, true, 0.5);
    let again = policy.next(&reader);
    assert!(
        matches!(again, SourceStep::Read(SourceRead::Changes { after: 7, .. })),
        "a lost answer loses no history"
    );
    policy.failed(ReadFailure::MustReadAll, true, 0.5);
    assert!(matches!(policy.next(&reader), SourceStep::Read(SourceRead::All { .. })));
    policy.succeeded(true);
    assert!(matches!(policy.next(&reader), SourceStep::Read(SourceRead::Changes { .. })));
}

#[test]
fn a_slow_source_is_given_more_time_and_a_refusing_one_is_not_pressed() {
    let mut policy = ReadingPolicy::default();
    let reader = ReadingInputs { known_up_to: 0, ..inputs(true, Some(0)) };
    let first = patience_of(policy.next(&reader));
    let mut pauses = Vec::new();
    for _ in 0..6 {
        pauses.push(policy.failed(ReadFailure::NoAnswer, true, 0.5));
    }
    assert!(patience_of(policy.next(&reader)) >= first * 4);
    assert!(pauses.windows(2).all(|pair| pair[0] <= pair[1]));
    policy.succeeded(false);
    assert!(!policy.is_failing());
    assert!(policy.failed(ReadFailure::Refused, true, 0.5) > Duration::ZERO);
    // Who is no reader presses a source in trouble less than a reader does.
    let mut bystander = ReadingPolicy::default();
    assert!(bystander.failed(ReadFailure::NoAnswer, false, 0.5) > pauses[5]);
}
