//! Accounts held by one node.

use std::collections::HashMap;

use sablebay_model::Micros;

use crate::quota::QuotaRule;
use crate::quota::account::{Account, MIN_EMPTY_DURATION, OwnerStatus};
use crate::quota::message::{AccountId, QuotaGrant, QuotaRequest};
use crate::quota::starting::{SeedPlace, StartingTokens};
use crate::tenant::{Quota, TenantName};

/// Maximum number of accounts, about 200 bytes each; the least recently used is evicted.
const MAX_ACCOUNTS: usize = 4_096;

/// Account id of tokens lent by seeds; returned ones are dropped.
const STARTING_ACCOUNT: AccountId = AccountId(0);

/// Returns the newer of the quotas known to the requester and to this node, with its version.
fn newer_quota(request: &QuotaRequest, known: Option<(u64, Quota)>) -> (u64, Quota) {
    let newer = known.filter(|(version, _)| *version > request.version);
    newer.unwrap_or((request.version, request.quota))
}

/// Whether answering a request created an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccountEvent {
    /// The account existed.
    Known,
    /// The account was created by its owner.
    Created,
    /// The account was created by a standby.
    CreatedByStandby,
}

/// Accounts held by one node.
#[derive(Debug)]
pub struct Accounts {
    by_tenant: HashMap<TenantName, Account>,
    next_id: u64,
    starting: StartingTokens,
}

impl Accounts {
    /// Creates an empty set. `first_id` is random, so that account ids differ between process
    /// incarnations.
    pub fn new(first_id: u64) -> Self {
        Self { by_tenant: HashMap::new(), next_id: first_id, starting: StartingTokens::default() }
    }

    pub fn len(&self) -> usize {
        self.by_tenant.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_tenant.is_empty()
    }

    /// Discards all accounts after the node was suspended, since other nodes have taken over.
    pub fn clear(&mut self) {
        self.by_tenant.clear();
    }

    /// Answers a request. `known` is the quota and its version in this node's configuration.
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

    /// Answers a starting node as a seed. `place` is `None` if this node is not a seed or knows the
    /// fleet; the answer then neither grants nor refuses, and the requester continues with the
    /// owner.
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
