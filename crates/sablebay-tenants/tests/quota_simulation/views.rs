//! Membership views of simulated nodes: failures are detected within 1.5 to 2.5 s and new members
//! within 0.2 to 1 s. The production census counts the nodes that share a quota.

use std::net::SocketAddr;

use sablebay_fleet::{FleetCensus, FleetPart, MemberStatus};
use sablebay_model::{Micros, NodeId};
use sablebay_tenants::quota::{OwnerStatus, SeedPlace};

const ASSUMED_NODES: usize = 64;
/// Number of seeds, which are fixed for all starts.
const SEEDS: usize = 3;
/// Minimum uptime of a node that reports the fleet size to others.
const MIN_REPORT_AGE: Micros = Micros::from_secs(5);
/// Minimum interval between census updates.
const REFRESH_INTERVAL: Micros = Micros::from_millis(20);

#[derive(Clone, Copy)]
struct Belief {
    reached: bool,
    since: Micros,
    believed: bool,
    met: bool,
}

pub struct Views {
    pub groups: Vec<usize>,
    runs: Vec<bool>,
    started_at: Vec<Micros>,
    beliefs: Vec<Belief>,
    census: Vec<FleetCensus>,
    refreshed_at: Vec<Option<Micros>>,
    names: Vec<NodeId>,
    /// Seed nodes, in the tenant's order of seeds.
    seeds: Vec<usize>,
    nodes: usize,
}

fn address(node: usize) -> SocketAddr {
    ([10, 0, (node / 250) as u8, (node % 250) as u8], 7_000).into()
}

impl Views {
    /// Creates the views of a settled fleet with randomly drawn seeds.
    pub fn of_settled_fleet(nodes: usize, now: Micros, mut draw: impl FnMut() -> f64) -> Self {
        let belief = Belief { reached: true, since: now, believed: true, met: true };
        let mut seeds: Vec<usize> = Vec::new();
        while seeds.len() < SEEDS.min(nodes) {
            let drawn = (draw() * nodes as f64) as usize;
            if !seeds.contains(&drawn) {
                seeds.push(drawn);
            }
        }
        let addresses = || seeds.iter().copied().map(address);
        let census = |node| FleetCensus::of_known_fleet(address(node), addresses());
        Self {
            groups: vec![0; nodes],
            runs: vec![true; nodes],
            started_at: vec![Micros::default(); nodes],
            beliefs: vec![belief; nodes * nodes],
            census: (0..nodes).map(census).collect(),
            refreshed_at: vec![None; nodes],
            names: (0..nodes).map(|node| NodeId::new(format!("node-{node}"))).collect(),
            seeds,
            nodes,
        }
    }

    /// Removes a node as if no other node had ever met it.
    pub fn exclude(&mut self, node: usize, now: Micros) {
        self.runs[node] = false;
        for of in (0..self.nodes).filter(|of| *of != node) {
            self.beliefs[of * self.nodes + node] =
                Belief { reached: false, since: now, believed: false, met: false };
        }
    }

    /// Replaces the seeds of every node.
    pub fn place_seeds(&mut self, seeds: Vec<usize>) {
        let addresses: Vec<SocketAddr> = seeds.iter().copied().map(address).collect();
        self.census.iter_mut().for_each(|census| census.replace_seeds(addresses.clone()));
        self.seeds = seeds;
    }

    pub fn name(&self, node: usize) -> &NodeId {
        &self.names[node]
    }

    /// Returns the seeds that a starting node asks, in the tenant's order.
    pub fn seeds(&self) -> Vec<usize> {
        self.seeds.clone()
    }

    pub fn reaches(&self, from: usize, to: usize) -> bool {
        self.groups[from] == self.groups[to]
    }

    /// Returns a deterministic delay for a pair of nodes.
    fn delay(&self, of: usize, other: usize, least: u64, most: u64) -> Micros {
        let mixed = (of as u64 * 7_919 + other as u64 * 104_729).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40;
        Micros::from_millis(least + mixed % (most - least))
    }

    fn believes(&self, of: usize, other: usize, now: Micros) -> bool {
        let belief = &self.beliefs[of * self.nodes + other];
        let passed = now.since(belief.since);
        match belief.reached {
            true => belief.believed || passed >= self.delay(of, other, 200, 1_000),
            false => belief.believed && passed < self.delay(of, other, 1_500, 2_500),
        }
    }

    pub fn update(&mut self, runs: &[bool], now: Micros) {
        for of in 0..self.nodes {
            for (other, runs) in runs.iter().enumerate() {
                let reached = *runs && self.groups[of] == self.groups[other];
                let believed = self.believes(of, other, now);
                let belief = &mut self.beliefs[of * self.nodes + other];
                belief.met |= believed;
                if belief.reached != reached {
                    (belief.reached, belief.since, belief.believed) = (reached, now, believed);
                }
            }
        }
        self.runs = runs.to_vec();
    }

    /// Resets the view of a node that has just started.
    pub fn forget(&mut self, node: usize, now: Micros) {
        self.started_at[node] = now;
        self.census[node] = FleetCensus::new(address(node), self.seeds.iter().copied().map(address));
        self.refreshed_at[node] = None;
        for other in 0..self.nodes {
            let reached = self.runs[other] && self.groups[node] == self.groups[other];
            self.beliefs[node * self.nodes + other] =
                Belief { reached, since: now, believed: other == node, met: other == node };
        }
    }

    /// Returns the nodes considered present, in the order of the tenant.
    pub fn order(&self, of: usize, now: Micros) -> Vec<usize> {
        (0..self.nodes).filter(|other| *other == of || self.believes(of, *other, now)).collect()
    }

    /// Updates the census of a node from its membership view.
    fn refresh_census(&mut self, of: usize, awake_for: Micros, now: Micros) {
        if self.refreshed_at[of].is_some_and(|at| now.since(at) < REFRESH_INTERVAL) {
            return;
        }
        self.refreshed_at[of] = Some(now);
        if !self.census[of].knows_fleet() {
            self.receive_fleet_size(of, now);
        }
        for other in (0..self.nodes).filter(|other| *other != of) {
            let believed = self.believes(of, other, now);
            self.beliefs[of * self.nodes + other].met |= believed;
        }
        let statuses: Vec<(usize, MemberStatus)> = (0..self.nodes)
            .filter(|other| *other != of)
            .filter_map(|other| Some((other, self.status(of, other, now)?)))
            .collect();
        let names = &self.names;
        let known = statuses.into_iter().map(|(other, status)| (&names[other], address(other), status));
        self.census[of].update_members(known, now);
        self.census[of].settle(awake_for);
    }

    /// Returns the status of another node, or `None` if it was never met.
    fn status(&self, of: usize, other: usize, now: Micros) -> Option<MemberStatus> {
        if self.believes(of, other, now) {
            return Some(MemberStatus::Alive);
        }
        self.beliefs[of * self.nodes + other].met.then_some(MemberStatus::Dead)
    }

    /// Takes the fleet size and the known members from a peer that knows the fleet.
    fn receive_fleet_size(&mut self, of: usize, now: Micros) {
        let tells = |other: &usize| {
            let is_old_enough = now.since(self.started_at[*other]) >= MIN_REPORT_AGE;
            is_old_enough && self.census[*other].size_to_report(now).is_some()
        };
        let peers: Vec<usize> = self.order(of, now).into_iter().filter(|other| *other != of).collect();
        let Some(teller) = peers.into_iter().find(tells) else { return };
        let told = self.census[teller].known(now);
        self.census[of].record_reported_size(told, now);
        for other in 0..self.nodes {
            let met = self.beliefs[teller * self.nodes + other].met;
            self.beliefs[of * self.nodes + other].met |= met;
        }
    }

    /// Returns the part of the fleet that a node counts.
    pub fn part(&mut self, of: usize, awake_for: Micros, now: Micros) -> FleetPart {
        self.refresh_census(of, awake_for, now);
        self.census[of].part(awake_for, ASSUMED_NODES, now)
    }

    /// Returns the number of nodes that share the local allowance and the place of a node among
    /// them.
    pub fn place(&mut self, of: usize, awake_for: Micros, now: Micros) -> (usize, Option<usize>) {
        let nodes = self.part(of, awake_for, now).nodes;
        let census = &self.census[of];
        // Node names are ordered by number, which is the order of the tenant.
        let ahead = census.counted(now).filter(|name| self.names[..of].contains(name)).count();
        (nodes, census.knows_fleet().then_some(ahead))
    }

    pub fn owner_status(&mut self, of: usize, awake_for: Micros, now: Micros) -> OwnerStatus {
        let share = self.part(of, awake_for, now).share;
        OwnerStatus { is_first: self.order(of, now).first() == Some(&of), share, running_for: awake_for }
    }

    /// Returns the place of a node among the seeds, if it lends as a seed.
    pub fn seed_place(&mut self, of: usize, awake_for: Micros, now: Micros) -> Option<SeedPlace> {
        self.refresh_census(of, awake_for, now);
        let place = self.seeds.iter().position(|seed| *seed == of)?;
        (!self.census[of].knows_fleet()).then_some(SeedPlace { place, seeds: self.seeds.len() })
    }

    /// Returns whether a node knows all members of the fleet.
    pub fn knows_fleet(&mut self, of: usize, awake_for: Micros, now: Micros) -> bool {
        self.refresh_census(of, awake_for, now);
        self.census[of].knows_fleet()
    }
}
