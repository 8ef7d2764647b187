//! Keys that are issued, revoked and reassigned while nodes run.

use std::time::Duration;

use sablebay_platform_standin::{CallerAnswer, CallerCall, StoreStandIn, TenantSpec};

use crate::support::{Deployment, HOST, NodeProcess, SAFE_PATH, configuration, eventually};
use crate::tenants::{arrivals_of, check_arrivals, one_node, read, two_tenants, with_public_route};

/// Calls after a change is visible, all of which must reflect the change.
const REPEATED_CALLS: usize = 40;

/// Two nodes, the second seeded with the first.
async fn two_nodes(tenants: &[TenantSpec]) -> (Deployment, Vec<NodeProcess>) {
    let (deployment, first) = one_node(tenants).await;
    let second = NodeProcess::start("node-2", deployment.store.address, &[first.peers]);
    second.wait_ready().await;
    (deployment, vec![first, second])
}

/// Calls each node until it answers as expected, then checks that all further answers are as expected.
async fn wait_until_stable(
    name: &str,
    nodes: &[NodeProcess],
    key: Option<&str>,
    expected: impl Fn(&str, &CallerAnswer) -> bool,
) {
    let counter = std::sync::atomic::AtomicUsize::new(0);
    for (at, node) in nodes.iter().enumerate() {
        let attempt = || async {
            let number = counter.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            let id = format!("{name}-{at}-{number}");
            let call = CallerCall { key: key.map(str::to_string), ..read(&id) };
            let answer = node.call(&call).await;
            expected(&id, &answer)
        };
        eventually(name, attempt).await;
        for _ in 0..REPEATED_CALLS {
            assert!(attempt().await, "{name}: node {at} reverted to an earlier state");
        }
    }
}

fn unknown(_: &str, answer: &CallerAnswer) -> bool {
    answer.status.as_u16() == 401
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_is_passed_on_runs_in_its_new_owners_name() {
    let (deployment, nodes) = two_nodes(&two_tenants()).await;
    let is = |id: &str, answer: &CallerAnswer, tenant: &str| {
        let names: Vec<String> =
            arrivals_of(&deployment, id).into_iter().flat_map(|call| call.tenants).collect();
        answer.status.as_u16() == 200 && names.iter().all(|name| name == tenant)
    };
    wait_until_stable("before", &nodes, Some("b-1"), |id, answer| is(id, answer, "tenant-b")).await;
    let passed_on = [TenantSpec::new("tenant-a", &["a-2", "b-1"]), TenantSpec::new("tenant-b", &["b-2"])];
    deployment.store.publish_with_tenants(&with_public_route(3), &passed_on);
    wait_until_stable("passed on", &nodes, Some("b-1"), |id, answer| is(id, answer, "tenant-a")).await;
    wait_until_stable("new", &nodes, Some("b-2"), |id, answer| is(id, answer, "tenant-b")).await;
    wait_until_stable("gone", &nodes, Some("a 1,x"), unknown).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_taken_away_and_given_back() {
    let (deployment, nodes) = two_nodes(&two_tenants()).await;
    let served = |_: &str, answer: &CallerAnswer| answer.status.as_u16() == 200;
    wait_until_stable("given", &nodes, Some("b-1"), served).await;
    deployment.store.publish_with_tenants(&with_public_route(3), &two_tenants()[..1]);
    wait_until_stable("taken", &nodes, Some("b-1"), unknown).await;
    deployment.store.publish_with_tenants(&with_public_route(4), &two_tenants());
    wait_until_stable("back", &nodes, Some("b-1"), served).await;
    deployment.store.publish_with_tenants(&with_public_route(5), &[]);
    wait_until_stable("nobody's", &nodes, Some("b-1"), unknown).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_claimed_by_two_tenants_is_invalid_until_the_conflict_ends() {
    let (deployment, nodes) = two_nodes(&two_tenants()).await;
    let claimed =
        [TenantSpec::new("tenant-a", &["a-2", "b-1"]), TenantSpec::new("tenant-b", &["b-1", "b-2"])];
    deployment.store.publish_with_tenants(&with_public_route(3), &claimed);
    wait_until_stable("claimed", &nodes, Some("b-1"), unknown).await;
    wait_until_stable("other", &nodes, Some("b-2"), |_, answer| answer.status.as_u16() == 200).await;
    deployment.store.publish_with_tenants(&with_public_route(4), &two_tenants());
    wait_until_stable("agreed", &nodes, Some("b-1"), |_, answer| answer.status.as_u16() == 200).await;
}

/// Without tenants no key is required; a tenant header sent by a caller is always dropped.
#[tokio::test(flavor = "multi_thread")]
async fn tenants_can_be_introduced() {
    let deployment = Deployment::start().await;
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    let forged = read("before").with_header(crate::tenants::TENANT, "tenant-a".parse().expect("a value"));
    assert_eq!(node.call(&forged).await.status.as_u16(), 200);
    let calls = arrivals_of(&deployment, "before");
    assert!(calls.iter().all(|call| call.tenants.is_empty()), "{calls:?}");
    deployment.store.publish_with_tenants(&configuration(2), &two_tenants());
    let nodes = [node];
    wait_until_stable("without a key", &nodes, None, unknown).await;
    let answer = nodes[0].call(&CallerCall::get(HOST, SAFE_PATH, "after").with_key("b-1")).await;
    assert_eq!(answer.status.as_u16(), 200);
    check_arrivals(&deployment, "after", Some("tenant-b"));
}

/// An unreadable document changes nothing; a later valid document is applied.
#[tokio::test(flavor = "multi_thread")]
async fn an_unreadable_configuration_gives_nobody_a_key() {
    let (deployment, nodes) = two_nodes(&two_tenants()).await;
    deployment.store.write_garbage("op/config");
    tokio::time::sleep(Duration::from_millis(500)).await;
    wait_until_stable("unknown", &nodes, Some("c-1"), unknown).await;
    deployment.store.publish_with_tenants(&with_public_route(4), &[TenantSpec::new("tenant-c", &["c-1"])]);
    wait_until_stable("known", &nodes, Some("c-1"), |_, answer| answer.status.as_u16() == 200).await;
    wait_until_stable("gone", &nodes, Some("b-1"), unknown).await;
}

/// A node without a configuration cannot judge keys, so it must not answer 401.
#[tokio::test(flavor = "multi_thread")]
async fn without_a_configuration_no_caller_is_reported_unknown() {
    let store = StoreStandIn::start().await.expect("a store");
    let node = NodeProcess::start("node-1", store.address, &[]);
    for (number, call) in [read("0"), read("1").with_key("a-2")].into_iter().enumerate() {
        let answer = node.call(&call).await;
        assert_eq!(answer.status.as_u16(), 503, "{number}");
        assert!(answer.retry_after.is_some());
    }
}
