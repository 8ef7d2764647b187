//! Replaces every node one by one while the platform serves stale and conflicting revisions, nodes
//! are paused and regions are cut off. A version in force on all nodes must never be reverted.

use std::collections::HashMap;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use sablebay_config::{Configuration, Version};
use sablebay_fleet::FleetMechanisms;
use sablebay_model::Micros;

use super::RunOptions;
use super::spread::small_configuration;
use crate::error::BenchError;
use crate::hollow::{HollowFleet, HollowOptions};
use crate::result::ExperimentResult;

const NODES: usize = 40;
const REVISIONS: u64 = 12;
/// Reads of the platform per second, over the whole fleet.
const READS_PER_SECOND: u64 = 4;

pub fn run(options: &RunOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = options.result("never-reverts");
    let mechanisms = FleetMechanisms {
        floor: !options.breaks("floor"),
        ask_peers_first: !options.breaks("floor"),
        ..FleetMechanisms::default()
    };
    let fleet = HollowFleet::new(HollowOptions {
        nodes: NODES,
        regions: 2,
        zones: 4,
        loss: 0.02,
        probe_period: Micros::from_secs(1),
        mechanisms,
        seed: options.seed,
    });
    let mut history = History {
        fleet,
        random: SmallRng::seed_from_u64(options.seed),
        published: Vec::new(),
        seen: HashMap::new(),
        accepted: Version::default(),
        reverts: 0,
        below_accepted: 0,
        replaced: 0,
        conflicts: 0,
    };
    history.run_revisions()?;
    result.violation("reverts", history.reverts);
    result.violation("served_below_accepted", history.below_accepted);
    result.violation("left_behind", history.left_behind());
    result.figure("nodes_replaced", history.replaced);
    result.figure("revisions", history.published.len() as u64);
    result.figure("conflicts_reported", history.conflicts);
    if options.broken.is_some() {
        result.break_caught = Some(result.violations > 0);
    }
    Ok(result)
}

struct History {
    fleet: HollowFleet,
    random: SmallRng,
    published: Vec<Arc<Configuration>>,
    /// The highest version seen in force on each node.
    seen: HashMap<usize, Version>,
    /// The highest version that was in force on every running node at once.
    accepted: Version,
    reverts: u64,
    below_accepted: u64,
    replaced: u64,
    conflicts: u64,
}

impl History {
    fn run_revisions(&mut self) -> Result<(), BenchError> {
        for revision in 1..=REVISIONS {
            self.published.push(small_configuration(revision, revision)?);
            // Two operators publish different contents under the same revision.
            if revision % 4 == 0 {
                self.published.push(small_configuration(revision, revision + 1_000)?);
            }
            self.inject_fault(revision);
            self.run_seconds(12, revision);
        }
        self.fleet.set_cut(None);
        // Platform outage: no node reads the platform, and the configuration spreads between nodes only.
        for _ in 0..60 {
            self.step();
        }
        let running = self.fleet.running();
        let conflicting =
            running.iter().filter(|at| self.fleet.machine(**at).floor().conflicts().count() > 0);
        self.conflicts = conflicting.count() as u64;
        Ok(())
    }

    /// Cuts regions off, restores them or pauses a node, depending on the revision.
    fn inject_fault(&mut self, revision: u64) {
        match revision % 3 {
            0 => self.fleet.set_cut(Some((0, 1))),
            1 => self.fleet.set_cut(None),
            _ => {
                let running = self.fleet.running();
                let victim = running[self.random.random_range(0..running.len())];
                self.fleet.pause(victim, Micros::from_secs(60));
            }
        }
    }

    fn run_seconds(&mut self, seconds: u64, revision: u64) {
        for _ in 0..seconds {
            for _ in 0..READS_PER_SECOND {
                self.read_platform(revision);
            }
            if !self.fleet.running().is_empty() && self.random.random_bool(0.35) {
                self.replace_one();
            }
            self.step();
        }
    }

    /// Lets a random node read the platform, which may serve any revision published so far.
    fn read_platform(&mut self, revision: u64) {
        let running = self.fleet.running();
        let reader = running[self.random.random_range(0..running.len())];
        let newest = self.published.len() - 1;
        let served = match revision % 4 {
            0 => newest - newest.min(self.random.random_range(0..2)),
            1 => 0,
            2 => self.random.random_range(0..=newest),
            _ => newest,
        };
        if !self.fleet.is_paused(reader) {
            let configuration = self.published[served].clone();
            self.fleet.offer(reader, &configuration);
        }
    }

    /// Replaces the oldest running node, so that every initial node is eventually replaced.
    fn replace_one(&mut self) {
        let running = self.fleet.running();
        self.fleet.replace(running[0]);
        self.replaced += 1;
    }

    /// Advances by one second and checks the invariants.
    fn step(&mut self) {
        self.fleet.run_until(self.fleet.now().plus(Micros::from_secs(1)));
        let now = self.fleet.now();
        let running = self.fleet.running();
        for position in &running {
            let version = self.fleet.version(*position);
            let seen = self.seen.entry(*position).or_default();
            self.reverts += u64::from(version < *seen);
            *seen = (*seen).max(version);
            let serves = self.fleet.machine(*position).is_ready(now) && !self.fleet.is_paused(*position);
            self.below_accepted += u64::from(serves && version < self.accepted);
        }
        let lowest = running.iter().map(|position| self.fleet.version(*position)).min();
        self.accepted = self.accepted.max(lowest.unwrap_or_default());
    }

    /// Number of running nodes below the highest version in the fleet.
    fn left_behind(&self) -> u64 {
        let running = self.fleet.running();
        let highest = running.iter().map(|position| self.fleet.version(*position)).max();
        let highest = highest.unwrap_or_default();
        running.iter().filter(|position| self.fleet.version(**position) < highest).count() as u64
    }
}
