//! Retry budget for hedged and retried calls: a sliding window, shared by the fleet without coordination.
//!
//! The fleet may send `ratio` × requests + `fixed` extra calls to a service in any window. Each node
//! spends `ratio` × its own requests plus its share of the fixed allowance. The fixed allowance is divided
//! equally between all nodes or, if a few nodes own the service, mostly between the owners.

use std::collections::{HashMap, VecDeque};

use sablebay_catalogue::ServiceName;
use sablebay_model::Micros;
use sablebay_tenants::TenantName;

use crate::retry_claims::RetryClaims;

/// Number of slots in a window.
const SLOTS: u64 = 20;
/// Fraction of the allowance that nodes spend; the rest covers differences between their views of the fleet.
const SPENDABLE_FRACTION: f64 = 0.8;

/// Fraction of the fixed allowance reserved for the nodes that do not own a service, for when its owners
/// fail.
const NON_OWNER_FRACTION: f64 = 0.4;
/// Upper limit of that fraction where it is raised to give each of these nodes at least one call.
const MAXIMUM_NON_OWNER_FRACTION: f64 = 0.6;

/// Share of the fixed allowance that is enough for one call, with a margin for rounding errors.
const ONE_CALL_SHARE: f64 = 1.001 / SPENDABLE_FRACTION;

/// How the fixed allowance of a service is divided between nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BudgetShare {
    /// Equally between all nodes.
    #[default]
    All,
    /// This node is one of a few owners.
    Owner {
        /// Number of owners, including this node.
        owners: usize,
    },
    /// This node does not own the service and calls it only if the owners fail.
    NonOwner {
        /// Number of owners.
        owners: usize,
    },
}

impl BudgetShare {
    /// Returns this node's share of the fixed allowance. The shares of all nodes add up to the allowance.
    /// With an equal share for all of 76 nodes, each of the 12 owners of a shard could send a second call for only 19 in
    /// 100 of its first ones.
    pub fn of_fixed(self, allowance: &RetryAllowance) -> f64 {
        let nodes = allowance.nodes.max(1) as f64;
        let (BudgetShare::Owner { owners } | BudgetShare::NonOwner { owners }) = self else {
            return allowance.fixed / nodes;
        };
        let owners = owners.max(1) as f64;
        let non_owners = (nodes - owners).max(0.0);
        if non_owners == 0.0 {
            return allowance.fixed / nodes;
        }
        let wanted = ONE_CALL_SHARE.max(allowance.fixed * NON_OWNER_FRACTION / non_owners);
        let most = allowance.fixed * MAXIMUM_NON_OWNER_FRACTION / non_owners;
        let non_owner_share = wanted.min(most).min(allowance.fixed / nodes);
        match self {
            BudgetShare::Owner { .. } => (allowance.fixed - non_owner_share * non_owners) / owners,
            _ => non_owner_share,
        }
    }
}

/// Extra calls that the fleet may send beyond the first call of each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Extra calls per request.
    pub ratio: f64,
    /// Extra calls of the whole fleet per window, regardless of traffic.
    pub fixed: f64,
    /// Length of the window.
    pub window: Micros,
    /// Number of nodes that share the fixed allowance: the highest recent number, so that a node that loses
    /// sight of others does not spend more.
    pub nodes: usize,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    number: u64,
    requests: u64,
    extra: u64,
}

/// Calls of one node to one service within the last window.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    slots: VecDeque<Slot>,
    claims: RetryClaims,
}

impl RetryWindow {
    /// Counts a request to the service.
    pub fn count_request(&mut self, allowance: &RetryAllowance, now: Micros) {
        self.slot(allowance, now).requests += 1;
    }

    /// Charges an extra call to the budget. Returns false if the budget is exhausted.
    pub fn spend(&mut self, allowance: &RetryAllowance, share: BudgetShare, now: Micros) -> bool {
        self.spend_for(None, allowance, share, now)
    }

    /// Charges an extra call of a tenant to the budget. Returns false if the budget is exhausted, or if the
    /// tenant exceeds its fair share while another one is denied.
    pub fn spend_for(
        &mut self,
        tenant: Option<&TenantName>,
        allowance: &RetryAllowance,
        share: BudgetShare,
        now: Micros,
    ) -> bool {
        self.slot(allowance, now);
        let extra: u64 = self.slots.iter().map(|slot| slot.extra).sum();
        let budget = self.budget(allowance, share);
        let fits_budget = (extra + 1) as f64 <= budget;
        let granted = fits_budget && !self.claims.is_over_fair_share(tenant, budget, allowance.window, now);
        if granted {
            self.slot(allowance, now).extra += 1;
            self.claims.grant(tenant, allowance.window, now);
        } else {
            self.claims.deny(tenant, now);
        }
        granted
    }

    /// Returns the number of extra calls allowed within the window.
    fn budget(&self, allowance: &RetryAllowance, share: BudgetShare) -> f64 {
        let requests: u64 = self.slots.iter().map(|slot| slot.requests).sum();
        SPENDABLE_FRACTION * (allowance.ratio * requests as f64 + share.of_fixed(allowance))
    }

    /// Removes expired slots and returns the current one. Slots cover one slot more than the allowance's
    /// window, so that the bound holds for any span of that length.
    fn slot(&mut self, allowance: &RetryAllowance, now: Micros) -> &mut Slot {
        let number = now.0 / (allowance.window.0 / SLOTS).max(1);
        while self.slots.front().is_some_and(|slot| slot.number + SLOTS < number) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| slot.number < number) {
            self.slots.push_back(Slot { number, requests: 0, extra: 0 });
        }
        self.slots.back_mut().expect("a slot was just added")
    }
}

/// Retry budgets of all services.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    windows: HashMap<ServiceName, RetryWindow>,
    shares: HashMap<ServiceName, BudgetShare>,
}

impl RetryBudgets {
    /// Counts a request to a service.
    pub fn count_request(&mut self, service: &ServiceName, allowance: &RetryAllowance, now: Micros) {
        match self.windows.get_mut(service) {
            Some(window) => window.count_request(allowance, now),
            None => self.windows.entry(service.clone()).or_default().count_request(allowance, now),
        }
    }

    /// Charges an extra call of a tenant to the budget of a service. Returns false if the budget is
    /// exhausted, or if the tenant exceeds its fair share.
    pub fn spend(
        &mut self,
        service: &ServiceName,
        tenant: Option<&TenantName>,
        allowance: &RetryAllowance,
        now: Micros,
    ) -> bool {
        let share = self.shares.get(service).copied().unwrap_or_default();
        self.windows.entry(service.clone()).or_default().spend_for(tenant, allowance, share, now)
    }

    /// Sets the shares of the services that a few nodes own. All other services use [`BudgetShare::All`].
    pub fn set_shares(&mut self, shares: HashMap<ServiceName, BudgetShare>) {
        self.shares = shares;
    }

    /// Removes services for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.windows.retain(|service, _| keep(service));
    }
}
