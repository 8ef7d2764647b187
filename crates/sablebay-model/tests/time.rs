//! Times from outside may have any size.

use std::time::Duration;

use sablebay_model::Micros;

#[test]
fn times_beyond_the_clock_are_its_last() {
    assert_eq!(Micros::from_millis(u64::MAX), Micros::MAX);
    assert_eq!(Micros::from_secs(u64::MAX), Micros::MAX);
    assert_eq!(Micros::from(Duration::MAX), Micros::MAX);
    assert_eq!(Micros::from_millis(u64::MAX).plus(Micros::from_secs(1)), Micros::MAX);
    assert_eq!(Micros::from_millis(1_500), Micros(1_500_000));
}
