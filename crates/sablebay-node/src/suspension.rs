//! Detection of machine suspension. State known before must be confirmed again before it is used.

use std::sync::atomic::{AtomicU64, Ordering};

use sablebay_model::Micros;

use crate::clock::Clock;

/// The shortest suspension that is detected; shorter differences may come from reading the two clocks in sequence.
const MINIMUM_SUSPENSION: Micros = Micros::from_millis(250);
/// How long a node waits after a resume for its catalogue to be confirmed. After that, it uses the catalogue that it
/// has, like a partitioned node.
const CONFIRMATION_TIMEOUT: Micros = Micros::from_secs(3);

/// Detects suspensions of the machine.
#[derive(Debug, Default)]
pub struct Suspension {
    /// Total detected suspension in microseconds.
    detected: AtomicU64,
    /// Time of the last detection in microseconds of the node's clock; 0 before the first.
    resumed_at: AtomicU64,
}

impl Suspension {
    /// Checks for a new suspension. Returns its duration to the first caller that detects it.
    pub fn detect(&self, clock: &Clock) -> Option<Micros> {
        let suspended = Micros::from(clock.suspended_for());
        let detected = Micros(self.detected.load(Ordering::Acquire));
        let duration = suspended.since(detected);
        if duration < MINIMUM_SUSPENSION {
            return None;
        }
        let first =
            self.detected.compare_exchange(detected.0, suspended.0, Ordering::AcqRel, Ordering::Acquire);
        self.resumed_at.fetch_max(clock.now().0, Ordering::AcqRel);
        first.is_ok().then_some(duration)
    }

    /// Whether a suspension was detected after `moment`: a request sent before may have been answered before it.
    pub fn resumed_since(&self, moment: Micros) -> bool {
        Micros(self.resumed_at.load(Ordering::Acquire)) > moment
    }

    /// Whether state last confirmed at `confirmed_at` may be used.
    pub fn is_confirmed(&self, confirmed_at: Option<Micros>, now: Micros) -> bool {
        let resumed_at = Micros(self.resumed_at.load(Ordering::Acquire));
        let since = confirmed_at.is_some_and(|at| at >= resumed_at);
        resumed_at == Micros(0) || since || now.since(resumed_at) >= CONFIRMATION_TIMEOUT
    }
}
