//! How many nodes share what is bounded for the whole fleet, as one of them sees it.
//!
//! Quotas and budgets hold over all nodes, also over those that this one does not reach. A node that knows the fleet by
//! name uses the part of it that it sees; nodes that fell silent count on, since they may be cut off and in use. A node
//! that started behind a cut cannot know the nodes beyond it. It goes by its seeds: every node is given the same few
//! addresses, so the parts of a cut fleet see disjoint sets of them, and use the whole together at the most.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use derive_more::Display;

use sablebay_model::{Micros, NodeId};

use crate::member::MemberStatus;

/// How long a starting node assumes nodes that it has not met. After that it goes by its seeds.
const DISCOVERY_TIME: Micros = Micros::from_secs(2);
/// How long a starting node takes until it has met all others, the slowest among them. Before that it takes no more than
/// it must.
pub const SETTLING_TIME: Micros = Micros::from_secs(5);
/// How long a node that said that it leaves counts on: it may be on its way back, and a cut may hide its return.
const LEAVE_GRACE_TIME: Micros = Micros::from_secs(30);
/// How long the number of nodes that a peer told counts: the names are there after an exchange of member lists.
const REPORTED_SIZE_TTL: Micros = Micros::from_secs(60);

/// What a node's part of the fleet is known by.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CensusBasis {
    /// It has just started.
    #[display("it has just started")]
    Starting,
    /// The nodes are known by name.
    #[display("it sees {present} of {known} nodes")]
    Names {
        /// Nodes that are present, this one among them.
        present: usize,
        /// All nodes.
        known: usize,
    },
    /// It started among nodes that do not know the fleet either.
    #[display("it reaches {reached} of {named} seeds")]
    Seeds {
        /// Seeds that it reaches, or is.
        reached: usize,
        /// Seeds that it was given.
        named: usize,
    },
}

/// The part of the fleet that a node sees.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetPart {
    /// What the nodes that it sees may use together of what is bounded for the fleet, from 0 to 1.
    pub share: f64,
    /// Among how many nodes the whole is split; [`usize::MAX`] where the node sees nothing of the fleet.
    pub nodes: usize,
    /// What both are known by.
    pub basis: CensusBasis,
}

#[derive(Clone, Debug)]
struct KnownNode {
    address: SocketAddr,
    status: MemberStatus,
    /// When it was last seen to come or go.
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

/// What one node knows of how many share what is bounded for the fleet.
#[derive(Clone, Debug)]
pub struct FleetCensus {
    own_address: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    /// Every other node that was met or heard of.
    others: BTreeMap<NodeId, KnownNode>,
    present: usize,
    reported_size: Option<(usize, Micros)>,
    /// Whether the nodes known are the whole fleet. Stays true: nodes that come later are met.
    knows_fleet: bool,
}

impl FleetCensus {
    /// Of a node that has just started.
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

    /// Of a node that has met all others long ago.
    pub fn of_known_fleet(own_address: SocketAddr, seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self { knows_fleet: true, ..Self::new(own_address, seeds) }
    }

    /// Takes the seeds of changed settings in place of the ones before. A node without seeds is the one that all others
    /// begin with.
    pub fn replace_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.seeds = seeds.into_iter().collect();
        if self.seeds.is_empty() {
            self.seeds.insert(self.own_address);
        }
    }

    /// Takes in every member that is known; those that are no longer named are forgotten.
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

    /// A peer that knows the fleet told the number of its nodes. The highest number counts until it is old.
    pub fn record_reported_size(&mut self, nodes: usize, now: Micros) {
        if nodes >= self.reported_size(now) {
            self.reported_size = Some((nodes, now));
        }
        self.knows_fleet = true;
    }

    fn reported_size(&self, now: Micros) -> usize {
        self.reported_size.filter(|(_, at)| now.since(*at) < REPORTED_SIZE_TTL).map_or(0, |(nodes, _)| nodes)
    }

    /// The number of nodes to tell others: of those that this node knows by name, if these are all. A number that was
    /// told is not passed on, so that none outlasts the names behind it.
    pub fn size_to_report(&self, now: Micros) -> Option<usize> {
        let known = self.known(now);
        (self.knows_fleet && known >= self.reported_size(now)).then_some(known)
    }

    /// Notes whether the nodes that were met are all there are.
    ///
    /// A node that has seen all its seeds at one moment has met the fleet: no other part that started anew sees any.
    pub fn settle(&mut self, running_for: Micros) {
        if self.knows_fleet || running_for < SETTLING_TIME {
            return;
        }
        let (reached, named) = self.seeds_reached();
        self.knows_fleet = reached == named;
    }

    /// Whether the nodes that it knows are the whole fleet.
    pub fn knows_fleet(&self) -> bool {
        self.knows_fleet
    }

    /// Where peers connect to this node.
    pub fn own_address(&self) -> SocketAddr {
        self.own_address
    }

    /// The seeds, in an order that is the same at every node.
    pub fn seeds(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.seeds.iter().copied()
    }

    /// Seeds that this node reaches or is, and seeds that it was given.
    pub fn seeds_reached(&self) -> (usize, usize) {
        let is_reached = |seed: &&SocketAddr| {
            **seed == self.own_address
                || self.others.values().any(|node| node.is_present() && node.address == **seed)
        };
        (self.seeds.iter().filter(is_reached).count(), self.seeds.len())
    }

    /// Names of the other nodes that count, present or silent.
    pub fn counted(&self, now: Micros) -> impl Iterator<Item = &NodeId> {
        self.others.iter().filter(move |(_, node)| node.is_counted(now)).map(|(name, _)| name)
    }

    /// The nodes known by name, this one among them.
    pub fn known(&self, now: Micros) -> usize {
        1 + self.counted(now).count()
    }

    /// The part of the fleet that this node sees. One that has just started assumes `assumed` nodes at the least.
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
        // A number of nodes that is not whole is rounded up: less is used then.
        FleetPart { share: (self.present as f64 / nodes).min(1.0), nodes: nodes.ceil() as usize, basis }
    }
}
