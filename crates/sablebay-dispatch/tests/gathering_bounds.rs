//! Tests that the cost of gathering is bounded at any fleet size: owners per shard, delegations per
//! request, and ownership changes when nodes join or leave or disagree on the membership.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use sablebay_catalogue::ServiceName;
use sablebay_dispatch::{
    GathererInputs, GathererNode, GathererTable, ShardTargets, choose_gatherers, owned_shards,
};
use sablebay_model::{Micros, NodeId, ZoneName};

const SHARDS: usize = 180;
const ZONES: usize = 6;
/// Gathered requests per second that callers send to the whole fleet.
const FLEET_RATE: f64 = 60.0;
const SIZES: [usize; 4] = [8, 64, 300, 2_700];
/// Two owners and one standby in each zone.
const OWNERS: usize = 3 * ZONES;

type Owned = BTreeSet<(NodeId, usize)>;

/// Builds a fleet in which every sixteenth node has about four times the CPU quota of the others.
fn fleet(size: usize) -> Vec<GathererNode> {
    let node = |number: usize| GathererNode {
        node: NodeId::new(format!("n{number}")),
        zone: ZoneName::new(format!("z{}", number % ZONES)),
        takes_over: true,
        core_percent: if number.is_multiple_of(16) { 50 } else { 12 },
    };
    (0..size).map(node).collect()
}

fn shards() -> Vec<ServiceName> {
    (0..SHARDS).map(|shard| ServiceName::new(format!("s{shard}"))).collect()
}

/// Returns which nodes keep connections to which shards' replicas, each deciding from the nodes that
/// `seen_by` returns for it.
fn owned<'a>(nodes: &'a [GathererNode], seen_by: impl Fn(&GathererNode) -> Vec<GathererNode> + 'a) -> Owned {
    let names = shards();
    let rate = FLEET_RATE / nodes.len() as f64;
    let mut owned = Owned::new();
    for own in nodes {
        let kept = owned_shards(own, &seen_by(own), &names, rate).unwrap_or_else(|| vec![true; SHARDS]);
        let kept = kept.into_iter().enumerate().filter(|(_, kept)| *kept);
        owned.extend(kept.map(|(shard, _)| (own.node.clone(), shard)));
    }
    owned
}

fn others(nodes: &[GathererNode], own: &GathererNode) -> Vec<GathererNode> {
    nodes.iter().filter(|other| *other != own).cloned().collect()
}

fn owners_of_shards(owned: &Owned) -> BTreeMap<usize, usize> {
    let mut owners = BTreeMap::new();
    for (_, shard) in owned {
        *owners.entry(*shard).or_default() += 1;
    }
    owners
}

#[test]
fn a_shard_has_as_many_owners_in_a_fleet_of_any_size() {
    for size in SIZES {
        let nodes = fleet(size);
        let owned = owned(&nodes, |own| others(&nodes, own));
        let owners = owners_of_shards(&owned);
        let most = owners.values().max().expect("every shard has owners");
        assert_eq!(owners.len(), SHARDS);
        assert!(*most <= OWNERS.min(size), "{most} owners of a shard in a fleet of {size}");
    }
}

#[test]
fn a_request_asks_about_as_many_nodes_in_a_fleet_of_any_size() {
    let targets: Vec<ShardTargets> = shards()
        .into_iter()
        .map(|service| ShardTargets { service, replicas: std::sync::Arc::from([]) })
        .collect();
    let table = GathererTable::default();
    for size in SIZES {
        let nodes = fleet(size);
        let own = &nodes[size / 2];
        let inputs = GathererInputs {
            own,
            others: &others(&nodes, own),
            shards: &targets,
            own_rate: FLEET_RATE / size as f64,
            table: &table,
            now: Micros::from_secs(1),
        };
        let asked = choose_gatherers(&inputs, &mut SmallRng::seed_from_u64(1)).len();
        assert!(
            asked <= 14,
            "{asked} delegations in a fleet of {size}, more than the square root of the shards"
        );
    }
}

#[test]
fn owners_change_in_proportion_to_the_nodes_that_leave() {
    for size in [64, 300, 2_700] {
        let nodes = fleet(size);
        let before = owned(&nodes, |own| others(&nodes, own));
        for leaving in [1, size / 5] {
            let left: Vec<_> = nodes[leaving..].to_vec();
            let after = owned(&left, |own| others(&left, own));
            let gone: BTreeSet<&NodeId> = nodes[..leaving].iter().map(|node| &node.node).collect();
            let lost = before.iter().filter(|(node, _)| gone.contains(node)).count();
            let moved = after.difference(&before).count();
            assert_eq!(moved, lost, "{leaving} of {size} nodes left: only their shards may change owner");
        }
    }
}

#[test]
fn nodes_that_disagree_on_who_is_there_still_ask_those_that_keep_connections() {
    for size in [64, 300] {
        let nodes = fleet(size);
        // Each node is unaware of a tenth of the others.
        let seen_by = |own: &GathererNode| {
            let mut random =
                SmallRng::seed_from_u64(nodes.iter().position(|node| node == own).unwrap_or(0) as u64);
            let mut seen = others(&nodes, own);
            seen.retain(|_| random.random::<f64>() > 0.1);
            seen
        };
        let owned = owned(&nodes, seen_by);
        let most = *owners_of_shards(&owned).values().max().expect("every shard has owners");
        assert!(most <= 2 * OWNERS, "{most} of {size} nodes keep connections to the replicas of a shard");
        let names = shards();
        let targets: Vec<ShardTargets> = names
            .iter()
            .map(|service| ShardTargets { service: service.clone(), replicas: std::sync::Arc::from([]) })
            .collect();
        let (mut asked, mut kept) = (0, 0);
        for own in nodes.iter().step_by(7) {
            let inputs = GathererInputs {
                own,
                others: &seen_by(own),
                shards: &targets,
                own_rate: FLEET_RATE / size as f64,
                table: &GathererTable::default(),
                now: Micros::from_secs(1),
            };
            for delegated in choose_gatherers(&inputs, &mut SmallRng::seed_from_u64(1)) {
                asked += delegated.shards.len();
                let keeps = |shard: &&usize| owned.contains(&(delegated.gatherer.clone(), **shard));
                kept += delegated.shards.iter().filter(keeps).count();
            }
        }
        assert!(
            kept as f64 >= 0.95 * asked as f64,
            "only {kept} of {asked} delegated shards went to an owner, fleet of {size}"
        );
    }
}
