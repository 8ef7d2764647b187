//! The freshness lease, which bounds how long a node's configuration counts as confirmed.

use sablebay_model::Micros;

/// A lease that is valid for a fixed time after the last confirmation.
///
/// Expiry is computed from the current time rather than by a timer, so a process that resumes
/// after a pause sees the lease as expired immediately.
#[derive(Clone, Debug)]
pub struct FreshnessLease {
    length: Micros,
    confirmed_at: Option<Micros>,
}

impl FreshnessLease {
    /// Creates an unconfirmed lease.
    pub fn new(length: Micros) -> Self {
        Self { length, confirmed_at: None }
    }

    /// Records a confirmation requested at `asked_at`.
    ///
    /// The lease starts at the time of the request, since a newer configuration may have been
    /// published between the request and the response.
    pub fn confirm(&mut self, asked_at: Micros) {
        self.confirmed_at = Some(self.confirmed_at.map_or(asked_at, |before| before.max(asked_at)));
    }

    /// Whether the last confirmation is within the lease.
    pub fn is_fresh(&self, now: Micros) -> bool {
        self.age(now).is_some_and(|age| age <= self.length)
    }

    /// Time since the last confirmation, or `None` if there was none.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.confirmed_at.map(|at| now.since(at))
    }
}
