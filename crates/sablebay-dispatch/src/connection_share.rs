//! How many of a replica's connections one node may hold.

/// The part of a replica's connections that is given out. The rest is for nodes that start anew
/// while their former connections are still open, and for nodes that have not been heard of yet.
const GIVEN_OUT: f64 = 0.85;

/// The connections of one node to one replica that takes `maximum` from all `nodes` together.
pub fn connection_share(maximum: u32, nodes: usize) -> usize {
    let share = f64::from(maximum) * GIVEN_OUT / nodes.max(1) as f64;
    (share as usize).max(1)
}
