//! The accounts that one node keeps.

use std::collections::HashMap;

use sablebay_model::Micros;

use crate::quota::QuotaRule;
use crate::quota::account::{Account, LEAST_EMPTY, OwnerStatus};
use crate::quota::message::{AccountId, QuotaGrant, QuotaRequest};
use crate::quota::starting::{SeedPlace, StartingTokens};
use crate::tenant::{Quota, TenantName};

/// Accounts that a node keeps at the most, about 200 bytes each; the one that was not asked for longest goes first.
const MAX_ACCOUNTS: usize = 4_096;

/// What seeds lend belongs to no account: tokens of it that come back are dropped.
const STARTING_ACCOUNT: AccountId = AccountId(0);

/// The newer one of what the asker and the node that answers know of a tenant's quota, with its version.
fn newer_quota(question: &QuotaRequest, known: Option<(u64, Quota)>) -> (u64, Quota) {
    let newer = known.filter(|(version, _)| *version > question.version);
    newer.unwrap_or((question.version, question.quota))
}

/// How an account came to be.
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

    /// Forgets them all: the node stood still, and others have taken over meanwhile.
    pub fn clear(&mut self) {
        self.by_tenant.clear();
    }

    /// Answers a question. `known` is the quota in the keeper's own configuration.
    pub fn answer(
        &mut self,
        question: &QuotaRequest,
        known: Option<(u64, Quota)>,
        rule: &QuotaRule,
        standing: &OwnerStatus,
        now: Micros,
    ) -> (QuotaGrant, AccountEvent) {
        let (version, quota) = newer_quota(question, known);
        let mut event = AccountEvent::Known;
        if !self.by_tenant.contains_key(&question.tenant) {
            self.make_room();
            event = if standing.is_first { AccountEvent::Created } else { AccountEvent::CreatedByStandby };
            let id = AccountId(self.next_id);
            self.next_id = self.next_id.wrapping_add(1);
            let account = Account::begin(id, version, quota, rule, standing, now);
            self.by_tenant.insert(question.tenant.clone(), account);
        }
        let account = self.by_tenant.get_mut(&question.tenant).expect("an account was just begun");
        account.update(version, quota, rule, standing.share);
        (account.lend(question, rule, standing, now), event)
    }

    /// Answers a node that has just started, as one of the seeds. `place` is nothing where this node is none, or knows
    /// the fleet: the answer is then neither a token nor a refusal, and the asker goes to whoever keeps the account.
    pub fn answer_starting(
        &mut self,
        question: &QuotaRequest,
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
        let (_, quota) = newer_quota(question, known);
        let part = place.part_of(rule.starting_tokens(&quota));
        let granted = self.starting.take(&question.tenant, part, rule.window, question.wanted, now);
        let is_empty = granted < question.wanted;
        grant(granted, if is_empty { LEAST_EMPTY } else { Micros::default() })
    }

    fn make_room(&mut self) {
        if self.by_tenant.len() < MAX_ACCOUNTS {
            return;
        }
        let oldest = self.by_tenant.iter().min_by_key(|(_, account)| account.asked_at());
        if let Some(tenant) = oldest.map(|(tenant, _)| tenant.clone()) {
            self.by_tenant.remove(&tenant);
        }
    }
}
