//! Guards against an unbounded number of metric series and against malformed label values.

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use sablebay_node::{CallerCounts, NAMED_TENANTS};

fn text_of(counts: &CallerCounts) -> String {
    let mut registry = Registry::default();
    counts.register(&mut registry);
    let mut text = String::new();
    encode(&mut text, &registry).expect("the metrics are written");
    text
}

#[test]
fn the_number_of_series_does_not_grow_with_the_number_of_tenants() {
    let counts = CallerCounts::default();
    for number in 0..10_000 {
        counts.answered(&format!("tenant-{number}"));
        counts.failed(&format!("tenant-{number}"));
    }
    let text = text_of(&counts);
    let series = text.lines().filter(|line| line.starts_with("gateway_tenant_requests_total")).count();
    assert_eq!(series, 2 * (NAMED_TENANTS + 1));
    let beyond = 10_000 - NAMED_TENANTS;
    let other = format!("gateway_tenant_requests_total{{tenant=\"other\",outcome=\"answered\"}} {beyond}");
    assert!(text.contains(&other), "{text}");
}

#[test]
fn a_name_cannot_break_the_lines_of_metrics() {
    let counts = CallerCounts::default();
    counts.answered("a\"} 7 \\");
    let text = text_of(&counts);
    assert!(text.contains("{tenant=\"a_} 7 _\",outcome=\"answered\"} 1"), "{text}");
}

#[test]
fn refusals_are_counted_by_reason() {
    let counts = CallerCounts::default();
    counts.refused("unknown_key");
    counts.refused("unknown_key");
    counts.refused("outdated");
    let by_reason: Vec<(String, u64)> = counts.refusals().into_iter().collect();
    assert_eq!(by_reason, [("outdated".to_string(), 1), ("unknown_key".to_string(), 2)]);
}
