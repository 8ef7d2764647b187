//! Where a node is in its life, and the count of requests in flight that a planned stop waits for.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};

use tokio::sync::Notify;

/// Shared by everything that takes requests.
#[derive(Clone, Default)]
pub struct Lifecycle {
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    draining: AtomicBool,
    in_flight: AtomicI64,
    idle: Notify,
    stop_requested: Notify,
}

/// A request in flight; the count falls when this is dropped.
pub struct InFlight {
    inner: Arc<Inner>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.inner.in_flight.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.inner.idle.notify_waiters();
        }
    }
}

impl Lifecycle {
    /// Takes a new request, unless the node is draining.
    ///
    /// The count is raised before the check: a stop that looks at the count after setting the
    /// flag cannot miss a request that was let in.
    pub fn enter(&self) -> Option<InFlight> {
        self.inner.in_flight.fetch_add(1, Ordering::AcqRel);
        let guard = InFlight { inner: self.inner.clone() };
        (!self.is_draining()).then_some(guard)
    }

    /// Counts work that belongs to a request that was let in, also while the node is draining.
    pub fn track(&self) -> InFlight {
        self.inner.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlight { inner: self.inner.clone() }
    }

    /// Whether new work is refused.
    pub fn is_draining(&self) -> bool {
        self.inner.draining.load(Ordering::Acquire)
    }

    /// Refuses new work, or takes it again.
    pub fn set_draining(&self, draining: bool) {
        self.inner.draining.store(draining, Ordering::Release);
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> i64 {
        self.inner.in_flight.load(Ordering::Acquire)
    }

    /// Waits until nothing is in flight.
    pub async fn wait_idle(&self) {
        loop {
            let notified = self.inner.idle.notified();
            if self.in_flight() <= 0 {
                return;
            }
            notified.await;
        }
    }

    /// Asks for a planned stop.
    pub fn request_stop(&self) {
        self.inner.stop_requested.notify_one();
    }

    /// Waits until a planned stop is asked for.
    pub async fn stop_requested(&self) {
        self.inner.stop_requested.notified().await;
    }
}
