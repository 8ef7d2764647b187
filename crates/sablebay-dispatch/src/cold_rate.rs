//! Limits the request rate of one node to a cold replica.
//!
//! A replica that has just started handles only a few requests per second from all callers together. The
//! shares of all nodes stay within that capacity even while their membership views differ. Nodes rank
//! themselves per replica by rendezvous hashing, without coordination; the remainder of the capacity goes to
//! the first ranks, one request each.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use sablebay_catalogue::ReplicaId;
use sablebay_model::{Micros, NodeId};

/// Fraction of the cold capacity that is allocated. A node with an incomplete membership view ranks itself
/// too high; the rest covers views that miss a fifth of the nodes.
const ALLOCATED_FRACTION: f64 = 0.6;
/// Allocated fraction while a node knows less than half of the others. Its rank is then an estimate from its
/// hash, so the number of nodes with a share varies.
const ALLOCATED_FRACTION_BY_CHANCE: f64 = 0.25;
/// Window to which the cold capacity applies.
pub const COLD_WINDOW: Micros = Micros::from_secs(1);

/// Request capacity of a cold replica, from the configuration of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdCapacity {
    /// Configured requests per second.
    pub requests_per_s: f64,
    /// Factor by which short bursts may exceed `requests_per_s`.
    pub overage: f64,
    /// Requests allowed in addition to the burst.
    pub slack: f64,
}

impl ColdCapacity {
    /// Maximum number of requests in any second from all callers together.
    pub fn bound(&self) -> f64 {
        self.requests_per_s * self.overage + self.slack
    }
}

/// Nodes that may call a replica, in the view of one node.
#[derive(Clone, Copy, Debug)]
pub struct Callers<'a> {
    pub own: &'a NodeId,
    /// Known nodes; may include `own`.
    pub known: &'a [NodeId],
    /// Minimum number of nodes; larger than `known` while the membership view is incomplete.
    pub at_least: usize,
}

/// Number of requests a node may send to a cold replica in any second.
pub fn cold_share(replica: &ReplicaId, capacity: &ColdCapacity, callers: &Callers<'_>) -> u32 {
    let seed = xxh3_64(replica.as_str().as_bytes());
    let weight = |node: &NodeId| xxh3_64_with_seed(node.as_str().as_bytes(), seed);
    let own_weight = weight(callers.own);
    let others = || callers.known.iter().filter(|node| *node != callers.own);
    let rank = others().filter(|node| (weight(node), *node) < (own_weight, callers.own)).count();
    let known = others().count() + 1;
    // Unknown nodes are assumed to be distributed evenly over the ranks.
    let unknown = callers.at_least.saturating_sub(known);
    let rank = rank + (own_weight as f64 / u64::MAX as f64 * unknown as f64) as usize;
    let part = if unknown > known { ALLOCATED_FRACTION_BY_CHANCE } else { ALLOCATED_FRACTION };
    let allocated = (capacity.bound() * part) as usize;
    let (whole, rest) = (allocated / (known + unknown), allocated % (known + unknown));
    (whole + usize::from(rank < rest)) as u32
}
