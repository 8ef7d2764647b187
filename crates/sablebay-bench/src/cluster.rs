//! An in-process cluster of platform, leaves and nodes over TCP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use sablebay_config::NodeSettings;
use sablebay_node::{Node, NodeMechanisms};
use sablebay_standin::{CORPUS, Deployment, LoadOptions, Platform, RunningLeaves, WeightedService};

use crate::error::BenchError;

/// Configuration of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// Number of nodes.
    pub nodes: usize,
    /// Enabled mechanisms of the nodes.
    pub mechanisms: NodeMechanisms,
    /// Seed of the leaves.
    pub seed: u64,
    /// Additional lines of the nodes' settings.
    pub settings: String,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self { nodes: 3, mechanisms: NodeMechanisms::default(), seed: 1, settings: String::new() }
    }
}

/// Timeout for the cluster to become ready.
const READY_SECONDS: u64 = 30;
const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-d"];

/// A running cluster.
pub struct Cluster {
    pub deployment: Deployment,
    pub platform: Platform,
    pub leaves: RunningLeaves,
    pub nodes: Vec<Node>,
    revision: u64,
}

impl Cluster {
    /// Starts the cluster and waits until every node is ready.
    ///
    /// # Errors
    /// Fails if a part does not start.
    pub async fn start(deployment: Deployment, options: &ClusterOptions) -> Result<Self, BenchError> {
        let leaves = deployment.start_leaves(options.seed).await?;
        let platform = Platform::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        platform.state.publish(&deployment.document(1, &leaves.addresses()))?;
        let fleet = unique_fleet_name();
        let mut nodes: Vec<Node> = Vec::new();
        for number in 0..options.nodes {
            let peers: Vec<String> =
                nodes.iter().map(|node| format!("{:?}", node.addresses.peer_address.to_string())).collect();
            let text = format!(
                "node = \"node-{number}\"\nfleet = \"{fleet}\"\nzone = \"{}\"\nplatform_address = \"{}\"\npeers = [{}]\n\
                 probe_period_ms = 200\n{}",
                ZONES[number % ZONES.len()],
                platform.address,
                peers.join(", "),
                options.settings
            );
            let settings = NodeSettings::parse("experiment", &text)?;
            nodes.push(Node::start(settings, options.mechanisms, None).await?);
        }
        let cluster = Self { deployment, platform, leaves, nodes, revision: 1 };
        cluster.wait_until_ready().await?;
        Ok(cluster)
    }

    async fn wait_until_ready(&self) -> Result<(), BenchError> {
        let others = self.nodes.len() - 1;
        wait_for("a ready cluster", READY_SECONDS, || {
            self.nodes
                .iter()
                .all(|node| node.shared.freshness.is_ready() && node.shared.view.load().peers.len() == others)
        })
        .await
    }

    /// Publishes the current deployment with the next revision.
    ///
    /// # Errors
    /// Fails if the platform rejects the document.
    pub fn publish(&mut self) -> Result<u64, BenchError> {
        self.revision += 1;
        let document = self.deployment.document(self.revision, &self.leaves.addresses());
        self.platform.state.publish(&document)?;
        Ok(self.revision)
    }

    /// Returns the caller address of each node.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.addresses.caller_address).collect()
    }

    /// Returns the options of a load over all services with equal weights.
    pub fn load(&self, rate: f64, duration: Duration, seed: u64) -> LoadOptions {
        LoadOptions {
            nodes: Arc::new(Mutex::new(self.caller_addresses())),
            services: WeightedService::equal(&self.deployment.service_names()),
            rate,
            duration,
            limit: 10,
            deadline_ms: None,
            corpus: CORPUS,
            seed,
            warm_up: Duration::ZERO,
            attempts: 3,
        }
    }

    /// Performs a planned stop of every node.
    pub async fn stop(self) {
        for node in self.nodes {
            node.stop().await;
        }
    }
}

/// Returns a unique fleet name. Parallel tests may reuse each other's ports, and a node must not
/// join another test's fleet.
pub fn unique_fleet_name() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    format!("fleet-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Waits until a condition holds.
///
/// # Errors
/// Fails if the condition does not hold within `seconds`.
pub async fn wait_for(
    what: &str,
    seconds: u64,
    mut condition: impl FnMut() -> bool,
) -> Result<(), BenchError> {
    const INTERVAL: Duration = Duration::from_millis(10);
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(seconds) {
        if condition() {
            return Ok(());
        }
        tokio::time::sleep(INTERVAL).await;
    }
    Err(BenchError::NotInTime { what: what.to_string(), seconds })
}
