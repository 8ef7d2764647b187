//! Points in time. Decision logic takes them as arguments and never reads a clock itself.

use std::time::Duration;

use derive_more::Display;
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Microseconds on a node's own monotonic clock, counted from an arbitrary start.
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
    /// The largest point in time: "never".
    pub const MAX: Micros = Micros(u64::MAX);

    /// From whole milliseconds.
    pub const fn from_millis(milliseconds: u64) -> Self {
        Self(milliseconds * 1_000)
    }

    /// From whole seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds * 1_000_000)
    }

    /// Whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// As seconds with a fraction.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The time from `earlier` to `self`; zero when `earlier` is later.
    pub const fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// `self + amount`, without overflow.
    pub const fn plus(self, amount: Micros) -> Micros {
        Micros(self.0.saturating_add(amount.0))
    }

    /// As a standard duration.
    pub const fn as_duration(self) -> Duration {
        Duration::from_micros(self.0)
    }
}

impl From<Duration> for Micros {
    fn from(duration: Duration) -> Self {
        Micros(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

/// Milliseconds since 1970 on the wall clock. Two machines may disagree about it.
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
