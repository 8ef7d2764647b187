//! The draining flag of a node, the times of a planned stop, and the count of requests in flight that it waits for.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};

use tokio::sync::{Notify, watch};

use sablebay_model::Micros;

use crate::clock::Clock;

/// Time reserved for writing answers and closing connections at the end of a planned stop.
const CLOSING_TIME: Micros = Micros::from_millis(300);
/// The largest part of a planned stop that is reserved for this.
const MAXIMUM_CLOSING_FRACTION: u64 = 4;

/// The time limits of a planned stop, on the node's monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTimes {
    /// The last moment at which a request may still be answered. Its response must be written by `end_at`.
    pub answer_by: Micros,
    /// When the node closes what is still open.
    pub end_at: Micros,
}

impl StopTimes {
    /// A stop that begins now and takes `limit` at most.
    pub fn new(now: Micros, limit: Micros) -> Self {
        let end_at = now.plus(limit);
        let closing = CLOSING_TIME.min(Micros(limit.0 / MAXIMUM_CLOSING_FRACTION));
        Self { answer_by: end_at.since(closing), end_at }
    }
}

/// Draining flag, planned stop and in-flight count, shared by all request handlers.
#[derive(Clone, Default)]
pub struct Lifecycle {
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    draining: AtomicBool,
    in_flight: AtomicI64,
    idle: Notify,
    /// The planned stop, once it has begun.
    stop: watch::Sender<Option<StopTimes>>,
}

/// Tells one request when a planned stop begins.
#[derive(Debug)]
pub struct StopWatch {
    stop: watch::Receiver<Option<StopTimes>>,
    is_taken: bool,
}

impl StopWatch {
    /// Waits until the stop begins. Never resolves once its times were taken.
    pub async fn begun(&mut self) {
        if self.is_taken || self.stop.wait_for(Option::is_some).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// The times of the stop, once, after it has begun.
    pub fn take_begun(&mut self) -> Option<StopTimes> {
        let times = if self.is_taken { None } else { *self.stop.borrow() };
        self.is_taken |= times.is_some();
        times
    }
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

    /// Begins a planned stop, which cannot be cancelled. Returns its times; those of the first call apply.
    pub fn begin_stop(&self, times: StopTimes) -> StopTimes {
        self.inner.stop.send_if_modified(|stop| {
            let begins = stop.is_none();
            stop.get_or_insert(times);
            begins
        });
        self.stop_times().unwrap_or(times)
    }

    /// The times of the planned stop, once it has begun.
    pub fn stop_times(&self) -> Option<StopTimes> {
        *self.inner.stop.borrow()
    }

    pub fn watch_stop(&self) -> StopWatch {
        StopWatch { stop: self.inner.stop.subscribe(), is_taken: false }
    }

    /// Waits for `work`, but no longer than until the answers are due in a planned stop; `None` if cut short.
    pub async fn before_stop<T>(&self, clock: Clock, work: impl Future<Output = T>) -> Option<T> {
        let answers_due = async {
            self.watch_stop().begun().await;
            let answer_by = self.stop_times().map_or(Micros::MAX, |times| times.answer_by);
            tokio::time::sleep_until(clock.instant(answer_by)).await;
        };
        tokio::select! {
            biased;
            done = work => Some(done),
            () = answers_due => None,
        }
    }
}
