//! What a node knows of one replica from its own calls.

use smallvec::SmallVec;

use sablebay_model::Micros;

use crate::cold_rate::COLD_WINDOW;
use crate::replica_table::CallKey;

/// What a replica says of its load with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadHint {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
}

/// A call that the replica has not answered yet.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    key: CallKey,
    sent_at: Micros,
    usual: Micros,
}

/// Weight of a new observation that is slower than what is known: slowness is believed sooner.
const SLOWER_WEIGHT: f64 = 0.35;
/// The slowness that one observation says at the most: a pause looks like great slowness, and is
/// over when it is seen.
const MAX_OBSERVED_RATIO: f64 = 5.0;
/// Weight of a new observation that is faster.
const FASTER_WEIGHT: f64 = 0.3;
/// Time over which remembered slowness falls to half after one slow answer: a pause is over when it is seen.
const SINGLE_HALF_LIFE: Micros = Micros::from_millis(1_500);
/// The same after [`SUSTAINED_SLOW_CALLS`] calls that were slow or never answered. An owner calls a replica about
/// twice a second; with 1.5 s it had forgotten a slow or dark one, for which trouble lasts some seconds, after
/// three or four calls elsewhere. The worst seconds of a day with 40 in 100 of the replicas slow or dark kept
/// 0.50 of what they are worth, after 0.44; where replicas only pause nothing was lost.
const SUSTAINED_HALF_LIFE: Micros = Micros::from_millis(5_000);
/// Slow calls in a row after which it is no pause.
const SUSTAINED_SLOW_CALLS: u32 = 2;
/// How long a load hint is believed.
pub(crate) const HINT_LIFETIME: Micros = Micros::from_millis(400);
/// How long a replica that rejected a call for its load is left alone.
const REJECTION_BACKOFF: Micros = Micros::from_millis(60);
/// Failures in a row after which a replica is left alone.
const FAILURES_BEFORE_BACKOFF: u32 = 2;
/// The first pause; doubles with each further failure.
const INITIAL_BACKOFF: Micros = Micros::from_millis(150);
/// The longest pause.
const MAX_BACKOFF: Micros = Micros::from_millis(2_400);
/// An open call that took this many times its usual time says that the replica stands still.
pub(crate) const SILENT_RATIO: f64 = 3.0;
/// A silence shorter than this says nothing.
const MIN_SILENCE: Micros = Micros::from_millis(12);

/// What a node knows of one replica from its own calls.
#[derive(Clone, Debug, Default)]
pub struct ReplicaHealth {
    open: SmallVec<[OpenCall; 4]>,
    /// How many times longer than usual its answers take.
    slowness: f64,
    observed_at: Micros,
    /// Calls in a row that took [`SILENT_RATIO`] times as long as usual.
    consecutive_slow_calls: u32,
    failures: u32,
    backoff_until: Micros,
    rejected_until: Micros,
    hint: Option<(LoadHint, Micros)>,
    /// When requests were sent while the replica was cold, the latest last.
    cold_calls: SmallVec<[Micros; 4]>,
}

impl ReplicaHealth {
    /// Whether one more request fits into the `most` that the cold replica gets from this node in any second.
    pub fn has_cold_capacity(&self, most: u32, now: Micros) -> bool {
        let recent = self.cold_calls.iter().filter(|at| now.since(**at) <= COLD_WINDOW);
        recent.count() < most as usize
    }

    /// Notes that a request is sent while the replica is cold.
    pub fn record_cold_call(&mut self, now: Micros) {
        self.cold_calls.retain(|at| now.since(*at) <= COLD_WINDOW);
        self.cold_calls.push(now);
    }

    /// A call is sent that usually takes `usual`.
    pub fn sent(&mut self, key: CallKey, usual: Micros, now: Micros) {
        self.open.push(OpenCall { key, sent_at: now, usual });
    }

    /// A call is over without word on its latency.
    pub fn forget(&mut self, key: CallKey) {
        self.take(key);
    }

    /// A call was answered. Returns its latency.
    pub fn answered(&mut self, key: CallKey, hint: Option<LoadHint>, now: Micros) -> Option<Micros> {
        self.failures = 0;
        self.backoff_until = Micros(0);
        if let Some(hint) = hint {
            self.hint = Some((hint, now));
        }
        let call = self.take(key)?;
        let latency = now.since(call.sent_at);
        self.observe(latency.0 as f64 / call.usual.0.max(1) as f64, now);
        Some(latency)
    }

    /// A call was rejected because of the replica's load.
    pub fn rejected(&mut self, key: CallKey, hint: Option<LoadHint>, now: Micros) {
        self.take(key);
        self.rejected_until = now.plus(REJECTION_BACKOFF);
        if let Some(hint) = hint {
            self.hint = Some((hint, now));
        }
    }

    /// A call failed for the replica's reasons.
    pub fn failed(&mut self, key: CallKey, now: Micros) {
        self.take(key);
        self.failures += 1;
        if self.failures >= FAILURES_BEFORE_BACKOFF {
            let doublings = (self.failures - FAILURES_BEFORE_BACKOFF).min(8);
            let backoff = Micros(INITIAL_BACKOFF.0 << doublings).min(MAX_BACKOFF);
            self.backoff_until = now.plus(backoff);
        }
    }

    /// A call took its whole time without an answer.
    pub fn timed_out(&mut self, key: CallKey, now: Micros) {
        if let Some(call) = self.open.iter().find(|call| call.key == key) {
            let ratio = now.since(call.sent_at).0 as f64 / call.usual.0.max(1) as f64;
            self.observe(ratio, now);
        }
        self.failed(key, now);
    }

    fn take(&mut self, key: CallKey) -> Option<OpenCall> {
        let position = self.open.iter().position(|call| call.key == key)?;
        Some(self.open.swap_remove(position))
    }

    fn observe(&mut self, ratio: f64, now: Micros) {
        let ratio = ratio.min(MAX_OBSERVED_RATIO);
        let known = self.remembered_slowness(now);
        let weight = if ratio > known { SLOWER_WEIGHT } else { FASTER_WEIGHT };
        self.slowness = known + weight * (ratio - known);
        self.observed_at = now;
        self.consecutive_slow_calls = if ratio >= SILENT_RATIO { self.consecutive_slow_calls + 1 } else { 0 };
    }

    fn remembered_slowness(&self, now: Micros) -> f64 {
        if self.slowness == 0.0 {
            return 1.0;
        }
        let half_life = if self.consecutive_slow_calls >= SUSTAINED_SLOW_CALLS {
            SUSTAINED_HALF_LIFE
        } else {
            SINGLE_HALF_LIFE
        };
        let half_lives = now.since(self.observed_at).as_secs_f64() / half_life.as_secs_f64();
        1.0 + (self.slowness - 1.0) * 0.5f64.powf(half_lives)
    }

    /// The ratio of the longest silence to what was usual for its call.
    fn silence(&self, now: Micros) -> f64 {
        let ratios = self.open.iter().filter_map(|call| {
            let age = now.since(call.sent_at);
            (age >= MIN_SILENCE).then(|| age.0 as f64 / call.usual.0.max(1) as f64)
        });
        ratios.fold(0.0, f64::max)
    }

    /// Whether the replica seems to stand still.
    pub fn is_silent(&self, now: Micros) -> bool {
        self.silence(now) >= SILENT_RATIO
    }

    /// What the replica told of its load, unless it is too long ago.
    fn recent_hint(&self, now: Micros) -> Option<LoadHint> {
        self.hint.filter(|(_, at)| now.since(*at) <= HINT_LIFETIME).map(|(hint, _)| hint)
    }

    /// Whether one more call would wait for a slot, as far as the replica told of late.
    pub fn is_full(&self, now: Micros) -> bool {
        self.recent_hint(now).is_some_and(|hint| hint.waiting > 0 || hint.running >= hint.slots.max(1))
    }

    /// Whether one more call would wait for as many others as the replica works on at once, as far
    /// as it told of late.
    pub fn has_queue(&self, now: Micros) -> bool {
        self.recent_hint(now).is_some_and(|hint| hint.waiting >= hint.slots.max(1))
    }

    /// Whether the replica is left alone after failures.
    pub fn is_backing_off(&self, now: Micros) -> bool {
        self.backoff_until > now
    }

    /// Calls of this node that are open there.
    pub fn open_calls(&self) -> usize {
        self.open.len()
    }

    /// The expected cost of one more call; lower is better.
    pub fn cost(&self, slots: u32, now: Micros) -> f64 {
        const REJECTED_COST: f64 = 3.0;
        let slowness = self.remembered_slowness(now).max(self.silence(now)).max(0.3);
        let reported = self.recent_hint(now).map_or(0, |hint| hint.running + hint.waiting);
        let load = f64::from(reported.max(self.open.len() as u32)) / f64::from(slots.max(1));
        let rejected = if self.rejected_until > now { REJECTED_COST } else { 1.0 };
        slowness * (1.0 + load) * rejected * (1.0 + f64::from(self.failures))
    }
}
