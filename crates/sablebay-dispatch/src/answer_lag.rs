//! Tracks how late partial answers complete on this node, so that they are scheduled early enough to meet the
//! target latency.

use sablebay_model::Micros;

/// Weight of observations above the estimate. A late answer costs more than a missing shard, so the estimate
/// rises faster than it falls.
const INCREASE_WEIGHT: f64 = 0.4;
/// Weight of observations below the estimate.
const DECREASE_WEIGHT: f64 = 0.15;
/// Half-life of the estimate without observations.
const HALF_LIFE: Micros = Micros::from_secs(6);
/// Upper bound of the margin, as a fraction of the target latency.
const MAX_MARGIN_FRACTION: f64 = 0.1;

/// Decaying estimate of the lag of partial answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerLag {
    expected_us: f64,
    observed_at: Micros,
}

impl AnswerLag {
    /// Records an answer scheduled for `planned_at` that completed at `ready_at`.
    pub fn record(&mut self, planned_at: Micros, ready_at: Micros) {
        let lag_us = ready_at.since(planned_at).0 as f64;
        let expected_us = self.expected_us(ready_at);
        let weight = if lag_us > expected_us { INCREASE_WEIGHT } else { DECREASE_WEIGHT };
        self.expected_us = expected_us + weight * (lag_us - expected_us);
        self.observed_at = ready_at;
    }

    fn expected_us(&self, now: Micros) -> f64 {
        let half_lives = now.since(self.observed_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.expected_us * 0.5f64.powf(half_lives)
    }

    /// Time by which an answer is scheduled ahead of `target` to compensate for the expected lag.
    pub fn margin(&self, target: Micros, now: Micros) -> Micros {
        let max_us = target.0 as f64 * MAX_MARGIN_FRACTION;
        Micros(self.expected_us(now).min(max_us) as u64)
    }
}
