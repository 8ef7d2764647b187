//! How many of a replica's connections one node may hold, and to which replicas it holds any.

use sablebay_model::Micros;

/// The part of a replica's connections that is given out. The rest is for nodes that start anew
/// while their former connections are still open, for nodes that have not been heard of yet, and
/// for nodes whose own replicas are all in trouble.
const GIVEN_OUT: f64 = 0.85;

/// How long a node takes to meet the others. Before that it takes no more than it must.
pub const SETTLING_TIME: Micros = Micros::from_secs(5);

/// What a node knows of how many share what is bounded for the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Nodes that it has met in this life, itself among them.
    pub met: usize,
    /// The number that a peer told which has run for longer than [`SETTLING_TIME`].
    pub told: Option<usize>,
    /// How long it has run.
    pub running_for: Micros,
}

impl FleetSize {
    /// The number of nodes to share with. A node that has just started and was told nothing assumes
    /// `assumed`: it may be one of many that all start anew, while the connections of their former
    /// lives are still open at the replicas.
    pub fn sharing(&self, assumed: usize) -> usize {
        let known = self.met.max(self.told.unwrap_or(0));
        if self.is_settled() && known > 1 { known } else { known.max(assumed) }
    }

    /// Whether the node knows the fleet: its shares change little from now on.
    pub fn is_settled(&self) -> bool {
        let all_met = self.told.is_some_and(|told| self.met >= told);
        all_met || self.running_for >= SETTLING_TIME
    }
}

/// The connections of one node to one replica that takes `maximum` from all `nodes` together.
pub fn connection_share(maximum: u32, nodes: usize) -> usize {
    let share = f64::from(maximum) * GIVEN_OUT / nodes.max(1) as f64;
    (share as usize).max(1)
}

/// Which of a service's `replicas` the node at `position` among all `nodes` keeps connections to.
///
/// Every replica as long as each node can have a connection to it. Beyond that, each node keeps to
/// as many replicas as there is room for, one after the other from its position on, so that each
/// replica gets its part of the nodes, and a replica that comes or goes moves few connections.
pub fn own_replicas(maximum: u32, nodes: usize, position: usize, replicas: usize) -> Vec<bool> {
    let room = f64::from(maximum) * GIVEN_OUT;
    if room >= nodes as f64 {
        return vec![true; replicas];
    }
    let own = ((replicas as f64 * room / nodes as f64) as usize).max(1);
    let distance = |replica: usize| (replica + replicas - position % replicas) % replicas;
    (0..replicas).map(|replica| distance(replica) < own).collect()
}
