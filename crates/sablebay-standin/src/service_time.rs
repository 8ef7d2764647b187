//! How long a leaf works on a call.

use std::f64::consts::TAU;
use std::time::Duration;

use rand::{Rng, RngExt};

/// A log-normal distribution, with a share of calls that take several times as long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTime {
    /// The median, in microseconds. Zero: no time at all.
    pub median_us: f64,
    /// The standard deviation of the logarithm: 0.3 is narrow, 1 has a heavy tail.
    pub sigma: f64,
    /// The share of calls that are stragglers.
    pub straggler_fraction: f64,
    /// How many times longer those take.
    pub straggler_factor: f64,
}

impl ServiceTime {
    /// No time at all.
    pub const NONE: ServiceTime =
        ServiceTime { median_us: 0.0, sigma: 0.0, straggler_fraction: 0.0, straggler_factor: 1.0 };

    /// A log-normal distribution without stragglers.
    pub fn log_normal(median_us: f64, sigma: f64) -> Self {
        Self { median_us, sigma, ..Self::NONE }
    }

    /// Draws one time.
    pub fn draw<R: Rng>(&self, random: &mut R) -> Duration {
        if self.median_us == 0.0 {
            return Duration::ZERO;
        }
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        let angle: f64 = random.random_range(0.0..TAU);
        let normal = (-2.0 * uniform.ln()).sqrt() * angle.cos();
        let mut micros = self.median_us * (self.sigma * normal).exp();
        if self.straggler_fraction > 0.0 && random.random_bool(self.straggler_fraction) {
            micros *= self.straggler_factor;
        }
        Duration::from_micros(micros as u64)
    }

    /// The mean, in microseconds.
    pub fn mean_us(&self) -> f64 {
        let mean = self.median_us * (self.sigma * self.sigma / 2.0).exp();
        mean * (1.0 + self.straggler_fraction * (self.straggler_factor - 1.0))
    }
}
