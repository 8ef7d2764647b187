//! Updates of large configurations: a small change must not resend the whole document to every node, and
//! a transfer over a slow link must not time out while data still arrives.

use sablebay_catalogue::RoutingConfiguration;
use sablebay_platform_standin::StoreMode;
use sablebay_standin::{Faults, Proxy};

use crate::gathering::metric;
use crate::support::{Deployment, NodeProcess, configuration, eventually, settings_text};

/// The number of routes that a large configuration adds.
const ROUTES: usize = 1_400;
/// The number of nodes in the zone, enough for relays to be used.
const NODES: usize = 9;
/// The maximum that the fleet may send for one added route: 5 kB per node, periodic catalogue requests included. The
/// whole configuration has about 200 kB.
const SMALL_CHANGE_BYTES: u64 = 5_000 * NODES as u64;
/// A bandwidth at which the whole configuration takes several seconds.
const SLOW_LINK_BYTES_PER_S: u64 = 50_000;

/// The base configuration with this many routes added.
fn grown(version: u64, routes: usize) -> RoutingConfiguration {
    let mut configuration = configuration(version);
    let template = configuration.routes[1].clone();
    configuration.routes.extend((0..routes).map(|number| {
        let mut route = template.clone();
        route.name = format!("added-{number}");
        route.host = format!("host-{number}-{:x}.example", number * 2_654_435_761);
        route.prefix = format!("/{:x}/", number * 40_503 + 7);
        route
    }));
    configuration
}

fn version_of(node: &NodeProcess) -> u64 {
    metric(node, "sablebay_gateway_configuration_version")
}

async fn wait_until_in_force(nodes: &[NodeProcess], version: u64) {
    for node in nodes {
        eventually("a configuration is in force", || async { version_of(node) >= version }).await;
    }
}

/// The catalogue bytes that all nodes have sent so far.
fn catalogue_bytes(nodes: &[NodeProcess]) -> u64 {
    let sent = |node: &NodeProcess| -> u64 {
        let text = node.admin_text("/metrics");
        let counts =
            text.lines().filter(|line| line.contains("traffic_sent_bytes") && line.contains("\"catalogue_"));
        counts.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
    };
    nodes.iter().map(sent).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_small_change_of_a_large_configuration_costs_little() {
    let deployment = Deployment::start().await;
    let mut nodes: Vec<NodeProcess> = Vec::new();
    for number in 0..NODES {
        let seeds: Vec<_> = nodes.iter().take(3).map(|node| node.peers).collect();
        nodes.push(NodeProcess::start(&format!("node-{number}"), deployment.store.address, &seeds));
    }
    for node in &nodes {
        node.wait_ready().await;
    }
    deployment.store.publish(&grown(2, ROUTES));
    wait_until_in_force(&nodes, 2).await;
    let before = catalogue_bytes(&nodes);
    deployment.store.publish(&grown(3, ROUTES + 1));
    wait_until_in_force(&nodes, 3).await;
    let sent = catalogue_bytes(&nodes) - before;
    assert!(
        sent <= SMALL_CHANGE_BYTES,
        "{sent} bytes were sent for one route; at most {SMALL_CHANGE_BYTES} are allowed"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_configuration_arrives_over_a_thin_link() {
    let deployment = Deployment::start().await;
    let link = Proxy::start_without_target(1).await.expect("a proxy");
    let settings = settings_text("node-1", deployment.store.address, &[]);
    let settings = format!("advertised_peer_address = \"{}\"\n{settings}", link.address);
    let first = NodeProcess::start_with(&settings);
    link.set_target(first.peers);
    first.wait_ready().await;
    // The second node cannot read the store and gets the catalogue from the first.
    let closed = unavailable_store().await;
    let second = NodeProcess::start("node-2", closed.address, &[link.address]);
    second.wait_ready().await;
    link.set(Faults { bandwidth: Some(SLOW_LINK_BYTES_PER_S), ..Faults::default() });
    deployment.store.publish(&grown(2, ROUTES));
    wait_until_in_force(&[first, second], 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_configuration_is_read_over_a_thin_link_at_the_first_try() {
    let deployment = Deployment::start().await;
    let link = Proxy::start(deployment.store.address, 1).await.expect("a proxy");
    let node = NodeProcess::start("node-1", link.address, &[]);
    node.wait_ready().await;
    link.set(Faults { bandwidth: Some(4 * SLOW_LINK_BYTES_PER_S), ..Faults::default() });
    deployment.store.publish(&grown(2, ROUTES));
    let nodes = [node];
    wait_until_in_force(&nodes, 2).await;
    assert_eq!(metric(&nodes[0], "sablebay_gateway_source_reads_total{outcome=\"unavailable\"}"), 0);
}

/// A store that refuses all requests.
async fn unavailable_store() -> sablebay_platform_standin::StoreStandIn {
    let store = sablebay_platform_standin::StoreStandIn::start().await.expect("a store");
    store.set_mode(StoreMode::Refusing);
    store
}
