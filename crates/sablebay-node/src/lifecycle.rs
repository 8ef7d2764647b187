//! The draining flag of a node, and the count of requests in flight that a planned stop waits for.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};

use tokio::sync::Notify;

/// Draining flag and in-flight count, shared by all request handlers.
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

/// Guard of a request in flight; decrements the count when dropped.
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
    /// Admits a new request, unless the node is draining.
    ///
    /// The count is incremented before the flag is read: a stop that sets the flag and then reads
    /// the count cannot miss an admitted request.
    pub fn enter(&self) -> Option<InFlight> {
        self.inner.in_flight.fetch_add(1, Ordering::AcqRel);
        let guard = InFlight { inner: self.inner.clone() };
        (!self.is_draining()).then_some(guard)
    }

    /// Counts work that belongs to an admitted request, also while the node is draining.
    pub fn track(&self) -> InFlight {
        self.inner.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlight { inner: self.inner.clone() }
    }

    pub fn is_draining(&self) -> bool {
        self.inner.draining.load(Ordering::Acquire)
    }

    /// Sets whether new requests are refused.
    pub fn set_draining(&self, draining: bool) {
        self.inner.draining.store(draining, Ordering::Release);
    }

    pub fn in_flight(&self) -> i64 {
        self.inner.in_flight.load(Ordering::Acquire)
    }

    /// Waits until no request is in flight.
    pub async fn wait_idle(&self) {
        loop {
            let notified = self.inner.idle.notified();
            if self.in_flight() <= 0 {
                return;
            }
            notified.await;
        }
    }

    /// Requests a planned stop.
    pub fn request_stop(&self) {
        self.inner.stop_requested.notify_one();
    }

    /// Waits until a planned stop is requested.
    pub async fn stop_requested(&self) {
        self.inner.stop_requested.notified().await;
    }
}
