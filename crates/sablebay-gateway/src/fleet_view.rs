//! What the gateway needs to know of the other nodes: where they are, which of them read the
//! source of the catalogue, and how many share what is bounded for the fleet.

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

/// A node as the gateway sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetPeer {
    /// Its name.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Where peers connect.
    pub address: SocketAddr,
    /// Whether it hears of requests that back ends ended under.
    pub shares_quarantine: bool,
    /// Whether it keeps accounts of tenants' quotas.
    pub keeps_accounts: bool,
    /// The share of a processor core that it has, in hundredths.
    pub core_percent: u32,
}

/// The nodes that gather shards for one another, as this one sees them.
#[derive(Debug)]
pub struct Gatherers {
    /// This node.
    pub own: GathererNode,
    /// The others that are present.
    pub others: Vec<GathererNode>,
}

/// Who asks the readers of the catalogue's source for a zone.
#[derive(Debug)]
enum Relays {
    /// Each of its nodes: they are few.
    None,
    /// This node, among others.
    Own,
    /// These peers.
    Others(Vec<FleetPeer>),
}

/// The nodes that are present, and all that were met in this life.
#[derive(Debug)]
pub struct FleetView {
    pub(crate) own: NodeId,
    /// Every node met in this life with its zone, this one among them. Names come back after a
    /// restart.
    pub(crate) discovered: BTreeMap<NodeId, ZoneName>,
    /// How many share what is bounded for the fleet.
    pub(crate) census: FleetCensus,
    /// The part of the fleet that the log last reported of.
    logged_part: Option<FleetPart>,
    /// Present peers in an order that is the same on every node.
    pub(crate) ranked: Vec<FleetPeer>,
    own_rank: usize,
    /// Who asks the readers for this node's zone.
    relays: Relays,
    gatherers: Arc<Gatherers>,
    reported: Option<usize>,
    /// The member table's count of changes when the view was brought up to date.
    applied_changes: Option<u64>,
}

/// Orders nodes alike everywhere, the most able first, and those alike unlike their names, which follow the zones.
///
/// Who reads the source and who passes news on in a zone does so for dozens of others. By their names alone these were, in a
/// fleet of which 8 nodes in 140 have half a core and all others a twelfth, nodes of a twelfth, which had no
/// processor time left for two seconds after a large configuration. Machines with more of a core have the wider
/// links as well.
fn rank_key(node: &NodeId, core_percent: u32) -> (Reverse<u32>, u64) {
    (Reverse(core_percent), xxh3_64(node.as_str().as_bytes()))
}

/// Nodes of a zone that ask the readers for all of it: one may fail while the other goes on. The catalogue then
/// crosses the zone's border twice, however many nodes the zone has.
const RELAYS: usize = 2;
/// Peers in a zone from which on it has relays. In smaller ones a further hop would save little.
const RELAYED_PEERS: usize = 7;

/// Nodes that keep account of a request after its first strike: all are gone at one moment only when most nodes are.
const QUARANTINE_OWNERS: usize = 3;

/// Orders nodes alike everywhere, and for each key in another order.
pub fn rendezvous_key(node: &NodeId, key: &[u8]) -> u64 {
    xxh3_64_with_seed(node.as_str().as_bytes(), xxh3_64(key))
}

/// A node as the choice of gatherers sees it.
fn gatherer_node(info: &MemberInfo) -> GathererNode {
    GathererNode {
        node: info.key.node.clone(),
        zone: info.zone.clone(),
        takes_over: info.takes_over,
        core_percent: info.core_percent,
    }
}

impl FleetView {
    /// A view without peers.
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

    /// Brings the view up to date. Done anew only when members came or went: it is asked for ten times a
    /// second, and was 27 in 100 of all processor time of 76 nodes when it was done each time.
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

    /// Takes in which members are present.
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

    /// Who asks the readers for this node's zone: the first of the zone in the common order.
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

    /// The nodes that gather shards for one another.
    pub fn gatherers(&self) -> Arc<Gatherers> {
        self.gatherers.clone()
    }

    /// Where the nodes listen that hear of requests which back ends ended under.
    pub fn quarantine_peers(&self) -> Vec<SocketAddr> {
        let peers = self.ranked.iter().filter(|peer| peer.shares_quarantine);
        peers.map(|peer| peer.address).collect()
    }

    /// Whom to compare with, one after the other. Nodes begin at places of their own.
    pub fn quarantine_peer(&self, round: usize) -> Option<SocketAddr> {
        let peers = self.quarantine_peers();
        if peers.is_empty() { None } else { Some(peers[(self.own_rank + round) % peers.len()]) }
    }

    /// The nodes that keep account of a request, the first of which gives out its lease. Nothing stands for
    /// this node itself.
    pub fn quarantine_owners(&self, digest: &RequestDigest) -> Vec<Option<SocketAddr>> {
        let others = self.ranked.iter().filter(|peer| peer.shares_quarantine);
        let others = others.map(|peer| (rendezvous_key(&peer.node, &digest.0), Some(peer.address)));
        let mut nodes: Vec<_> = others.chain([(rendezvous_key(&self.own, &digest.0), None)]).collect();
        nodes.sort_by_key(|(key, _)| *key);
        nodes.into_iter().take(QUARANTINE_OWNERS).map(|(_, address)| address).collect()
    }

    /// Every node met in this life, this one among them.
    pub fn names(&self) -> Vec<NodeId> {
        self.discovered.keys().cloned().collect()
    }

    /// Where a present peer listens.
    pub fn address_of(&self, node: &NodeId) -> Option<SocketAddr> {
        self.ranked.iter().find(|peer| peer.node == *node).map(|peer| peer.address)
    }

    /// Whether this node reads the source for all.
    pub fn is_reader(&self) -> bool {
        self.own_rank < READERS
    }

    /// Where this node stands among those present, from 0 to 1.
    pub fn position(&self) -> f64 {
        self.own_rank as f64 / self.ranked.len().max(1) as f64
    }

    /// Whether another node is present.
    pub fn has_peers(&self) -> bool {
        !self.ranked.is_empty()
    }

    /// Whether others of its zone may ask this node for news.
    pub fn is_relay(&self) -> bool {
        matches!(self.relays, Relays::Own)
    }

    /// Whom to ask for news. Through relays: those of the zone at the first try.
    pub fn update_source(&self, rotation: PeerRotation, through_relays: bool) -> Option<&FleetPeer> {
        match &self.relays {
            Relays::Others(relays) if through_relays && rotation.is_first_try() => {
                relays.get(rotation.index(relays.len()))
            }
            _ => self.ranked.get(rotation.index(self.ranked.len())),
        }
    }

    /// The nodes of a zone, and the other zones with whether one of the replicas is there.
    pub fn zones(&self, own: &ZoneName, replicas: &[RoutableReplica]) -> (usize, Vec<ZoneNodes>) {
        let nodes_in = |zone: &ZoneName| self.discovered.values().filter(|other| *other == zone).count();
        let others: BTreeSet<&ZoneName> = self.discovered.values().filter(|zone| *zone != own).collect();
        let zone_nodes = |zone: &ZoneName| ZoneNodes {
            nodes: nodes_in(zone),
            has_replica: replicas.iter().any(|known| known.replica.zone == *zone),
        };
        (nodes_in(own), others.into_iter().map(zone_nodes).collect())
    }

    /// Notes the number of nodes that a peer reported which knows the fleet.
    pub fn record_reported_size(&mut self, nodes: Option<u64>, now: Micros) {
        let Some(nodes) = nodes.map(|nodes| nodes as usize) else {
            return;
        };
        self.reported = self.reported.max(Some(nodes));
        self.census.record_reported_size(nodes, now);
    }

    /// Whether the part of the fleet that this node sees is news for the log.
    pub fn should_log_part(&mut self, part: FleetPart) -> bool {
        /// A change of the share that is worth a line: nodes come and go one by one all the time.
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

    /// How many share what is bounded, and this node's position among the sorted names met.
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

    /// The number of nodes by the seeds that this one reaches, where nobody that it met knows the fleet; nothing where
    /// it reaches none, which says no number.
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
