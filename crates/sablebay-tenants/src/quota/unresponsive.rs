//! Nodes that recently timed out.

use std::collections::BTreeMap;

use sablebay_model::{Micros, NodeId};

/// Delay before an owner that timed out is asked again. Short enough that a temporary delay costs
/// few tokens.
const OWNER_RETRY_DELAY: Micros = Micros::from_secs(1);
/// Delay before a seed that timed out is asked again; a seed may be starting at the same time as
/// the requester.
const SEED_RETRY_DELAY: Micros = Micros::from_millis(100);

/// Nodes that recently timed out, by name or, if it is unknown, by another key.
#[derive(Clone, Debug)]
pub struct UnresponsiveNodes<K = NodeId> {
    retry_delay: Micros,
    until: BTreeMap<K, Micros>,
}

impl<K> UnresponsiveNodes<K> {
    /// Tracks owners of accounts.
    pub fn for_owners() -> Self {
        Self { retry_delay: OWNER_RETRY_DELAY, until: BTreeMap::new() }
    }

    /// Tracks seeds that lend to starting nodes.
    pub fn for_seeds() -> Self {
        Self { retry_delay: SEED_RETRY_DELAY, until: BTreeMap::new() }
    }
}

impl<K: Ord> UnresponsiveNodes<K> {
    /// Records a timeout. Returns whether the node was responsive before.
    pub fn note(&mut self, node: K, now: Micros) -> bool {
        self.until.retain(|_, until| now < *until);
        self.until.insert(node, now.plus(self.retry_delay)).is_none()
    }

    /// Returns whether the node may be asked.
    pub fn may_ask(&self, node: &K, now: Micros) -> bool {
        self.until.get(node).is_none_or(|until| now >= *until)
    }
}
