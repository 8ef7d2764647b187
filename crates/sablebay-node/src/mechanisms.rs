//! Mechanisms of a node that fault-injection experiments can turn off.

use sablebay_fleet::FleetMechanisms;
use sablebay_query::Mechanisms;

/// Mechanisms that an experiment can turn off to verify that its checker detects the resulting fault.
#[derive(Clone, Copy, Debug)]
pub struct NodeMechanisms {
    /// Mechanisms of the query path.
    pub routing: Mechanisms,
    /// Mechanisms of the fleet.
    pub fleet: FleetMechanisms,
    /// Write-once claims.
    pub claims: bool,
    /// Waiting for requests in flight during a graceful stop.
    pub wait_at_stop: bool,
    /// Matching a leaf's answer to the call that it names. Off: the answer is matched to the oldest call.
    pub correlation: bool,
    /// Reporting an operation's outcome as unknown when its back end did not answer. Off: `not_run`.
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
