//! Which shards this node gathers for others, with how many nodes it shares their replicas, and who keeps
//! connections to the replicas of each service.

use std::collections::{HashMap, HashSet};

use sablebay_catalogue::{Destination, Route, ServiceName};
use sablebay_dispatch::{BudgetShare, gatherer_count, owned_shards};

use crate::fleet_view::Gatherers;

/// Which nodes keep connections to the replicas of a service that not all nodes have room at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOwners {
    /// The nodes that gather the shard; whether this one does.
    Owners(bool),
    /// Each node keeps to some of the replicas, by its position among all nodes.
    ByPosition,
    /// Nobody: no route names the service.
    Nobody,
}

/// What this node gathers by the routes in force. Nothing is known before the fleet is.
#[derive(Debug, Default, PartialEq)]
pub struct Ownership {
    /// Whether routes and nodes were known when it was made.
    known: bool,
    /// The shards that a few nodes of each zone gather for the others.
    shards: HashMap<ServiceName, Owned>,
    /// The services that every node calls itself.
    called_by_all: HashSet<ServiceName>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Owned {
    /// Whether this node gathers the shard.
    own: bool,
    /// Nodes that do, in all zones.
    owners: usize,
}

impl Ownership {
    /// Of a node that knows the fleet; no route is added yet.
    pub fn of_known_fleet() -> Self {
        Self { known: true, ..Self::default() }
    }

    /// Adds a route; `rate` tells how many requests a second this node takes for shards that begin with
    /// the one named.
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

    /// Which nodes keep connections to the replicas of a service.
    pub fn connection_owners(&self, service: &ServiceName) -> ConnectionOwners {
        if let Some(owned) = self.shards.get(service) {
            return ConnectionOwners::Owners(owned.own);
        }
        if !self.known || self.called_by_all.contains(service) {
            return ConnectionOwners::ByPosition;
        }
        ConnectionOwners::Nobody
    }

    /// Who spends the budgets of the services that a few nodes own.
    pub fn budget_shares(&self) -> HashMap<ServiceName, BudgetShare> {
        let share = |owned: &Owned| match owned.own {
            true => BudgetShare::Owner { owners: owned.owners },
            false => BudgetShare::NonOwner { owners: owned.owners },
        };
        self.shards.iter().map(|(shard, owned)| (shard.clone(), share(owned))).collect()
    }

    /// How many nodes share the replicas of a shard that this node gathers.
    pub fn owners_of(&self, shard: &ServiceName) -> Option<usize> {
        self.shards.get(shard).filter(|owned| owned.own).map(|owned| owned.owners)
    }
}
