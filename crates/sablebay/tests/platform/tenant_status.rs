//! Tenants in status and metrics: counts, and refusals by reason.

use sablebay_platform_standin::{CallerCall, TenantSpec};

use crate::quarantine::sablebay;
use crate::support::{HOST, NodeProcess, SAFE_PATH, eventually};
use crate::tenants::{PUBLIC_PATH, one_node};

async fn call(node: &NodeProcess, id: &str, key: Option<&str>) {
    let call = CallerCall { key: key.map(str::to_string), ..CallerCall::get(HOST, SAFE_PATH, id) };
    node.call(&call).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_see_how_many_tenants_and_keys_there_are_and_what_is_refused() {
    let tenants =
        [TenantSpec::new("tenant-a", &["a-1", "a-2", "both"]), TenantSpec::new("tenant-b", &["both"])];
    let (_deployment, node) = one_node(&tenants).await;
    call(&node, "answered", Some("a-1")).await;
    call(&node, "unknown-1", Some("c-1")).await;
    call(&node, "unknown-2", Some("both")).await;
    call(&node, "none", None).await;
    node.get(PUBLIC_PATH, "public").await;
    // A node that starts alone cannot rule out at once that the source was restored from an older copy.
    let shown = || sablebay(&["status", "--admin", &node.admin.to_string()]);
    let confirmed =
        |status: &str| status.lines().any(|line| line.contains("no_key 1") && !line.contains("never"));
    eventually("the configuration is confirmed", || async { confirmed(&shown()) }).await;
    let status = shown();
    let line = status.lines().find(|line| line.contains("no_key 1, unknown_key 2"));
    let words: Vec<&str> = line.unwrap_or_else(|| panic!("{status}")).split_whitespace().collect();
    assert_eq!(words[..4], ["node-1", "2", "2", "1"], "node, tenants, keys, claimed keys: {status}");
    assert!(words[4].parse::<u64>().is_ok(), "the age of the confirmation: {status}");
    let metrics = node.admin_text("/metrics");
    for expected in [
        "sablebay_gateway_unauthenticated_total{reason=\"no_key\"} 1",
        "sablebay_gateway_unauthenticated_total{reason=\"unknown_key\"} 2",
        "sablebay_gateway_tenant_requests_total{tenant=\"tenant-a\",outcome=\"answered\"} 1",
    ] {
        assert!(metrics.contains(expected), "{expected} is missing in {metrics}");
    }
}
