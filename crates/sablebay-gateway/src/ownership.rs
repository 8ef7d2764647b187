//! Shard ownership: which shards this node gathers for others, how many owners share their replicas, and which nodes
//! keep connections to the replicas of each service.

use std::collections::{HashMap, HashSet};

use sablebay_catalogue::{Destination, Route, ServiceName};
use sablebay_dispatch::{BudgetShare, gatherer_count, owned_shards};

use crate::fleet_view::Gatherers;

/// Which nodes keep connections to the replicas of a service that cannot accept connections from all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOwners {
    /// The owners of the shard; holds whether this node is one of them.
    Owners(bool),
    /// Each node connects to some of the replicas, by its position among all nodes.
    ByPosition,
    /// No node: no route uses the service.
    NoNode,
}

/// Ownership by the routes in force. Empty until the fleet is known.
#[derive(Debug, Default, PartialEq)]
pub struct Ownership {
    /// Whether the fleet was known when this was computed.
    known: bool,
    /// Shards that a few nodes of each zone gather for the others.
    shards: HashMap<ServiceName, Owned>,
    /// Services that every node calls directly.
    called_by_all: HashSet<ServiceName>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Owned {
    /// Whether this node owns the shard.
    own: bool,
    /// Number of owners in all zones.
    owners: usize,
}

impl Ownership {
    /// Ownership without routes, for a node that knows the fleet.
    pub fn of_known_fleet() -> Self {
        Self { known: true, ..Self::default() }
    }

    /// Adds a route. `rate` returns the requests per second that this node receives for the shards that begin with the
    /// given one.
    pub fn add(&mut self, gatherers: &Gatherers, route: &Route, rate: impl FnOnce(&ServiceName) -> f64) {
        match &route.destination {
            Destination::Gather(gather) => {
                if let Some(first) = gather.shards.first() {
                    self.add_shards(gatherers, &gather.shards, rate(first));
                }
            }
            Destination::Services(parts) => {
                self.called_by_all.extend(parts.iter().map(|part| part.service.clone()));
            }
        }
    }

    fn add_shards(&mut self, gatherers: &Gatherers, shards: &[ServiceName], own_rate: f64) {
        let Some(owned) = owned_shards(&gatherers.own, &gatherers.others, shards, own_rate) else {
            self.called_by_all.extend(shards.iter().cloned());
            return;
        };
        let owners = gatherer_count(&gatherers.own, &gatherers.others, own_rate);
        for (shard, own) in shards.iter().zip(owned) {
            let known = self.shards.entry(shard.clone()).or_insert(Owned { own, owners });
            known.own |= own;
            known.owners = known.owners.max(owners);
        }
    }

    pub fn connection_owners(&self, service: &ServiceName) -> ConnectionOwners {
        if let Some(owned) = self.shards.get(service) {
            return ConnectionOwners::Owners(owned.own);
        }
        if !self.known || self.called_by_all.contains(service) {
            return ConnectionOwners::ByPosition;
        }
        ConnectionOwners::NoNode
    }

    /// The budget share of this node for each service with a few owners.
    pub fn budget_shares(&self) -> HashMap<ServiceName, BudgetShare> {
        let share = |owned: &Owned| match owned.own {
            true => BudgetShare::Owner { owners: owned.owners },
            false => BudgetShare::NonOwner { owners: owned.owners },
        };
        self.shards.iter().map(|(shard, owned)| (shard.clone(), share(owned))).collect()
    }

    /// Number of owners of a shard that this node owns.
    pub fn owners_of(&self, shard: &ServiceName) -> Option<usize> {
        self.shards.get(shard).filter(|owned| owned.own).map(|owned| owned.owners)
    }
}
