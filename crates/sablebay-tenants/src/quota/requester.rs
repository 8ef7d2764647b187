//! Batching of the token requests of one tenant at one node.

use sablebay_model::Micros;

use crate::quota::message::{AccountId, ReturnedTokens};

/// Maximum age of a lent token that may be returned; an older one may already have been counted in
/// an expired window.
const RETURN_LIMIT: Micros = Micros::from_millis(500);
/// Interval over which retries of refused callers are spread.
const RETRY_SPREAD: Micros = Micros::from_secs(1);
/// Maximum time for which a node refuses without a request, since limits can be raised and nodes
/// can return.
const MAX_EMPTY_DURATION: Micros = Micros::from_secs(1);
/// Maximum number of lending accounts remembered per tenant; more do not change the answer of an
/// owner.
const MAX_LENDERS: usize = 4;

/// Returns the retry delay of a refused caller; `draw` is a random number between 0 and 1.
pub fn retry_after(empty_for: Micros, window: Micros, draw: f64) -> Micros {
    empty_for.min(window).plus(Micros((draw * RETRY_SPREAD.0 as f64) as u64))
}

/// Result of the arrival of a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Arrival<W> {
    /// The request is refused; tokens are next expected after this time.
    Refused(W, Micros),
    /// Request tokens for these waiters.
    Ask(Vec<W>),
    /// The request is queued for the next token request.
    Queued,
}

/// Token requests of one tenant at one node. `W` is the type of a waiting request.
#[derive(Debug)]
pub struct QuotaRequester<W> {
    is_requesting: bool,
    queued: Vec<W>,
    empty_until: Micros,
    returned: Option<(ReturnedTokens, Micros)>,
    lenders: Vec<(AccountId, Micros)>,
}

impl<W> Default for QuotaRequester<W> {
    fn default() -> Self {
        Self {
            is_requesting: false,
            queued: Vec::new(),
            empty_until: Micros::default(),
            returned: None,
            lenders: Vec::new(),
        }
    }
}

impl<W> QuotaRequester<W> {
    /// Adds a request.
    pub fn arrive(&mut self, waiter: W, now: Micros) -> Arrival<W> {
        if now < self.empty_until {
            return Arrival::Refused(waiter, self.empty_until.since(now));
        }
        if self.is_requesting {
            self.queued.push(waiter);
            return Arrival::Queued;
        }
        self.is_requesting = true;
        Arrival::Ask(vec![waiter])
    }

    /// Handles an answer. Returns the waiters of the queue; another request is sent for them only
    /// if [`Self::is_asking`] is true.
    pub fn answered(&mut self, empty_for: Micros, now: Micros) -> Vec<W> {
        self.empty_until = now.plus(empty_for.min(MAX_EMPTY_DURATION));
        let next = std::mem::take(&mut self.queued);
        self.is_requesting = !next.is_empty() && empty_for == Micros::default();
        next
    }

    /// Returns whether a token request is in flight.
    pub fn is_asking(&self) -> bool {
        self.is_requesting
    }

    /// Records an account that has lent tokens.
    pub fn note_lender(&mut self, account: AccountId, now: Micros) {
        self.lenders.retain(|(known, _)| *known != account);
        if self.lenders.len() == MAX_LENDERS {
            self.lenders.remove(0);
        }
        self.lenders.push((account, now));
    }

    /// Returns the accounts that lent tokens within the last window.
    pub fn lenders(&mut self, window: Micros, now: Micros) -> Vec<AccountId> {
        self.lenders.retain(|(_, at)| now.since(*at) < window);
        self.lenders.iter().map(|(account, _)| *account).collect()
    }

    /// Returns an unused token that was lent at `lent_at`.
    pub fn give_back(&mut self, account: AccountId, lent_at: Micros, now: Micros) {
        if now.since(lent_at) >= RETURN_LIMIT {
            return;
        }
        match &mut self.returned {
            Some((known, since)) if known.account == account && now.since(*since) < RETURN_LIMIT => {
                known.tokens += 1;
            }
            other => *other = Some((ReturnedTokens { account, tokens: 1 }, lent_at)),
        }
        self.empty_until = Micros::default();
    }

    /// Takes the tokens to return with the next request.
    pub fn take_returned(&mut self, now: Micros) -> Option<ReturnedTokens> {
        let (returned, since) = self.returned.take()?;
        (now.since(since) < RETURN_LIMIT).then_some(returned)
    }

    /// Returns whether the state can be discarded: nothing is in flight, to be returned or relevant
    /// to the current window.
    pub fn is_idle(&self, window: Micros, now: Micros) -> bool {
        let is_past = |(_, at): &(AccountId, Micros)| now.since(*at) >= window;
        !self.is_requesting
            && now >= self.empty_until
            && self.returned.is_none()
            && self.lenders.iter().all(is_past)
    }

    /// Handles a token request that was abandoned. Returns the queued waiters.
    pub fn lost(&mut self) -> Vec<W> {
        self.is_requesting = false;
        std::mem::take(&mut self.queued)
    }
}
