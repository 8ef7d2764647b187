//! Which shards this node gathers for others, and with how many nodes it shares their replicas.

use std::collections::HashMap;

use sablebay_catalogue::ServiceName;
use sablebay_dispatch::{gathering_nodes, owned_shards};

use crate::fleet_view::Gatherers;

/// The shards that a few nodes of each zone gather for the others. Shards that every node gathers
/// itself are not in it.
#[derive(Debug, Default)]
pub struct Ownership {
    shards: HashMap<ServiceName, Owned>,
}

#[derive(Clone, Copy, Debug)]
struct Owned {
    /// Whether this node gathers the shard.
    own: bool,
    /// Nodes that do, in all zones.
    owners: usize,
}

impl Ownership {
    /// Adds the shards of a route of which this node takes `own_rate` requests a second.
    pub fn add(&mut self, gatherers: &Gatherers, shards: &[ServiceName], own_rate: f64) {
        let Some(owned) = owned_shards(&gatherers.own, &gatherers.others, shards, own_rate) else {
            return;
        };
        let owners = gathering_nodes(&gatherers.own, &gatherers.others, own_rate);
        for (shard, own) in shards.iter().zip(owned) {
            let known = self.shards.entry(shard.clone()).or_insert(Owned { own, owners });
            known.own |= own;
            known.owners = known.owners.max(owners);
        }
    }

    /// Whether this node gathers a shard; nothing where every node does.
    pub fn owns(&self, shard: &ServiceName) -> Option<bool> {
        self.shards.get(shard).map(|owned| owned.own)
    }

    /// How many nodes share the replicas of a shard that this node gathers.
    pub fn owners_of(&self, shard: &ServiceName) -> Option<usize> {
        self.shards.get(shard).filter(|owned| owned.own).map(|owned| owned.owners)
    }
}
