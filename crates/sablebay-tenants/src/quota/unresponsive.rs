//! Keepers that lately did not answer.

use std::collections::BTreeMap;

use sablebay_model::{Micros, NodeId};

/// How long a keeper that did not answer is not asked: requests in this time do not wait for it, and one that was
/// slow for a moment is asked again before many tokens came in.
const SILENCE: Micros = Micros::from_secs(1);
/// The same of a seed: it starts at the same moment as those that ask it.
const SEED_SILENCE: Micros = Micros::from_millis(100);

/// Keepers that lately did not answer, by name, or by another key where a name is not known.
#[derive(Clone, Debug)]
pub struct UnresponsiveNodes<K = NodeId> {
    silence: Micros,
    until: BTreeMap<K, Micros>,
}

impl<K> UnresponsiveNodes<K> {
    /// Nodes that keep accounts.
    pub fn for_owners() -> Self {
        Self { silence: SILENCE, until: BTreeMap::new() }
    }

    /// Seeds that lend to nodes which have just started.
    pub fn for_seeds() -> Self {
        Self { silence: SEED_SILENCE, until: BTreeMap::new() }
    }
}

impl<K: Ord> UnresponsiveNodes<K> {
    /// A keeper did not answer. Returns whether it had before.
    pub fn note(&mut self, keeper: K, now: Micros) -> bool {
        self.until.retain(|_, until| now < *until);
        self.until.insert(keeper, now.plus(self.silence)).is_none()
    }

    /// Whether a keeper is asked.
    pub fn may_ask(&self, keeper: &K, now: Micros) -> bool {
        self.until.get(keeper).is_none_or(|until| now >= *until)
    }
}
