//! The choice of a replica, from what this node's own calls have shown.

use std::collections::{BTreeSet, HashMap};

use rand::{Rng, RngExt};

use sablebay_catalogue::{ReplicaId, RoutableReplica};
use sablebay_model::{Micros, ZoneName};

use crate::replica_health::{LoadHint, ReplicaHealth};

/// Names a call among all of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallKey(pub u64);

/// What one more call to a replica in another zone costs, against one in the same.
const OTHER_ZONE_COST_FACTOR: f64 = 1.5;
/// The cost up to which a replica in this node's zone is good enough: about three times the usual
/// latency, or a queue of two calls a slot. Bytes between zones are paid for, and up to there an
/// answer is in time all the same. From trials with 2 to 4 (docs/decisions.md).
const OTHER_ZONE_MIN_COST: f64 = 4.0;
/// What one more call to a replica that is slow from its start costs.
const COLD_COST_FACTOR: f64 = 1.6;
/// How long an abandoned call may go on at a replica that has slots to spare.
const ABANDONED_CALL_GRACE: Micros = Micros::from_millis(350);
/// How long a replica gets nothing whose process was seen to have ended. Its entry goes after three heartbeats
/// of some 1.2 s; one that is there for longer lives, and merely refused a connection.
const ENDED_RETENTION: Micros = Micros::from_secs(5);
/// Costs are spread by up to this part, so that nodes that see the same do not choose alike.
const COST_JITTER: f64 = 0.25;

/// How fit a replica is; the first class that is not empty is chosen from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Fitness {
    Fit,
    BeyondShare,
    Silent,
    LastResort,
    BackingOff,
}

/// What this node knows of every replica.
#[derive(Debug)]
pub struct ReplicaTable {
    zone: ZoneName,
    health: HashMap<ReplicaId, ReplicaHealth>,
    evacuated: BTreeSet<ZoneName>,
    /// Replicas whose processes have ended, and until when that counts.
    ended: HashMap<ReplicaId, Micros>,
}

impl ReplicaTable {
    /// A table of a node in `zone`.
    pub fn new(zone: ZoneName) -> Self {
        Self { zone, health: HashMap::new(), evacuated: BTreeSet::new(), ended: HashMap::new() }
    }

    fn health(&mut self, replica: &ReplicaId) -> &mut ReplicaHealth {
        if !self.health.contains_key(replica) {
            self.health.insert(replica.clone(), ReplicaHealth::default());
        }
        self.health.get_mut(replica).expect("an entry was just added")
    }

    /// What is known of a replica.
    pub fn get(&self, replica: &ReplicaId) -> Option<&ReplicaHealth> {
        self.health.get(replica)
    }

    /// Forgets replicas that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&ReplicaId) -> bool) {
        self.health.retain(|replica, health| keep(replica) || health.open_calls() > 0);
        self.ended.retain(|replica, _| keep(replica));
    }

    /// Sets the zones whose replicas get nothing new. Requests in progress hold the replicas that there
    /// were when they came in.
    pub fn set_evacuated(&mut self, zones: BTreeSet<ZoneName>) {
        self.evacuated = zones;
    }

    /// The processes of these replicas have ended. What listens at their addresses from now on has other ids,
    /// and turns away what is meant for them.
    pub fn note_ended(&mut self, replicas: impl IntoIterator<Item = (ReplicaId, Micros)>, now: Micros) {
        let until = replicas.into_iter().map(|(replica, ended_at)| (replica, ended_at.plus(ENDED_RETENTION)));
        self.ended.extend(until);
        self.expire_ended(now);
    }

    /// Forgets that replicas have ended whose entries must have gone meanwhile.
    pub fn expire_ended(&mut self, now: Micros) {
        self.ended.retain(|_, until| *until > now);
    }

    /// Whether a replica may get new work: its zone is not evacuated, and its process has not ended.
    pub fn takes_work(&self, candidate: &RoutableReplica) -> bool {
        !self.evacuated.contains(&candidate.replica.zone) && !self.ended.contains_key(&candidate.replica.id)
    }

    /// Whether one more request to a replica stays within this node's share while the replica is cold.
    fn has_cold_capacity(&self, candidate: &RoutableReplica, now: Micros) -> bool {
        let Some(most) = candidate.cold_calls_per_s.filter(|_| candidate.warm_at > now) else {
            return true;
        };
        let health = self.health.get(&candidate.replica.id);
        most > 0 && health.is_none_or(|health| health.has_cold_capacity(most, now))
    }

    /// Takes one request out of this node's share of what a cold replica bears; false when nothing is left of
    /// it. Asked just before a request is sent.
    pub fn take_cold_call(&mut self, candidate: &RoutableReplica, now: Micros) -> bool {
        let granted = self.has_cold_capacity(candidate, now);
        if granted && candidate.cold_calls_per_s.is_some() && candidate.warm_at > now {
            self.health(&candidate.replica.id).record_cold_call(now);
        }
        granted
    }

    /// A call is sent that usually takes `usual`.
    pub fn sent(&mut self, replica: &ReplicaId, key: CallKey, usual: Micros, now: Micros) {
        self.health(replica).sent(key, usual, now);
    }

    /// A call is over without word on the replica.
    pub fn forget(&mut self, replica: &ReplicaId, key: CallKey) {
        self.health(replica).forget(key);
    }

    /// A call was answered. Returns its latency.
    pub fn answered(
        &mut self,
        replica: &ReplicaId,
        key: CallKey,
        hint: Option<LoadHint>,
        now: Micros,
    ) -> Option<Micros> {
        self.health(replica).answered(key, hint, now)
    }

    /// A call was rejected because of the replica's load.
    pub fn rejected(&mut self, replica: &ReplicaId, key: CallKey, hint: Option<LoadHint>, now: Micros) {
        self.health(replica).rejected(key, hint, now);
    }

    /// A call failed for the replica's reasons.
    pub fn failed(&mut self, replica: &ReplicaId, key: CallKey, now: Micros) {
        self.health(replica).failed(key, now);
    }

    /// A call took its whole time without an answer.
    pub fn timed_out(&mut self, replica: &ReplicaId, key: CallKey, now: Micros) {
        self.health(replica).timed_out(key, now);
    }

    /// How long a call goes on that nobody waits for any more.
    ///
    /// Most end soon, and their connection is kept. Where work queues, or nothing has come for long,
    /// the call takes a slot from those that are waited for: its connection is closed at once, which
    /// cancels it.
    pub fn abandoned_call_grace(&self, replica: &ReplicaId, now: Micros) -> Micros {
        let health = self.health.get(replica);
        let wanted_by_others = health.is_some_and(|health| health.is_full(now) || health.is_silent(now));
        if wanted_by_others { Micros(0) } else { ABANDONED_CALL_GRACE }
    }

    /// The replica for the next call, of those not in `tried`.
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

    /// Whether one of the replicas not in `tried` would likely answer in good time.
    pub fn has_fit(&self, candidates: &[RoutableReplica], tried: &[ReplicaId], now: Micros) -> bool {
        let untried = candidates.iter().filter(|candidate| !tried.contains(&candidate.replica.id));
        let mut usable =
            untried.filter(|candidate| self.takes_work(candidate) && self.has_cold_capacity(candidate, now));
        usable.any(|candidate| self.fitness(candidate, now) <= Fitness::BeyondShare)
    }

    /// Whether work queues, or nothing moves, at every one of the replicas. Replicas of which nothing
    /// is known count as free.
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
