//! Health of one replica, as observed by this node's calls.

use smallvec::SmallVec;

use sablebay_model::Micros;

use crate::cold_rate::COLD_WINDOW;
use crate::replica_table::CallKey;

/// Load of a replica, as reported with its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadHint {
    /// Requests in execution.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// A call without an answer so far.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    key: CallKey,
    sent_at: Micros,
    usual: Micros,
}

/// Weight of latency ratios above the estimate, which rises faster than it falls.
const SLOWER_WEIGHT: f64 = 0.35;
/// Upper bound of one observed latency ratio, so that a single short pause of the replica does not dominate
/// the estimate.
const MAX_OBSERVED_RATIO: f64 = 5.0;
/// Weight of latency ratios below the estimate.
const FASTER_WEIGHT: f64 = 0.3;
/// Half-life of the slowness estimate after a single slow call, which is usually a short pause.
const SINGLE_HALF_LIFE: Micros = Micros::from_millis(1_500);
/// Half-life of the slowness estimate after [`SUSTAINED_SLOW_CALLS`] slow or unanswered calls. Longer than
/// the usual interval between an owner's calls, so that a persistently slow replica is not retried too early.
const SUSTAINED_HALF_LIFE: Micros = Micros::from_millis(5_000);
/// Consecutive slow calls that count as sustained slowness.
const SUSTAINED_SLOW_CALLS: u32 = 2;
/// Time for which a load hint is valid.
pub(crate) const HINT_LIFETIME: Micros = Micros::from_millis(400);
/// Backoff after a call that was rejected for load.
const REJECTION_BACKOFF: Micros = Micros::from_millis(60);
/// Consecutive failures before the replica is backed off.
const FAILURES_BEFORE_BACKOFF: u32 = 2;
/// Initial backoff; doubles with each further failure.
const INITIAL_BACKOFF: Micros = Micros::from_millis(150);
const MAX_BACKOFF: Micros = Micros::from_millis(2_400);
/// Ratio of an open call's age to its usual latency at which the replica counts as silent.
pub(crate) const SILENT_RATIO: f64 = 3.0;
/// Open calls younger than this are not considered for silence.
const MIN_SILENCE: Micros = Micros::from_millis(12);

#[derive(Clone, Debug, Default)]
pub struct ReplicaHealth {
    open: SmallVec<[OpenCall; 4]>,
    /// Estimated ratio of the latency to the usual latency; 0 before the first observation.
    slowness: f64,
    observed_at: Micros,
    /// Consecutive calls with a latency ratio of at least [`SILENT_RATIO`].
    consecutive_slow_calls: u32,
    failures: u32,
    backoff_until: Micros,
    rejected_until: Micros,
    hint: Option<(LoadHint, Micros)>,
    /// Send times of requests while the replica was cold, in ascending order.
    cold_calls: SmallVec<[Micros; 4]>,
}

impl ReplicaHealth {
    /// Whether one more request stays within this node's limit of `most` per second to the cold replica.
    pub fn has_cold_capacity(&self, most: u32, now: Micros) -> bool {
        let recent = self.cold_calls.iter().filter(|at| now.since(**at) <= COLD_WINDOW);
        recent.count() < most as usize
    }

    /// Records a request sent while the replica is cold.
    pub fn record_cold_call(&mut self, now: Micros) {
        self.cold_calls.retain(|at| now.since(*at) <= COLD_WINDOW);
        self.cold_calls.push(now);
    }

    /// Records a call whose usual latency is `usual`.
    pub fn sent(&mut self, key: CallKey, usual: Micros, now: Micros) {
        self.open.push(OpenCall { key, sent_at: now, usual });
    }

    /// Removes an open call without recording a latency.
    pub fn forget(&mut self, key: CallKey) {
        self.take(key);
    }

    /// Records an answer and returns the latency of the call.
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

    /// Records a call that the replica rejected because of its load.
    pub fn rejected(&mut self, key: CallKey, hint: Option<LoadHint>, now: Micros) {
        self.take(key);
        self.rejected_until = now.plus(REJECTION_BACKOFF);
        if let Some(hint) = hint {
            self.hint = Some((hint, now));
        }
    }

    /// Records a call that failed because of the replica.
    pub fn failed(&mut self, key: CallKey, now: Micros) {
        self.take(key);
        self.failures += 1;
        if self.failures >= FAILURES_BEFORE_BACKOFF {
            let doublings = (self.failures - FAILURES_BEFORE_BACKOFF).min(8);
            let backoff = Micros(INITIAL_BACKOFF.0 << doublings).min(MAX_BACKOFF);
            self.backoff_until = now.plus(backoff);
        }
    }

    /// Records a call that got no answer within its timeout.
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

    /// Highest ratio of an open call's age to its usual latency.
    fn silence(&self, now: Micros) -> f64 {
        let ratios = self.open.iter().filter_map(|call| {
            let age = now.since(call.sent_at);
            (age >= MIN_SILENCE).then(|| age.0 as f64 / call.usual.0.max(1) as f64)
        });
        ratios.fold(0.0, f64::max)
    }

    /// Whether an open call has reached `SILENT_RATIO` times its usual latency.
    pub fn is_silent(&self, now: Micros) -> bool {
        self.silence(now) >= SILENT_RATIO
    }

    /// The last load hint, unless it is older than `HINT_LIFETIME`.
    fn recent_hint(&self, now: Micros) -> Option<LoadHint> {
        self.hint.filter(|(_, at)| now.since(*at) <= HINT_LIFETIME).map(|(hint, _)| hint)
    }

    /// Whether one more call would have to wait for a slot, according to the last load hint.
    pub fn is_full(&self, now: Micros) -> bool {
        self.recent_hint(now).is_some_and(|hint| hint.waiting > 0 || hint.running >= hint.slots.max(1))
    }

    /// Whether at least as many calls are queued as the replica has slots, according to the last load hint.
    pub fn has_queue(&self, now: Micros) -> bool {
        self.recent_hint(now).is_some_and(|hint| hint.waiting >= hint.slots.max(1))
    }

    /// Whether the replica is backed off after failures.
    pub fn is_backing_off(&self, now: Micros) -> bool {
        self.backoff_until > now
    }

    /// Number of open calls of this node.
    pub fn open_calls(&self) -> usize {
        self.open.len()
    }

    /// Relative expected cost of one more call; lower is better.
    pub fn cost(&self, slots: u32, now: Micros) -> f64 {
        const REJECTED_COST: f64 = 3.0;
        let slowness = self.remembered_slowness(now).max(self.silence(now)).max(0.3);
        let reported = self.recent_hint(now).map_or(0, |hint| hint.running.saturating_add(hint.waiting));
        let load = f64::from(reported.max(self.open.len() as u32)) / f64::from(slots.max(1));
        let rejected = if self.rejected_until > now { REJECTED_COST } else { 1.0 };
        slowness * (1.0 + load) * rejected * (1.0 + f64::from(self.failures))
    }
}
