//! Keepers that lately did not answer.

use std::collections::BTreeMap;

use sablebay_model::{Micros, NodeId};

/// How long a node that did not answer is not asked: requests in this time do not wait for it, and one that was
/// slow for a moment is asked again before many tokens came in.
const OWNER_RETRY_DELAY: Micros = Micros::from_secs(1);
/// The same of a seed: it starts at the same moment as those that ask it.
const SEED_RETRY_DELAY: Micros = Micros::from_millis(100);

/// Keepers that lately did not answer, by name, or by another key where a name is not known.
#[derive(Clone, Debug)]
pub struct UnresponsiveNodes<K = NodeId> {
    retry_delay: Micros,
    until: BTreeMap<K, Micros>,
}

impl<K> UnresponsiveNodes<K> {
    /// Nodes that keep accounts.
    pub fn for_owners() -> Self {
        Self { retry_delay: OWNER_RETRY_DELAY, until: BTreeMap::new() }
    }

    /// Seeds that lend to nodes which have just started.
    pub fn for_seeds() -> Self {
        Self { retry_delay: SEED_RETRY_DELAY, until: BTreeMap::new() }
    }
}

impl<K: Ord> UnresponsiveNodes<K> {
    /// A node did not answer. Returns whether it had before.
    pub fn note(&mut self, node: K, now: Micros) -> bool {
        self.until.retain(|_, until| now < *until);
        self.until.insert(node, now.plus(self.retry_delay)).is_none()
    }

    /// Whether a node is asked.
    pub fn may_ask(&self, node: &K, now: Micros) -> bool {
        self.until.get(node).is_none_or(|until| now >= *until)
    }
}
