//! Guards against nodes using more than their share of fleet-wide limits during partitions and restarts.

use std::net::SocketAddr;

use sablebay_fleet::{CensusBasis, FleetCensus, MemberStatus, SETTLING_TIME};
use sablebay_model::{Micros, NodeId};

const ASSUMED: usize = 64;
const START: Micros = Micros::from_secs(3_600);

fn at(seconds: u64) -> Micros {
    START.plus(Micros::from_secs(seconds))
}

fn address(node: usize) -> SocketAddr {
    ([10, 0, 0, node as u8], 7_000).into()
}

/// The census of node 0, with nodes 0, 1 and 2 as seeds.
fn census() -> FleetCensus {
    FleetCensus::new(address(0), [0, 1, 2].map(address))
}

fn take(census: &mut FleetCensus, members: &[(usize, MemberStatus)], now: Micros) {
    let named: Vec<(NodeId, usize, MemberStatus)> =
        members.iter().map(|(node, status)| (NodeId::new(format!("n{node}")), *node, *status)).collect();
    census.update_members(named.iter().map(|(name, node, status)| (name, address(*node), *status)), now);
}

fn share(census: &FleetCensus, seconds: u64) -> f64 {
    census.part(Micros::from_secs(seconds), ASSUMED, at(seconds)).share
}

const ALIVE: MemberStatus = MemberStatus::Alive;
const DEAD: MemberStatus = MemberStatus::Dead;

#[test]
fn parts_of_a_fleet_that_started_behind_a_cut_use_the_whole_together_at_most() {
    let mut parts = 0.0;
    for (own, others) in [(0, &[1, 5, 6][..]), (2, &[7, 8][..]), (9, &[10, 11, 12][..])] {
        let mut census = FleetCensus::new(address(own), [0, 1, 2].map(address));
        let members: Vec<_> = others.iter().map(|other| (*other, ALIVE)).collect();
        take(&mut census, &members, at(1));
        census.settle(SETTLING_TIME);
        assert!(!census.knows_fleet());
        parts += share(&census, 3_600);
    }
    assert!((parts - 1.0).abs() < 1e-9, "{parts}");
}

#[test]
fn a_part_without_a_seed_uses_nothing_and_says_why() {
    let mut census = FleetCensus::new(address(9), [0, 1, 2].map(address));
    take(&mut census, &[(10, ALIVE)], at(1));
    let part = census.part(SETTLING_TIME, ASSUMED, at(5));
    assert_eq!((part.share, part.nodes), (0.0, usize::MAX));
    assert_eq!(part.basis.to_string(), "it reaches 0 of 3 seeds");
}

#[test]
fn a_node_that_saw_all_its_seeds_knows_the_fleet_from_then_on() {
    let mut census = census();
    take(&mut census, &[(1, ALIVE), (2, ALIVE), (3, ALIVE)], at(1));
    census.settle(Micros::from_secs(4));
    assert!(!census.knows_fleet(), "other nodes may not have been discovered yet");
    census.settle(SETTLING_TIME);
    assert!(census.knows_fleet());
    take(&mut census, &[(1, DEAD), (2, DEAD), (3, ALIVE)], at(20));
    let part = census.part(Micros::from_secs(20), ASSUMED, at(20));
    assert_eq!(part.basis, CensusBasis::Names { present: 2, known: 4 });
    assert_eq!((part.share, part.nodes), (0.5, 4));
}

#[test]
fn nodes_that_fell_silent_count_on_however_long_and_nodes_that_left_do_not() {
    let mut census = FleetCensus::of_known_fleet(address(0), [0, 1, 2].map(address));
    take(&mut census, &[(1, ALIVE), (2, ALIVE), (3, ALIVE)], at(0));
    take(&mut census, &[(1, ALIVE), (2, DEAD), (3, MemberStatus::Leaving)], at(1));
    assert_eq!(share(&census, 2), 0.5, "a leaving node may have returned behind a partition");
    assert_eq!(share(&census, 40), 2.0 / 3.0);
    assert_eq!(share(&census, 1_000_000), 2.0 / 3.0);
}

#[test]
fn a_node_that_is_told_of_the_fleet_uses_its_part_of_it_at_once() {
    let mut census = census();
    take(&mut census, &[(1, ALIVE)], at(0));
    census.record_reported_size(8, at(0));
    assert_eq!(share(&census, 1), 0.25);
    assert_eq!(
        census.size_to_report(at(1)),
        None,
        "a reported size is not forwarded without the nodes' names"
    );
    let members: Vec<_> = (1..8).map(|node| (node, if node < 4 { ALIVE } else { DEAD })).collect();
    take(&mut census, &members, at(2));
    assert_eq!(share(&census, 2), 0.5);
    assert_eq!(census.size_to_report(at(2)), Some(8));
}

#[test]
fn a_told_number_is_forgotten_when_nobody_tells_it_any_more() {
    let mut census = census();
    take(&mut census, &[(1, ALIVE), (2, ALIVE)], at(0));
    census.record_reported_size(6, at(0));
    census.record_reported_size(3, at(30));
    assert_eq!(share(&census, 30), 0.5);
    assert_eq!(share(&census, 61), 1.0);
}

#[test]
fn a_node_without_seeds_is_its_own() {
    let mut census = FleetCensus::new(address(0), []);
    assert_eq!(share(&census, 1), 1.0 / ASSUMED as f64);
    assert_eq!(share(&census, 3), 1.0);
    census.settle(SETTLING_TIME);
    assert!(census.knows_fleet());
}

#[test]
fn changed_seeds_take_the_place_of_those_before() {
    let mut census = census();
    take(&mut census, &[(1, ALIVE)], at(0));
    assert_eq!(share(&census, 3), 2.0 / 3.0);
    census.replace_seeds([0, 1, 4].map(address));
    take(&mut census, &[(1, ALIVE), (4, ALIVE)], at(4));
    assert_eq!(share(&census, 4), 1.0);
}
