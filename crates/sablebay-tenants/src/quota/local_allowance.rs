//! Requests that a node allows without reaching an owner.

use sablebay_model::Micros;

use crate::quota::window_count::WindowCount;

/// Divides the total allowance among nodes in whole requests. The remainder goes to the first nodes
/// in the order of the tenant; a node that does not know its place gets none of it.
pub fn local_allowance(all_parts: f64, nodes: usize, place: Option<usize>) -> u32 {
    let whole = all_parts.max(0.0) as usize;
    let nodes = nodes.max(1);
    let is_ahead = place.is_some_and(|place| place < whole % nodes);
    u32::try_from(whole / nodes + usize::from(is_ahead)).unwrap_or(u32::MAX)
}

/// Returns the allowance of a node by its uptime. Within a window after a start or suspension it is
/// zero, since the node does not know what it allowed before.
pub fn allowance_by_uptime(part: u32, uptime: Micros, window: Micros) -> u32 {
    if uptime < window { 0 } else { part }
}

/// Requests allowed by a node without an owner.
#[derive(Clone, Debug, Default)]
pub struct LocalAllowance {
    passed: WindowCount,
}

impl LocalAllowance {
    /// Allows up to `wanted` requests within the allowance. Returns the number allowed.
    pub fn take(&mut self, part: u32, window: Micros, wanted: u32, now: Micros) -> u32 {
        self.passed.take(part, window, wanted, now)
    }

    /// Returns whether no request was allowed in the window.
    pub fn is_unused(&mut self, window: Micros, now: Micros) -> bool {
        self.passed.count(window, now) == 0
    }
}
