//! The requests of one tenant that wait at one node.

use sablebay_model::Micros;

use crate::quota::message::{AccountId, ReturnedTokens};

/// How long after it was lent a token may come back: later it may already be counted as used in a window that is
/// over.
const RETURN_LIMIT: Micros = Micros::from_millis(500);
/// Over which time refused callers are spread when they come back, so that they do not come in step.
const RETRY_SPREAD: Micros = Micros::from_secs(1);
/// The longest that a node refuses by itself: limits are raised, and nodes come back.
const MAX_EMPTY_DURATION: Micros = Micros::from_secs(1);
/// Accounts of a tenant that are remembered: what a keeper takes over from does not depend on more.
const MAX_LENDERS: usize = 4;

/// When a refused caller may come back; `draw` is between 0 and 1.
pub fn retry_after(empty_for: Micros, window: Micros, draw: f64) -> Micros {
    empty_for.min(window).plus(Micros((draw * RETRY_SPREAD.0 as f64) as u64))
}

/// What a request meets that arrives.
#[derive(Debug, PartialEq, Eq)]
pub enum Arrival<W> {
    /// It is refused: there are no tokens for a while.
    Refused(W, Micros),
    /// The account is asked for it.
    Ask(Vec<W>),
    /// It waits for the next question.
    Queued,
}

/// The requests of one tenant that wait at one node; `W` stands for one of them.
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
    /// A request arrives.
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

    /// A question was answered. Returns who is asked for next; nothing when no question follows.
    pub fn answered(&mut self, empty_for: Micros, now: Micros) -> Vec<W> {
        self.empty_until = now.plus(empty_for.min(MAX_EMPTY_DURATION));
        let next = std::mem::take(&mut self.queued);
        self.is_requesting = !next.is_empty() && empty_for == Micros::default();
        next
    }

    /// Whether a question is on its way.
    pub fn is_asking(&self) -> bool {
        self.is_requesting
    }

    /// An account has lent tokens.
    pub fn note_lender(&mut self, account: AccountId, now: Micros) {
        self.lenders.retain(|(known, _)| *known != account);
        if self.lenders.len() == MAX_LENDERS {
            self.lenders.remove(0);
        }
        self.lenders.push((account, now));
    }

    /// The accounts that lent tokens in a window that ends now.
    pub fn lenders(&mut self, window: Micros, now: Micros) -> Vec<AccountId> {
        self.lenders.retain(|(_, at)| now.since(*at) < window);
        self.lenders.iter().map(|(account, _)| *account).collect()
    }

    /// Nothing was sent for a token that was lent at `lent_at`.
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

    /// The tokens that go back with the next question.
    pub fn take_returned(&mut self, now: Micros) -> Option<ReturnedTokens> {
        let (returned, since) = self.returned.take()?;
        (now.since(since) < RETURN_LIMIT).then_some(returned)
    }

    /// Whether it can be forgotten: nobody waits, and nothing that a question tells is left of the window.
    pub fn is_idle(&self, window: Micros, now: Micros) -> bool {
        let is_past = |(_, at): &(AccountId, Micros)| now.since(*at) >= window;
        !self.is_requesting
            && now >= self.empty_until
            && self.returned.is_none()
            && self.lenders.iter().all(is_past)
    }

    /// A question was lost with whoever asked it. Returns who waited for the next.
    pub fn lost(&mut self) -> Vec<W> {
        self.is_requesting = false;
        std::mem::take(&mut self.queued)
    }
}
