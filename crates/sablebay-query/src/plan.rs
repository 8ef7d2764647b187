//! Shard plan of a service: its shards and the replicas of each.

use std::sync::Arc;

use sablebay_model::{PartitionSet, Revision};

use crate::replica::ReplicaIndex;

#[derive(Clone, Debug)]
pub struct PlannedShard {
    /// The partitions of one call; shared by all calls for the shard.
    pub partitions: Arc<PartitionSet>,
    /// Candidate replicas, in order of preference.
    pub replicas: Vec<ReplicaIndex>,
}

/// The shards of a service at one configuration revision. Shards are disjoint.
#[derive(Clone, Debug, Default)]
pub struct ShardPlan {
    /// The configuration revision of the plan.
    pub revision: Revision,
    pub shards: Vec<PlannedShard>,
    /// Whether the replicas are aggregating peers, which hedge and retry on their own.
    pub through_peers: bool,
}

impl ShardPlan {
    /// Returns the partitions of all shards.
    pub fn partitions(&self) -> PartitionSet {
        let all = self.shards.iter().flat_map(|shard| shard.partitions.iter());
        all.collect()
    }

    /// Returns a copy of the plan at another revision.
    pub fn at_revision(&self, revision: Revision) -> ShardPlan {
        ShardPlan { revision, ..self.clone() }
    }

    /// Returns the plan restricted to the `wanted` partitions. Shards without any are omitted.
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
