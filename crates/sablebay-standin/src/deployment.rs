//! Sample deployments: services, their shards and the leaves that hold them.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

use sablebay_model::{PartitionSet, SnapshotVersion};

use crate::corpus::Corpus;
use crate::error::StandInError;
use crate::leaf::{Leaf, LeafOptions};
use crate::service_time::ServiceTime;

/// The parameters of a leaf.
#[derive(Clone, Debug)]
pub struct LeafPlan {
    pub name: String,
    pub zone: String,
    /// Calls that run concurrently.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: u32,
}

/// A shard: partitions and the leaves that hold them.
#[derive(Clone, Debug)]
pub struct ShardPlan {
    pub partitions: PartitionSet,
    pub leaves: Vec<String>,
}

/// A service with its own index.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name of the service and of its index.
    pub name: String,
    pub template: String,
    /// Number of partitions of the index.
    pub partitions: u32,
    pub shards: Vec<ShardPlan>,
    /// Number of replicas of each shard.
    pub replicas: u32,
}

/// A set of services over leaves.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// Bodies of the TOML tables under `templates`, by name.
    pub templates: BTreeMap<String, String>,
    pub services: Vec<ServicePlan>,
    pub leaves: Vec<LeafPlan>,
    /// Service time of the leaves; a default applies if unset.
    pub service_time: Option<ServiceTime>,
}

/// Port of the first leaf in the example files.
const FIRST_EXAMPLE_PORT: u16 = 9_101;
/// The corpus of all leaves.
pub const CORPUS: Corpus = Corpus { documents: 4 };

impl Deployment {
    /// Adds a service whose leaves form a ring: the replicas of a shard are on consecutive leaves.
    pub fn add_ring(&mut self, name: &str, template: &str, leaves: usize, shards: usize, zones: &[&str]) {
        const REPLICAS: usize = 2;
        const PARTITIONS_PER_SHARD: u32 = 2;
        let first = self.leaves.len();
        for number in 0..leaves {
            self.leaves.push(LeafPlan {
                name: format!("{name}-leaf-{}", number + 1),
                zone: zones[(first + number) % zones.len()].to_string(),
                slots: 2 + (number % 3) as u32,
                connections: 70 + 10 * (number % 5) as u32,
            });
        }
        let stride = leaves / shards;
        let shard = |number: usize| {
            let start = number as u32 * PARTITIONS_PER_SHARD;
            let holders = (0..REPLICAS.min(leaves)).map(|replica| {
                let leaf = if stride >= REPLICAS { number * stride + replica } else { number + replica };
                format!("{name}-leaf-{}", leaf % leaves + 1)
            });
            ShardPlan {
                partitions: PartitionSet::range(start, start + PARTITIONS_PER_SHARD - 1),
                leaves: holders.collect(),
            }
        };
        self.services.push(ServicePlan {
            name: name.to_string(),
            template: template.to_string(),
            partitions: shards as u32 * PARTITIONS_PER_SHARD,
            shards: (0..shards).map(shard).collect(),
            replicas: REPLICAS.min(leaves) as u32,
        });
    }

    /// A deployment that prioritizes tail latency.
    pub fn tepung_raya() -> Self {
        let zones = ["zone-a", "zone-b", "zone-c", "zone-d"];
        let mut deployment = Self::default();
        deployment
            .template("order-search", "deadline_ms = 250\npriority = \"latency\"\nextra_load_percent = 3\n");
        deployment.template("portal", "extends = \"order-search\"\ndeadline_ms = 400\n");
        for desk in 1..=8 {
            deployment.add_ring(&format!("order-desk-{desk}"), "order-search", 2, 2, &zones);
        }
        for planner in 1..=12 {
            deployment.add_ring(&format!("route-planner-{planner}"), "order-search", 2, 2, &zones);
        }
        deployment.add_ring("buyer-portal", "portal", 20, 10, &zones);
        deployment.add_ring("baker-app", "order-search", 10, 5, &zones);
        deployment
    }

    /// A deployment that prioritizes coverage.
    pub fn protokolia() -> Self {
        let zones = ["zone-a", "zone-b", "zone-c"];
        let mut deployment = Self::default();
        let base = "deadline_ms = 1000\npriority = \"coverage\"\nwhen_unconfirmed = \"refuse\"\n";
        deployment.template("transcripts", base);
        deployment.template("billing", "extends = \"transcripts\"\nextra_load_percent = 1\n");
        for editor in 1..=8 {
            deployment.add_ring(&format!("editors-{editor}"), "transcripts", 2, 2, &zones);
        }
        for billing in 1..=12 {
            deployment.add_ring(&format!("billing-{billing}"), "billing", 2, 2, &zones);
        }
        deployment.add_ring("archive", "transcripts", 5, 5, &zones);
        deployment.add_ring("intake", "transcripts", 3, 3, &zones);
        deployment
    }

    pub fn template(&mut self, name: &str, body: &str) {
        self.templates.insert(name.to_string(), body.to_string());
    }

    pub fn service_names(&self) -> Vec<String> {
        self.services.iter().map(|service| service.name.clone()).collect()
    }

    /// Returns the partitions that a leaf holds.
    pub fn partitions_of(&self, leaf: &str) -> PartitionSet {
        let shards = self.services.iter().flat_map(|service| &service.shards);
        let held = shards.filter(|shard| shard.leaves.iter().any(|holder| holder == leaf));
        held.flat_map(|shard| shard.partitions.iter()).collect()
    }

    /// Renders the configuration document with the given revision.
    pub fn document(&self, revision: u64, addresses: &BTreeMap<String, SocketAddr>) -> String {
        let mut text = format!("revision = {revision}\n");
        for (name, body) in &self.templates {
            let _ = write!(text, "\n[templates.{name}]\n{body}");
        }
        for service in &self.services {
            let _ = write!(
                text,
                "\n[instances.{0}]\ntemplate = \"{1}\"\nindex = \"{0}\"\nreplicas = {2}\n",
                service.name, service.template, service.replicas
            );
        }
        for service in &self.services {
            let _ = write!(text, "\n[indexes.{}]\npartitions = {}\n", service.name, service.partitions);
            for shard in &service.shards {
                let _ = write!(
                    text,
                    "[[indexes.{}.shards]]\npartitions = \"{}\"\nleaves = {:?}\n",
                    service.name, shard.partitions, shard.leaves
                );
            }
        }
        for leaf in &self.leaves {
            let _ = write!(
                text,
                "\n[leaves.{}]\naddress = \"{}\"\nzone = \"{}\"\nslots = {}\nconnections = {}\n",
                leaf.name, addresses[&leaf.name], leaf.zone, leaf.slots, leaf.connections
            );
        }
        text
    }

    /// Returns loopback addresses with consecutive ports, for the example files.
    pub fn example_addresses(&self) -> BTreeMap<String, SocketAddr> {
        let address =
            |position: usize| SocketAddr::from(([127, 0, 0, 1], FIRST_EXAMPLE_PORT + position as u16));
        self.leaves.iter().enumerate().map(|(at, leaf)| (leaf.name.clone(), address(at))).collect()
    }

    /// Starts all leaves on ephemeral ports.
    ///
    /// # Errors
    /// Fails if a listener cannot be bound.
    pub async fn start_leaves(&self, seed: u64) -> Result<RunningLeaves, StandInError> {
        let mut leaves = BTreeMap::new();
        for (number, plan) in self.leaves.iter().enumerate() {
            let options = LeafOptions {
                slots: plan.slots,
                service_time: self.service_time.unwrap_or(ServiceTime::log_normal(2_000.0, 0.3)),
                versions: vec![SnapshotVersion(1)],
                corpus: CORPUS,
                seed: seed.wrapping_add(number as u64),
                ..LeafOptions::quick(&plan.name, self.partitions_of(&plan.name))
            };
            leaves.insert(plan.name.clone(), Leaf::start(options).await?);
        }
        Ok(RunningLeaves { leaves })
    }
}

/// Running leaves, by name.
pub struct RunningLeaves {
    pub leaves: BTreeMap<String, Leaf>,
}

impl RunningLeaves {
    /// Returns the listen address of each leaf.
    pub fn addresses(&self) -> BTreeMap<String, SocketAddr> {
        self.leaves.iter().map(|(name, leaf)| (name.clone(), leaf.address)).collect()
    }

    /// Total number of calls received.
    pub fn calls(&self) -> u64 {
        let count = |leaf: &Leaf| leaf.state.calls.load(std::sync::atomic::Ordering::Relaxed);
        self.leaves.values().map(count).sum()
    }

    /// Number of operations that ran more than once across all leaves.
    pub fn operations_run_twice(&self) -> usize {
        self.operations().values().filter(|count| **count > 1).count()
    }

    /// Number of runs of each operation across all leaves, by ticket.
    pub fn operations(&self) -> BTreeMap<String, u32> {
        let mut total: BTreeMap<String, u32> = BTreeMap::new();
        for leaf in self.leaves.values() {
            for (ticket, count) in leaf.state.operations() {
                *total.entry(ticket).or_default() += count;
            }
        }
        total
    }
}
