//! Mechanisms of a node that can be turned off, so that an experiment can show that its checker notices.

use sablebay_fleet::FleetMechanisms;
use sablebay_query::Mechanisms;

/// Mechanisms that an experiment can turn off, to show that its checker notices.
#[derive(Clone, Copy, Debug)]
pub struct NodeMechanisms {
    /// Those of the query path.
    pub routing: Mechanisms,
    /// Those of the fleet.
    pub fleet: FleetMechanisms,
    /// Write-once claims.
    pub claims: bool,
    /// Waiting for requests in flight at a planned stop.
    pub wait_at_stop: bool,
    /// Holding a leaf's answer against the call that it names. Off: it is taken for the oldest one.
    pub correlation: bool,
    /// Calling an operation's outcome unknown when its back end gave no word. Off: `not_run`.
    pub unknown_outcomes: bool,
}

impl Default for NodeMechanisms {
    fn default() -> Self {
        Self {
            routing: Mechanisms::default(),
            fleet: FleetMechanisms::default(),
            claims: true,
            wait_at_stop: true,
            correlation: true,
            unknown_outcomes: true,
        }
    }
}
