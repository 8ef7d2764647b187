//! Health and load of other gatherers, as observed by this node's requests to them.

use std::collections::HashMap;

use rand::{Rng, RngExt};

use sablebay_model::{Micros, NodeId};

use crate::replica_health::{HINT_LIFETIME, ReplicaHealth, SILENT_RATIO};
use crate::replica_table::CallKey;

/// Maximum relative random increase of a node's cost, to spread work over similar nodes.
const COST_JITTER: f64 = 0.5;

/// Health and load of other gatherers.
#[derive(Debug, Default)]
pub struct GathererTable {
    health: HashMap<NodeId, ReplicaHealth>,
    /// Fraction of the delegated shards that have queued work, and when it was reported.
    crowded: HashMap<NodeId, (f64, Micros)>,
}

impl GathererTable {
    /// Records a request to a node. The first report is due within `gatherer_timeout`.
    pub fn sent(&mut self, node: &NodeId, key: CallKey, gatherer_timeout: Micros, now: Micros) {
        // Chosen so that a node becomes silent exactly when the timeout expires.
        let usual = Micros((gatherer_timeout.0 as f64 / SILENT_RATIO) as u64);
        self.health.entry(node.clone()).or_default().sent(key, usual, now);
    }

    /// Records a report of a node with the fraction of its shards that have queued work.
    pub fn reported(&mut self, node: &NodeId, key: CallKey, crowded: f64, now: Micros) {
        self.health.entry(node.clone()).or_default().answered(key, None, now);
        self.crowded.insert(node.clone(), (crowded, now));
    }

    /// Returns the last reported fraction of a node's shards that have queued work; 0 if none is recent.
    pub fn crowded_fraction(&self, node: &NodeId, now: Micros) -> f64 {
        let latest = self.crowded.get(node).filter(|(_, at)| now.since(*at) <= HINT_LIFETIME);
        latest.map_or(0.0, |(crowded, _)| *crowded)
    }

    /// Records that a node refused a request, closed the connection or could not be reached.
    pub fn failed(&mut self, node: &NodeId, key: CallKey, now: Micros) {
        self.health.entry(node.clone()).or_default().failed(key, now);
    }

    /// Records that a request was canceled. Counts as a timeout if the node had been silent for too long.
    pub fn abandoned(&mut self, node: &NodeId, key: CallKey, now: Micros) {
        let health = self.health.entry(node.clone()).or_default();
        if health.is_silent(now) {
            health.timed_out(key, now);
        } else {
            health.forget(key);
        }
    }

    /// Removes nodes for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&NodeId) -> bool) {
        self.health.retain(|node, health| keep(node) || health.open_calls() > 0);
        self.crowded.retain(|node, _| keep(node));
    }

    /// Chooses the cheapest node that is neither silent nor paused after failures. `assigned` returns the
    /// number of parts of this size that a node already has from the same request.
    pub fn choose<'a, R: Rng>(
        &self,
        nodes: impl Iterator<Item = &'a NodeId>,
        assigned: impl Fn(&NodeId) -> f64,
        now: Micros,
        random: &mut R,
    ) -> Option<&'a NodeId> {
        let fit = nodes.filter(|node| {
            self.health.get(*node).is_none_or(|health| !health.is_silent(now) && !health.is_backing_off(now))
        });
        let weighed = fit.map(|node| {
            let cost = self.health.get(node).map_or(1.0, |health| health.cost(1, now));
            (cost * (1.0 + assigned(node)) * (1.0 + COST_JITTER * random.random::<f64>()), node)
        });
        weighed.min_by(|(one, _), (other, _)| one.total_cmp(other)).map(|(_, node)| node)
    }
}
