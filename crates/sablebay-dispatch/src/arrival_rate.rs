//! Exponentially decaying request arrival rate.

use sablebay_model::Micros;

/// Half-life of a counted arrival. Long enough for nodes that receive one request every few seconds to agree
/// on the number of owners of a shard.
const HALF_LIFE: Micros = Micros::from_secs(10);
/// Minimum observation span for the rate, so that the first arrivals do not yield an excessive rate.
const MIN_SPAN: Micros = Micros::from_secs(3);

/// Exponentially decaying arrival counter.
#[derive(Clone, Copy, Debug, Default)]
pub struct ArrivalRate {
    /// Decayed number of arrivals at `noted_at`.
    weight: f64,
    noted_at: Micros,
    first_at: Option<Micros>,
}

impl ArrivalRate {
    /// Counts an arrival and returns the rate in arrivals per second.
    pub fn note(&mut self, now: Micros) -> f64 {
        self.weight = self.weight_at(now) + 1.0;
        self.noted_at = now;
        self.first_at.get_or_insert(now);
        self.rate(now)
    }

    /// Rate in arrivals per second.
    pub fn rate(&self, now: Micros) -> f64 {
        let Some(first_at) = self.first_at else {
            return 0.0;
        };
        // Decayed weight of a steady rate of one arrival per second over the observed span.
        let lifetime_s = HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let unit_rate_weight =
            lifetime_s * (1.0 - 0.5f64.powf(half_lives(now.since(first_at).max(MIN_SPAN)))) + 1.0;
        self.weight_at(now) / unit_rate_weight
    }

    fn weight_at(&self, now: Micros) -> f64 {
        self.weight * 0.5f64.powf(half_lives(now.since(self.noted_at)))
    }
}

fn half_lives(span: Micros) -> f64 {
    span.as_secs_f64() / HALF_LIFE.as_secs_f64()
}
