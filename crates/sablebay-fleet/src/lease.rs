//! The freshness lease: how long ago a node knew that its configuration was the newest it could
//! have heard of.

use sablebay_model::Micros;

/// Holds while a peer has confirmed the configuration recently.
///
/// A process that was paused finds its lease expired on its first look, since the lease is a
/// point in time and not a timer that has to fire.
#[derive(Clone, Debug)]
pub struct FreshnessLease {
    length: Micros,
    confirmed_at: Option<Micros>,
}

impl FreshnessLease {
    /// A lease of `length`, not confirmed yet.
    pub fn new(length: Micros) -> Self {
        Self { length, confirmed_at: None }
    }

    /// Somebody answered a question that was asked at `asked_at`, and knew of nothing newer.
    ///
    /// The time of the question counts, not that of the answer: what was newer in between may
    /// not have been known.
    pub fn confirm(&mut self, asked_at: Micros) {
        self.confirmed_at = Some(self.confirmed_at.map_or(asked_at, |before| before.max(asked_at)));
    }

    /// Whether the configuration is confirmed.
    pub fn is_fresh(&self, now: Micros) -> bool {
        self.age(now).is_some_and(|age| age <= self.length)
    }

    /// How long ago the configuration was confirmed; nothing when it never was.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.confirmed_at.map(|at| now.since(at))
    }
}
