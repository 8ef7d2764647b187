//! Which nodes connect to the leaves of a service.
//!
//! Leaves take a bounded number of connections, so that not every node can connect to each.
//! Rendezvous hashing gives each service a few nodes; a node that comes or goes moves only the
//! services that it holds. Nodes whose lists differ for a moment choose differently, which costs
//! connections but never correctness.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use sablebay_model::{NodeId, ServiceId, ZoneName};

/// The `count` nodes that hold the connections to a service's leaves, best first.
///
/// Zones take turns, so that the loss of a zone leaves some of them.
pub fn aggregators_of<'a>(
    service: &ServiceId,
    nodes: impl IntoIterator<Item = (&'a NodeId, &'a ZoneName)>,
    count: usize,
) -> Vec<NodeId> {
    let seed = xxh3_64_with_seed(service.as_str().as_bytes(), 0);
    let mut scored: Vec<(u64, &NodeId, &ZoneName)> = nodes
        .into_iter()
        .map(|(node, zone)| (xxh3_64_with_seed(node.as_str().as_bytes(), seed), node, zone))
        .collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    let mut chosen: Vec<NodeId> = Vec::with_capacity(count);
    while chosen.len() < count && !scored.is_empty() {
        let mut zones_of_round: Vec<&ZoneName> = Vec::new();
        scored.retain(|(_, node, zone)| {
            if chosen.len() >= count || zones_of_round.contains(zone) {
                return true;
            }
            zones_of_round.push(zone);
            chosen.push((*node).clone());
            false
        });
    }
    chosen
}
