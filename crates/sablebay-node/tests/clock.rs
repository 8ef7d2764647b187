//! Clocks of a suspended machine. Guards against ages and deadlines that omit the time of the suspension, as the
//! system's monotonic clock and tokio's timers do.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use sablebay_model::Micros;
use sablebay_node::{Clock, ClockSource, Suspension};

#[test]
fn a_clock_counts_the_time_that_its_machine_was_suspended() {
    static SUSPENDED: AtomicU64 = AtomicU64::new(700);
    let source = ClockSource {
        running: || Duration::from_millis(5_000),
        elapsed: || Duration::from_millis(5_000 + SUSPENDED.load(Ordering::Relaxed)),
    };
    let clock = Clock::start_from(source);
    let (before, wall) = (clock.now(), clock.wall());
    SUSPENDED.fetch_add(8_000, Ordering::Relaxed);
    assert_eq!(clock.now().since(before), Micros::from_millis(8_000));
    assert_eq!(clock.wall().0 - wall.0, 8_000);
    assert_eq!(clock.running_for(), Duration::from_millis(8_000));
    assert_eq!(clock.suspended_for(), Duration::from_millis(8_000));
}

#[test]
fn what_is_due_while_the_machine_is_suspended_is_due_when_it_wakes() {
    static SUSPENDED: AtomicU64 = AtomicU64::new(0);
    let source = ClockSource {
        running: || Duration::from_millis(5_000),
        elapsed: || Duration::from_millis(5_000 + SUSPENDED.load(Ordering::Relaxed)),
    };
    let clock = Clock::start_from(source);
    let due_at = clock.now().plus(Micros::from_millis(600_000));
    assert!(clock.instant(due_at) > tokio::time::Instant::now() + Duration::from_secs(500));
    SUSPENDED.fetch_add(600_000, Ordering::Relaxed);
    assert!(clock.instant(due_at) <= tokio::time::Instant::now());
}

#[test]
fn what_was_known_before_a_suspension_counts_again_once_it_is_confirmed() {
    static SUSPENDED: AtomicU64 = AtomicU64::new(0);
    let source = ClockSource {
        running: || Duration::from_millis(5_000),
        elapsed: || Duration::from_millis(5_000 + SUSPENDED.load(Ordering::Relaxed)),
    };
    let clock = Clock::start_from(source);
    let suspension = Suspension::default();
    let asked_before = clock.now();
    let confirmed_at = Some(asked_before);
    assert_eq!(suspension.detect(&clock), None);
    assert!(suspension.is_confirmed(confirmed_at, clock.now()));
    SUSPENDED.fetch_add(6_000, Ordering::Relaxed);
    assert_eq!(suspension.detect(&clock), Some(Micros::from_millis(6_000)));
    assert_eq!(suspension.detect(&clock), None, "a suspension is reported once");
    assert!(!suspension.is_confirmed(confirmed_at, clock.now()));
    assert!(!suspension.is_confirmed(None, clock.now()));
    assert!(suspension.resumed_since(asked_before), "the answer may predate the suspension");
    assert!(!suspension.resumed_since(clock.now()));
    assert!(suspension.is_confirmed(Some(clock.now()), clock.now()));
    SUSPENDED.fetch_add(9_000, Ordering::Relaxed);
    assert!(suspension.detect(&clock).is_some(), "the second suspension is detected");
    assert!(!suspension.is_confirmed(Some(clock.now().since(Micros::from_millis(1_000))), clock.now()));
}

#[test]
fn a_node_that_nobody_confirms_anything_to_goes_on_after_a_while() {
    static CLOCKS: AtomicU64 = AtomicU64::new(0);
    static SUSPENDED: AtomicU64 = AtomicU64::new(0);
    let source = ClockSource {
        running: || Duration::from_millis(CLOCKS.load(Ordering::Relaxed)),
        elapsed: || Duration::from_millis(CLOCKS.load(Ordering::Relaxed) + SUSPENDED.load(Ordering::Relaxed)),
    };
    let clock = Clock::start_from(source);
    let suspension = Suspension::default();
    SUSPENDED.fetch_add(6_000, Ordering::Relaxed);
    suspension.detect(&clock);
    assert!(!suspension.is_confirmed(None, clock.now()));
    CLOCKS.fetch_add(2_000, Ordering::Relaxed);
    assert!(!suspension.is_confirmed(None, clock.now()));
    CLOCKS.fetch_add(2_000, Ordering::Relaxed);
    assert!(suspension.is_confirmed(None, clock.now()));
}
