//! Distribution of a leaf's service time.

use std::f64::consts::TAU;
use std::time::Duration;

use rand::{Rng, RngExt};

/// A log-normal distribution with a fraction of stragglers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTime {
    /// Median in microseconds; 0 disables the service time.
    pub median_us: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Fraction of calls that are stragglers.
    pub straggler_fraction: f64,
    /// Factor on the time of stragglers.
    pub straggler_factor: f64,
}

impl ServiceTime {
    /// No service time.
    pub const NONE: ServiceTime =
        ServiceTime { median_us: 0.0, sigma: 0.0, straggler_fraction: 0.0, straggler_factor: 1.0 };

    /// Returns a log-normal distribution without stragglers.
    pub fn log_normal(median_us: f64, sigma: f64) -> Self {
        Self { median_us, sigma, ..Self::NONE }
    }

    /// Draws a service time.
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

    /// Mean in microseconds.
    pub fn mean_us(&self) -> f64 {
        let mean = self.median_us * (self.sigma * self.sigma / 2.0).exp();
        mean * (1.0 + self.straggler_fraction * (self.straggler_factor - 1.0))
    }
}
