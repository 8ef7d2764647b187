//! Tests the retry delays of a node that has no configuration yet.

use std::time::Duration;

use crate::start_delay::retry_during_start;

#[test]
fn a_usual_start_is_over_when_callers_come_back() {
    let retry = retry_during_start(Duration::from_millis(20));
    assert_eq!(retry, Duration::from_millis(400));
}

/// Guards against retry delays so short that a caller's only retry is refused during a short source outage.
#[test]
fn a_caller_with_one_retry_outlasts_a_source_that_comes_back_within_the_second() {
    let source_is_back_at = Duration::from_millis(850);
    for arrived_at in [150, 300, 500, 800].map(Duration::from_millis) {
        let returns_at = arrived_at + retry_during_start(arrived_at);
        assert!(returns_at > source_is_back_at, "refused at {arrived_at:?}, and again at {returns_at:?}");
    }
}
