//! Timestamps. Decision logic takes them as arguments instead of reading a clock.

use std::time::Duration;

use derive_more::Display;
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Microseconds on a node's monotonic clock, with an arbitrary origin. Also used for durations.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Encode,
    Decode,
)]
#[serde(transparent)]
#[musli(transparent)]
pub struct Micros(pub u64);

impl Micros {
    /// The latest representable time, used for "never".
    pub const MAX: Micros = Micros(u64::MAX);

    /// Converts milliseconds, saturating on overflow.
    pub const fn from_millis(milliseconds: u64) -> Self {
        Self(milliseconds.saturating_mul(1_000))
    }

    /// Converts seconds, saturating on overflow.
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds.saturating_mul(1_000_000))
    }

    /// The value in milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The time elapsed since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// Adds `amount`, saturating on overflow.
    pub const fn plus(self, amount: Micros) -> Micros {
        Micros(self.0.saturating_add(amount.0))
    }

    pub const fn as_duration(self) -> Duration {
        Duration::from_micros(self.0)
    }
}

impl From<Duration> for Micros {
    fn from(duration: Duration) -> Self {
        Micros(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

/// Wall-clock milliseconds since the Unix epoch. Clocks of different machines may differ.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Encode,
    Decode,
)]
#[serde(transparent)]
#[musli(transparent)]
pub struct WallMillis(pub u64);
