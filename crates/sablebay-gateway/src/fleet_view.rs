//! What the gateway needs to know of the other nodes: where they are, which of them read the
//! source of the catalogue, and how many share what is bounded for the fleet.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use sablebay_catalogue::READERS;
use sablebay_dispatch::FleetSize;
use sablebay_model::{Micros, NodeId};
use sablebay_node::Shared;

/// A node as the gateway sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetPeer {
    /// Its name.
    pub node: NodeId,
    /// Where peers connect.
    pub address: SocketAddr,
}

/// The nodes that are present, and all that were met in this life.
#[derive(Debug)]
pub struct FleetView {
    own: NodeId,
    /// Every name met in this life, this node's among them. Names come back after a restart.
    met: BTreeSet<NodeId>,
    /// Present peers in an order that is the same on every node.
    ranked: Vec<FleetPeer>,
    own_rank: usize,
    told: Option<usize>,
}

/// Orders nodes alike everywhere, and unlike their names, which follow the zones.
fn rank_key(node: &NodeId) -> u64 {
    xxh3_64(node.as_str().as_bytes())
}

impl FleetView {
    /// A view without peers.
    pub fn new(own: NodeId) -> Self {
        Self { met: BTreeSet::from([own.clone()]), own, ranked: Vec::new(), own_rank: 0, told: None }
    }

    /// Brings the view up to date. Returns whether the nodes met have changed.
    pub fn refresh(&mut self, node: &Shared) -> bool {
        let fleet = node.fleet.lock();
        let present = fleet.members().present().filter(|member| member.info.key.node != self.own);
        let mut ranked: Vec<FleetPeer> = present
            .map(|member| FleetPeer { node: member.info.key.node.clone(), address: member.info.peer_address })
            .collect();
        drop(fleet);
        ranked.sort_by_key(|peer| (rank_key(&peer.node), peer.node.clone()));
        let own_key = (rank_key(&self.own), self.own.clone());
        self.own_rank =
            ranked.iter().filter(|peer| (rank_key(&peer.node), peer.node.clone()) < own_key).count();
        let before = self.met.len();
        self.met.extend(ranked.iter().map(|peer| peer.node.clone()));
        self.ranked = ranked;
        self.met.len() != before
    }

    /// Whether this node reads the source for all.
    pub fn is_reader(&self) -> bool {
        self.own_rank < READERS
    }

    /// Whether another node is present.
    pub fn has_peers(&self) -> bool {
        !self.ranked.is_empty()
    }

    /// Whom to ask for news: the readers in turn, and after failures anybody in turn.
    pub fn source_of_news(&self, turn: usize, failures: usize) -> Option<&FleetPeer> {
        if self.ranked.is_empty() {
            return None;
        }
        let among = if failures < READERS { READERS.min(self.ranked.len()) } else { self.ranked.len() };
        Some(&self.ranked[(turn + failures) % among])
    }

    /// Notes the number of nodes that a peer told.
    pub fn note_told(&mut self, nodes: Option<u64>) {
        let nodes = nodes.map(|nodes| nodes as usize);
        self.told = self.told.max(nodes);
    }

    /// How many share what is bounded, and this node's position among the sorted names met.
    pub fn size(&self, running_for: Micros) -> (FleetSize, usize) {
        let position = self.met.iter().take_while(|node| **node != self.own).count();
        (FleetSize { met: self.met.len(), told: self.told, running_for }, position)
    }
}
