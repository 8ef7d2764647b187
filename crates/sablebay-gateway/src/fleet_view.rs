//! The gateway's view of the fleet: addresses of peers, readers of the catalogue source, relays of zones, and the
//! number of nodes that share fleet-wide limits.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use sablebay_catalogue::{READERS, RoutableReplica};
use sablebay_dispatch::{FleetSize, GathererNode, ZoneNodes};
use sablebay_fleet::{FleetCensus, FleetPart, MemberInfo};
use sablebay_model::{Micros, NodeId, RequestDigest, ZoneName};
use sablebay_node::Shared;

use crate::peer_rotation::PeerRotation;

/// A present peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetPeer {
    pub node: NodeId,
    pub zone: ZoneName,
    /// The address for peer connections.
    pub address: SocketAddr,
    /// Whether the node receives quarantine notices.
    pub shares_quarantine: bool,
    /// Whether the node can own quota accounts.
    pub keeps_accounts: bool,
    /// CPU share, in percent of a core.
    pub core_percent: u32,
}

/// The nodes that can gather shards for one another, as seen by this node.
#[derive(Debug)]
pub struct Gatherers {
    pub own: GathererNode,
    /// The other present nodes.
    pub others: Vec<GathererNode>,
}

/// Which nodes of this zone request updates from the readers of the catalogue source.
#[derive(Debug)]
enum Relays {
    /// All nodes: the zone is small.
    None,
    /// This node is a relay.
    Own,
    /// These peers are the relays.
    Others(Vec<FleetPeer>),
}

/// The present nodes, and all nodes discovered in this incarnation.
#[derive(Debug)]
pub struct FleetView {
    pub(crate) own: NodeId,
    /// Every node discovered in this incarnation with its zone, including this one. Names are reused after a restart.
    pub(crate) discovered: BTreeMap<NodeId, ZoneName>,
    /// Estimates the number of nodes that share fleet-wide limits.
    pub(crate) census: FleetCensus,
    /// The part of the fleet that was last logged.
    logged_part: Option<FleetPart>,
    /// Present peers in an order that is the same on every node.
    pub(crate) ranked: Vec<FleetPeer>,
    own_rank: usize,
    relays: Relays,
    gatherers: Arc<Gatherers>,
    reported: Option<usize>,
    /// The change counter of the member table when the view was last refreshed.
    applied_changes: Option<u64>,
}

/// Sort key that ranks nodes identically everywhere: by CPU share, largest first, then by a hash of the name, since
/// names follow the zones.
///
/// Readers and relays serve dozens of other nodes, so they should be the nodes with the most capacity.
fn rank_key(node: &NodeId, core_percent: u32) -> (Reverse<u32>, u64) {
    (Reverse(core_percent), xxh3_64(node.as_str().as_bytes()))
}

/// Number of relays in a zone. Two tolerate the failure of one, and bound the cross-zone traffic of the catalogue
/// regardless of the size of the zone.
const RELAYS: usize = 2;
/// Minimum number of peers in a zone with relays. In smaller zones the extra hop would save little traffic.
const RELAYED_PEERS: usize = 7;

/// Number of owners of a quarantined request.
/// All of them are gone at the same time only if most nodes are.
const QUARANTINE_OWNERS: usize = 3;

/// Rendezvous hash of a node for a key.
pub fn rendezvous_key(node: &NodeId, key: &[u8]) -> u64 {
    xxh3_64_with_seed(node.as_str().as_bytes(), xxh3_64(key))
}

fn gatherer_node(info: &MemberInfo) -> GathererNode {
    GathererNode {
        node: info.key.node.clone(),
        zone: info.zone.clone(),
        takes_over: info.takes_over,
        core_percent: info.core_percent,
    }
}

impl FleetView {
    pub fn new(info: &MemberInfo, seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        let (own, zone) = (info.key.node.clone(), info.zone.clone());
        let this = gatherer_node(info);
        Self {
            discovered: BTreeMap::from([(own.clone(), zone)]),
            own,
            census: FleetCensus::new(info.peer_address, seeds),
            logged_part: None,
            ranked: Vec::new(),
            own_rank: 0,
            relays: Relays::None,
            gatherers: Arc::new(Gatherers { own: this, others: Vec::new() }),
            reported: None,
            applied_changes: None,
        }
    }

    /// Refreshes the view if the member table has changed. Callers refresh often, and recomputing the view is
    /// expensive.
    pub fn refresh(&mut self, node: &Shared) {
        let fleet = node.fleet.lock();
        let changes = fleet.members().changes();
        if self.applied_changes == Some(changes) {
            return;
        }
        self.applied_changes = Some(changes);
        let present: Vec<Arc<MemberInfo>> =
            fleet.members().present().map(|member| member.info.clone()).collect();
        let members = fleet.members().iter();
        let members =
            members.map(|member| (&member.info.key.node, member.info.peer_address, member.status()));
        self.census.update_members(members, node.clock.now());
        drop(fleet);
        self.take_present(&present);
    }

    /// Replaces the present members.
    pub fn take_present(&mut self, present: &[Arc<MemberInfo>]) {
        let others = || present.iter().filter(|info| info.key.node != self.own);
        let gatherers: Vec<GathererNode> =
            others().filter(|info| info.gathers).map(|info| gatherer_node(info)).collect();
        let peer = |info: &Arc<MemberInfo>| FleetPeer {
            node: info.key.node.clone(),
            zone: info.zone.clone(),
            address: info.peer_address,
            shares_quarantine: info.shares_quarantine,
            keeps_accounts: info.keeps_accounts,
            core_percent: info.core_percent,
        };
        let mut ranked: Vec<FleetPeer> = others().map(peer).collect();
        let met: Vec<_> = others().map(|info| (info.key.node.clone(), info.zone.clone())).collect();
        self.discovered.extend(met);
        if gatherers != self.gatherers.others {
            self.gatherers = Arc::new(Gatherers { own: self.gatherers.own.clone(), others: gatherers });
        }
        let key = |peer: &FleetPeer| (rank_key(&peer.node, peer.core_percent), peer.node.clone());
        ranked.sort_by_cached_key(key);
        let own_key = (rank_key(&self.own, self.gatherers.own.core_percent), self.own.clone());
        self.own_rank = ranked.iter().filter(|peer| key(peer) < own_key).count();
        self.ranked = ranked;
        self.relays = self.choose_relays();
    }

    /// Chooses the relays of this node's zone: its first nodes in the common order.
    fn choose_relays(&self) -> Relays {
        let own_zone = &self.gatherers.own.zone;
        let zone_peers = || self.ranked.iter().enumerate().filter(|(_, peer)| peer.zone == *own_zone);
        if zone_peers().count() < RELAYED_PEERS {
            return Relays::None;
        }
        if zone_peers().filter(|(rank, _)| *rank < self.own_rank).count() < RELAYS {
            return Relays::Own;
        }
        Relays::Others(zone_peers().take(RELAYS).map(|(_, peer)| peer.clone()).collect())
    }

    pub fn gatherers(&self) -> Arc<Gatherers> {
        self.gatherers.clone()
    }

    /// Addresses of the peers that receive quarantine notices.
    pub fn quarantine_peers(&self) -> Vec<SocketAddr> {
        let peers = self.ranked.iter().filter(|peer| peer.shares_quarantine);
        peers.map(|peer| peer.address).collect()
    }

    /// The peer to compare quarantine state with in a round. Nodes start at different peers.
    pub fn quarantine_peer(&self, round: usize) -> Option<SocketAddr> {
        let peers = self.quarantine_peers();
        if peers.is_empty() { None } else { Some(peers[(self.own_rank + round) % peers.len()]) }
    }

    /// The owners of a quarantined request; the first one grants its lease. `None` stands for this node.
    pub fn quarantine_owners(&self, digest: &RequestDigest) -> Vec<Option<SocketAddr>> {
        let others = self.ranked.iter().filter(|peer| peer.shares_quarantine);
        let others = others.map(|peer| (rendezvous_key(&peer.node, &digest.0), Some(peer.address)));
        let mut nodes: Vec<_> = others.chain([(rendezvous_key(&self.own, &digest.0), None)]).collect();
        nodes.sort_by_key(|(key, _)| *key);
        nodes.into_iter().take(QUARANTINE_OWNERS).map(|(_, address)| address).collect()
    }

    /// Names of all nodes discovered in this incarnation, including this one.
    pub fn names(&self) -> Vec<NodeId> {
        self.discovered.keys().cloned().collect()
    }

    /// The address of a present peer.
    pub fn address_of(&self, node: &NodeId) -> Option<SocketAddr> {
        self.ranked.iter().find(|peer| peer.node == *node).map(|peer| peer.address)
    }

    /// Whether this node reads the catalogue source for the fleet.
    pub fn is_reader(&self) -> bool {
        self.own_rank < READERS
    }

    /// Rank of this node among the present nodes, from 0 to 1.
    pub fn position(&self) -> f64 {
        self.own_rank as f64 / self.ranked.len().max(1) as f64
    }

    pub fn has_peers(&self) -> bool {
        !self.ranked.is_empty()
    }

    /// Whether this node is a relay of its zone.
    pub fn is_relay(&self) -> bool {
        matches!(self.relays, Relays::Own)
    }

    /// The peer to request updates from. With `through_relays`, the first try goes to a relay of the zone.
    pub fn update_source(&self, rotation: PeerRotation, through_relays: bool) -> Option<&FleetPeer> {
        match &self.relays {
            Relays::Others(relays) if through_relays && rotation.is_first_try() => {
                relays.get(rotation.index(relays.len()))
            }
            _ => self.ranked.get(rotation.index(self.ranked.len())),
        }
    }

    /// The number of nodes in a zone, and the other zones with whether they hold one of the replicas.
    pub fn zones(&self, own: &ZoneName, replicas: &[RoutableReplica]) -> (usize, Vec<ZoneNodes>) {
        let nodes_in = |zone: &ZoneName| self.discovered.values().filter(|other| *other == zone).count();
        let others: BTreeSet<&ZoneName> = self.discovered.values().filter(|zone| *zone != own).collect();
        let zone_nodes = |zone: &ZoneName| ZoneNodes {
            nodes: nodes_in(zone),
            has_replica: replicas.iter().any(|known| known.replica.zone == *zone),
        };
        (nodes_in(own), others.into_iter().map(zone_nodes).collect())
    }

    /// Records the fleet size reported by a peer that knows the fleet.
    pub fn record_reported_size(&mut self, nodes: Option<u64>, now: Micros) {
        let Some(nodes) = nodes.map(|nodes| nodes as usize) else {
            return;
        };
        self.reported = self.reported.max(Some(nodes));
        self.census.record_reported_size(nodes, now);
    }

    /// Whether the part of the fleet seen by this node changed enough to be logged.
    pub fn should_log_part(&mut self, part: FleetPart) -> bool {
        /// Minimum change of the share that is logged.
        const LOG_THRESHOLD: f64 = 0.1;
        let is_due = self.logged_part.is_none_or(|logged| {
            let has_other_basis =
                std::mem::discriminant(&logged.basis) != std::mem::discriminant(&part.basis);
            has_other_basis || (logged.share - part.share).abs() >= LOG_THRESHOLD
        });
        if is_due {
            self.logged_part = Some(part);
        }
        is_due
    }

    /// The number of nodes that share fleet-wide limits, and this node's position among the sorted names.
    pub fn size(&self, running_for: Micros) -> (FleetSize, usize) {
        let position = self.discovered.keys().take_while(|node| **node != self.own).count();
        (
            FleetSize {
                discovered: self.discovered.len().max(self.nodes_by_seeds()),
                reported: self.reported,
                running_for,
            },
            position,
        )
    }

    /// Fleet size extrapolated from the fraction of seeds that are reached; 0 when none is, or when the fleet is known.
    fn nodes_by_seeds(&self) -> usize {
        if self.census.knows_fleet() {
            return 0;
        }
        match self.census.seeds_reached() {
            (0, _) => 0,
            (reached, named) => (self.ranked.len() + 1) * named / reached,
        }
    }
}
