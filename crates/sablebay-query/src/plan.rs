//! The fixed part of a query's plan: which shards there are, and who can answer each.

use std::sync::Arc;

use sablebay_model::{PartitionSet, Revision};

use crate::replica::ReplicaIndex;

/// One shard of a plan.
#[derive(Clone, Debug)]
pub struct PlannedShard {
    /// The partitions that one call asks for; shared, since every call names them.
    pub partitions: Arc<PartitionSet>,
    /// The replicas that can answer, in order of preference.
    pub replicas: Vec<ReplicaIndex>,
}

/// The shards of a service under one revision of the configuration.
///
/// Shards are disjoint; a query counts each of their partitions once.
#[derive(Clone, Debug, Default)]
pub struct ShardPlan {
    /// The revision that the plan was made from.
    pub revision: Revision,
    /// The shards.
    pub shards: Vec<PlannedShard>,
    /// Whether the replicas are peers that aggregate. Peers hedge and retry by themselves.
    pub through_peers: bool,
}

impl ShardPlan {
    /// Every partition of the plan.
    pub fn partitions(&self) -> PartitionSet {
        let all = self.shards.iter().flat_map(|shard| shard.partitions.iter());
        all.collect()
    }

    /// The same plan under another revision, for a change that does not touch it.
    pub fn at_revision(&self, revision: Revision) -> ShardPlan {
        ShardPlan { revision, ..self.clone() }
    }

    /// The part of the plan that searches `wanted`.
    pub fn restricted_to(&self, wanted: &PartitionSet) -> ShardPlan {
        let cut = |shard: &PlannedShard| {
            let partitions: Arc<PartitionSet> = if wanted.contains_all(&shard.partitions) {
                shard.partitions.clone()
            } else {
                Arc::new(shard.partitions.iter().filter(|partition| wanted.contains(*partition)).collect())
            };
            let replicas = shard.replicas.clone();
            (!partitions.is_empty()).then_some(PlannedShard { partitions, replicas })
        };
        ShardPlan {
            revision: self.revision,
            shards: self.shards.iter().filter_map(cut).collect(),
            through_peers: self.through_peers,
        }
    }
}
