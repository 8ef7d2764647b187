//! How many requests a second one node sends to a cold replica.
//!
//! A replica that has just started, or turned cold again, bears a few requests a second from all callers
//! together, and falls over well above that. Invariant kept here: the shares of all nodes stay within what
//! it bears, also while the nodes disagree on who is there. They do not talk about it: each knows its rank
//! among the callers of a replica by a hash, and the first few get a request each.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use sablebay_catalogue::ReplicaId;
use sablebay_model::{Micros, NodeId};

/// The part of what a cold replica bears that is given out. A node that misses a fifth of the others ranks
/// itself higher than it is, so that the fleet takes a quarter more than was given out; the property test
/// holds up to there at 8, 64 and 300 nodes.
const ALLOCATED_FRACTION: f64 = 0.6;
/// The same of a node that has met less than half of the others: it draws its rank by lot, so that the
/// number of those who draw a share varies; at a quarter, the lots of 300 nodes stay within the whole.
const ALLOCATED_FRACTION_BY_CHANCE: f64 = 0.25;
/// The time over which what a cold replica bears is counted.
pub const COLD_WINDOW: Micros = Micros::from_secs(1);

/// What a cold replica bears in any second, from what its service is configured with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdCapacity {
    /// Requests a second that its service names.
    pub requests_per_s: f64,
    /// How many times that it bears for a moment.
    pub overage: f64,
    /// Requests that it bears beyond that.
    pub slack: f64,
}

impl ColdCapacity {
    /// Requests in any second, from all callers together.
    pub fn bound(&self) -> f64 {
        self.requests_per_s * self.overage + self.slack
    }
}

/// Who may call a replica, as one node knows it.
#[derive(Clone, Copy, Debug)]
pub struct Callers<'a> {
    /// This node.
    pub own: &'a NodeId,
    /// The nodes that it knows of, with or without itself.
    pub known: &'a [NodeId],
    /// How many there are at the least; more than `known` where this node has not met all of them.
    pub at_least: usize,
}

/// Requests that a node may send to a cold replica in any second.
pub fn cold_share(replica: &ReplicaId, capacity: &ColdCapacity, callers: &Callers<'_>) -> u32 {
    let seed = xxh3_64(replica.as_str().as_bytes());
    let weight = |node: &NodeId| xxh3_64_with_seed(node.as_str().as_bytes(), seed);
    let own_weight = weight(callers.own);
    let others = || callers.known.iter().filter(|node| *node != callers.own);
    let rank = others().filter(|node| (weight(node), *node) < (own_weight, callers.own)).count();
    let known = others().count() + 1;
    // Nodes that were not met rank like any others.
    let unknown = callers.at_least.saturating_sub(known);
    let rank = rank + (own_weight as f64 / u64::MAX as f64 * unknown as f64) as usize;
    let part = if unknown > known { ALLOCATED_FRACTION_BY_CHANCE } else { ALLOCATED_FRACTION };
    let allocated = (capacity.bound() * part) as usize;
    let (whole, rest) = (allocated / (known + unknown), allocated % (known + unknown));
    (whole + usize::from(rank < rest)) as u32
}
