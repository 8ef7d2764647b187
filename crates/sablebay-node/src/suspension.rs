//! What a node believes after its machine was suspended: nothing, until it has been confirmed since.

use std::sync::atomic::{AtomicU64, Ordering};

use sablebay_model::Micros;

use crate::clock::Clock;

/// The shortest suspension that counts. The two clocks are read one after the other, and a busy machine takes
/// its time between; what is known is confirmed each second, so that less changes nothing.
const SHORTEST: Micros = Micros::from_millis(250);
/// How long after it has woken a node waits for its catalogue to be confirmed. A node that reaches neither its
/// source nor a peer for so long goes on with what it knows, as one does that is cut off.
const PATIENCE: Micros = Micros::from_secs(3);

/// Notices that the machine was suspended.
#[derive(Debug, Default)]
pub struct Suspension {
    /// How long it was in all, as far as was noticed, in microseconds.
    noticed: AtomicU64,
    /// When the last was noticed, in microseconds of the node's clock; 0 when none was.
    woke_at: AtomicU64,
}

impl Suspension {
    /// Looks at the clock. Returns how long the machine was suspended, to whoever is first to see it.
    pub fn detect(&self, clock: &Clock) -> Option<Micros> {
        let suspended = Micros::from(clock.suspended_for());
        let noticed = Micros(self.noticed.load(Ordering::Acquire));
        let slept = suspended.since(noticed);
        if slept < SHORTEST {
            return None;
        }
        let first =
            self.noticed.compare_exchange(noticed.0, suspended.0, Ordering::AcqRel, Ordering::Acquire);
        self.woke_at.fetch_max(clock.now().0, Ordering::AcqRel);
        first.is_ok().then_some(slept)
    }

    /// Whether the machine was suspended after a moment: what was asked for before may have been answered before.
    pub fn resumed_since(&self, moment: Micros) -> bool {
        Micros(self.woke_at.load(Ordering::Acquire)) > moment
    }

    /// Whether what was confirmed last at `confirmed_at` may be acted on.
    pub fn is_confirmed(&self, confirmed_at: Option<Micros>, now: Micros) -> bool {
        let woke_at = Micros(self.woke_at.load(Ordering::Acquire));
        let since = confirmed_at.is_some_and(|at| at >= woke_at);
        woke_at == Micros(0) || since || now.since(woke_at) >= PATIENCE
    }
}
