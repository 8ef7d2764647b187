//! How much later than planned this node's answers get ready: on a small or busy machine the moment
//! to answer without the missing shards is seen late, and putting the answer together takes time.

use sablebay_model::Micros;

/// Weight of a lag that is longer than what is expected: a late answer costs far more than a shard
/// that is left out, so that lateness is believed sooner.
const INCREASE_WEIGHT: f64 = 0.4;
/// Weight of a lag that is shorter.
const DECREASE_WEIGHT: f64 = 0.15;
/// Time over which an expected lag falls to half when nothing is observed.
const HALF_LIFE: Micros = Micros::from_secs(6);
/// The part of the target latency that is planned for at the most.
const MAX_MARGIN_FRACTION: f64 = 0.1;

/// The lag of this node's answers that left shards out.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerLag {
    expected_us: f64,
    observed_at: Micros,
}

impl AnswerLag {
    /// An answer that was planned for `planned_at` got ready at `ready_at`.
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

    /// How much earlier than otherwise an answer is planned for, so that it is ready in time.
    pub fn margin(&self, target: Micros, now: Micros) -> Micros {
        let max_us = target.0 as f64 * MAX_MARGIN_FRACTION;
        Micros(self.expected_us(now).min(max_us) as u64)
    }
}
