//! Authentication of callers, and the tenant name that back ends receive.

use std::time::Duration;

use http::{HeaderName, HeaderValue, Method, header};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use sablebay_catalogue::RoutingConfiguration;
use sablebay_platform_standin::{
    CallerAnswer, CallerCall, LeafBehaviour, LeafCall, StoreStandIn, TenantSpec,
};

use crate::gathering::{ANSWERED_DELEGATIONS, metric};
use crate::quarantine::crashing_leaves_of;
use crate::support::{
    Deployment, EVENT_TIMEOUT, GATHER_PATH, HOST, NodeProcess, SAFE_PATH, UNSAFE_PATH, check_gathered,
    configuration, eventually, single_service,
};

/// The header that names a tenant to back ends.
pub const TENANT: HeaderName = HeaderName::from_static("x-sablebay-tenant");
/// The header with the caller's API key.
pub const API_KEY: HeaderName = HeaderName::from_static("api-key");
/// A path that crashes the back ends of [`crashing_leaves_of`].
const FATAL_PATH: &str = "/one/fatal";
/// A path of the public route, which needs no key.
pub const PUBLIC_PATH: &str = "/open/1";

/// The configuration with a public route added.
pub fn with_public_route(version: u64) -> RoutingConfiguration {
    let mut configuration = configuration(version);
    let mut open = configuration.routes[1].clone();
    open.name = "open".to_string();
    open.prefix = "/open/".to_string();
    open.public = true;
    configuration.routes.push(open);
    configuration
}

/// Two tenants, one of them with two keys.
pub fn two_tenants() -> Vec<TenantSpec> {
    vec![TenantSpec::new("tenant-a", &["a 1,x", "a-2"]), TenantSpec::new("tenant-b", &["b-1"])]
}

/// A deployment with tenants, and one node.
pub async fn one_node(tenants: &[TenantSpec]) -> (Deployment, NodeProcess) {
    let deployment = Deployment::start().await;
    deployment.store.publish_with_tenants(&with_public_route(2), tenants);
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    (deployment, node)
}

/// A GET request on the route to a single back end.
pub fn read(id: &str) -> CallerCall {
    CallerCall::get(HOST, SAFE_PATH, id)
}

fn value(bytes: &[u8]) -> HeaderValue {
    HeaderValue::from_bytes(bytes).expect("a value")
}

/// All arrivals of a request at the back ends.
pub fn arrivals_of(deployment: &Deployment, id: &str) -> Vec<LeafCall> {
    deployment.leaves().flat_map(|leaf| leaf.record().calls).filter(|call| call.id == id).collect()
}

/// Checks that a request reached back ends, always with exactly this tenant name and without a key; returns how often.
pub fn check_arrivals(deployment: &Deployment, id: &str, tenant: Option<&str>) -> usize {
    let calls = arrivals_of(deployment, id);
    assert!(!calls.is_empty(), "{id} reached no back end");
    for call in &calls {
        let names: Vec<&str> = call.tenants.iter().map(String::as_str).collect();
        assert_eq!(names, tenant.into_iter().collect::<Vec<_>>(), "{id}");
        assert!(!call.has_key, "{id} carried its caller's key");
    }
    calls.len()
}

fn check_refused(deployment: &Deployment, id: &str, answer: &CallerAnswer) {
    assert_eq!(answer.status.as_u16(), 401, "{id}");
    assert!(answer.challenge.is_some(), "{id}: a 401 must carry a challenge");
    assert!(arrivals_of(deployment, id).is_empty(), "{id} reached a back end");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_decides_the_name_that_back_ends_see() {
    let (deployment, node) = one_node(&two_tenants()).await;
    for (number, (key, tenant)) in
        [("a 1,x", "tenant-a"), ("a-2", "tenant-a"), ("b-1", "tenant-b")].into_iter().enumerate()
    {
        for (route, path) in [SAFE_PATH, GATHER_PATH, UNSAFE_PATH].into_iter().enumerate() {
            let id = format!("r-{number}-{route}");
            let answer = node.call(&CallerCall::get(HOST, path, &id).with_key(key)).await;
            assert_eq!(answer.status.as_u16(), 200, "{id}");
            check_arrivals(&deployment, &id, Some(tenant));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_without_exactly_one_known_key_is_refused() {
    let (deployment, node) = one_node(&two_tenants()).await;
    let wrong = [
        ("none", read("none")),
        ("unknown", read("unknown").with_key("c-1")),
        ("part", read("part").with_key("a 1")),
        ("longer", read("longer").with_key("a 1,xx")),
        ("other-case", read("other-case").with_key("A-2")),
        ("name", read("name").with_key("tenant-a")),
        ("empty", read("empty").with_key("")),
        ("doubled", read("doubled").with_key("a-2").with_header(API_KEY, value(b"a-2"))),
        ("two", read("two").with_key("a-2").with_header(API_KEY, value(b"b-1"))),
        ("joined", read("joined").with_key("a-2, a-2")),
        ("one-and-empty", read("one-and-empty").with_key("a-2").with_header(API_KEY, value(b""))),
        ("bytes", read("bytes").with_header(API_KEY, value(b"\xff\xfea-2"))),
        ("forged", read("forged").with_header(TENANT, value(b"tenant-a"))),
    ];
    for (id, call) in &wrong {
        check_refused(&deployment, id, &node.call(call).await);
    }
    for (route, path) in [GATHER_PATH, UNSAFE_PATH].into_iter().enumerate() {
        let id = format!("route-{route}");
        check_refused(&deployment, &id, &node.call(&CallerCall::get(HOST, path, &id)).await);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_is_refused_before_its_body_is_read() {
    let (deployment, node) = one_node(&two_tenants()).await;
    let mut stream = tokio::net::TcpStream::connect(node.caller.address).await.expect("a connection");
    let head = format!(
        "POST {UNSAFE_PATH} HTTP/1.1\r\nHost: {HOST}\r\nX-Sablebay-Request-Id: bodiless\r\n\
         X-Sablebay-Deadline-Ms: 50000\r\nApi-Key: c-1\r\nContent-Length: 100\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("written");
    let mut bytes = vec![0; 4_096];
    let count = tokio::time::timeout(Duration::from_secs(10), stream.read(&mut bytes)).await;
    let answer = String::from_utf8_lossy(
        &bytes[..count.expect("the answer does not wait for the body").expect("read")],
    );
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    assert!(answer.to_ascii_lowercase().contains("www-authenticate"), "{answer}");
    assert_eq!(deployment.runs_of("bodiless"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_public_route_asks_for_no_key_and_names_nobody() {
    let (deployment, node) = one_node(&two_tenants()).await;
    let open = |id: &str| CallerCall::get(HOST, PUBLIC_PATH, id);
    let calls = [
        ("none", open("none")),
        ("unknown", open("unknown").with_key("c-1")),
        ("known", open("known").with_key("a-2")),
        ("doubled", open("doubled").with_key("a-2").with_header(API_KEY, value(b"b-1"))),
        ("forged", open("forged").with_header(TENANT, value(b"tenant-a"))),
    ];
    for (id, call) in calls {
        assert_eq!(node.call(&call).await.status.as_u16(), 200, "{id}");
        check_arrivals(&deployment, id, None);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn identity_headers_sent_by_a_caller_are_ignored() {
    let (deployment, node) = one_node(&two_tenants()).await;
    let calls = [
        ("forged", read("forged").with_header(TENANT, value(b"tenant-b"))),
        (
            "forged-twice",
            read("forged-twice")
                .with_header(TENANT, value(b"tenant-b"))
                .with_header(TENANT, value(b"\xfftenant-b")),
        ),
        ("hop-key", read("hop-key").with_header(header::CONNECTION, value(b"Api-Key"))),
        (
            "hop-tenant",
            read("hop-tenant")
                .with_header(header::CONNECTION, value(b"X-Sablebay-Tenant"))
                .with_header(TENANT, value(b"tenant-b")),
        ),
    ];
    for (id, call) in calls {
        assert_eq!(node.call(&call.with_key("a-2")).await.status.as_u16(), 200, "{id}");
        check_arrivals(&deployment, id, Some("tenant-a"));
    }
}

/// Further calls carry the same tenant as the first one.
#[tokio::test(flavor = "multi_thread")]
async fn retries_and_hedges_come_in_the_tenants_name() {
    let (deployment, node) = one_node(&two_tenants()).await;
    let attempt = |id: String| {
        let call = read(&id).with_key("a-2").with_header(TENANT, value(b"tenant-b"));
        let node = &node;
        async move { node.call(&call).await }
    };
    let number = std::sync::atomic::AtomicUsize::new(0);
    eventually("requests are sent again", || async {
        // The fault alternates, so that the back end called first is sooner or later the one that loses answers.
        let number = number.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        deployment.singles[number % 2].behave(LeafBehaviour::LoseAnswer);
        deployment.singles[(number + 1) % 2].behave(LeafBehaviour::Answer);
        let id = format!("retry-{number}");
        assert_eq!(attempt(id.clone()).await.status.as_u16(), 200);
        check_arrivals(&deployment, &id, Some("tenant-a")) > 1
    })
    .await;
    deployment.singles[1].behave(LeafBehaviour::Answer);
    deployment.singles[0].behave(LeafBehaviour::Slow(Duration::from_millis(700)));
    for number in 0..20 {
        let id = format!("hedge-{number}");
        assert_eq!(attempt(id.clone()).await.status.as_u16(), 200);
        check_arrivals(&deployment, &id, Some("tenant-a"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_gathered_by_other_nodes_carry_the_tenants_name() {
    let deployment = Deployment::start().await;
    deployment.store.publish_with_tenants(&with_public_route(2), &two_tenants());
    let gatherer = NodeProcess::start("node-0", deployment.store.address, &[]);
    let root = NodeProcess::start_in("zone-b", "root", deployment.store.address, &[gatherer.peers]);
    gatherer.wait_ready().await;
    root.wait_ready().await;
    let number = std::sync::atomic::AtomicU32::new(0);
    eventually("requests are gathered by another node", || async {
        let id = format!("r-{}", number.fetch_add(1, std::sync::atomic::Ordering::Relaxed));
        let call = CallerCall::get(HOST, GATHER_PATH, &id)
            .with_key("a-2")
            .with_header(TENANT, value(b"tenant-b"))
            .with_header(header::CONNECTION, value(b"X-Sablebay-Tenant"));
        check_gathered(&root.call(&call).await, &id);
        check_arrivals(&deployment, &id, Some("tenant-a"));
        metric(&root, ANSWERED_DELEGATIONS) > 10
    })
    .await;
}

/// Sends a request that crashes back ends until it is quarantined.
async fn wait_until_quarantined(node: &NodeProcess, key: &str, harmless: &CallerCall) {
    let number = std::sync::atomic::AtomicU32::new(0);
    eventually("the request is quarantined", || async {
        let number = number.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let call = CallerCall::get(HOST, FATAL_PATH, &format!("held-{number}")).with_key(key);
        let answer = node.call(&call).await;
        let held = answer.retry_after.is_some_and(|seconds| seconds > 30.0);
        eventually("a back end is up", || async { node.call(harmless).await.status.as_u16() == 200 }).await;
        held
    })
    .await;
}

/// A quarantine does not affect the same request of another tenant, and covers all keys of its own tenant.
#[tokio::test(flavor = "multi_thread")]
async fn quarantine_is_separate_for_each_tenant() {
    let store = StoreStandIn::start().await.expect("a store");
    let leaves = crashing_leaves_of(&single_service(), 200, &store).await;
    store.publish_with_tenants(&with_public_route(1), &two_tenants());
    let node = NodeProcess::start("node-1", store.address, &[]);
    node.wait_ready().await;
    wait_until_quarantined(&node, "a 1,x", &read("harmless").with_key("a-2")).await;
    let reached = |id: &str| leaves.iter().flat_map(|leaf| leaf.calls()).any(|call| call.id == id);
    let fatal = |id: &str, key: &str| CallerCall::get(HOST, FATAL_PATH, id).with_key(key);
    let again = node.call(&fatal("same-tenant", "a-2").with_header(TENANT, value(b"tenant-b"))).await;
    assert_eq!(again.status.as_u16(), 503);
    assert!(!reached("same-tenant"), "the quarantine must cover the tenant's other key");
    node.call(&fatal("other-tenant", "b-1")).await;
    assert!(reached("other-tenant"), "the quarantine must not cover another tenant's request");
}

/// An at-most-once request runs once, under one tenant, even if its key is revoked while it runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_running_request_keeps_its_tenant_when_its_key_is_revoked() {
    let (deployment, node) = one_node(&two_tenants()).await;
    for leaf in &deployment.singles {
        leaf.behave(LeafBehaviour::Slow(Duration::from_millis(1_500)));
    }
    let caller = node.caller;
    let order = CallerCall {
        method: Method::POST,
        body: b"an order".to_vec(),
        timeout: EVENT_TIMEOUT,
        ..CallerCall::get(HOST, UNSAFE_PATH, "order").with_key("b-1")
    };
    let pending_call = tokio::spawn(async move { caller.call(&order).await.expect("an answer") });
    eventually("the request runs", || async { deployment.runs_of("order") > 0 }).await;
    deployment.store.publish_with_tenants(&with_public_route(3), &two_tenants()[..1]);
    assert_eq!(pending_call.await.expect("the task ends").status.as_u16(), 200);
    assert_eq!(check_arrivals(&deployment, "order", Some("tenant-b")), 1);
}
