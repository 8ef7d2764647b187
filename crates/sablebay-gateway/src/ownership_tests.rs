//! Which nodes keep connections to the replicas of a service that cannot accept connections from all nodes.

use sablebay_catalogue::{Destination, Gather, Repeatability, Route, ServiceName, WeightedService};
use sablebay_dispatch::GathererNode;
use sablebay_model::{NodeId, ZoneName};

use crate::fleet_view::Gatherers;
use crate::ownership::{ConnectionOwners, Ownership};

const SHARDS: usize = 90;

fn gatherers(nodes: usize) -> Gatherers {
    let node = |number: usize| GathererNode {
        node: NodeId::new(format!("n{number}")),
        zone: ZoneName::new("a"),
        takes_over: true,
        core_percent: 0,
    };
    Gatherers { own: node(0), others: (1..nodes).map(node).collect() }
}

fn shard(number: usize) -> ServiceName {
    ServiceName::new(format!("s{number}"))
}

fn route(destination: Destination) -> Route {
    Route {
        name: "r".to_string(),
        host: "h".to_string(),
        prefix: "/".to_string(),
        repeatability: Repeatability::Repeatable,
        time_limit_ms: 0,
        target_latency_ms: 0,
        maximum_attempts: 2,
        priority: 0,
        destination,
        public: false,
    }
}

fn gather() -> Route {
    let gather = Gather { shards: (0..SHARDS).map(shard).collect(), top: 5, minimum_share: 0.9 };
    route(Destination::Gather(gather))
}

#[test]
fn nobody_keeps_connections_to_services_that_no_route_names() {
    let mut ownership = Ownership::of_known_fleet();
    assert_eq!(ownership.connection_owners(&shard(1)), ConnectionOwners::NoNode, "there is no route yet");
    ownership.add(&gatherers(50), &gather(), |_| 0.2);
    assert_eq!(ownership.connection_owners(&ServiceName::new("later")), ConnectionOwners::NoNode);
}

#[test]
fn a_few_owners_keep_connections_to_a_shard_and_every_node_to_a_service_that_it_calls_itself() {
    let mut ownership = Ownership::of_known_fleet();
    ownership.add(&gatherers(50), &gather(), |_| 0.2);
    let only = WeightedService { service: ServiceName::new("single"), weight: 1.0 };
    ownership.add(&gatherers(50), &route(Destination::Services(vec![only])), |_| 0.2);
    assert_eq!(ownership.connection_owners(&ServiceName::new("single")), ConnectionOwners::ByPosition);
    let owned = (0..SHARDS).filter(|number| match ownership.connection_owners(&shard(*number)) {
        ConnectionOwners::Owners(own) => own,
        other => panic!("a few nodes own the shard: {other:?}"),
    });
    assert!(owned.count() < SHARDS / 2, "three of 50 nodes own each");
}

#[test]
fn shards_that_every_node_gathers_are_kept_by_position() {
    let mut ownership = Ownership::of_known_fleet();
    ownership.add(&gatherers(3), &gather(), |_| 50.0);
    assert_eq!(ownership.connection_owners(&shard(1)), ConnectionOwners::ByPosition);
}

#[test]
fn before_the_fleet_is_known_nodes_keep_to_their_position() {
    assert_eq!(Ownership::default().connection_owners(&shard(1)), ConnectionOwners::ByPosition);
}
