//! The accounts that one node keeps.

use std::collections::HashMap;

use sablebay_model::Micros;

use crate::quota::QuotaRule;
use crate::quota::account::{Account, MIN_EMPTY_DURATION, OwnerStatus};
use crate::quota::message::{AccountId, QuotaGrant, QuotaRequest};
use crate::quota::starting::{SeedPlace, StartingTokens};
use crate::tenant::{Quota, TenantName};

/// Accounts that a node keeps at the most, about 200 bytes each; the one that was not asked for longest goes first.
const MAX_ACCOUNTS: usize = 4_096;

/// What seeds lend belongs to no account: tokens of it that come back are dropped.
const STARTING_ACCOUNT: AccountId = AccountId(0);

/// The newer one of what the asker and the node that answers know of a tenant's quota, with its version.
fn newer_quota(request: &QuotaRequest, known: Option<(u64, Quota)>) -> (u64, Quota) {
    let newer = known.filter(|(version, _)| *version > request.version);
    newer.unwrap_or((request.version, request.quota))
}

/// How an account accrued to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccountEvent {
    /// It was there.
    Known,
    /// It was begun by the node that keeps it.
    Created,
    /// It was begun by a node that stands in for another.
    CreatedByStandby,
}

/// The accounts that one node keeps.
#[derive(Debug)]
pub struct Accounts {
    by_tenant: HashMap<TenantName, Account>,
    next_id: u64,
    starting: StartingTokens,
}

impl Accounts {
    /// None yet. Ids begin at a random number, so that those of another life are told apart.
    pub fn new(first_id: u64) -> Self {
        Self { by_tenant: HashMap::new(), next_id: first_id, starting: StartingTokens::default() }
    }

    /// Their number.
    pub fn len(&self) -> usize {
        self.by_tenant.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_tenant.is_empty()
    }

    /// Forgets them all: the node stood still, and other_lenders have taken over meanwhile.
    pub fn clear(&mut self) {
        self.by_tenant.clear();
    }

    /// Answers a request. `known` is the quota in the keeper's own configuration.
    pub fn answer(
        &mut self,
        request: &QuotaRequest,
        known: Option<(u64, Quota)>,
        rule: &QuotaRule,
        owner_status: &OwnerStatus,
        now: Micros,
    ) -> (QuotaGrant, AccountEvent) {
        let (version, quota) = newer_quota(request, known);
        let mut event = AccountEvent::Known;
        if !self.by_tenant.contains_key(&request.tenant) {
            self.evict_oldest();
            event =
                if owner_status.is_first { AccountEvent::Created } else { AccountEvent::CreatedByStandby };
            let id = AccountId(self.next_id);
            self.next_id = self.next_id.wrapping_add(1);
            let account = Account::new(id, version, quota, rule, owner_status, now);
            self.by_tenant.insert(request.tenant.clone(), account);
        }
        let account = self.by_tenant.get_mut(&request.tenant).expect("an account was just begun");
        account.update(version, quota, rule, owner_status.share);
        (account.lend(request, rule, owner_status, now), event)
    }

    /// Answers a node that has just started, as one of the seeds. `place` is nothing where this node is none, or knows
    /// the fleet: the answer is then neither a token nor a refusal, and the asker goes to whoever keeps the account.
    pub fn answer_starting(
        &mut self,
        request: &QuotaRequest,
        known: Option<(u64, Quota)>,
        rule: &QuotaRule,
        place: Option<SeedPlace>,
        now: Micros,
    ) -> QuotaGrant {
        let grant = |granted, empty_for| QuotaGrant {
            account: STARTING_ACCOUNT,
            granted,
            empty_for,
            from_standby: true,
        };
        let Some(place) = place else {
            return grant(0, Micros::default());
        };
        let (_, quota) = newer_quota(request, known);
        let part = place.part_of(rule.starting_tokens(&quota));
        let granted = self.starting.take(&request.tenant, part, rule.window, request.wanted, now);
        let is_empty = granted < request.wanted;
        grant(granted, if is_empty { MIN_EMPTY_DURATION } else { Micros::default() })
    }

    fn evict_oldest(&mut self) {
        if self.by_tenant.len() < MAX_ACCOUNTS {
            return;
        }
        let oldest = self.by_tenant.iter().min_by_key(|(_, account)| account.last_request_at());
        if let Some(tenant) = oldest.map(|(tenant, _)| tenant.clone()) {
            self.by_tenant.remove(&tenant);
        }
    }
}
