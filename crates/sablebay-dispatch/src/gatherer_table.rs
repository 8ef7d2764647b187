//! What this node knows of the nodes that gather for it, from its own requests to them.

use std::collections::HashMap;

use rand::{Rng, RngExt};

use sablebay_model::{Micros, NodeId};

use crate::replica_health::{HINT_LIFETIME, ReplicaHealth, SILENT_RATIO};
use crate::replica_table::CallKey;

/// Nodes that look alike are told apart by up to this part, so that their work is shared.
const SPREAD: f64 = 0.5;

/// What this node knows of the nodes that gather for it.
#[derive(Debug, Default)]
pub struct GathererTable {
    health: HashMap<NodeId, ReplicaHealth>,
    /// The part of the shards asked for at which work queued, and when it was told.
    crowded: HashMap<NodeId, (f64, Micros)>,
}

impl GathererTable {
    /// A node is asked; a sign of life is due within `rescue_delay`.
    pub fn asked(&mut self, node: &NodeId, key: CallKey, rescue_delay: Micros, now: Micros) {
        // A node that is not heard of when its shards are called directly counts as silent.
        let usual = Micros((rescue_delay.0 as f64 / SILENT_RATIO) as u64);
        self.health.entry(node.clone()).or_default().sent(key, usual, now);
    }

    /// A node gave a sign of life, and told at which part of its shards work queues.
    pub fn heard(&mut self, node: &NodeId, key: CallKey, crowded: f64, now: Micros) {
        self.health.entry(node.clone()).or_default().answered(key, None, now);
        self.crowded.insert(node.clone(), (crowded, now));
    }

    /// The part of a node's shards at which work queues, as it told of late; 0 when it did not.
    pub fn crowded(&self, node: &NodeId, now: Micros) -> f64 {
        let told = self.crowded.get(node).filter(|(_, at)| now.since(*at) <= HINT_LIFETIME);
        told.map_or(0.0, |(crowded, _)| *crowded)
    }

    /// A node refused, broke off or could not be reached.
    pub fn failed(&mut self, node: &NodeId, key: CallKey, now: Micros) {
        self.health.entry(node.clone()).or_default().failed(key, now);
    }

    /// Nobody waits for a node any more. A node that was silent for too long until then has failed.
    pub fn given_up(&mut self, node: &NodeId, key: CallKey, now: Micros) {
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

    /// The node to ask, of those that are neither silent nor left alone after failures. `given` says how
    /// many parts as large as this one a node was given of the same request: its work on them adds up.
    pub fn choose<'a, R: Rng>(
        &self,
        nodes: impl Iterator<Item = &'a NodeId>,
        given: impl Fn(&NodeId) -> f64,
        now: Micros,
        random: &mut R,
    ) -> Option<&'a NodeId> {
        let fit = nodes.filter(|node| {
            self.health.get(*node).is_none_or(|health| !health.is_silent(now) && !health.is_backing_off(now))
        });
        let weighed = fit.map(|node| {
            let cost = self.health.get(node).map_or(1.0, |health| health.cost(1, now));
            (cost * (1.0 + given(node)) * (1.0 + SPREAD * random.random::<f64>()), node)
        });
        weighed.min_by(|(one, _), (other, _)| one.total_cmp(other)).map(|(_, node)| node)
    }
}
