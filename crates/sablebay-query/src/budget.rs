//! Per-service budget for hedges and retries.

use sablebay_model::Micros;

/// Token bucket for extra calls, filled by first calls.
///
/// Each first call answered in time adds `share` of a token. When all back ends are slow no tokens
/// are added, which keeps extra calls from amplifying an overload.
#[derive(Clone, Debug)]
pub struct ExtraLoadBudget {
    share: f64,
    tokens: f64,
    last_refill_at: Micros,
    first_calls: u64,
    extra_calls: u64,
    refused: u64,
}

/// Capacity of the bucket, in tokens.
const MAXIMUM_TOKENS: f64 = 10.0;
/// Initial tokens, which allow a new service to retry its first failure.
const INITIAL_TOKENS: f64 = 1.0;
/// Minimum refill rate, which allows a service with little traffic to retry.
const REFILL_TOKENS_PER_SECOND: f64 = 0.1;

impl ExtraLoadBudget {
    /// Creates a budget of `percent` of first calls.
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

    /// Changes the percentage. Accumulated tokens are kept.
    pub fn set_percent(&mut self, percent: f64) {
        self.share = percent / 100.0;
    }

    pub fn first_call(&mut self) {
        self.first_calls += 1;
    }

    /// Adds the share of one call that was answered in time.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAXIMUM_TOKENS);
    }

    /// Takes one token for an extra call. Returns false if none is available.
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

    pub fn first_calls(&self) -> u64 {
        self.first_calls
    }

    pub fn extra_calls(&self) -> u64 {
        self.extra_calls
    }

    /// Returns the number of extra calls refused for lack of tokens.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
