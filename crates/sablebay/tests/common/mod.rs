//! What the process tests share: a small deployment, and waiting for events.

#![allow(dead_code)] // Each test file is a crate of its own, and uses a part of this.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use sablebay_bench::{NodeCommand, ProcessCluster};
use sablebay_standin::{
    CORPUS, CallerClient, Deployment, LoadOptions, LoadSummary, ServiceTime, WeightedService, run_load,
};

/// The service of [`small_deployment`] that is searched directly.
pub const DESK: &str = "desk";
/// The one that is searched through aggregators.
pub const PORTAL: &str = "portal";
/// How long an event may take before a test gives up on it.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Two services over twelve leaves; one is searched directly, one through aggregators.
pub fn small_deployment(priority: &str, median_us: f64) -> Deployment {
    let mut deployment = Deployment::default();
    let base = format!("deadline_ms = 2000\npriority = \"{priority}\"\n");
    deployment.template("direct", &format!("{base}fan_out = \"direct\"\n"));
    deployment.template("tree", &format!("{base}fan_out = \"tree\"\n"));
    deployment.add_ring(DESK, "direct", 4, 2, &["zone-a", "zone-b"]);
    deployment.add_ring(PORTAL, "tree", 8, 4, &["zone-a", "zone-b"]);
    deployment.service_time = Some(ServiceTime::log_normal(median_us, 0.4));
    deployment
}

/// Three node processes over a deployment.
pub async fn start(deployment: Deployment) -> ProcessCluster {
    start_with(deployment, None).await
}

/// The same with one mechanism off.
pub async fn start_with(deployment: Deployment, broken: Option<&str>) -> ProcessCluster {
    let command = NodeCommand::with_break(broken).expect("the binaries are built");
    ProcessCluster::start(command, deployment, 3, &["--log-level", "warn"]).await.expect("the cluster starts")
}

/// A load over both services with every answer checked.
pub async fn load(cluster: &ProcessCluster, rate: f64, seconds: f64, seed: u64) -> LoadSummary {
    run_load(load_options(cluster, rate, seconds, seed)).await
}

/// The options of [`load`].
pub fn load_options(cluster: &ProcessCluster, rate: f64, seconds: f64, seed: u64) -> LoadOptions {
    LoadOptions {
        nodes: Arc::new(Mutex::new(cluster.caller_addresses())),
        services: WeightedService::equal(&cluster.deployment.service_names()),
        rate,
        duration: Duration::from_secs_f64(seconds),
        limit: 10,
        deadline_ms: None,
        corpus: CORPUS,
        seed,
        warm_up: Duration::ZERO,
        attempts: 4,
    }
}

/// Waits until a node's report satisfies a condition.
pub async fn wait_for_report(
    cluster: &ProcessCluster,
    node: usize,
    what: &str,
    condition: impl Fn(&sablebay_node::NodeReport) -> bool,
) -> sablebay_node::NodeReport {
    let admin = CallerClient::new(cluster.nodes[node].admin_address);
    let started = std::time::Instant::now();
    loop {
        let answer = admin.send(http::Method::GET, "/v1/status", "").await;
        let report = answer.and_then(|(_, body)| serde_json::from_slice(&body).ok());
        if let Some(report) = report.filter(&condition) {
            return report;
        }
        assert!(started.elapsed() < EVENT_TIMEOUT, "node {node}: {what} did not happen");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until every node has a revision in force.
pub async fn wait_for_revision(cluster: &ProcessCluster, revision: u64) {
    for node in 0..cluster.nodes.len() {
        let what = format!("revision {revision} in force");
        wait_for_report(cluster, node, &what, |report| report.version.revision.0 >= revision).await;
    }
}
