//! What a node believes after its machine was suspended: nothing, until it has been confirmed since.

use std::sync::atomic::{AtomicU64, Ordering};

use sablebay_model::Micros;

use crate::clock::Clock;

/// The shortest suspension that counts. The two clocks are read one after the other, and a busy machine takes
/// its time between; what is known is confirmed each second, so that less changes nothing.
const MINIMUM_SUSPENSION: Micros = Micros::from_millis(250);
/// How long after it has woken a node waits for its catalogue to be confirmed. A node that reaches neither its
/// source nor a peer for so long goes on with what it knows, as one does that is cut off.
const CONFIRMATION_TIMEOUT: Micros = Micros::from_secs(3);

/// Notices that the machine was suspended.
#[derive(Debug, Default)]
pub struct Suspension {
    /// How long it was in all, as far as was noticed, in microseconds.
    detected: AtomicU64,
    /// When the last was noticed, in microseconds of the node's clock; 0 when none was.
    resumed_at: AtomicU64,
}

impl Suspension {
    /// Looks at the clock. Returns how long the machine was suspended, to whoever is first to see it.
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

    /// Whether the machine was suspended after a moment: what was asked for before may have been answered before.
    pub fn resumed_since(&self, moment: Micros) -> bool {
        Micros(self.resumed_at.load(Ordering::Acquire)) > moment
    }

    /// Whether what was confirmed last at `confirmed_at` may be acted on.
    pub fn is_confirmed(&self, confirmed_at: Option<Micros>, now: Micros) -> bool {
        let resumed_at = Micros(self.resumed_at.load(Ordering::Acquire));
        let since = confirmed_at.is_some_and(|at| at >= resumed_at);
        resumed_at == Micros(0) || since || now.since(resumed_at) >= CONFIRMATION_TIMEOUT
    }
}
