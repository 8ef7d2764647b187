//! One budget of extra load for each service: hedges and retries are paid from it.

use sablebay_model::Micros;

/// A token bucket that first calls fill and extra calls empty.
///
/// First calls that are answered in good time put in `share` of a token each. When every back end
/// is slow nothing is put in, so that extra load falls towards zero just when it would hurt.
#[derive(Clone, Debug)]
pub struct ExtraLoadBudget {
    share: f64,
    tokens: f64,
    last_refill_at: Micros,
    first_calls: u64,
    extra_calls: u64,
    refused: u64,
}

/// Tokens that can be saved up at the most.
const MAXIMUM_TOKENS: f64 = 10.0;
/// Tokens at the start: enough for the first failures of a service that has had no calls yet.
const INITIAL_TOKENS: f64 = 1.0;
/// Tokens a second whatever the traffic, so that a service with little of it can retry at all.
const REFILL_TOKENS_PER_SECOND: f64 = 0.1;

impl ExtraLoadBudget {
    /// A budget of `percent` of first calls.
    pub fn new(percent: f64, now: Micros) -> Self {
        Self {
            share: percent / 100.0,
            tokens: if percent > 0.0 { INITIAL_TOKENS } else { 0.0 },
            last_refill_at: now,
            first_calls: 0,
            extra_calls: 0,
            refused: 0,
        }
    }

    /// Changes the percentage; what is saved up stays.
    pub fn set_percent(&mut self, percent: f64) {
        self.share = percent / 100.0;
    }

    /// Counts a first call.
    pub fn first_call(&mut self) {
        self.first_calls += 1;
    }

    /// Puts in the share of one call that was answered in good time.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAXIMUM_TOKENS);
    }

    /// Takes one token for an extra call; false when there is none.
    pub fn spend(&mut self, now: Micros) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            self.refused += 1;
            return false;
        }
        self.tokens -= 1.0;
        self.extra_calls += 1;
        true
    }

    fn refill(&mut self, now: Micros) {
        let elapsed = now.since(self.last_refill_at).as_secs_f64();
        self.last_refill_at = now;
        if self.share > 0.0 {
            self.tokens = (self.tokens + elapsed * REFILL_TOKENS_PER_SECOND).min(MAXIMUM_TOKENS);
        }
    }

    /// First calls so far.
    pub fn first_calls(&self) -> u64 {
        self.first_calls
    }

    /// Extra calls so far.
    pub fn extra_calls(&self) -> u64 {
        self.extra_calls
    }

    /// Extra calls that were wanted and not allowed.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
