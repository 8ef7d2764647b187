//! Token account of one tenant, at its owner or standby.

use sablebay_model::Micros;

use crate::quota::QuotaRule;
use crate::quota::bucket::TokenBucket;
use crate::quota::message::{AccountId, QuotaGrant, QuotaRequest};
use crate::quota::window_count::WindowCount;
use crate::tenant::Quota;

/// Minimum time for which a requester treats an account as empty; bounds the messages about a
/// tenant far over its quota.
pub(super) const MIN_EMPTY_DURATION: Micros = Micros::from_millis(25);
/// Fraction of the takeover tokens lent if the owner had already changed in the same window, so
/// that two further changes fit the overage.
const REPEATED_TAKEOVER_PART: f64 = 0.25;
/// Time during which an owner that has just started or resumed lends only its initial tokens;
/// meanwhile the node that had taken over may still be lending.
const HANDOVER_DELAY: Micros = Micros::from_secs(1);

/// Role of a node in a tenant's account, as seen by that node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnerStatus {
    /// Whether the node is the first present one in the order of the tenant.
    pub is_first: bool,
    /// Present nodes as a fraction of recently known nodes; scales the quota during a network
    /// partition.
    pub share: f64,
    /// Time since the node started or resumed.
    pub running_for: Micros,
}

#[derive(Clone, Debug)]
pub struct Account {
    id: AccountId,
    version: u64,
    quota: Quota,
    bucket: TokenBucket,
    /// Since when the bucket has held less than one token.
    empty_since: Option<Micros>,
    /// Burst spread over the window, for a tenant that sends continuously.
    spread_burst: TokenBucket,
    /// Tokens lent as standby.
    standby: WindowCount,
    was_owner: bool,
    handed_over_at: Option<Micros>,
    created_at: Micros,
    last_request_at: Micros,
    /// Maximum number of other accounts that lent to one requester in the preceding window.
    other_lenders: usize,
}

impl Account {
    /// Creates an account that is new or replaces a lost one.
    pub fn new(
        id: AccountId,
        version: u64,
        quota: Quota,
        rule: &QuotaRule,
        owner_status: &OwnerStatus,
        now: Micros,
    ) -> Self {
        let takeover = rule.takeover_tokens(&quota);
        let accrued = quota.rate_per_s * owner_status.running_for.as_secs_f64();
        let tokens = if owner_status.running_for < rule.window {
            rule.restart_tokens(&quota).min(accrued)
        } else {
            // Limited to the capacity, since a standby may lend at the same time.
            takeover.min(rule.capacity(&quota))
        };
        let tokens = tokens * owner_status.share;
        Self {
            id,
            version,
            quota,
            bucket: TokenBucket::new(tokens, now),
            empty_since: None,
            spread_burst: TokenBucket::new(0.0, now),
            standby: WindowCount::default(),
            was_owner: owner_status.is_first,
            handed_over_at: None,
            created_at: now,
            last_request_at: now,
            other_lenders: 0,
        }
    }

    /// Records the accounts that lent in the preceding window. Several mean repeated owner changes,
    /// for which the account lends less.
    fn note_lenders(&mut self, lenders: &[AccountId]) {
        let other_lenders = lenders.iter().filter(|lender| **lender != self.id).count();
        if other_lenders > 1 && self.other_lenders <= 1 {
            self.bucket.scale(REPEATED_TAKEOVER_PART);
        }
        self.other_lenders = self.other_lenders.max(other_lenders);
    }

    /// Returns the tokens that this node may lend after a takeover or as standby.
    fn takeover_tokens(&self, rule: &QuotaRule, owner_status: &OwnerStatus, now: Micros) -> f64 {
        let is_repeated = self.other_lenders > 1 && now.since(self.created_at) < rule.window;
        let part = if is_repeated { REPEATED_TAKEOVER_PART } else { 1.0 };
        rule.takeover_tokens(&self.quota) * owner_status.share * part
    }

    pub fn last_request_at(&self) -> Micros {
        self.last_request_at
    }

    /// Applies the quota of a newer configuration. An increase of the capacity is available
    /// immediately.
    pub fn update(&mut self, version: u64, quota: Quota, rule: &QuotaRule, share: f64) {
        if version <= self.version {
            return;
        }
        let more = (rule.capacity(&quota) - rule.capacity(&self.quota)) * share;
        self.version = version;
        self.quota = quota;
        self.bucket.adjust(more);
    }

    /// Lends tokens for a request.
    pub fn lend(
        &mut self,
        request: &QuotaRequest,
        rule: &QuotaRule,
        owner_status: &OwnerStatus,
        now: Micros,
    ) -> QuotaGrant {
        self.last_request_at = now;
        self.update(request.version, request.quota, rule, owner_status.share);
        if now.since(self.created_at) < rule.window {
            self.note_lenders(&request.lenders);
        }
        self.update_ownership(rule, owner_status, now);
        if !self.quota.is_limited() {
            return self.grant(request.wanted, Micros::default());
        }
        if owner_status.is_first {
            self.lend_as_owner(request, rule, owner_status, now)
        } else {
            self.lend_as_standby(request.wanted, rule, owner_status, now)
        }
    }

    fn grant(&self, granted: u32, empty_for: Micros) -> QuotaGrant {
        QuotaGrant { account: self.id, granted, empty_for, from_standby: !self.was_owner }
    }

    fn update_ownership(&mut self, rule: &QuotaRule, owner_status: &OwnerStatus, now: Micros) {
        let takeover = self.takeover_tokens(rule, owner_status, now);
        match (self.was_owner, owner_status.is_first) {
            (false, true) => {
                let used = f64::from(self.standby.count(rule.window, now));
                self.bucket.pause((takeover - used).max(0.0), now);
            }
            (true, false) => {
                self.handed_over_at = Some(now);
                self.bucket.pause(takeover, now);
            }
            (false, false) => self.bucket.pause(takeover, now),
            (true, true) => {}
        }
        self.was_owner = owner_status.is_first;
    }

    fn lend_as_owner(
        &mut self,
        request: &QuotaRequest,
        rule: &QuotaRule,
        owner_status: &OwnerStatus,
        now: Micros,
    ) -> QuotaGrant {
        let rate = self.quota.rate_per_s * owner_status.share;
        let returned = request.returned.filter(|returned| returned.account == self.id);
        self.bucket.adjust(returned.map_or(0.0, |returned| f64::from(returned.tokens)));
        let capacity = rule.capacity(&self.quota) * owner_status.share;
        if owner_status.running_for < HANDOVER_DELAY {
            self.bucket.pause(capacity, now);
        } else {
            self.bucket.refill(rate, capacity, now);
        }
        let granted = self.bucket.take(request.wanted);
        let granted = granted + self.take_spread_burst(request.wanted - granted, rule, owner_status, now);
        let empty = granted < request.wanted;
        let empty_for =
            if empty { self.bucket.next_token_in(rate).max(MIN_EMPTY_DURATION) } else { Micros::default() };
        self.grant(granted, empty_for)
    }

    /// Lends the burst evenly over each window to a tenant that has kept the bucket empty for a
    /// whole window. Lending it at once would leave no margin for a takeover.
    fn take_spread_burst(
        &mut self,
        wanted: u32,
        rule: &QuotaRule,
        owner_status: &OwnerStatus,
        now: Micros,
    ) -> u32 {
        /// Tokens are lent one at a time.
        const CAPACITY: f64 = 1.0;
        if self.bucket.tokens() >= 1.0 || wanted == 0 {
            self.empty_since = None;
            return 0;
        }
        let since = *self.empty_since.get_or_insert(now);
        if now.since(since) < rule.window {
            self.spread_burst.pause(0.0, now);
            return 0;
        }
        let rate = self.quota.burst * owner_status.share / rule.window.as_secs_f64();
        self.spread_burst.refill(rate, CAPACITY, now);
        self.spread_burst.take(wanted)
    }

    /// Lends as standby for a requester that cannot reach the owner, which may be lending at the
    /// same time.
    fn lend_as_standby(
        &mut self,
        wanted: u32,
        rule: &QuotaRule,
        owner_status: &OwnerStatus,
        now: Micros,
    ) -> QuotaGrant {
        let lent_as_first = self.handed_over_at.is_some_and(|at| now.since(at) < rule.window);
        if lent_as_first {
            return self.grant(0, MIN_EMPTY_DURATION);
        }
        let limit = self.takeover_tokens(rule, owner_status, now) as u32;
        let granted = self.standby.take(limit, rule.window, wanted, now);
        let empty = granted < wanted;
        let empty_for = if empty {
            self.standby.next_leave_in(rule.window, now).max(MIN_EMPTY_DURATION)
        } else {
            Micros::default()
        };
        self.grant(granted, empty_for)
    }
}
