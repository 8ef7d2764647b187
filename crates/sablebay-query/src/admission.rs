//! Concurrency-limited admission with a bounded queue. Time in the queue counts against the
//! deadline.

use std::collections::VecDeque;

use sablebay_model::Micros;

/// Identifies a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WaiterId(pub u64);

/// Result of an admission attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The request runs immediately.
    Run,
    /// The request is queued.
    Wait(WaiterId),
    /// The request is refused.
    Refuse {
        /// Estimated milliseconds until a slot is free.
        retry_after_ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    id: WaiterId,
    deadline: Micros,
}

/// Concurrency limiter of a service or a node.
#[derive(Debug)]
pub struct Admission {
    slots: u32,
    queue: u32,
    running: u32,
    waiting: VecDeque<Waiter>,
    next_id: u64,
    mean_duration_us: f64,
}

/// Smoothing factor of the mean request duration.
const DURATION_WEIGHT: f64 = 0.05;
/// Minimum and maximum retry delay, in milliseconds.
const RETRY_AFTER_LIMITS: (u64, u64) = (5, 5_000);

impl Admission {
    /// Allows `slots` concurrent requests and `queue` queued ones.
    pub fn new(slots: u32, queue: u32) -> Self {
        Self { slots, queue, running: 0, waiting: VecDeque::new(), next_id: 0, mean_duration_us: 0.0 }
    }

    /// Changes the limits. Running and queued requests are not affected.
    pub fn set_limits(&mut self, slots: u32, queue: u32) {
        self.slots = slots;
        self.queue = queue;
    }

    pub fn running(&self) -> u32 {
        self.running
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Admits, queues or refuses a request.
    ///
    /// A request whose expected wait exceeds its deadline is refused immediately.
    pub fn arrive(&mut self, now: Micros, deadline: Micros) -> Arrival {
        self.drop_expired(now);
        if self.running < self.slots && self.waiting.is_empty() {
            self.running += 1;
            return Arrival::Run;
        }
        let wait_us = self.expected_wait_us();
        let would_expire = now.0 as f64 + wait_us >= deadline.0 as f64;
        if self.waiting.len() >= self.queue as usize || would_expire {
            let (lowest, highest) = RETRY_AFTER_LIMITS;
            let retry_after_ms = ((wait_us / 1_000.0) as u64).clamp(lowest, highest);
            return Arrival::Refuse { retry_after_ms };
        }
        let id = WaiterId(self.next_id);
        self.next_id += 1;
        self.waiting.push_back(Waiter { id, deadline });
        Arrival::Wait(id)
    }

    fn expected_wait_us(&self) -> f64 {
        let ahead = self.waiting.len() as f64 + 1.0;
        ahead * self.mean_duration_us / f64::from(self.slots.max(1))
    }

    fn drop_expired(&mut self, now: Micros) {
        self.waiting.retain(|waiter| waiter.deadline > now);
    }

    /// Records the end of a running request. Returns the queued request to start in its place.
    pub fn leave(&mut self, now: Micros, duration: Micros) -> Option<WaiterId> {
        self.mean_duration_us += DURATION_WEIGHT * (duration.0 as f64 - self.mean_duration_us);
        self.running = self.running.saturating_sub(1);
        self.start_next(now)
    }

    /// Removes a request from the queue. Does nothing if the request has started or expired.
    pub fn cancel(&mut self, id: WaiterId) {
        self.waiting.retain(|waiter| waiter.id != id);
    }

    fn start_next(&mut self, now: Micros) -> Option<WaiterId> {
        self.drop_expired(now);
        if self.running >= self.slots {
            return None;
        }
        let next = self.waiting.pop_front()?;
        self.running += 1;
        Some(next.id)
    }
}
