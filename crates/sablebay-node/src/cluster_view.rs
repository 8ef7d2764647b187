//! Immutable view of the configuration in force and the present members, the input of plans.

use std::net::SocketAddr;
use std::sync::Arc;

use sablebay_config::{Configuration, LeafSettings, NodeSettings};
use sablebay_fleet::{MemberTable, aggregators_of};
use sablebay_model::{NodeId, ServiceId, ZoneName};

/// One present member.
#[derive(Clone, Debug)]
pub struct Peer {
    pub node: NodeId,
    pub zone: ZoneName,
    /// Address of the peer listener.
    pub address: SocketAddr,
}

/// An immutable view; replaced as a whole on every change.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// Incremented with every change.
    pub epoch: u64,
    /// The configuration in force.
    pub configuration: Option<Arc<Configuration>>,
    /// Members that accept work, without this node.
    pub peers: Arc<Vec<Peer>>,
}

/// The share of a leaf's connections that the fleet uses; the rest is headroom for plan changes.
const CONNECTION_SHARE: f64 = 0.9;

impl ClusterView {
    pub fn with_configuration(&self, configuration: Arc<Configuration>) -> ClusterView {
        ClusterView { epoch: self.epoch + 1, configuration: Some(configuration), peers: self.peers.clone() }
    }

    pub fn with_members(&self, members: &MemberTable) -> ClusterView {
        let mut peers: Vec<Peer> = members
            .present()
            .map(|member| Peer {
                node: member.info.key.node.clone(),
                zone: member.info.zone.clone(),
                address: member.info.peer_address,
            })
            .collect();
        peers.sort_by(|a, b| a.node.cmp(&b.node));
        ClusterView {
            epoch: self.epoch + 1,
            configuration: self.configuration.clone(),
            peers: Arc::new(peers),
        }
    }

    /// The nodes that connect to a service's leaves; may include this node.
    pub fn aggregators(&self, service: &ServiceId, own: &NodeSettings) -> Vec<NodeId> {
        let peers = self.peers.iter().map(|peer| (&peer.node, &peer.zone));
        let nodes = peers.chain(std::iter::once((&own.node, &own.zone)));
        aggregators_of(service, nodes, own.aggregators_per_service as usize)
    }

    pub fn peer(&self, node: &NodeId) -> Option<&Peer> {
        let position = self.peers.binary_search_by(|peer| peer.node.cmp(node)).ok()?;
        self.peers.get(position)
    }

    /// This node's share of the connections that a leaf accepts; at least one.
    pub fn connections_for(&self, leaf: &LeafSettings, own: &NodeSettings) -> usize {
        let sharing = (self.peers.len() + 1).min(own.aggregators_per_service as usize);
        let whole = f64::from(leaf.connections) * CONNECTION_SHARE;
        ((whole / sharing as f64) as usize).max(1)
    }
}
