//! Builds the shard plans of a service from the configuration in force and the present members.

use std::sync::Arc;

use sablebay_config::{
    Configuration, Entry, EntryKind, FanOut, IndexLayout, IndexMap, ServiceSettings, Shard,
};
use sablebay_model::{LeafId, NodeId, PartitionSet};
use sablebay_query::{PlannedShard, ReplicaState, ServiceRouting, ShardPlan, Target};

use super::CallTarget;
use crate::cluster_view::ClusterView;
use crate::shared::Shared;

/// Number of shards above which an index is searched through aggregators.
const WIDE_INDEX_SHARDS: usize = 64;

pub(super) struct PlanInputs<'a> {
    pub(super) shared: &'a Shared,
    pub(super) view: &'a ClusterView,
    pub(super) configuration: &'a Configuration,
    pub(super) settings: &'a Arc<ServiceSettings>,
}

impl PlanInputs<'_> {
    /// The entry of the index in the configuration in force.
    pub(super) fn index_entry(&self) -> Option<&Entry> {
        self.configuration.document.entry(EntryKind::Index, self.settings.index.as_str())
    }
}

/// The call target of every replica, resolved in advance so that calls need no lock or lookup.
pub(super) fn call_targets(
    routing: &ServiceRouting,
    inputs: &PlanInputs<'_>,
    layout: &IndexLayout,
) -> Vec<CallTarget> {
    let client = |leaf: &LeafId| layout.leaves.get(leaf).map(|leaf| inputs.shared.leaf_client(leaf));
    let target = |replica: &ReplicaState| match &replica.target {
        Target::Leaf(leaf) => client(leaf).map_or(CallTarget::Removed, CallTarget::Leaf),
        Target::Peer(node) => CallTarget::Peer(node.clone()),
    };
    routing.balancer.replicas().map(target).collect()
}

/// Whether this node serves its callers through aggregators.
pub(super) fn uses_peers(
    settings: &ServiceSettings,
    index: &IndexMap,
    aggregators: &[NodeId],
    shared: &Shared,
) -> bool {
    let is_sole_aggregator = aggregators.len() <= 1 && aggregators.contains(&shared.settings.node);
    if is_sole_aggregator {
        return false;
    }
    match settings.fan_out {
        FanOut::Direct => false,
        FanOut::Tree => true,
        FanOut::Auto => {
            !aggregators.contains(&shared.settings.node) || index.shards.len() > WIDE_INDEX_SHARDS
        }
    }
}

/// The shards that a service searches: those of its index, restricted to the service's partitions.
fn wanted_shards<'a>(
    index: &'a IndexMap,
    settings: &'a ServiceSettings,
) -> impl Iterator<Item = (PartitionSet, &'a Shard)> {
    index.shards.iter().filter_map(move |shard| {
        let partitions = match &settings.partitions {
            None => shard.partitions.clone(),
            Some(wanted) => shard.partitions.iter().filter(|p| wanted.contains(*p)).collect(),
        };
        (!partitions.is_empty()).then_some((partitions, shard))
    })
}

/// Plans over the index's shards, with the leaves that hold them as replicas.
pub(super) fn direct_plan(
    routing: &mut ServiceRouting,
    inputs: &PlanInputs<'_>,
    layout: &IndexLayout,
) -> ShardPlan {
    let PlanInputs { shared, configuration, settings, .. } = inputs;
    let (index, now) = (&layout.map, shared.clock.now());
    let fleet = shared.fleet.lock();
    let mut shards = Vec::with_capacity(index.shards.len());
    for (partitions, shard) in wanted_shards(index, settings) {
        let mut replicas = Vec::with_capacity(settings.replicas as usize);
        for leaf in shard.leaves.iter().take(settings.replicas as usize) {
            let zone = &layout.leaves[leaf].zone;
            let target = Target::Leaf(leaf.clone());
            let index = routing.balancer.intern(&target, zone, now);
            routing.balancer.set_evacuated(index, configuration.evacuated_zones.contains(zone), now);
            replicas.push(index);
            if fleet.leaving_leaves().is_leaving(leaf) {
                routing.balancer.set_leaving(&target, true);
            }
        }
        shards.push(PlannedShard { partitions: Arc::new(partitions), replicas });
    }
    ShardPlan { revision: configuration.version.revision, shards, through_peers: false }
}

/// Plans over groups of shards, each of which any aggregator can answer. A wide index has one group
/// for each aggregator, other indexes have a single group.
pub(super) fn peer_plan(
    routing: &mut ServiceRouting,
    inputs: &PlanInputs<'_>,
    index: &IndexMap,
    aggregators: &[NodeId],
) -> ShardPlan {
    let PlanInputs { shared, view, configuration, settings } = inputs;
    let now = shared.clock.now();
    let all: Vec<PartitionSet> = wanted_shards(index, settings).map(|(set, _)| set).collect();
    let wide = all.len() > WIDE_INDEX_SHARDS || settings.fan_out == FanOut::Tree;
    let groups = if wide { aggregators.len() } else { 1 }.clamp(1, all.len().max(1));
    let indexes: Vec<_> = aggregators
        .iter()
        .map(|node| {
            let zone = view.peer(node).map_or(&shared.settings.zone, |peer| &peer.zone);
            routing.balancer.intern(&Target::Peer(node.clone()), zone, now)
        })
        .collect();
    let per_group = all.len().div_ceil(groups).max(1);
    let shards = all
        .chunks(per_group)
        .enumerate()
        .map(|(group, sets)| {
            let partitions = Arc::new(sets.iter().flat_map(PartitionSet::iter).collect());
            let mut replicas = indexes.clone();
            replicas.rotate_left(group % indexes.len().max(1));
            PlannedShard { partitions, replicas }
        })
        .collect();
    ShardPlan { revision: configuration.version.revision, shards, through_peers: true }
}
