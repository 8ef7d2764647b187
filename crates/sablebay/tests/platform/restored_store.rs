//! A store that is restored from an older copy, with its revision counter set back.
//!
//! Revisions from before and after a restore are not comparable: a node that waits above its last known
//! revision would miss what was written below that revision after the restore.

use sablebay_catalogue::{
    Destination, Replica, ReplicaPhase, RoutingConfiguration, ServiceName, WeightedService,
};
use sablebay_model::ZoneName;
use sablebay_platform_standin::{LeafStandIn, StoreMode};

use crate::gathering::metric;
use crate::support::{Deployment, NodeProcess, SAFE_PATH, configuration, eventually};

/// The number of nodes: the two that read the store, and two that do not.
const NODES: usize = 4;

/// A deployment whose store has a copy of its initial state, and nodes with the entries written since.
struct Fleet {
    deployment: Deployment,
    nodes: Vec<NodeProcess>,
}

fn version_of(node: &NodeProcess) -> u64 {
    metric(node, "sablebay_gateway_configuration_version")
}

impl Fleet {
    async fn start() -> Self {
        Self::start_of(NODES).await
    }

    async fn start_of(size: usize) -> Self {
        let deployment = Deployment::start_in_zones(["zone-a", "zone-b"]).await;
        let mut nodes: Vec<NodeProcess> = Vec::new();
        for number in 0..size {
            let seeds: Vec<_> = nodes.iter().take(3).map(|node| node.peers).collect();
            nodes.push(NodeProcess::start(&format!("node-{number}"), deployment.store.address, &seeds));
        }
        for node in &nodes {
            node.wait_ready().await;
        }
        deployment.store.take_backup();
        let fleet = Self { deployment, nodes };
        // These revisions are lost in the restore.
        fleet.deployment.store.raise_revision(8);
        fleet.deployment.store.publish(&configuration(2));
        fleet.wait_until_in_force(2).await;
        fleet
    }

    async fn wait_until_in_force(&self, version: u64) {
        for node in &self.nodes {
            eventually("a configuration is in force", || async { version_of(node) >= version }).await;
        }
    }

    async fn wait_until_in_era(&self, era: u64) {
        for node in &self.nodes {
            eventually("the new era is known", || async {
                metric(node, "sablebay_gateway_source_era") == era
            })
            .await;
        }
    }

    async fn wait_until_settled(&self) {
        for node in &self.nodes {
            eventually("the era is settled", || async {
                node.admin_text("/v1/status").contains("\"settled\":true")
            })
            .await;
        }
    }

    /// Restores the store from its copy; `before_serving` runs before any node can read again.
    fn restore_store(&self, before_serving: impl FnOnce(&Deployment)) {
        self.deployment.store.set_mode(StoreMode::Refusing);
        self.deployment.store.restore_backup();
        before_serving(&self.deployment);
        self.deployment.store.set_mode(StoreMode::Serving);
    }

    /// Waits until a back end gets no more requests from any node.
    async fn wait_until_without_work(&self, leaf: &LeafStandIn) {
        let mut number = 0;
        eventually("the back end gets no more requests", || {
            number += 1;
            let before = leaf.record().arrivals;
            async move {
                for node in &self.nodes {
                    for call in 0..10 {
                        node.get(SAFE_PATH, &format!("work-{number}-{call}")).await;
                    }
                }
                leaf.record().arrivals == before
            }
        })
        .await;
    }
}

/// The counter passes the nodes' revision before they read again, so that no refused wait reveals the restore.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_below_the_revision_known_before_the_restore_is_in_force() {
    let fleet = Fleet::start().await;
    let known = fleet.deployment.store.position();
    fleet.restore_store(|deployment| {
        deployment.store.rewrite_all_lost();
        assert!(deployment.store.publish(&configuration(3)) < known.1);
        deployment.store.raise_revision(40);
    });
    fleet.wait_until_in_force(3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_back_end_that_leaves_after_the_restore_gets_no_more_work() {
    let fleet = Fleet::start().await;
    let leaving = &fleet.deployment.singles[0];
    // The entry's revision is above the counter after the restore.
    fleet.deployment.store.announce(&leaving.replica);
    fleet.deployment.store.publish(&configuration(3));
    fleet.wait_until_in_force(3).await;
    fleet.restore_store(|deployment| {
        deployment.store.rewrite_all_lost();
        deployment.store.announce(&Replica { phase: ReplicaPhase::Draining, ..leaving.replica.clone() });
    });
    fleet.wait_until_without_work(leaving).await;
}

/// A configuration that routes single requests to another service.
fn moved(version: u64, service: &ServiceName) -> RoutingConfiguration {
    let mut configuration = configuration(version);
    for route in &mut configuration.routes {
        if let Destination::Services(parts) = &mut route.destination {
            *parts = vec![WeightedService { service: service.clone(), weight: 1.0 }];
        }
    }
    configuration
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_started_before_entries_are_rewritten_serves_with_the_catalogue_of_its_peers() {
    let fleet = Fleet::start().await;
    let service = ServiceName::new("moved");
    let leaf = LeafStandIn::start("i-moved", &service, 100, "zone-a").await.expect("a back end");
    fleet.deployment.store.announce(&leaf.replica);
    fleet.deployment.store.publish(&moved(3, &service));
    fleet.wait_until_in_force(3).await;
    fleet.restore_store(|_| ());
    let before: Vec<u64> = fleet.deployment.singles.iter().map(|leaf| leaf.record().arrivals).collect();
    let seeds: Vec<_> = fleet.nodes.iter().map(|node| node.peers).collect();
    for instance in 0..3 {
        let started =
            NodeProcess::start(&format!("started-{instance}"), fleet.deployment.store.address, &seeds);
        let mut served = 0;
        eventually("the started node serves", || {
            served += 1;
            let (node, id) = (&started, format!("started-{instance}-{served}"));
            async move { node.get(SAFE_PATH, &id).await.status.as_u16() == 200 }
        })
        .await;
        for call in 0..10 {
            assert_eq!(
                started.get(SAFE_PATH, &format!("first-{instance}-{call}")).await.status.as_u16(),
                200
            );
        }
    }
    let after: Vec<u64> = fleet.deployment.singles.iter().map(|leaf| leaf.record().arrivals).collect();
    assert_eq!(before, after, "the service of the older configuration must get no requests");
}

/// The evacuation is among the lost writes, and is not written again at once.
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_zone_stays_empty_after_a_restore() {
    let fleet = Fleet::start().await;
    let zone = ZoneName::new("zone-b");
    fleet.deployment.store.evacuate(&zone);
    for node in &fleet.nodes {
        eventually("the zone is known to be evacuated", || async {
            node.admin_text("/v1/status").contains("\"evacuated_zones\":[\"zone-b\"]")
        })
        .await;
    }
    fleet.restore_store(|_| ());
    fleet.wait_until_in_era(2).await;
    let before = fleet.deployment.arrivals_in("zone-b");
    for (number, node) in fleet.nodes.iter().enumerate() {
        for call in 0..20 {
            node.get(SAFE_PATH, &format!("evacuated-{number}-{call}")).await;
        }
    }
    fleet.deployment.store.rewrite_all_lost();
    fleet.wait_until_settled().await;
    for (number, node) in fleet.nodes.iter().enumerate() {
        for call in 0..20 {
            node.get(SAFE_PATH, &format!("settled-{number}-{call}")).await;
        }
    }
    assert_eq!(fleet.deployment.arrivals_in("zone-b"), before);
}

/// Two restores in a row from the same copy; the second loses what was written after the first.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_written_between_two_restores_is_in_force() {
    let fleet = Fleet::start().await;
    fleet.restore_store(|deployment| {
        deployment.store.publish(&configuration(3));
    });
    fleet.wait_until_in_force(3).await;
    fleet.restore_store(|deployment| deployment.store.raise_revision(40));
    fleet.wait_until_in_era(3).await;
    fleet.deployment.store.rewrite_all_lost();
    fleet.deployment.store.publish(&configuration(4));
    fleet.wait_until_in_force(4).await;
}

/// The limit on listings after a restore: for each of the two readers one on detection and one when the era settles, and
/// two by nodes that were not notified in time.
const MAXIMUM_LISTINGS: u64 = 2 * 2 + 2;

#[tokio::test(flavor = "multi_thread")]
async fn a_restore_does_not_cost_the_store_a_listing_per_node() {
    let fleet = Fleet::start_of(12).await;
    let before = fleet.deployment.store.listings();
    fleet.restore_store(|deployment| deployment.store.rewrite_all_lost());
    fleet.wait_until_in_era(2).await;
    fleet.wait_until_settled().await;
    let listings = fleet.deployment.store.listings() - before;
    assert!(listings <= MAXIMUM_LISTINGS, "{listings} listings");
}
