//! How often requests come in, over the last seconds.

use sablebay_model::Micros;

/// Time over which what was counted falls to half. Where each of hundreds of nodes takes a request in six
/// seconds, shorter ones see nothing but chance, and nodes would disagree on how many owners a shard has.
const HALF_LIFE: Micros = Micros::from_secs(10);
/// The shortest time that a rate is told of: the first arrival says little.
const MIN_SPAN: Micros = Micros::from_secs(3);

/// A rate that forgets.
#[derive(Clone, Copy, Debug, Default)]
pub struct ArrivalRate {
    /// Arrivals, each halved with every half-life since.
    weight: f64,
    noted_at: Micros,
    first_at: Option<Micros>,
}

impl ArrivalRate {
    /// Counts an arrival. Returns the rate, in arrivals a second.
    pub fn note(&mut self, now: Micros) -> f64 {
        self.weight = self.weight_at(now) + 1.0;
        self.noted_at = now;
        self.first_at.get_or_insert(now);
        self.rate(now)
    }

    /// The rate, in arrivals a second.
    pub fn rate(&self, now: Micros) -> f64 {
        let Some(first_at) = self.first_at else {
            return 0.0;
        };
        // What a steady rate of one a second would have come to by now.
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
