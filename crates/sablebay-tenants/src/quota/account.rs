//! The account of one tenant, at the node that keeps it.

use sablebay_model::Micros;

use crate::quota::QuotaRule;
use crate::quota::bucket::TokenBucket;
use crate::quota::message::{AccountId, QuotaGrant, QuotaRequest};
use crate::quota::window_count::WindowCount;
use crate::tenant::Quota;

/// The least time for which an asker is told that there is nothing: bounds the frames about a tenant that sends
/// far more than its quota.
pub(super) const MIN_EMPTY_DURATION: Micros = Micros::from_millis(25);
/// The part of the takeover tokens that a keeper lends where the keeper had already changed in the same window: the
/// one before has lent most of them, and two such changes fit beside a whole takeover.
const REPEATED_TAKEOVER_PART: f64 = 0.25;
/// How long a keeper that has just started, or woken, lends no more than it began with: the other_lenders learn of it in
/// this time, and the one that took over lends meanwhile.
const HANDOVER_DELAY: Micros = Micros::from_secs(1);

/// How the keeper of an account sees itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnerStatus {
    /// Whether it is the first of the present nodes in the tenant's order.
    pub is_first: bool,
    /// The nodes that are present, as a part of those that were met of late: what its part of a fleet lends
    /// when it is cut in parts.
    pub share: f64,
    /// How long it has run without a pause.
    pub running_for: Micros,
}

/// The account of one tenant.
#[derive(Clone, Debug)]
pub struct Account {
    id: AccountId,
    version: u64,
    quota: Quota,
    bucket: TokenBucket,
    /// Since when the bucket holds no whole token.
    empty_since: Option<Micros>,
    /// The burst of a tenant that sends without a pause, spread over the window.
    spread_burst: TokenBucket,
    /// What it lent while another node was to keep the account.
    standby: WindowCount,
    was_owner: bool,
    handed_over_at: Option<Micros>,
    created_at: Micros,
    last_request_at: Micros,
    /// The most other accounts that lent to one node in the window before it asked this one.
    other_lenders: usize,
}

impl Account {
    /// An account that is begun, because the one before is lost or was never there.
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
            // No more than a full account holds: one that stands in may lend beside it.
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

    /// Notes the accounts that lent before: where that were several, the keeper changed several times in one
    /// window, and the one before has used what was meant for a change.
    fn note_lenders(&mut self, lenders: &[AccountId]) {
        let other_lenders = lenders.iter().filter(|lender| **lender != self.id).count();
        if other_lenders > 1 && self.other_lenders <= 1 {
            self.bucket.scale(REPEATED_TAKEOVER_PART);
        }
        self.other_lenders = self.other_lenders.max(other_lenders);
    }

    /// Tokens that this keeper may lend because it has taken over, or stands in.
    fn takeover_tokens(&self, rule: &QuotaRule, owner_status: &OwnerStatus, now: Micros) -> f64 {
        let is_repeated = self.other_lenders > 1 && now.since(self.created_at) < rule.window;
        let part = if is_repeated { REPEATED_TAKEOVER_PART } else { 1.0 };
        rule.takeover_tokens(&self.quota) * owner_status.share * part
    }

    /// When it was last asked.
    pub fn last_request_at(&self) -> Micros {
        self.last_request_at
    }

    /// Takes the quota of a newer configuration into use. A greater burst may be spent at once.
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

    /// Each window allows the burst anew. A tenant that has emptied the bucket for a whole window gets it evenly:
    /// all at once it would leave no room for a keeper that takes over.
    fn take_spread_burst(
        &mut self,
        wanted: u32,
        rule: &QuotaRule,
        owner_status: &OwnerStatus,
        now: Micros,
    ) -> u32 {
        /// Whole tokens are lent one by one.
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

    /// Lends in place of the first, which its asker does not reach. The first may lend meanwhile.
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
