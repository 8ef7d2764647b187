//! A store that comes back from an older copy of what it held.
//!
//! What was seen: 3 s after an operator was told that a configuration was accepted, every node still served by the one before,
//! and went on until the next was written, 5.5 s later. No log had an error.
//! How it came about: the store had been away for three seconds and had come back from a copy some seconds old, with its counter
//! of revisions where the copy had it. The nodes went on from the highest revision that they had ever known. As long as the
//! counter was lower, each wait for changes was refused and everything was read, three times a second; once the counter had come
//! up to that revision, waits were answered again, with what was written *above* it. The configuration lay at it.
//! What caused it: revisions of before and of after the return were taken for numbers of one order.
//! What proved it: the revision of the next configuration that was heard of, one above the one where all nodes had stood since
//! before the return; and these tests.

use sablebay_catalogue::{
    Destination, Replica, ReplicaPhase, RoutingConfiguration, ServiceName, WeightedService,
};
use sablebay_model::ZoneName;
use sablebay_platform_standin::{LeafStandIn, StoreMode};

use crate::gathering::metric;
use crate::support::{Deployment, NodeProcess, SAFE_PATH, configuration, eventually};

/// Nodes of a fleet: the two that read the store, and as many again.
const NODES: usize = 4;

/// A deployment whose store has a copy of its first state, and nodes that know what was written since.
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
        let deployment = Deployment::start_over(["zone-a", "zone-b"]).await;
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
        // Lost with the return: the counter stands higher than the copy's by these.
        fleet.deployment.store.raise_revision(8);
        fleet.deployment.store.publish(&configuration(2));
        fleet.until_in_force(2).await;
        fleet
    }

    async fn until_in_force(&self, version: u64) {
        for node in &self.nodes {
            eventually("a configuration is in force", || async { version_of(node) >= version }).await;
        }
    }

    async fn until_in_era(&self, era: u64) {
        for node in &self.nodes {
            eventually("the return is known", || async {
                metric(node, "sablebay_gateway_source_era") == era
            })
            .await;
        }
    }

    async fn until_settled(&self) {
        for node in &self.nodes {
            eventually("the era is settled", || async {
                node.admin_text("/v1/status").contains("\"settled\":true")
            })
            .await;
        }
    }

    /// The store is away for a moment in which nobody can read, and comes back from its copy; `meanwhile` is written
    /// before anybody can read again.
    fn come_back(&self, meanwhile: impl FnOnce(&Deployment)) {
        self.deployment.store.set_mode(StoreMode::Refusing);
        self.deployment.store.restore_backup();
        meanwhile(&self.deployment);
        self.deployment.store.set_mode(StoreMode::Serving);
    }

    /// Waits until a back end gets nothing more, whichever node is asked.
    async fn until_without_work(&self, leaf: &LeafStandIn) {
        let mut number = 0;
        eventually("it gets no more work", || {
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

/// The same with a return that nobody noticed by a refused wait: the counter has passed where the nodes stand.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_below_the_revision_known_before_the_return_is_in_force() {
    let fleet = Fleet::start().await;
    let known = fleet.deployment.store.position();
    fleet.come_back(|deployment| {
        deployment.store.rewrite_all_lost();
        assert!(deployment.store.publish(&configuration(3)) < known.1);
        deployment.store.raise_revision(40);
    });
    fleet.until_in_force(3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_back_end_that_leaves_after_the_return_gets_no_more_work() {
    let fleet = Fleet::start().await;
    let leaving = &fleet.deployment.singles[0];
    // Its entry was last written at a revision that the counter is below again.
    fleet.deployment.store.announce(&leaving.replica);
    fleet.deployment.store.publish(&configuration(3));
    fleet.until_in_force(3).await;
    fleet.come_back(|deployment| {
        deployment.store.rewrite_all_lost();
        deployment.store.announce(&Replica { phase: ReplicaPhase::Draining, ..leaving.replica.clone() });
    });
    fleet.until_without_work(leaving).await;
}

/// The configuration in which the single service is another one.
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
async fn a_node_that_starts_before_anything_is_written_again_serves_by_what_the_others_know() {
    let fleet = Fleet::start().await;
    let service = ServiceName::new("moved");
    let leaf = LeafStandIn::start("i-moved", &service, 100, "zone-a").await.expect("a back end");
    fleet.deployment.store.announce(&leaf.replica);
    fleet.deployment.store.publish(&moved(3, &service));
    fleet.until_in_force(3).await;
    fleet.come_back(|_| ());
    let before: Vec<u64> = fleet.deployment.singles.iter().map(|leaf| leaf.record().arrivals).collect();
    let seeds: Vec<_> = fleet.nodes.iter().map(|node| node.peers).collect();
    for life in 0..3 {
        let started = NodeProcess::start(&format!("started-{life}"), fleet.deployment.store.address, &seeds);
        let mut served = 0;
        eventually("the started node serves", || {
            served += 1;
            let (node, id) = (&started, format!("started-{life}-{served}"));
            async move { node.get(SAFE_PATH, &id).await.status.as_u16() == 200 }
        })
        .await;
        for call in 0..10 {
            assert_eq!(started.get(SAFE_PATH, &format!("first-{life}-{call}")).await.status.as_u16(), 200);
        }
    }
    let after: Vec<u64> = fleet.deployment.singles.iter().map(|leaf| leaf.record().arrivals).collect();
    assert_eq!(before, after, "the service of the older configuration gets nothing");
}

/// The operator's word is in the lost seconds, and is not repeated at once.
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_zone_stays_empty_over_a_return() {
    let fleet = Fleet::start().await;
    let zone = ZoneName::new("zone-b");
    fleet.deployment.store.evacuate(&zone);
    for node in &fleet.nodes {
        eventually("the zone is known to be evacuated", || async {
            node.admin_text("/v1/status").contains("\"evacuated_zones\":[\"zone-b\"]")
        })
        .await;
    }
    fleet.come_back(|_| ());
    fleet.until_in_era(2).await;
    let before = fleet.deployment.arrivals_in("zone-b");
    for (number, node) in fleet.nodes.iter().enumerate() {
        for call in 0..20 {
            node.get(SAFE_PATH, &format!("evacuated-{number}-{call}")).await;
        }
    }
    fleet.deployment.store.rewrite_all_lost();
    fleet.until_settled().await;
    for (number, node) in fleet.nodes.iter().enumerate() {
        for call in 0..20 {
            node.get(SAFE_PATH, &format!("settled-{number}-{call}")).await;
        }
    }
    assert_eq!(fleet.deployment.arrivals_in("zone-b"), before);
}

/// Two returns at once, the second from the same copy; what was written between them is lost with it.
#[tokio::test(flavor = "multi_thread")]
async fn what_is_written_between_two_returns_is_in_force() {
    let fleet = Fleet::start().await;
    fleet.come_back(|deployment| {
        deployment.store.publish(&configuration(3));
    });
    fleet.until_in_force(3).await;
    fleet.come_back(|deployment| deployment.store.raise_revision(40));
    fleet.until_in_era(3).await;
    fleet.deployment.store.rewrite_all_lost();
    fleet.deployment.store.publish(&configuration(4));
    fleet.until_in_force(4).await;
}

/// What a return costs the store: a listing by each of the two readers when they hear of it, one when the era is settled, and
/// two of nodes that nobody had told in time.
const LISTINGS_OF_A_RETURN: u64 = 2 * 2 + 2;

#[tokio::test(flavor = "multi_thread")]
async fn a_return_costs_the_store_no_listing_a_node() {
    let fleet = Fleet::start_of(12).await;
    let before = fleet.deployment.store.listings();
    fleet.come_back(|deployment| deployment.store.rewrite_all_lost());
    fleet.until_in_era(2).await;
    fleet.until_settled().await;
    let listings = fleet.deployment.store.listings() - before;
    assert!(listings <= LISTINGS_OF_A_RETURN, "{listings} listings");
}
