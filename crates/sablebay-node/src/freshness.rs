//! Lock-free copy of the configuration's freshness for the query path.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use tokio::sync::Notify;

use sablebay_fleet::FleetNode;
use sablebay_model::Micros;

const NEVER: u64 = u64::MAX;

/// A copy of the freshness lease, published after each step of the fleet state machine.
#[derive(Default)]
pub struct Freshness {
    confirmed_at: AtomicU64,
    fresh_until: AtomicU64,
    ready: AtomicBool,
    changed: Notify,
}

impl Freshness {
    pub fn publish(&self, fleet: &FleetNode, now: Micros) {
        let confirmed_at = fleet.confirmed_ago(now).map_or(NEVER, |ago| now.since(ago).0);
        let fresh_until =
            if fleet.is_fresh(now) { confirmed_at.saturating_add(fleet.lease_length().0) } else { 0 };
        self.confirmed_at.store(confirmed_at, Ordering::Release);
        self.fresh_until.store(fresh_until, Ordering::Release);
        self.ready.store(fleet.is_ready(now), Ordering::Release);
        self.changed.notify_waiters();
    }

    /// Whether the node may serve requests.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Whether the freshness lease is valid at `now`.
    pub fn is_fresh(&self, now: Micros) -> bool {
        now.0 <= self.fresh_until.load(Ordering::Acquire)
    }

    /// Milliseconds since the configuration was last confirmed.
    pub fn confirmed_ms_ago(&self, now: Micros) -> Option<u64> {
        let at = self.confirmed_at.load(Ordering::Acquire);
        (at != NEVER).then(|| now.since(Micros(at)).as_millis())
    }

    /// Waits for the next publication.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
