//! Guards against overloading cold replicas while the membership views of the nodes differ.

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use sablebay_catalogue::{Replica, ReplicaId, ReplicaPhase, RoutableReplica, ServiceName};
use sablebay_dispatch::{
    Callers, ColdCapacity, GathererNode, ReplicaTable, cold_share, gatherer_count, owned_shards, shard_owners,
};
use sablebay_model::{Micros, NodeId, ZoneName};

const START: Micros = Micros::from_secs(10);
const CAPACITY: ColdCapacity = ColdCapacity { requests_per_s: 5.0, overage: 1.5, slack: 5.0 };
const SIZES: [usize; 3] = [8, 64, 300];

fn names(size: usize) -> Vec<NodeId> {
    (0..size).map(|number| NodeId::new(format!("n{number}"))).collect()
}

fn share(replica: &ReplicaId, own: &NodeId, known: &[NodeId], at_least: usize) -> u32 {
    cold_share(replica, &CAPACITY, &Callers { own, known, at_least })
}

fn cold_replica(name: &str, zone: &str, calls_per_s: u32) -> RoutableReplica {
    RoutableReplica {
        replica: Arc::new(Replica {
            id: ReplicaId::new(name),
            service: ServiceName::new("s"),
            address: "127.0.0.1:1".parse().expect("an address"),
            zone: ZoneName::new(zone),
            slots: 2,
            phase: ReplicaPhase::Ready,
            warm_up_left_ms: 3_000,
            sequence: 0,
        }),
        last_resort: false,
        beyond_share: false,
        warm_at: START.plus(Micros::from_secs(3)),
        cold_calls_per_s: Some(calls_per_s),
    }
}

#[test]
fn the_shares_of_nodes_that_know_each_other_are_what_is_given_out() {
    for size in SIZES {
        let nodes = names(size);
        for number in 0..50 {
            let replica = ReplicaId::new(format!("r{number}"));
            let sum: u32 = nodes.iter().map(|own| share(&replica, own, &nodes, 0)).sum();
            assert_eq!(sum, 7, "0.6 of 12.5 at {size} nodes");
        }
    }
}

#[test]
fn nodes_that_miss_a_fifth_of_the_others_stay_within_what_the_replica_bears() {
    let mut random = SmallRng::seed_from_u64(5);
    for size in SIZES {
        let nodes = names(size);
        for number in 0..200 {
            let replica = ReplicaId::new(format!("r{number}"));
            let seen: Vec<Vec<NodeId>> = (0..size)
                .map(|_| nodes.iter().filter(|_| random.random_bool(0.8)).cloned().collect())
                .collect();
            let shares = nodes.iter().zip(&seen).map(|(own, seen)| share(&replica, own, seen, 0));
            let sum: u32 = shares.sum();
            assert!(f64::from(sum) <= CAPACITY.bound(), "{sum} at {size} nodes, replica {number}");
        }
    }
}

#[test]
fn nodes_that_have_met_nobody_stay_within_what_the_replica_bears() {
    for size in SIZES {
        let nodes = names(size);
        for number in 0..200 {
            let replica = ReplicaId::new(format!("r{number}"));
            // Each node knows the number of nodes but none of their names.
            let sum: u32 = nodes.iter().map(|own| share(&replica, own, &[], size)).sum();
            assert!(f64::from(sum) <= CAPACITY.bound(), "{sum} at {size} nodes, replica {number}");
        }
    }
}

#[test]
fn a_lone_node_that_assumes_others_does_not_take_the_whole() {
    let own = NodeId::new("n1");
    let shares = (0..200).map(|number| share(&ReplicaId::new(format!("r{number}")), &own, &[], 64));
    assert!(shares.max() <= Some(1));
}

#[test]
fn a_node_sends_its_share_in_any_second_and_the_rest_elsewhere() {
    let mut table = ReplicaTable::new(ZoneName::new("a"));
    let mut random = SmallRng::seed_from_u64(7);
    let cold = cold_replica("cold", "a", 2);
    let warm = RoutableReplica { warm_at: Micros(0), ..cold_replica("warm", "b", 0) };
    let candidates = [cold.clone(), warm];
    let mut taken: Vec<Micros> = Vec::new();
    let mut now = START;
    while now < START.plus(Micros::from_secs(3)) {
        let chosen = table.choose(&candidates, &[], now, &mut random);
        if chosen == Some(0) && table.take_cold_call(&cold, now) {
            taken.push(now);
        }
        assert!(chosen.is_some(), "the warm replica is available");
        now = now.plus(Micros::from_millis(7));
    }
    for begin in &taken {
        let within = taken.iter().filter(|at| *at >= begin && at.since(*begin) <= Micros::from_secs(1));
        assert!(within.count() <= 2);
    }
    assert!(taken.len() >= 4, "the cold replica gets its share");
    assert!(table.take_cold_call(&cold, now.plus(Micros::from_secs(1))), "the replica is warm by then");
}

#[test]
fn a_node_without_a_share_leaves_a_cold_replica_alone() {
    let table = ReplicaTable::new(ZoneName::new("a"));
    let mut random = SmallRng::seed_from_u64(9);
    let candidates = [cold_replica("cold", "a", 0)];
    assert_eq!(table.choose(&candidates, &[], START, &mut random), None);
    assert!(!table.has_fit(&candidates, &[], START));
    let later = START.plus(Micros::from_secs(4));
    assert_eq!(table.choose(&candidates, &[], later, &mut random), Some(0));
}

#[test]
fn the_owners_of_a_shard_are_those_that_believe_so() {
    let node = |number: usize| GathererNode {
        node: NodeId::new(format!("n{number}")),
        zone: ZoneName::new(format!("z{}", number % 4)),
        takes_over: true,
        core_percent: 12,
    };
    let nodes: Vec<GathererNode> = (0..76).map(node).collect();
    let shards: Vec<ServiceName> = (0..90).map(|shard| ServiceName::new(format!("s{shard}"))).collect();
    let (rate, shard) = (0.6, 37);
    for own in &nodes {
        let others: Vec<GathererNode> = nodes.iter().filter(|other| *other != own).cloned().collect();
        let owners = shard_owners(own, &others, &shards, shard, rate).expect("a few nodes own it");
        assert_eq!(owners.len(), gatherer_count(own, &others, rate));
        let owned = owned_shards(own, &others, &shards, rate).expect("a few nodes own it");
        assert_eq!(owners.contains(&own.node), owned[shard]);
    }
}
