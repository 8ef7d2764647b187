//! Assigns the shards of a request to the nodes that gather them.
//!
//! At low request rates, each chunk of shards has a few *owners* in each zone that gather it for all
//! nodes of the zone, so that only the owners keep connections to its replicas and call them often enough
//! to know their health. An owner also calls replicas in other zones directly.
//!
//! At high request rates, every node owns all shards and calls the replicas of its own zone directly.
//! Shards without a replica in that zone are gathered in a zone that has one, so that only one merged
//! part crosses zones.

use std::collections::BTreeMap;
use std::ops::Range;

use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use sablebay_catalogue::ServiceName;
use sablebay_model::{Micros, NodeId, ZoneName};

use crate::fanout::{DelegatedShards, ShardTargets};
use crate::gatherer_table::GathererTable;

/// A node that gathers shards for others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GathererNode {
    pub node: NodeId,
    pub zone: ZoneName,
    /// Whether the node can take over from another gatherer; earlier releases cannot.
    pub takes_over: bool,
    /// CPU quota in percent of a core; 0 if unknown.
    pub core_percent: u32,
}

impl GathererNode {
    /// Relative amount of work for the node. An unknown quota counts as a whole core.
    fn capacity(&self) -> f64 {
        match self.core_percent {
            0 => 100.0,
            percent => f64::from(percent),
        }
    }
}

/// The nodes of each zone.
type ZoneMembers<'a> = BTreeMap<&'a ZoneName, Vec<&'a GathererNode>>;

#[derive(Clone, Copy, Debug)]
pub struct GathererInputs<'a> {
    pub own: &'a GathererNode,
    /// The other gatherers that accept work.
    pub others: &'a [GathererNode],
    pub shards: &'a [ShardTargets],
    /// Requests per second for these shards that callers send to this node.
    pub own_rate: f64,
    /// Health and load of the other gatherers.
    pub table: &'a GathererTable,
    pub now: Micros,
}

/// Calls per second at which the health of a replica is known reliably: a pause of a few hundred
/// milliseconds is noticed within one or two calls.
const RELIABLE_HEALTH_RATE: f64 = 10.0;
/// Minimum number of owners of a chunk in a zone, so that one may fail.
const MINIMUM_OWNERS: usize = 2;
/// Minimum number of shards in a delegation. Merging fewer does not reduce the size of the answer.
const MINIMUM_DELEGATED: usize = 3;

/// Returns the delegations of a request. Shards that are in none are called directly.
pub fn choose_gatherers<R: Rng>(inputs: &GathererInputs<'_>, random: &mut R) -> Vec<DelegatedShards> {
    let zones = zones_of(inputs.own, inputs.others);
    let chunks = chunks(inputs.shards.len(), &zones, inputs.own_rate);
    if chunks.len() < 2 {
        remote_shards(inputs, &zones, random)
    } else {
        owned_chunks(inputs, &zones, chunks, random)
    }
}

/// Delegates each chunk to one of its owners in this node's zone, which keeps connections to the replicas
/// of the chunk in every zone. Chunks are not split by zone, because the parts would be too small.
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

/// The gatherer of some shards, and the node that takes over if it fails.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GathererPair {
    primary: NodeId,
    fallback: Option<NodeId>,
}

/// Delegates the shards without a replica in this node's zone to one node of a zone that has one. Used
/// where every node gathers the shards of its own zone.
fn remote_shards<R: Rng>(
    inputs: &GathererInputs<'_>,
    zones: &ZoneMembers<'_>,
    random: &mut R,
) -> Vec<DelegatedShards> {
    let Some(first) = inputs.shards.first() else {
        return Vec::new();
    };
    // One draw per request, so that shards with the same zones are gathered in the same zone.
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

/// Builds the delegations, leaving out those with fewer than [`MINIMUM_DELEGATED`] shards.
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

/// Groups all nodes, including this one, by zone.
fn zones_of<'a>(own: &'a GathererNode, others: &'a [GathererNode]) -> ZoneMembers<'a> {
    let mut zones: ZoneMembers<'_> = BTreeMap::new();
    for known in others.iter().chain([own]) {
        zones.entry(&known.zone).or_default().push(known);
    }
    zones
}

/// Returns for each shard whether this node keeps connections to its replicas, as an owner or as the
/// standby for a failed owner. Returns `None` if every node owns all shards.
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

/// Returns the nodes of all zones that keep connections to the replicas of a shard, or `None` if every
/// node owns all shards.
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

/// Returns the number of owners of a shard in all zones, including one standby per zone.
pub fn gatherer_count(own: &GathererNode, others: &[GathererNode], own_rate: f64) -> usize {
    let zones = zones_of(own, others);
    zones.values().map(|nodes| (owner_count(nodes.len(), own_rate) + 1).min(nodes.len())).sum()
}

/// Returns the number of owners of a chunk in a zone, from the estimated request rate of the zone.
fn owner_count(nodes: usize, own_rate: f64) -> usize {
    let zone_rate = own_rate * nodes as f64;
    let wanted = (zone_rate / RELIABLE_HEALTH_RATE).ceil() as usize;
    wanted.max(MINIMUM_OWNERS).min(nodes)
}

/// Splits the shards into chunks with separate owners. One chunk if every node owns all shards; otherwise
/// about the square root of their number, which balances the calls of a request with those of a gatherer.
fn chunks(count: usize, zones: &ZoneMembers<'_>, own_rate: f64) -> Vec<Range<usize>> {
    let all_own = zones.values().all(|nodes| owner_count(nodes.len(), own_rate) == nodes.len());
    let length = if all_own { count } else { (count as f64).sqrt().ceil() as usize };
    (0..count).step_by(length.max(1)).map(|start| start..(start + length).min(count)).collect()
}

/// Returns the zone that a shard is gathered in, or `None` if no zone with a replica has a known node.
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

/// Chooses the gatherer of a chunk and its fallback. Returns `None` if this node is an owner itself, or no
/// owner is healthy. `assigned` returns the number of chunks of the request that a node already has.
fn owners_in<R: Rng>(
    inputs: &GathererInputs<'_>,
    zone: &ZoneName,
    nodes: &[&GathererNode],
    chunk: &str,
    assigned: impl Fn(&NodeId) -> f64,
    random: &mut R,
) -> Option<GathererPair> {
    let wanted = owner_count(nodes.len(), inputs.own_rate);
    // Includes the standby, which also keeps connections (see `owned_shards`).
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

/// Returns the nodes with the highest weights for a chunk (weighted rendezvous hashing).
fn owners<'a>(chunk: &str, nodes: &[&'a GathererNode], wanted: usize) -> Vec<&'a GathererNode> {
    let seed = xxh3_64_with_seed(chunk.as_bytes(), 0);
    let mut ranked: Vec<(f64, &GathererNode)> =
        nodes.iter().map(|node| (weight(seed, node), *node)).collect();
    ranked.sort_by(|(one, first), (other, second)| other.total_cmp(one).then(first.node.cmp(&second.node)));
    ranked.into_iter().take(wanted).map(|(_, node)| node).collect()
}

/// Returns the rendezvous hashing weight of a node for a chunk. Nodes own chunks in proportion to their
/// CPU quota, and a node that joins or leaves moves only its own chunks.
fn weight(chunk: u64, node: &GathererNode) -> f64 {
    let draw = xxh3_64_with_seed(node.node.as_str().as_bytes(), chunk);
    // In the open interval (0, 1).
    let unit = (draw as f64 + 0.5) / (u64::MAX as f64 + 1.0);
    -node.capacity() / unit.min(1.0 - f64::EPSILON).ln()
}
