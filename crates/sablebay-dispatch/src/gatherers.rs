//! Which node gathers which shards of a request.
//!
//! Where a zone takes few requests on many nodes, each node would know every replica by a call now
//! and then, and keep a connection to each. There a chunk of shards has a few *owners* in each zone,
//! which gather it for all: an owner calls its replicas often, and knows them. Where every node of a
//! zone calls often enough, all are owners, and each calls the replicas of its own zone itself.
//!
//! There, shards without a replica in this node's zone are gathered in a zone that has one, and merged
//! there: what crosses is one merged part. An owner of a chunk calls the far replicas of its shards
//! itself.

use std::collections::BTreeMap;
use std::ops::Range;

use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use sablebay_catalogue::ServiceName;
use sablebay_model::{Micros, NodeId, ZoneName};

use crate::fanout::{DelegatedShards, ShardTargets};
use crate::gatherer_table::GathererTable;

/// A node that gathers for others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GathererNode {
    /// Its name.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it can take over what another gatherer began; nodes of earlier releases cannot.
    pub takes_over: bool,
    /// Its share of a processor core, in percent; 0 when it did not say.
    pub core_percent: u32,
}

impl GathererNode {
    /// How much of the work it takes, against others. One that did not say counts as a whole core.
    fn capacity(&self) -> f64 {
        match self.core_percent {
            0 => 100.0,
            percent => f64::from(percent),
        }
    }
}

/// The nodes of each zone.
type ZoneMembers<'a> = BTreeMap<&'a ZoneName, Vec<&'a GathererNode>>;

/// What the choice is made from.
#[derive(Clone, Copy, Debug)]
pub struct GathererInputs<'a> {
    /// This node.
    pub own: &'a GathererNode,
    /// The other nodes that gather and take work.
    pub others: &'a [GathererNode],
    /// The shards of the request.
    pub shards: &'a [ShardTargets],
    /// Requests a second for these shards that callers bring to this node.
    pub own_rate: f64,
    /// What is known of the other nodes.
    pub table: &'a GathererTable,
    /// Now.
    pub now: Micros,
}

/// Calls a second at which a replica is known well: a pause of some hundred milliseconds is seen
/// within a call or two.
const RELIABLE_HEALTH_RATE: f64 = 10.0;
/// Owners of a chunk in a zone, at the least: one may be lost at any time.
const MINIMUM_OWNERS: usize = 2;
/// Shards fewer than this are called directly: a merged part of so few is no smaller than they are.
const MINIMUM_DELEGATED: usize = 3;

/// The delegations of a request; shards that stand in none are called directly.
pub fn choose_gatherers<R: Rng>(inputs: &GathererInputs<'_>, random: &mut R) -> Vec<DelegatedShards> {
    let zones = zones_of(inputs.own, inputs.others);
    let chunks = chunks(inputs.shards.len(), &zones, inputs.own_rate);
    if chunks.len() < 2 {
        remote_shards(inputs, &zones, random)
    } else {
        owned_chunks(inputs, &zones, chunks, random)
    }
}

/// Where a few nodes own a chunk: each chunk whole, at one of its owners in this node's zone. An owner
/// keeps connections to the replicas of its shards in every zone; shards apart, by the zones of their
/// replicas, would be too few together for any node to keep connections for them.
fn owned_chunks<R: Rng>(
    inputs: &GathererInputs<'_>,
    zones: &ZoneMembers<'_>,
    chunks: Vec<Range<usize>>,
    random: &mut R,
) -> Vec<DelegatedShards> {
    let zone = &inputs.own.zone;
    let mut chosen: BTreeMap<GathererPair, Vec<usize>> = BTreeMap::new();
    for chunk in chunks {
        let name = inputs.shards[chunk.start].service.as_str();
        let assigned = |node: &NodeId| {
            let parts = chosen.iter().filter(|(pair, _)| pair.primary == *node);
            parts.map(|(_, shards)| shards.len()).sum::<usize>() as f64 / chunk.len() as f64
        };
        if let Some(pair) = owners_in(inputs, zone, &zones[zone], name, assigned, random) {
            chosen.entry(pair).or_default().extend(chunk);
        }
    }
    delegations(chosen.into_iter().map(|(pair, shards)| (pair, zone, shards)))
}

/// The node that is asked for some shards, and the one that is asked when it is of no use.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GathererPair {
    primary: NodeId,
    fallback: Option<NodeId>,
}

/// Where every node gathers the shards of its zone itself: those without a replica here, at one node
/// of a zone that has one.
fn remote_shards<R: Rng>(
    inputs: &GathererInputs<'_>,
    zones: &ZoneMembers<'_>,
    random: &mut R,
) -> Vec<DelegatedShards> {
    let Some(first) = inputs.shards.first() else {
        return Vec::new();
    };
    // One draw a request: its shards from one far zone travel together.
    let draw = random.random::<u64>();
    let mut by_zone: BTreeMap<&ZoneName, Vec<usize>> = BTreeMap::new();
    for (shard, targets) in inputs.shards.iter().enumerate() {
        if let Some(zone) = zone_for(inputs, targets, zones, draw) {
            by_zone.entry(zone).or_default().push(shard);
        }
    }
    by_zone.retain(|zone, _| **zone != inputs.own.zone);
    let mut chosen = Vec::new();
    for (zone, shards) in by_zone {
        let pair = owners_in(inputs, zone, &zones[zone], first.service.as_str(), |_| 0.0, random);
        chosen.extend(pair.map(|pair| (pair, zone, shards)));
    }
    delegations(chosen.into_iter())
}

/// Those of enough shards.
fn delegations<'a>(
    chosen: impl Iterator<Item = (GathererPair, &'a ZoneName, Vec<usize>)>,
) -> Vec<DelegatedShards> {
    let enough = chosen.filter(|(_, _, shards)| shards.len() >= MINIMUM_DELEGATED);
    let named = |(pair, zone, shards): (GathererPair, &ZoneName, _)| DelegatedShards {
        gatherer: pair.primary,
        zone: zone.clone(),
        shards,
        fallback: pair.fallback,
        continued: false,
    };
    enough.map(named).collect()
}

/// The nodes of each zone, this one among them.
fn zones_of<'a>(own: &'a GathererNode, others: &'a [GathererNode]) -> ZoneMembers<'a> {
    let mut zones: ZoneMembers<'_> = BTreeMap::new();
    for known in others.iter().chain([own]) {
        zones.entry(&known.zone).or_default().push(known);
    }
    zones
}

/// For each shard, whether this node keeps connections to its replicas as one that gathers it, or
/// would gather it if one owner were lost. Nothing where every node gathers every shard itself.
pub fn owned_shards(
    own: &GathererNode,
    others: &[GathererNode],
    shards: &[ServiceName],
    own_rate: f64,
) -> Option<Vec<bool>> {
    let zones = zones_of(own, others);
    let chunks = chunks(shards.len(), &zones, own_rate);
    if chunks.len() < 2 {
        return None;
    }
    let nodes = &zones[&own.zone];
    let kept = owner_count(nodes.len(), own_rate) + 1;
    let owns = |chunk: &Range<usize>| {
        let owners = owners(shards[chunk.start].as_str(), nodes, kept);
        owners.contains(&own)
    };
    let by_chunk = chunks.iter().map(|chunk| std::iter::repeat_n(owns(chunk), chunk.len()));
    Some(by_chunk.flatten().collect())
}

/// The nodes that keep connections to the replicas of one shard, in all zones. Nothing where every node
/// gathers every shard itself.
pub fn shard_owners(
    own: &GathererNode,
    others: &[GathererNode],
    shards: &[ServiceName],
    shard: usize,
    own_rate: f64,
) -> Option<Vec<NodeId>> {
    let zones = zones_of(own, others);
    let chunks = chunks(shards.len(), &zones, own_rate);
    if chunks.len() < 2 {
        return None;
    }
    let chunk = chunks.iter().find(|chunk| chunk.contains(&shard))?;
    let name = shards[chunk.start].as_str();
    let owners = zones.values().flat_map(|nodes| owners(name, nodes, owner_count(nodes.len(), own_rate) + 1));
    Some(owners.map(|owner| owner.node.clone()).collect())
}

/// How many nodes gather a shard in all zones together, spare owners among them.
pub fn gatherer_count(own: &GathererNode, others: &[GathererNode], own_rate: f64) -> usize {
    let zones = zones_of(own, others);
    zones.values().map(|nodes| (owner_count(nodes.len(), own_rate) + 1).min(nodes.len())).sum()
}

/// How many nodes of a zone own a chunk, by the rate that the zone's nodes seem to take together.
fn owner_count(nodes: usize, own_rate: f64) -> usize {
    let zone_rate = own_rate * nodes as f64;
    let wanted = (zone_rate / RELIABLE_HEALTH_RATE).ceil() as usize;
    wanted.max(MINIMUM_OWNERS).min(nodes)
}

/// The shards in chunks that have owners of their own: one where every node owns all, otherwise as
/// many as there are shards in each, so that a request asks about as many nodes as each has calls.
fn chunks(count: usize, zones: &ZoneMembers<'_>, own_rate: f64) -> Vec<Range<usize>> {
    let all_own = zones.values().all(|nodes| owner_count(nodes.len(), own_rate) == nodes.len());
    let length = if all_own { count } else { (count as f64).sqrt().ceil() as usize };
    (0..count).step_by(length.max(1)).map(|start| start..(start + length).min(count)).collect()
}

/// The zone that a shard is gathered in; none when no node of a zone with a replica is known.
fn zone_for<'a>(
    inputs: &GathererInputs<'a>,
    shard: &ShardTargets,
    zones: &ZoneMembers<'a>,
    draw: u64,
) -> Option<&'a ZoneName> {
    let mut remote: Vec<(&ZoneName, usize)> = Vec::new();
    for candidate in shard.replicas.iter().filter(|candidate| !candidate.last_resort) {
        let zone = &candidate.replica.zone;
        if *zone == inputs.own.zone {
            return Some(&inputs.own.zone);
        }
        if let Some((known, nodes)) = zones.get_key_value(zone)
            && !remote.iter().any(|(seen, _)| seen == known)
        {
            remote.push((*known, nodes.len()));
        }
    }
    remote.sort();
    let nodes: usize = remote.iter().map(|(_, nodes)| nodes).sum();
    let mut position = draw.checked_rem(nodes as u64)? as usize;
    for (zone, nodes) in remote {
        if position < nodes {
            return Some(zone);
        }
        position -= nodes;
    }
    None
}

/// The owner of a chunk that is asked, and the one that takes over from it; none when this node is an
/// owner itself, or none is fit. `assigned` says how many chunks of the request a node has already.
fn owners_in<R: Rng>(
    inputs: &GathererInputs<'_>,
    zone: &ZoneName,
    nodes: &[&GathererNode],
    chunk: &str,
    assigned: impl Fn(&NodeId) -> f64,
    random: &mut R,
) -> Option<GathererPair> {
    let wanted = owner_count(nodes.len(), inputs.own_rate);
    // One more keeps connections to the replicas (`owned_shards`).
    let owners = owners(chunk, nodes, wanted + 1);
    let asked = &owners[..wanted.min(owners.len())];
    if *zone == inputs.own.zone && asked.contains(&inputs.own) {
        return None;
    }
    let primary =
        inputs.table.choose(asked.iter().map(|owner| &owner.node), &assigned, inputs.now, random)?;
    let can_take_over =
        |owner: &&&GathererNode| owner.takes_over && owner.node != *primary && owner.node != inputs.own.node;
    let others = owners.iter().filter(can_take_over).map(|owner| &owner.node);
    let fallback = inputs.table.choose(others, &assigned, inputs.now, random);
    Some(GathererPair { primary: primary.clone(), fallback: fallback.cloned() })
}

/// The nodes with the highest weights for a chunk.
fn owners<'a>(chunk: &str, nodes: &[&'a GathererNode], wanted: usize) -> Vec<&'a GathererNode> {
    let seed = xxh3_64_with_seed(chunk.as_bytes(), 0);
    let mut ranked: Vec<(f64, &GathererNode)> =
        nodes.iter().map(|node| (weight(seed, node), *node)).collect();
    ranked.sort_by(|(one, first), (other, second)| other.total_cmp(one).then(first.node.cmp(&second.node)));
    ranked.into_iter().take(wanted).map(|(_, node)| node).collect()
}

/// The weight of a node for a chunk: the highest own it. A node owns chunks in proportion to its share of
/// a core, and one that comes or goes moves its own chunks alone.
fn weight(chunk: u64, node: &GathererNode) -> f64 {
    let draw = xxh3_64_with_seed(node.node.as_str().as_bytes(), chunk);
    // Above 0 and below 1.
    let unit = (draw as f64 + 0.5) / (u64::MAX as f64 + 1.0);
    -node.capacity() / unit.min(1.0 - f64::EPSILON).ln()
}
