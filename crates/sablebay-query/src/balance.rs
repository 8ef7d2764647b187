//! Replica selection by power of two random choices.

use std::collections::HashMap;

use rand::{Rng, RngExt};

use sablebay_model::{Micros, SnapshotVersion, ZoneName};

use crate::replica::{LoadReport, ReplicaIndex, ReplicaState, Target};

/// The replicas of a service as seen by this node.
#[derive(Debug)]
pub struct Balancer {
    excludes_leaving: bool,
    replicas: Vec<ReplicaState>,
    last_answers: Vec<Micros>,
    positions: HashMap<Target, ReplicaIndex>,
}

/// Eligibility class of a replica, best first. A replica is drawn from the best non-empty class.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Fit {
    UsableHolds,
    UsableUnknown,
    Quarantined,
}

impl Balancer {
    /// Creates an empty balancer. Fault-injection tests disable `excludes_leaving`.
    pub fn new(excludes_leaving: bool) -> Self {
        Self { excludes_leaving, replicas: Vec::new(), last_answers: Vec::new(), positions: HashMap::new() }
    }

    /// Returns the index of a replica, adding the replica if it is unknown.
    pub fn intern(&mut self, target: &Target, zone: &ZoneName, now: Micros) -> ReplicaIndex {
        if let Some(index) = self.positions.get(target) {
            return *index;
        }
        let index = ReplicaIndex(self.replicas.len() as u32);
        self.replicas.push(ReplicaState::new(target.clone(), zone.clone(), now));
        self.last_answers.push(now);
        self.positions.insert(target.clone(), index);
        index
    }

    /// Returns the index of a known replica.
    pub fn position(&self, target: &Target) -> Option<ReplicaIndex> {
        self.positions.get(target).copied()
    }

    pub fn replica(&self, index: ReplicaIndex) -> &ReplicaState {
        &self.replicas[index.0 as usize]
    }

    pub fn replicas(&self) -> impl Iterator<Item = &ReplicaState> {
        self.replicas.iter()
    }

    /// Skips the warm-up period of every replica.
    pub fn assume_warm(&mut self) {
        for replica in &mut self.replicas {
            replica.warm_since = Micros(0);
        }
    }

    /// Records that a call was sent to the replica.
    pub fn dispatched(&mut self, index: ReplicaIndex) {
        self.replicas[index.0 as usize].in_flight += 1;
    }

    /// Records that a call is no longer in flight.
    pub fn released(&mut self, index: ReplicaIndex) {
        let replica = &mut self.replicas[index.0 as usize];
        replica.in_flight = replica.in_flight.saturating_sub(1);
    }

    /// Records a successful answer and its latency.
    pub fn answered(&mut self, index: ReplicaIndex, latency: Micros, now: Micros) {
        self.replicas[index.0 as usize].answered(latency, now);
        self.last_answers[index.0 as usize] = now;
    }

    /// Records a call that has been pending for `so_far`.
    pub fn overdue(&mut self, index: ReplicaIndex, so_far: Micros, now: Micros) {
        self.replicas[index.0 as usize].observe(so_far);
        self.last_answers[index.0 as usize] = now;
    }

    /// Records a failed call.
    pub fn failed(&mut self, index: ReplicaIndex, now: Micros) {
        self.replicas[index.0 as usize].failed(now);
    }

    /// Records the load reported by the replica.
    pub fn reported(&mut self, index: ReplicaIndex, report: LoadReport, now: Micros) {
        self.replicas[index.0 as usize].reported(report, now);
    }

    /// Records whether a replica is leaving.
    pub fn set_leaving(&mut self, target: &Target, leaving: bool) {
        if let Some(index) = self.position(target) {
            self.replicas[index.0 as usize].leaving = leaving;
        }
    }

    /// Records whether the zone of a replica is evacuated. Searches in progress send no further
    /// calls to an evacuated zone. A replica whose zone is restored warms up again.
    pub fn set_evacuated(&mut self, index: ReplicaIndex, evacuated: bool, now: Micros) {
        let replica = &mut self.replicas[index.0 as usize];
        if replica.evacuated && !evacuated {
            replica.warm_since = now;
        }
        replica.evacuated = evacuated;
    }

    /// Chooses a replica for a call at `version` among `candidates`, excluding `tried`.
    ///
    /// Replicas that are leaving, in an evacuated zone or known not to hold `version` are never
    /// chosen. A quarantined replica is chosen only if no other is eligible.
    pub fn choose<R: Rng>(
        &self,
        candidates: &[ReplicaIndex],
        tried: &[ReplicaIndex],
        version: SnapshotVersion,
        now: Micros,
        random: &mut R,
    ) -> Option<ReplicaIndex> {
        let fit_of = |index: &ReplicaIndex| self.fit(*index, version, now);
        let eligible = || candidates.iter().filter(|index| !tried.contains(index));
        let best = eligible().filter_map(fit_of).min()?;
        let in_class = |index: &&ReplicaIndex| fit_of(index) == Some(best);
        let count = eligible().filter(in_class).count();
        let first = random.random_range(0..count);
        if count == 1 {
            return eligible().find(in_class).copied();
        }
        let offset = random.random_range(1..count);
        let second = (first + offset) % count;
        let mut class = eligible().filter(in_class);
        let low = class.nth(first.min(second)).copied()?;
        let high = class.nth(first.abs_diff(second) - 1).copied()?;
        Some(if self.cost(high, now) < self.cost(low, now) { high } else { low })
    }

    fn fit(&self, index: ReplicaIndex, version: SnapshotVersion, now: Micros) -> Option<Fit> {
        let replica = self.replica(index);
        let holds = replica.holds(version);
        if (replica.leaving && self.excludes_leaving) || replica.evacuated || holds == Some(false) {
            return None;
        }
        if !replica.is_usable(now) {
            return Some(Fit::Quarantined);
        }
        Some(if holds == Some(true) { Fit::UsableHolds } else { Fit::UsableUnknown })
    }

    /// Returns the expected cost of one more call to a replica; lower is better.
    pub fn cost(&self, index: ReplicaIndex, now: Micros) -> f64 {
        let age = now.since(self.last_answers[index.0 as usize]);
        self.replica(index).cost(now, age)
    }
}
