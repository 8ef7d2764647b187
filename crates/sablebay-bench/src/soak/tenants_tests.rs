//! Tests of the tenant checks: violations are detected, without false positives.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use sablebay_platform_standin::{LeafCall, TenantSpec};

use super::checker::Promise;
use super::tenants::{FORGED_TENANT, KeyHistory, PresentedKey, REVOCATION_LIMIT_MS, check_quotas};

const KEY: &str = "key-1";

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

/// A key that belongs to tenant a at first and to tenant b from 10 s on.
fn history(start: Instant) -> KeyHistory {
    let mut history = KeyHistory::default();
    history.published(&[TenantSpec::new("a", &[KEY]), TenantSpec::new("b", &[])], start, start);
    let rotated = start + seconds(10.0);
    history.published(&[TenantSpec::new("a", &[]), TenantSpec::new("b", &[KEY])], rotated, rotated);
    history
}

fn call(tenants: &[&str], at: Instant) -> LeafCall {
    LeafCall {
        id: "r".to_string(),
        tenants: tenants.iter().map(|tenant| tenant.to_string()).collect(),
        has_key: false,
        ran: true,
        at,
    }
}

/// Returns the violation in a request that was sent and received `after_s` seconds after the start.
fn violated_promise(key: Option<&'static str>, tenants: &[&str], after_s: f64) -> Option<Promise> {
    let start = Instant::now();
    let at = start + seconds(after_s);
    history(start).check(&call(tenants, at), &PresentedKey { key, at }).map(|(promise, _)| promise)
}

#[test]
fn a_key_counts_for_whoever_has_it() {
    assert_eq!(violated_promise(Some(KEY), &["a"], 5.0), None);
    assert_eq!(violated_promise(Some(KEY), &["b"], 11.0), None);
    assert_eq!(violated_promise(None, &[], 5.0), None);
    assert_eq!(violated_promise(Some(KEY), &["b"], 5.0), Some(Promise::Authentication));
    assert_eq!(violated_promise(Some("key-2"), &["a"], 5.0), Some(Promise::Authentication));
    assert_eq!(violated_promise(Some(KEY), &["c"], 5.0), Some(Promise::Authentication));
}

#[test]
fn a_key_that_was_taken_away_counts_up_to_the_limit() {
    let limit = REVOCATION_LIMIT_MS as f64 / 1e3;
    assert_eq!(violated_promise(Some(KEY), &["a"], 10.0 + limit), None);
    assert_eq!(violated_promise(Some(KEY), &["a"], 10.3 + limit), Some(Promise::Revocation));
}

/// A request sent before the revocation may run later.
#[test]
fn the_moment_of_sending_counts() {
    let start = Instant::now();
    let presented = PresentedKey { key: Some(KEY), at: start + seconds(9.0) };
    assert_eq!(history(start).check(&call(&["a"], start + seconds(60.0)), &presented), None);
}

#[test]
fn names_are_the_nodes_word_alone() {
    for (key, tenants) in [
        (Some(KEY), vec![]),
        (Some(KEY), vec![FORGED_TENANT]),
        (Some(KEY), vec!["a", "a"]),
        (None, vec!["a"]),
        (None, vec![FORGED_TENANT]),
    ] {
        assert_eq!(violated_promise(key, &tenants, 5.0), Some(Promise::Identity), "{key:?} {tenants:?}");
    }
    let start = Instant::now();
    let with_key = LeafCall { has_key: true, ..call(&["a"], start) };
    let verdict = history(start).check(&with_key, &PresentedKey { key: Some(KEY), at: start });
    assert_eq!(verdict.map(|(promise, _)| promise), Some(Promise::Identity));
}

/// Requests of a tenant at a constant rate, each received by two back ends.
fn requests(tenant: &str, count: usize, per_s: f64) -> Vec<LeafCall> {
    let start = Instant::now();
    let arrival = |number: usize| {
        let at = start + seconds(number as f64 / per_s);
        LeafCall { id: format!("r{number}"), ..call(&[tenant], at) }
    };
    (0..count).flat_map(|number| [arrival(number), arrival(number)]).collect()
}

#[test]
fn quotas_hold_in_each_window() {
    let presented = HashMap::new();
    let violations = |tenant, count, per_s| check_quotas(&requests(tenant, count, per_s), &presented).len();
    assert_eq!(violations("east", 170, 1_000.0), 0);
    assert_eq!(violations("east", 171, 1_000.0), 1);
    assert_eq!(violations("east", 900, 33.0), 0);
    assert_eq!(violations("east", 900, 36.0), 1);
    assert_eq!(violations("steady", 6_000, 10_000.0), 0);
}

#[test]
fn what_was_sent_in_an_earlier_window_is_not_counted() {
    let calls = requests("east", 300, 1_000.0);
    let sent_before = |number: usize, call: &LeafCall| {
        let at = call.at - if number % 4 < 2 { seconds(6.0) } else { seconds(0.0) };
        (call.id.clone(), PresentedKey { key: Some(KEY), at })
    };
    let presented = calls.iter().enumerate().map(|(number, call)| sent_before(number, call)).collect();
    assert!(check_quotas(&calls, &presented).is_empty());
}
