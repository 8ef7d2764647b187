//! Call latencies of one route, and the delays derived from them.

use sablebay_model::Micros;
use sablebay_query::LatencyWindow;

use crate::fanout::CallDurations;

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

/// Weight of a new observation in the moving average of exchanges.
const EXCHANGE_WEIGHT: f64 = 0.1;

#[derive(Debug)]
pub struct RouteLatency {
    /// From the choice of a replica to its answer.
    window: LatencyWindow,
    /// Moving average of the time from sending to the answer, in microseconds. A second window would double the memory
    /// of a route.
    exchange_us: Option<f64>,
}

impl RouteLatency {
    pub fn new(now: Micros) -> Self {
        Self { window: LatencyWindow::new(WINDOW, now), exchange_us: None }
    }

    /// Records an answered call, and the part of its latency since it was sent.
    pub fn record(&mut self, latency: Micros, exchange: Micros, now: Micros) {
        self.window.record(latency, now);
        let exchange_us = exchange.0 as f64;
        let average_us = self.exchange_us.get_or_insert(exchange_us);
        *average_us += EXCHANGE_WEIGHT * (exchange_us - *average_us);
    }

    /// Usual durations of a call.
    pub fn usual(&mut self, target: Option<Micros>, now: Micros) -> CallDurations {
        let assumed = Micros((target.unwrap_or(ASSUMED_TARGET).0 as f64 * ASSUMED_FRACTION) as u64);
        let total = self.window.quantile(USUAL_QUANTILE, now).unwrap_or(assumed);
        let exchange = self.exchange_us.map_or(total, |average_us| Micros(average_us as u64));
        CallDurations { total, exchange: exchange.min(total) }
    }

    /// Delay after which a call without an answer is hedged.
    pub fn hedge_delay(&mut self, target: Option<Micros>, now: Micros) -> Micros {
        let target = target.unwrap_or(ASSUMED_TARGET).0 as f64;
        let (lowest, highest) = HEDGE_BOUNDS;
        let slow = self.window.quantile(SLOW_QUANTILE, now).map_or(target * highest, |slow| slow.0 as f64);
        Micros(slow.clamp(target * lowest, target * highest) as u64)
    }
}
