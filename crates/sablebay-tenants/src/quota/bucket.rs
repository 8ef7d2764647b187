//! Token bucket.

use sablebay_model::Micros;

/// Tokens that accrue at a rate up to a capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    pub fn new(tokens: f64, now: Micros) -> Self {
        Self { tokens, refilled_at: now }
    }

    /// Returns the tokens as of the last refill.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Adds the tokens accrued since the last refill.
    pub fn refill(&mut self, rate_per_s: f64, capacity: f64, now: Micros) {
        let accrued = rate_per_s * now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + accrued).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Advances the time without accruing tokens, and caps the tokens at `limit`.
    pub fn pause(&mut self, limit: f64, now: Micros) {
        self.tokens = self.tokens.min(limit);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Adds or removes tokens; the result is at least zero.
    pub fn adjust(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).max(0.0);
    }

    /// Multiplies the tokens by `part`.
    pub fn scale(&mut self, part: f64) {
        self.tokens *= part;
    }

    /// Takes up to `wanted` whole tokens. Returns the number taken.
    pub fn take(&mut self, wanted: u32) -> u32 {
        let taken = wanted.min(self.tokens.max(0.0) as u32);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Returns the time until a whole token is available, or [`Micros::MAX`] if none accrues.
    pub fn next_token_in(&self, rate_per_s: f64) -> Micros {
        let missing = (1.0 - self.tokens).max(0.0);
        if missing > 0.0 && rate_per_s <= 0.0 {
            return Micros::MAX;
        }
        Micros((missing / rate_per_s.max(f64::MIN_POSITIVE) * 1e6).ceil() as u64)
    }
}
