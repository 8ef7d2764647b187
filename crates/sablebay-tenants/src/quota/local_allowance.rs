//! What a node lets pass that reaches nobody who keeps a tenant's account.

use sablebay_model::Micros;

use crate::quota::window_count::WindowCount;

/// A node's part of what all nodes together let pass: whole requests. Where there are fewer than nodes, the first
/// in the tenant's order get one; a node that does not know its place gets none of these.
pub fn local_allowance(all_parts: f64, nodes: usize, place: Option<usize>) -> u32 {
    let whole = all_parts.max(0.0) as usize;
    let nodes = nodes.max(1);
    let is_ahead = place.is_some_and(|place| place < whole % nodes);
    u32::try_from(whole / nodes + usize::from(is_ahead)).unwrap_or(u32::MAX)
}

/// What a node may let pass, out of its part in a fleet that it knows. Within a window after it has started or stood
/// still it does not know what passed before.
pub fn allowance_by_uptime(part: u32, awake_for: Micros, window: Micros) -> u32 {
    if awake_for < window { 0 } else { part }
}

/// What a node has let pass by itself.
#[derive(Clone, Debug, Default)]
pub struct LocalAllowance {
    passed: WindowCount,
}

impl LocalAllowance {
    /// Lets requests pass within a part.
    pub fn take(&mut self, part: u32, window: Micros, wanted: u32, now: Micros) -> u32 {
        self.passed.take(part, window, wanted, now)
    }

    /// Whether nothing passed in the window.
    pub fn is_unused(&mut self, window: Micros, now: Micros) -> bool {
        self.passed.count(window, now) == 0
    }
}
