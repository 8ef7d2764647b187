//! Sliding-window request counter.

use std::collections::VecDeque;

use sablebay_model::Micros;

/// Requests allowed in the last window, with their times. The number of entries is at most the
/// limit.
#[derive(Clone, Debug, Default)]
pub struct WindowCount {
    passed: VecDeque<(Micros, u32)>,
}

impl WindowCount {
    /// Returns the requests allowed in the window that ends now.
    pub fn count(&mut self, window: Micros, now: Micros) -> u32 {
        while self.passed.front().is_some_and(|(at, _)| now.since(*at) >= window) {
            self.passed.pop_front();
        }
        self.passed.iter().map(|(_, requests)| requests).sum()
    }

    /// Allows up to `wanted` requests within the limit. Returns the number allowed.
    pub fn take(&mut self, limit: u32, window: Micros, wanted: u32, now: Micros) -> u32 {
        let taken = wanted.min(limit.saturating_sub(self.count(window, now)));
        if taken > 0 {
            self.passed.push_back((now, taken));
        }
        taken
    }

    /// Returns the time until the oldest requests leave the window.
    pub fn next_leave_in(&self, window: Micros, now: Micros) -> Micros {
        self.passed.front().map_or(window, |(at, _)| at.plus(window).since(now))
    }
}
