//! Choice of a replica: the cheaper of two drawn at random.

use std::collections::HashMap;

use rand::{Rng, RngExt};

use sablebay_model::{Micros, SnapshotVersion, ZoneName};

use crate::replica::{LoadReport, ReplicaIndex, ReplicaState, Target};

/// All replicas of a service, as this node sees them.
#[derive(Debug)]
pub struct Balancer {
    excludes_leaving: bool,
    replicas: Vec<ReplicaState>,
    last_answers: Vec<Micros>,
    positions: HashMap<Target, ReplicaIndex>,
}

/// How well a replica fits a call; the first class that is not empty is drawn from.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Fit {
    UsableHolds,
    UsableUnknown,
    Quarantined,
}

impl Balancer {
    /// A balancer without replicas. `excludes_leaving` is off in experiments alone.
    pub fn new(excludes_leaving: bool) -> Self {
        Self { excludes_leaving, replicas: Vec::new(), last_answers: Vec::new(), positions: HashMap::new() }
    }

    /// The position of a replica; a new one is added.
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

    /// The position of a replica that is known.
    pub fn position(&self, target: &Target) -> Option<ReplicaIndex> {
        self.positions.get(target).copied()
    }

    /// The state of a replica.
    pub fn replica(&self, index: ReplicaIndex) -> &ReplicaState {
        &self.replicas[index.0 as usize]
    }

    /// All replicas.
    pub fn replicas(&self) -> impl Iterator<Item = &ReplicaState> {
        self.replicas.iter()
    }

    /// Marks every replica warm: their service has run for long.
    pub fn assume_warm(&mut self) {
        for replica in &mut self.replicas {
            replica.warm_since = Micros(0);
        }
    }

    /// Records that a call was sent.
    pub fn dispatched(&mut self, index: ReplicaIndex) {
        self.replicas[index.0 as usize].in_flight += 1;
    }

    /// Records that a call is no longer waited for.
    pub fn released(&mut self, index: ReplicaIndex) {
        let replica = &mut self.replicas[index.0 as usize];
        replica.in_flight = replica.in_flight.saturating_sub(1);
    }

    /// Records an answer.
    pub fn answered(&mut self, index: ReplicaIndex, latency: Micros, now: Micros) {
        self.replicas[index.0 as usize].answered(latency, now);
        self.last_answers[index.0 as usize] = now;
    }

    /// Records that a call has already taken `so_far` without an answer.
    pub fn overdue(&mut self, index: ReplicaIndex, so_far: Micros, now: Micros) {
        self.replicas[index.0 as usize].observe(so_far);
        self.last_answers[index.0 as usize] = now;
    }

    /// Records a failure.
    pub fn failed(&mut self, index: ReplicaIndex, now: Micros) {
        self.replicas[index.0 as usize].failed(now);
    }

    /// Records a replica's own report.
    pub fn reported(&mut self, index: ReplicaIndex, report: LoadReport, now: Micros) {
        self.replicas[index.0 as usize].reported(report, now);
    }

    /// Records, from any source, whether a replica is leaving.
    pub fn set_leaving(&mut self, target: &Target, leaving: bool) {
        if let Some(index) = self.position(target) {
            self.replicas[index.0 as usize].leaving = leaving;
        }
    }

    /// Records whether a replica's zone is evacuated. A search in progress sends nothing more there. One whose
    /// zone is taken back is warmed up like a new one.
    pub fn set_evacuated(&mut self, index: ReplicaIndex, evacuated: bool, now: Micros) {
        let replica = &mut self.replicas[index.0 as usize];
        if replica.evacuated && !evacuated {
            replica.warm_since = now;
        }
        replica.evacuated = evacuated;
    }

    /// Chooses a replica for a call at `version` among `candidates`, leaving out `tried`.
    ///
    /// A leaving replica is never chosen, nor one of an evacuated zone. A quarantined one is chosen when nothing else is left.
    /// A replica known not to hold the version is not chosen.
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

    /// The expected cost of one more call to a replica.
    pub fn cost(&self, index: ReplicaIndex, now: Micros) -> f64 {
        let age = now.since(self.last_answers[index.0 as usize]);
        self.replica(index).cost(now, age)
    }
}
