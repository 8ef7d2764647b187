//! Call latencies of one route, and the hedge delay derived from them.

use sablebay_model::Micros;
use sablebay_query::LatencyWindow;

/// Window of recorded latencies.
const WINDOW: Micros = Micros::from_secs(8);
const USUAL_QUANTILE: f64 = 0.5;
/// Quantile of the latency that is used as the hedge delay.
const SLOW_QUANTILE: f64 = 0.9;
/// Latency assumed before the first observation, as a fraction of the target latency.
const ASSUMED_FRACTION: f64 = 0.2;
/// Minimum and maximum hedge delay, as fractions of the target latency.
const HEDGE_BOUNDS: (f64, f64) = (0.12, 0.4);
/// Target latency assumed for routes without one.
const ASSUMED_TARGET: Micros = Micros::from_millis(500);

#[derive(Debug)]
pub struct RouteLatency {
    window: LatencyWindow,
}

impl RouteLatency {
    pub fn new(now: Micros) -> Self {
        Self { window: LatencyWindow::new(WINDOW, now) }
    }

    pub fn record(&mut self, latency: Micros, now: Micros) {
        self.window.record(latency, now);
    }

    /// Usual latency of a call.
    pub fn usual(&mut self, target: Option<Micros>, now: Micros) -> Micros {
        let assumed = Micros((target.unwrap_or(ASSUMED_TARGET).0 as f64 * ASSUMED_FRACTION) as u64);
        self.window.quantile(USUAL_QUANTILE, now).unwrap_or(assumed)
    }

    /// Delay after which a call without an answer is hedged.
    pub fn hedge_delay(&mut self, target: Option<Micros>, now: Micros) -> Micros {
        let target = target.unwrap_or(ASSUMED_TARGET).0 as f64;
        let (lowest, highest) = HEDGE_BOUNDS;
        let slow = self.window.quantile(SLOW_QUANTILE, now).map_or(target * highest, |slow| slow.0 as f64);
        Micros(slow.clamp(target * lowest, target * highest) as u64)
    }
}
