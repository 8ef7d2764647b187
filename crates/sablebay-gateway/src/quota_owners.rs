//! Ownership of quota accounts.

use std::net::SocketAddr;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use sablebay_fleet::FleetPart;
use sablebay_model::{Micros, NodeId};
use sablebay_tenants::TenantName;
use sablebay_tenants::quota::{OwnerStatus, SeedPlace};

use crate::fleet_view::{FleetView, rendezvous_key};

/// The owner of a quota account, or its standby.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountOwnerNode {
    pub node: NodeId,
    /// Its address; `None` for this node.
    pub address: Option<SocketAddr>,
}

/// Inputs for what a node may assume about the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetKnowledge {
    pub now: Micros,
    /// Uptime since the start or the last long pause.
    pub running_for: Micros,
    /// The number of nodes assumed before the fleet is known.
    pub assumed: usize,
}

impl FleetView {
    /// The owner of a tenant's account and its standby, among the present nodes.
    pub fn account_owners(&self, tenant: &TenantName) -> Vec<AccountOwnerNode> {
        let key = |node: &NodeId| rendezvous_key(node, tenant.as_str().as_bytes());
        let others = self.ranked.iter().filter(|peer| peer.keeps_accounts);
        let others = others.map(|peer| (key(&peer.node), &peer.node, Some(peer.address)));
        let mut nodes: Vec<_> = others.chain([(key(&self.own), &self.own, None)]).collect();
        nodes.sort_unstable_by_key(|(key, node, _)| (*key, *node));
        nodes.truncate(2);
        let owner = |(_, node, address): (u64, &NodeId, Option<SocketAddr>)| AccountOwnerNode {
            node: node.clone(),
            address,
        };
        nodes.into_iter().map(owner).collect()
    }

    pub fn part(&mut self, known: &FleetKnowledge) -> FleetPart {
        self.census.settle(known.running_for);
        self.census.part(known.running_for, known.assumed, known.now)
    }

    /// This node's status as the owner of a tenant's account.
    pub fn owner_status(&mut self, tenant: &TenantName, known: &FleetKnowledge) -> OwnerStatus {
        let first = self.account_owners(tenant).into_iter().next();
        OwnerStatus {
            is_first: first.is_some_and(|owner| owner.address.is_none()),
            share: self.part(known).share,
            running_for: known.running_for,
        }
    }

    /// The number of nodes that the local allowance is split among, and this node's place in the tenant's order; no
    /// place before the fleet is known.
    pub fn quota_place(&mut self, tenant: &TenantName, known: &FleetKnowledge) -> (usize, Option<usize>) {
        let nodes = self.part(known).nodes;
        if !self.census.knows_fleet() {
            return (nodes, None);
        }
        let key = |node: &NodeId| (rendezvous_key(node, tenant.as_str().as_bytes()), node.clone());
        let own = key(&self.own);
        let place = self.census.counted(known.now).filter(|node| key(node) < own).count();
        (nodes, Some(place))
    }

    /// The seeds in the order of a tenant, which is the same at every node. `None` stands for this node.
    pub fn seeds_for(&self, tenant: &TenantName) -> Vec<Option<SocketAddr>> {
        let mut seeds: Vec<SocketAddr> = self.census.seeds().collect();
        seeds.sort_by_cached_key(|seed| seed_key(seed, tenant));
        seeds.into_iter().map(|seed| (seed != self.census.own_address()).then_some(seed)).collect()
    }

    /// This node's place among the seeds of a tenant; `None` when it is no seed, or knows the fleet.
    pub fn seed_place(&mut self, tenant: &TenantName, known: &FleetKnowledge) -> Option<SeedPlace> {
        self.census.settle(known.running_for);
        if self.census.knows_fleet() {
            return None;
        }
        let seeds = self.seeds_for(tenant);
        let place = seeds.iter().position(Option::is_none)?;
        Some(SeedPlace { place, seeds: seeds.len() })
    }
}

/// Rendezvous hash of a seed for a tenant.
fn seed_key(seed: &SocketAddr, tenant: &TenantName) -> u64 {
    xxh3_64_with_seed(seed.to_string().as_bytes(), xxh3_64(tenant.as_str().as_bytes()))
}
