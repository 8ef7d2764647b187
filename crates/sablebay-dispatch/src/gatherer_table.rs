//! What this node knows of the nodes that gather for it, from its own requests to them.

use std::collections::HashMap;

use rand::{Rng, RngExt};

use sablebay_model::{Micros, NodeId};

use crate::replica_health::{HINT_LIFETIME, ReplicaHealth, SILENT_RATIO};
use crate::replica_table::CallKey;

/// Nodes that look alike are told apart by up to this part, so that their work is shared.
const COST_JITTER: f64 = 0.5;

/// What this node knows of the nodes that gather for it.
#[derive(Debug, Default)]
pub struct GathererTable {
    health: HashMap<NodeId, ReplicaHealth>,
    /// The part of the shards asked for at which work queued, and when it was told.
    crowded: HashMap<NodeId, (f64, Micros)>,
}

impl GathererTable {
    /// A node is asked; a sign of life is due within `gatherer_timeout`.
    pub fn sent(&mut self, node: &NodeId, key: CallKey, gatherer_timeout: Micros, now: Micros) {
        // A node that is not heard of when its shards are called directly counts as silent.
        let usual = Micros((gatherer_timeout.0 as f64 / SILENT_RATIO) as u64);
        self.health.entry(node.clone()).or_default().sent(key, usual, now);
    }

    /// A node gave a sign of life, and told at which part of its shards work queues.
    pub fn reported(&mut self, node: &NodeId, key: CallKey, crowded: f64, now: Micros) {
        self.health.entry(node.clone()).or_default().answered(key, None, now);
        self.crowded.insert(node.clone(), (crowded, now));
    }

    /// The part of a node's shards at which work queues, as it told of late; 0 when it did not.
    pub fn crowded_fraction(&self, node: &NodeId, now: Micros) -> f64 {
        let latest = self.crowded.get(node).filter(|(_, at)| now.since(*at) <= HINT_LIFETIME);
        latest.map_or(0.0, |(crowded, _)| *crowded)
    }

    /// A node refused, broke off or could not be reached.
    pub fn failed(&mut self, node: &NodeId, key: CallKey, now: Micros) {
        self.health.entry(node.clone()).or_default().failed(key, now);
    }

    /// Nobody waits for a node any more. A node that was silent for too long until then has failed.
    pub fn abandoned(&mut self, node: &NodeId, key: CallKey, now: Micros) {
        let health = self.health.entry(node.clone()).or_default();
        if health.is_silent(now) {
            health.timed_out(key, now);
        } else {
            health.forget(key);
        }
    }

    /// Forgets nodes that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&NodeId) -> bool) {
        self.health.retain(|node, health| keep(node) || health.open_calls() > 0);
        self.crowded.retain(|node, _| keep(node));
    }

    /// The node to ask, of those that are neither silent nor left alone after failures. `assigned` says how
    /// many parts as large as this one a node was assigned of the same request: its work on them adds up.
    pub fn choose<'a, R: Rng>(
        &self,
        nodes: impl Iterator<Item = &'a NodeId>,
        assigned: impl Fn(&NodeId) -> f64,
        now: Micros,
        random: &mut R,
    ) -> Option<&'a NodeId> {
        let fit = nodes.filter(|node| {
            self.health.get(*node).is_none_or(|health| !health.is_silent(now) && !health.is_paused(now))
        });
        let weighed = fit.map(|node| {
            let cost = self.health.get(node).map_or(1.0, |health| health.cost(1, now));
            (cost * (1.0 + assigned(node)) * (1.0 + COST_JITTER * random.random::<f64>()), node)
        });
        weighed.min_by(|(one, _), (other, _)| one.total_cmp(other)).map(|(_, node)| node)
    }
}
