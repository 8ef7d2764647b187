//! How long the calls of one route take, and what follows for hedging.

use sablebay_model::Micros;
use sablebay_query::LatencyWindow;

/// The span that latencies are remembered for.
const WINDOW: Micros = Micros::from_secs(8);
/// The quantile that is usual.
const USUAL_QUANTILE: f64 = 0.5;
/// The quantile after which a call counts as slow.
const SLOW_QUANTILE: f64 = 0.9;
/// The part of the target latency that a call is assumed to take before any was observed.
const ASSUMED_FRACTION: f64 = 0.2;
/// Bounds of the hedge delay, as parts of the target latency.
const HEDGE_BOUNDS: (f64, f64) = (0.12, 0.4);
/// The target assumed of a route that names none.
const ASSUMED_TARGET: Micros = Micros::from_millis(500);

/// The latencies of one route's calls.
#[derive(Debug)]
pub struct RouteLatency {
    window: LatencyWindow,
}

impl RouteLatency {
    /// Without observations.
    pub fn new(now: Micros) -> Self {
        Self { window: LatencyWindow::new(WINDOW, now) }
    }

    /// Records how long a call took.
    pub fn record(&mut self, latency: Micros, now: Micros) {
        self.window.record(latency, now);
    }

    /// How long a call usually takes.
    pub fn usual(&mut self, target: Option<Micros>, now: Micros) -> Micros {
        let assumed = Micros((target.unwrap_or(ASSUMED_TARGET).0 as f64 * ASSUMED_FRACTION) as u64);
        self.window.quantile(USUAL_QUANTILE, now).unwrap_or(assumed)
    }

    /// After how long a silent call is hedged.
    pub fn hedge_delay(&mut self, target: Option<Micros>, now: Micros) -> Micros {
        let target = target.unwrap_or(ASSUMED_TARGET).0 as f64;
        let (lowest, highest) = HEDGE_BOUNDS;
        let slow = self.window.quantile(SLOW_QUANTILE, now).map_or(target * highest, |slow| slow.0 as f64);
        Micros(slow.clamp(target * lowest, target * highest) as u64)
    }
}
