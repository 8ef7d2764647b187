//! Estimates the share of fleet-wide limits that the reachable nodes may use.
//!
//! Quotas and budgets apply to all nodes, including unreachable ones. A node that knows the whole fleet by name counts
//! dead nodes as well, since they may be alive behind a partition. A node that started during a partition uses the
//! fraction of seeds that it reaches: all nodes have the same seeds, and the sides of a partition reach disjoint
//! subsets, so their shares add up to at most the whole.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use derive_more::Display;

use sablebay_model::{Micros, NodeId};

use crate::member::MemberStatus;

/// How long a starting node assumes a minimum fleet size. After that it relies on its seeds.
const DISCOVERY_TIME: Micros = Micros::from_secs(2);
/// How long a starting node takes to discover all other nodes. Until then the known nodes may be incomplete.
pub const SETTLING_TIME: Micros = Micros::from_secs(5);
/// How long a leaving node still counts, since a partition may hide its return.
const LEAVE_GRACE_TIME: Micros = Micros::from_secs(30);
/// How long a fleet size reported by a peer is used. By then the nodes are known by name from the exchange of member
/// lists.
const REPORTED_SIZE_TTL: Micros = Micros::from_secs(60);

/// The information that a [`FleetPart`] is based on.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CensusBasis {
    /// The node has just started.
    #[display("it has just started")]
    Starting,
    /// All nodes are known by name.
    #[display("it sees {present} of {known} nodes")]
    Names {
        /// Number of present nodes, including this one.
        present: usize,
        /// Number of all nodes.
        known: usize,
    },
    /// No reachable node knows the whole fleet, so the reached seeds are used.
    #[display("it reaches {reached} of {named} seeds")]
    Seeds {
        /// Number of seeds that the node reaches or is itself.
        reached: usize,
        /// Number of configured seeds.
        named: usize,
    },
}

/// The part of the fleet that is visible to a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetPart {
    /// Share of the fleet-wide limits that the visible nodes may use together, from 0 to 1.
    pub share: f64,
    /// Number of nodes that share the limits, or [`usize::MAX`] if no seed is reached.
    pub nodes: usize,
    pub basis: CensusBasis,
}

#[derive(Clone, Debug)]
struct KnownNode {
    address: SocketAddr,
    status: MemberStatus,
    /// When the node last became present or absent.
    since: Micros,
}

impl KnownNode {
    fn is_present(&self) -> bool {
        matches!(self.status, MemberStatus::Alive | MemberStatus::Suspect)
    }

    fn is_counted(&self, now: Micros) -> bool {
        self.status != MemberStatus::Leaving || now.since(self.since) < LEAVE_GRACE_TIME
    }
}

/// A node's knowledge of the fleet's size.
#[derive(Clone, Debug)]
pub struct FleetCensus {
    own_address: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    /// All other nodes known by name.
    others: BTreeMap<NodeId, KnownNode>,
    present: usize,
    reported_size: Option<(usize, Micros)>,
    /// Whether the known nodes are the whole fleet. Never reset, since nodes that join later are discovered.
    knows_fleet: bool,
}

impl FleetCensus {
    /// Creates the census of a starting node.
    pub fn new(own_address: SocketAddr, seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        let mut census = Self {
            own_address,
            seeds: BTreeSet::new(),
            others: BTreeMap::new(),
            present: 1,
            reported_size: None,
            knows_fleet: false,
        };
        census.replace_seeds(seeds);
        census
    }

    /// Creates the census of a node that already knows the whole fleet.
    pub fn of_known_fleet(own_address: SocketAddr, seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self { knows_fleet: true, ..Self::new(own_address, seeds) }
    }

    /// Replaces the seeds. A node without seeds is its own only seed.
    pub fn replace_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.seeds = seeds.into_iter().collect();
        if self.seeds.is_empty() {
            self.seeds.insert(self.own_address);
        }
    }

    /// Replaces the known members. Members that are not listed are removed.
    pub fn update_members<'a>(
        &mut self,
        members: impl IntoIterator<Item = (&'a NodeId, SocketAddr, MemberStatus)>,
        now: Micros,
    ) {
        let mut before = std::mem::take(&mut self.others);
        for (node, address, status) in members {
            let mut known = KnownNode { address, status, since: now };
            let known_before = before.remove_entry(node);
            if let Some((_, before)) = &known_before
                && before.is_present() == known.is_present()
            {
                known.since = before.since;
            }
            let node = known_before.map_or_else(|| node.clone(), |(node, _)| node);
            self.others.insert(node, known);
        }
        self.present = 1 + self.others.values().filter(|node| node.is_present()).count();
    }

    /// Records the fleet size reported by a peer that knows the whole fleet. The highest report is used until it
    /// expires.
    pub fn record_reported_size(&mut self, nodes: usize, now: Micros) {
        if nodes >= self.reported_size(now) {
            self.reported_size = Some((nodes, now));
        }
        self.knows_fleet = true;
    }

    fn reported_size(&self, now: Micros) -> usize {
        self.reported_size.filter(|(_, at)| now.since(*at) < REPORTED_SIZE_TTL).map_or(0, |(nodes, _)| nodes)
    }

    /// The fleet size to report to peers, if this node knows all nodes by name. A reported size is not forwarded, so that it
    /// does not outlive the nodes it counts.
    pub fn size_to_report(&self, now: Micros) -> Option<usize> {
        let known = self.known(now);
        (self.knows_fleet && known >= self.reported_size(now)).then_some(known)
    }

    /// Marks the fleet as known once the settling time has passed and all seeds are reached.
    ///
    /// If one node reaches all seeds, no other side of a partition reaches any.
    pub fn settle(&mut self, running_for: Micros) {
        if self.knows_fleet || running_for < SETTLING_TIME {
            return;
        }
        let (reached, named) = self.seeds_reached();
        self.knows_fleet = reached == named;
    }

    /// Whether the known nodes are the whole fleet.
    pub fn knows_fleet(&self) -> bool {
        self.knows_fleet
    }

    /// This node's address for peer connections.
    pub fn own_address(&self) -> SocketAddr {
        self.own_address
    }

    /// The seeds in ascending order, which is the same on all nodes.
    pub fn seeds(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.seeds.iter().copied()
    }

    /// Number of seeds that this node reaches or is itself, and number of configured seeds.
    pub fn seeds_reached(&self) -> (usize, usize) {
        let is_reached = |seed: &&SocketAddr| {
            **seed == self.own_address
                || self.others.values().any(|node| node.is_present() && node.address == **seed)
        };
        (self.seeds.iter().filter(is_reached).count(), self.seeds.len())
    }

    /// Names of the other nodes that count, including dead ones.
    pub fn counted(&self, now: Micros) -> impl Iterator<Item = &NodeId> {
        self.others.iter().filter(move |(_, node)| node.is_counted(now)).map(|(name, _)| name)
    }

    /// Number of nodes known by name, including this one.
    pub fn known(&self, now: Micros) -> usize {
        1 + self.counted(now).count()
    }

    /// The part of the fleet visible to this node. A node that has just started assumes at least `assumed` nodes.
    pub fn part(&self, running_for: Micros, assumed: usize, now: Micros) -> FleetPart {
        let known = self.known(now).max(self.reported_size(now));
        if self.knows_fleet {
            return self.part_of(known as f64, CensusBasis::Names { present: self.present, known });
        }
        let (reached, named) = self.seeds_reached();
        let by_seeds = match reached {
            _ if reached == named => self.present as f64,
            0 => f64::INFINITY,
            _ => self.present as f64 * named as f64 / reached as f64,
        };
        let nodes = by_seeds.max(known as f64);
        if running_for < DISCOVERY_TIME {
            self.part_of(nodes.max(assumed as f64), CensusBasis::Starting)
        } else {
            self.part_of(nodes, CensusBasis::Seeds { reached, named })
        }
    }

    fn part_of(&self, nodes: f64, basis: CensusBasis) -> FleetPart {
        // Round the number of nodes up, so that no node uses too much.
        FleetPart { share: (self.present as f64 / nodes).min(1.0), nodes: nodes.ceil() as usize, basis }
    }
}
