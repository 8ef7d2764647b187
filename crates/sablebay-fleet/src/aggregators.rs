//! Assigns services to the nodes that connect to their leaves.
//!
//! Rendezvous hashing bounds the connections per leaf, and a membership change moves only the
//! services of the affected node. Differing member lists cost extra connections, not correctness.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use sablebay_model::{NodeId, ServiceId, ZoneName};

/// Selects up to `count` nodes for the connections to a service's leaves, highest score first.
///
/// Each round takes at most one node per zone, so that the loss of a zone leaves other nodes.
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
