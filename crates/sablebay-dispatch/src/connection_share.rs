//! Divides the connections of each replica among the nodes, and selects the replicas to which a node
//! connects.

use sablebay_fleet::SETTLING_TIME;
use sablebay_model::Micros;

/// Allocated fraction of a replica's connections. The rest is reserved for restarted nodes whose old
/// connections are still open, undiscovered nodes, and nodes whose own replicas are all unhealthy.
const ALLOCATED_FRACTION: f64 = 0.85;

/// Fleet size estimate for dividing fleet-wide limits.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Nodes discovered since the start of this process, including this node.
    pub discovered: usize,
    /// Fleet size reported by a peer that has run for longer than [`SETTLING_TIME`].
    pub reported: Option<usize>,
    /// Time since the start of this process.
    pub running_for: Micros,
}

impl FleetSize {
    /// Number of nodes among which limits are divided. Until the fleet size is settled, and for a lone node,
    /// it is at least `assumed`: after a simultaneous restart, connections of the previous processes may
    /// still be open at the replicas.
    pub fn sharing(&self, assumed: usize) -> usize {
        let known = self.discovered.max(self.reported.unwrap_or(0));
        if self.is_settled() && known > 1 { known } else { known.max(assumed) }
    }

    /// Whether the fleet size is known well enough for the shares to be stable.
    pub fn is_settled(&self) -> bool {
        let all_met = self.reported.is_some_and(|reported| self.discovered >= reported);
        all_met || self.running_for >= SETTLING_TIME
    }
}

/// Number of connections of one node to a replica that accepts `maximum` connections; at least 1.
pub fn connection_share(maximum: u32, nodes: usize) -> usize {
    let share = f64::from(maximum) * ALLOCATED_FRACTION / nodes.max(1) as f64;
    (share as usize).max(1)
}

/// Whether each of `nodes` can have a connection to a replica that accepts `maximum` connections.
pub fn has_room_for_all(maximum: u32, nodes: usize) -> bool {
    f64::from(maximum) * ALLOCATED_FRACTION >= nodes as f64
}

/// Nodes and replicas of one zone, for one service.
#[derive(Clone, Copy, Debug)]
pub struct ZoneNodes {
    pub nodes: usize,
    /// Whether the service has a replica in the zone.
    pub has_replica: bool,
}

/// Inputs for selecting a node's own replicas of a service.
#[derive(Clone, Debug)]
pub struct ReplicaShareInputs<'a> {
    /// Maximum number of connections per replica from all nodes.
    pub maximum: u32,
    /// Number of nodes in the fleet.
    pub nodes: usize,
    /// Position of this node in the ordered list of nodes.
    pub position: usize,
    /// For each replica, whether it is in this node's zone.
    pub local: &'a [bool],
    /// Number of nodes in this node's zone.
    pub own_zone_nodes: usize,
    pub other_zones: &'a [ZoneNodes],
}

impl ReplicaShareInputs<'_> {
    fn room(&self) -> f64 {
        f64::from(self.maximum) * ALLOCATED_FRACTION
    }

    /// Number of replicas to which each node can connect within the limit.
    fn own_count(&self) -> usize {
        let replicas = self.local.len();
        ((replicas as f64 * self.room() / self.nodes.max(1) as f64) as usize).clamp(1, replicas.max(1))
    }

    /// Whether the local replica can accept all nodes of this zone in addition to nodes from other zones.
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

/// Selects the replicas of a service to which a node keeps connections.
///
/// This is every replica while each node can have a connection to it. Otherwise each node takes as many
/// replicas as the limit allows: the replica in its own zone if all nodes of the zone fit there, then others
/// in rotation from the node's position. The rotation spreads nodes evenly and moves few connections when a
/// replica is added or removed.
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
