//! How many of a replica's connections one node may hold, and to which replicas it holds any.

use sablebay_fleet::SETTLING_TIME;
use sablebay_model::Micros;

/// The part of a replica's connections that is given out. The rest is for nodes that start anew
/// while their former connections are still open, for nodes that have not been heard of yet, and
/// for nodes whose own replicas are all in trouble.
const ALLOCATED_FRACTION: f64 = 0.85;

/// What a node knows of how many share what is bounded for the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Nodes that it has met in this life, itself among them.
    pub discovered: usize,
    /// The number that a peer told which has run for longer than [`SETTLING_TIME`].
    pub reported: Option<usize>,
    /// How long it has run.
    pub running_for: Micros,
}

impl FleetSize {
    /// The number of nodes to share with. A node that has just started and was told nothing assumes
    /// `assumed`: it may be one of many that all start anew, while the connections of their former
    /// lives are still open at the replicas.
    pub fn sharing(&self, assumed: usize) -> usize {
        let known = self.discovered.max(self.reported.unwrap_or(0));
        if self.is_settled() && known > 1 { known } else { known.max(assumed) }
    }

    /// Whether the node knows the fleet: its shares change little from now on.
    pub fn is_settled(&self) -> bool {
        let all_met = self.reported.is_some_and(|reported| self.discovered >= reported);
        all_met || self.running_for >= SETTLING_TIME
    }
}

/// The connections of one node to one replica that takes `maximum` from all `nodes` together.
pub fn connection_share(maximum: u32, nodes: usize) -> usize {
    let share = f64::from(maximum) * ALLOCATED_FRACTION / nodes.max(1) as f64;
    (share as usize).max(1)
}

/// Whether each of `nodes` can have a connection to a replica that takes `maximum` from all together.
pub fn has_room_for_all(maximum: u32, nodes: usize) -> bool {
    f64::from(maximum) * ALLOCATED_FRACTION >= nodes as f64
}

/// A zone as far as it matters for sharing the replicas of one service out.
#[derive(Clone, Copy, Debug)]
pub struct ZoneNodes {
    /// Nodes in the zone.
    pub nodes: usize,
    /// Whether the service has a replica in it.
    pub has_replica: bool,
}

/// What a node knows when it decides which replicas of a service are its own.
#[derive(Clone, Debug)]
pub struct ReplicaShareInputs<'a> {
    /// Connections that a replica takes from all nodes together.
    pub maximum: u32,
    /// All nodes.
    pub nodes: usize,
    /// This node's position among them.
    pub position: usize,
    /// For each replica, whether it is in this node's zone.
    pub local: &'a [bool],
    /// The nodes of this node's zone.
    pub own_zone_nodes: usize,
    /// The other zones.
    pub other_zones: &'a [ZoneNodes],
}

impl ReplicaShareInputs<'_> {
    fn room(&self) -> f64 {
        f64::from(self.maximum) * ALLOCATED_FRACTION
    }

    /// How many replicas each node has room for.
    fn own_count(&self) -> usize {
        let replicas = self.local.len();
        ((replicas as f64 * self.room() / self.nodes.max(1) as f64) as usize).clamp(1, replicas.max(1))
    }

    /// Whether the replica of this node's zone has room for all nodes of the zone, beside the nodes
    /// of other zones that come to it.
    fn has_room_for_zone(&self, own: usize) -> bool {
        let replicas = self.local.len() as f64;
        let own = own as f64;
        let from_others = self.other_zones.iter().map(|zone| {
            let part =
                if zone.has_replica { (own - 1.0) / (replicas - 1.0).max(1.0) } else { own / replicas };
            zone.nodes as f64 * part
        });
        self.own_zone_nodes as f64 + from_others.sum::<f64>() <= self.room()
    }
}

/// Which of a service's replicas a node keeps connections to.
///
/// Every replica as long as each node can have a connection to it. Beyond that, each node keeps to
/// as many replicas as there is room for: the one in its own zone if all nodes of the zone fit there,
/// and others one after the other from its position on, so that each replica gets its part of the
/// nodes, and a replica that comes or goes moves few connections.
pub fn own_replicas(inputs: &ReplicaShareInputs<'_>) -> Vec<bool> {
    let replicas = inputs.local.len();
    if has_room_for_all(inputs.maximum, inputs.nodes) || replicas == 0 {
        return vec![true; replicas];
    }
    let wanted = inputs.own_count();
    let mut own = vec![false; replicas];
    let one_local = inputs.local.iter().filter(|local| **local).count() == 1;
    if one_local && inputs.has_room_for_zone(wanted) {
        own.clone_from_slice(inputs.local);
    }
    let mut left = wanted - own.iter().filter(|own| **own).count();
    let others: Vec<usize> = (0..replicas).filter(|replica| !own[*replica]).collect();
    for step in 0..others.len() {
        if left == 0 {
            break;
        }
        own[others[(inputs.position + step) % others.len()]] = true;
        left -= 1;
    }
    own
}
