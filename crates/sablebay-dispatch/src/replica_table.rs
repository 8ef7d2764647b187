//! Replica selection based on the health observed by this node's calls.

use std::collections::{BTreeSet, HashMap};

use rand::{Rng, RngExt};

use sablebay_catalogue::{ReplicaId, RoutableReplica};
use sablebay_model::{Micros, ZoneName};

use crate::replica_health::{LoadHint, ReplicaHealth};

/// Identifies a call on this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallKey(pub u64);

/// Cost factor of a replica in another zone.
const OTHER_ZONE_COST_FACTOR: f64 = 1.5;
/// Minimum cost of a replica in another zone. Cross-zone traffic is billed, so a local replica is preferred
/// up to about three times the usual latency or two queued calls per slot.
const OTHER_ZONE_MIN_COST: f64 = 4.0;
/// Cost factor of a cold replica.
const COLD_COST_FACTOR: f64 = 1.6;
/// Time for which an abandoned call may continue on a replica with free slots.
const ABANDONED_CALL_GRACE: Micros = Micros::from_millis(350);
/// Time for which a replica gets no calls after its process was seen to have ended. Longer than the catalogue
/// takes to drop the entry of an ended process; a replica listed for longer only refused a connection.
const ENDED_RETENTION: Micros = Micros::from_secs(5);
/// Maximum relative random increase of a cost, so that nodes with the same view choose different replicas.
const COST_JITTER: f64 = 0.25;

/// Preference classes of replicas; a better class always takes precedence over the cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Fitness {
    Fit,
    BeyondShare,
    Silent,
    LastResort,
    BackingOff,
}

/// Health of all replicas, as observed by this node.
#[derive(Debug)]
pub struct ReplicaTable {
    zone: ZoneName,
    health: HashMap<ReplicaId, ReplicaHealth>,
    evacuated: BTreeSet<ZoneName>,
    /// Replicas whose processes have ended, with the expiry of the record.
    ended: HashMap<ReplicaId, Micros>,
}

impl ReplicaTable {
    /// Creates a table for a node in `zone`.
    pub fn new(zone: ZoneName) -> Self {
        Self { zone, health: HashMap::new(), evacuated: BTreeSet::new(), ended: HashMap::new() }
    }

    fn health(&mut self, replica: &ReplicaId) -> &mut ReplicaHealth {
        if !self.health.contains_key(replica) {
            self.health.insert(replica.clone(), ReplicaHealth::default());
        }
        self.health.get_mut(replica).expect("an entry was just added")
    }

    /// Health of a replica, if any call was recorded.
    pub fn get(&self, replica: &ReplicaId) -> Option<&ReplicaHealth> {
        self.health.get(replica)
    }

    /// Removes replicas for which `keep` returns false; health with open calls is kept.
    pub fn retain(&mut self, keep: impl Fn(&ReplicaId) -> bool) {
        self.health.retain(|replica, health| keep(replica) || health.open_calls() > 0);
        self.ended.retain(|replica, _| keep(replica));
    }

    /// Sets the zones whose replicas get no new calls. Requests in progress keep their original candidate
    /// lists, so they are filtered here.
    pub fn set_evacuated(&mut self, zones: BTreeSet<ZoneName>) {
        self.evacuated = zones;
    }

    /// Marks replicas whose processes have ended. A new process at the same address has another id and
    /// rejects their calls.
    pub fn note_ended(&mut self, replicas: impl IntoIterator<Item = (ReplicaId, Micros)>, now: Micros) {
        let until = replicas.into_iter().map(|(replica, ended_at)| (replica, ended_at.plus(ENDED_RETENTION)));
        self.ended.extend(until);
        self.expire_ended(now);
    }

    /// Removes expired records of ended replicas.
    pub fn expire_ended(&mut self, now: Micros) {
        self.ended.retain(|_, until| *until > now);
    }

    /// Whether a replica may get new calls: its zone is not evacuated and its process has not ended.
    pub fn takes_work(&self, candidate: &RoutableReplica) -> bool {
        !self.evacuated.contains(&candidate.replica.zone) && !self.ended.contains_key(&candidate.replica.id)
    }

    /// Whether one more call stays within this node's share of a cold replica's capacity.
    fn has_cold_capacity(&self, candidate: &RoutableReplica, now: Micros) -> bool {
        let Some(most) = candidate.cold_calls_per_s.filter(|_| candidate.warm_at > now) else {
            return true;
        };
        let health = self.health.get(&candidate.replica.id);
        most > 0 && health.is_none_or(|health| health.has_cold_capacity(most, now))
    }

    /// Takes one call from this node's share of a cold replica's capacity; returns false if the share is used
    /// up. Called immediately before sending.
    pub fn take_cold_call(&mut self, candidate: &RoutableReplica, now: Micros) -> bool {
        let granted = self.has_cold_capacity(candidate, now);
        if granted && candidate.cold_calls_per_s.is_some() && candidate.warm_at > now {
            self.health(&candidate.replica.id).record_cold_call(now);
        }
        granted
    }

    /// Records a call whose usual latency is `usual`.
    pub fn sent(&mut self, replica: &ReplicaId, key: CallKey, usual: Micros, now: Micros) {
        self.health(replica).sent(key, usual, now);
    }

    /// Removes an open call without recording a result.
    pub fn forget(&mut self, replica: &ReplicaId, key: CallKey) {
        self.health(replica).forget(key);
    }

    /// Records an answer and returns the latency of the call.
    pub fn answered(
        &mut self,
        replica: &ReplicaId,
        key: CallKey,
        hint: Option<LoadHint>,
        now: Micros,
    ) -> Option<Micros> {
        self.health(replica).answered(key, hint, now)
    }

    /// Records a call that the replica rejected because of its load.
    pub fn rejected(&mut self, replica: &ReplicaId, key: CallKey, hint: Option<LoadHint>, now: Micros) {
        self.health(replica).rejected(key, hint, now);
    }

    /// Records a call that failed because of the replica.
    pub fn failed(&mut self, replica: &ReplicaId, key: CallKey, now: Micros) {
        self.health(replica).failed(key, now);
    }

    /// Records a call that got no answer within its timeout.
    pub fn timed_out(&mut self, replica: &ReplicaId, key: CallKey, now: Micros) {
        self.health(replica).timed_out(key, now);
    }

    /// Time for which an abandoned call may continue before its connection is closed, which cancels the call.
    ///
    /// Most calls end soon, and their connections are kept. The time is zero on a full or silent replica,
    /// where the call would take a slot from others.
    pub fn abandoned_call_grace(&self, replica: &ReplicaId, now: Micros) -> Micros {
        let health = self.health.get(replica);
        let wanted_by_others = health.is_some_and(|health| health.is_full(now) || health.is_silent(now));
        if wanted_by_others { Micros(0) } else { ABANDONED_CALL_GRACE }
    }

    /// Selects a replica for the next call, excluding those in `tried`.
    pub fn choose<R: Rng>(
        &self,
        candidates: &[RoutableReplica],
        tried: &[ReplicaId],
        now: Micros,
        random: &mut R,
    ) -> Option<usize> {
        let mut best: Option<(Fitness, f64, usize)> = None;
        for (index, candidate) in candidates.iter().enumerate() {
            let usable = self.takes_work(candidate) && self.has_cold_capacity(candidate, now);
            if tried.contains(&candidate.replica.id) || !usable {
                continue;
            }
            let fitness = self.fitness(candidate, now);
            let cost = self.cost(candidate, now) * (1.0 + COST_JITTER * random.random::<f64>());
            let better = best.is_none_or(|(best_fitness, best_cost, _)| {
                fitness < best_fitness || (fitness == best_fitness && cost < best_cost)
            });
            if better {
                best = Some((fitness, cost, index));
            }
        }
        best.map(|(_, _, index)| index)
    }

    /// Whether any replica not in `tried` is available, not silent, not backed off and not a last resort.
    pub fn has_fit(&self, candidates: &[RoutableReplica], tried: &[ReplicaId], now: Micros) -> bool {
        let untried = candidates.iter().filter(|candidate| !tried.contains(&candidate.replica.id));
        let mut usable =
            untried.filter(|candidate| self.takes_work(candidate) && self.has_cold_capacity(candidate, now));
        usable.any(|candidate| self.fitness(candidate, now) <= Fitness::BeyondShare)
    }

    /// Whether every replica has a queue or is silent. Replicas without observations count as free.
    pub fn is_crowded(&self, candidates: &[RoutableReplica], now: Micros) -> bool {
        let is_busy = |candidate: &RoutableReplica| {
            let health = self.health.get(&candidate.replica.id);
            health.is_some_and(|health| health.has_queue(now) || health.is_silent(now))
        };
        !candidates.is_empty() && candidates.iter().all(is_busy)
    }

    fn fitness(&self, candidate: &RoutableReplica, now: Micros) -> Fitness {
        let health = self.health.get(&candidate.replica.id);
        if health.is_some_and(|health| health.is_backing_off(now)) {
            return Fitness::BackingOff;
        }
        if candidate.last_resort {
            return Fitness::LastResort;
        }
        if health.is_some_and(|health| health.is_silent(now)) {
            return Fitness::Silent;
        }
        if candidate.beyond_share {
            return Fitness::BeyondShare;
        }
        Fitness::Fit
    }

    fn cost(&self, candidate: &RoutableReplica, now: Micros) -> f64 {
        let replica = &candidate.replica;
        let known = self.health.get(&replica.id).map_or(1.0, |health| health.cost(replica.slots, now));
        let cold = if candidate.warm_at > now { COLD_COST_FACTOR } else { 1.0 };
        if replica.zone == self.zone {
            return known * cold;
        }
        (known * cold * OTHER_ZONE_COST_FACTOR).max(OTHER_ZONE_MIN_COST)
    }
}
