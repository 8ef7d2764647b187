//! Latency quantiles over a sliding window.

use hdrhistogram::Histogram;

use sablebay_model::Micros;

/// Sliding-window histogram made of two rotating halves.
#[derive(Debug)]
pub struct LatencyWindow {
    current: Histogram<u64>,
    previous: Histogram<u64>,
    half: Micros,
    rotated_at: Micros,
    cached: Option<(f64, Micros, Micros)>,
}

/// Highest latency that the histogram distinguishes, in microseconds.
const MAXIMUM_LATENCY_US: u64 = 600_000_000;
/// Lifetime of a cached quantile.
const CACHE_LIFETIME: Micros = Micros::from_millis(50);
/// Minimum number of observations for a quantile.
const MINIMUM_OBSERVATIONS: u64 = 20;

fn empty_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAXIMUM_LATENCY_US, 2).expect("constant bounds are valid")
}

impl LatencyWindow {
    /// Creates a window of the given length.
    pub fn new(length: Micros, now: Micros) -> Self {
        Self {
            current: empty_histogram(),
            previous: empty_histogram(),
            half: Micros((length.0 / 2).max(1)),
            rotated_at: now,
            cached: None,
        }
    }

    pub fn record(&mut self, latency: Micros, now: Micros) {
        self.rotate(now);
        self.current.saturating_record(latency.0.max(1));
    }

    fn rotate(&mut self, now: Micros) {
        if now.since(self.rotated_at) < self.half {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        self.rotated_at = now;
    }

    /// Returns the `quantile` (0 to 1), or `None` if there are too few observations.
    pub fn quantile(&mut self, quantile: f64, now: Micros) -> Option<Micros> {
        if let Some((cached_quantile, at, value)) = self.cached
            && cached_quantile == quantile
            && now.since(at) < CACHE_LIFETIME
        {
            return Some(value);
        }
        let mut both = self.current.clone();
        both.add(&self.previous).expect("both halves have the same bounds");
        if both.len() < MINIMUM_OBSERVATIONS {
            return None;
        }
        let value = Micros(both.value_at_quantile(quantile));
        self.cached = Some((quantile, now, value));
        Some(value)
    }
}
