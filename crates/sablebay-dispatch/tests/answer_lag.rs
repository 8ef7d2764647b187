//! Guards against late answers on slow nodes, and against giving shards too little time on fast ones.

use sablebay_dispatch::AnswerLag;
use sablebay_model::Micros;

const TARGET: Micros = Micros::from_millis(100);

/// An estimate after `answers` answers, one every 10 ms, each `lag_ms` later than planned.
fn node_with_lag(lag_ms: u64, answers: u64) -> (AnswerLag, Micros) {
    let mut now = Micros::from_secs(10);
    let mut lag = AnswerLag::default();
    for _ in 0..answers {
        now = now.plus(Micros::from_millis(10));
        lag.record(now, now.plus(Micros::from_millis(lag_ms)));
    }
    (lag, now.plus(Micros::from_millis(lag_ms)))
}

#[test]
fn nothing_is_planned_for_before_anything_was_seen() {
    let now = Micros::from_secs(10);
    assert_eq!(AnswerLag::default().margin(TARGET, now), Micros(0));
}

#[test]
fn a_slow_node_answers_as_much_earlier_as_it_is_late() {
    let (lag, now) = node_with_lag(9, 200);
    let margin = lag.margin(TARGET, now).as_millis();
    assert!((8..=9).contains(&margin), "{margin} ms");
}

#[test]
fn a_node_that_answers_seldom_learns_from_few_answers() {
    let (lag, now) = node_with_lag(9, 4);
    assert!(lag.margin(TARGET, now) > Micros::from_millis(6));
}

#[test]
fn a_node_that_stands_still_leaves_most_of_the_time_to_the_shards() {
    let (lag, now) = node_with_lag(400, 50);
    assert_eq!(lag.margin(TARGET, now), Micros::from_millis(10));
}

#[test]
fn a_lag_that_is_over_is_forgotten() {
    let (lag, now) = node_with_lag(15, 200);
    assert!(lag.margin(TARGET, now.plus(Micros::from_secs(60))) < Micros(100));
}
