//! A machine that is suspended for seconds: the steady clock stands still meanwhile, as tokio's timers do, and every age
//! that a decision depends on must not.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use sablebay_model::Micros;
use sablebay_node::{Clock, ClockSource};

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
