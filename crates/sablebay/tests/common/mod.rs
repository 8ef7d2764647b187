//! Shared helpers of the process tests: a small deployment and functions that wait for events.

#![allow(dead_code)] // Each test file is a separate crate and uses only some of the helpers.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use sablebay_bench::{NodeCommand, ProcessCluster};
use sablebay_standin::{
    CORPUS, CallerClient, Deployment, LoadOptions, LoadSummary, ServiceTime, WeightedService, run_load,
};

/// Service of [`small_deployment`] with direct fan-out.
pub const DESK: &str = "desk";
/// Service of [`small_deployment`] that is searched through aggregators.
pub const PORTAL: &str = "portal";
/// Time after which a test fails if an expected event has not occurred.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Deploys [`DESK`] and [`PORTAL`] on twelve leaves.
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

/// Starts three node processes for a deployment.
pub async fn start(deployment: Deployment) -> ProcessCluster {
    start_with(deployment, None).await
}

/// Like [`start`], with one mechanism disabled.
pub async fn start_with(deployment: Deployment, broken: Option<&str>) -> ProcessCluster {
    let command = NodeCommand::with_break(broken).expect("the binaries are built");
    ProcessCluster::start(command, deployment, 3, &["--log-level", "warn"]).await.expect("the cluster starts")
}

/// Runs a load on all services of the cluster and checks every answer.
pub async fn load(cluster: &ProcessCluster, rate: f64, seconds: f64, seed: u64) -> LoadSummary {
    run_load(load_options(cluster, rate, seconds, seed)).await
}

/// Options used by [`load`].
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

/// Waits until every node has at least this revision in force.
pub async fn wait_for_revision(cluster: &ProcessCluster, revision: u64) {
    for node in 0..cluster.nodes.len() {
        let what = format!("revision {revision} in force");
        wait_for_report(cluster, node, &what, |report| report.version.revision.0 >= revision).await;
    }
}
