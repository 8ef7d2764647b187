//! The budget for sending a request to more than one replica: a sliding window, shared by the
//! fleet without talking about it.
//!
//! The fleet may send `ratio` x requests + `fixed` extra calls to a service in any window. Each
//! node spends what its own requests earn and, of the fixed part, its share: by the number of nodes, or
//! where a few nodes own a service and send nearly all of its calls, mostly by the number of these.
//! A node that knows few others does not thereby get more: see [`RetryAllowance::nodes`].

use std::collections::{HashMap, VecDeque};

use sablebay_catalogue::ServiceName;
use sablebay_model::Micros;
use sablebay_tenants::TenantName;

use crate::retry_claims::RetryClaims;

/// Slots that a window is divided into.
const SLOTS: u64 = 20;
/// The part of the allowance that is spent; the rest covers what nodes cannot see of one another.
const SPENDABLE_FRACTION: f64 = 0.8;

/// The part of the fixed allowance for a service with owners that the other nodes keep, for when its owners
/// are of no use to them.
const NON_OWNER_FRACTION: f64 = 0.4;
/// The same at the most, where there are so many that their share would come to less than one call.
const MAXIMUM_NON_OWNER_FRACTION: f64 = 0.6;

/// The share in the fixed allowance that is spent as one call; a little more, against rounding.
const ONE_CALL_SHARE: f64 = 1.001 / SPENDABLE_FRACTION;

/// Who sends calls to a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BudgetShare {
    /// All nodes alike.
    #[default]
    All,
    /// This node, as one of a few owners.
    Owner {
        /// How many there are.
        owners: usize,
    },
    /// A few others do; this node only where they are of no use.
    NonOwner {
        /// How many the others are.
        owners: usize,
    },
}

impl BudgetShare {
    /// This node's share of the fixed allowance.
    ///
    /// On 76 nodes with 12 owners of each shard, an owner that had a share by the number of all nodes could
    /// send a second call for 19 in 100 of its first ones, while 40 in 100 of the replicas were slow or dark;
    /// with this share it may for 29, by arithmetic. With a share a third larger, the worst seconds of such days
    /// kept 0.03 to 0.08 more of what they are worth.
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

/// What the fleet may send beyond the first call of each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Extra calls for each request.
    pub ratio: f64,
    /// Extra calls whatever the traffic, for the whole fleet.
    pub fixed: f64,
    /// The length of the window.
    pub window: Micros,
    /// Nodes that share the fixed part: the highest number of late.
    pub nodes: usize,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    number: u64,
    requests: u64,
    extra: u64,
}

/// The calls of one node to one service over the last window.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    slots: VecDeque<Slot>,
    claims: RetryClaims,
}

impl RetryWindow {
    /// Counts a request for the service.
    pub fn count_request(&mut self, allowance: &RetryAllowance, now: Micros) {
        self.slot(allowance, now).requests += 1;
    }

    /// Takes an extra call out of the budget; false when there is none left. `share` says who else sends
    /// such calls.
    pub fn spend(&mut self, allowance: &RetryAllowance, share: BudgetShare, now: Micros) -> bool {
        self.spend_for(None, allowance, share, now)
    }

    /// The same for a request of a tenant: false as well where it would have more than its part, and another that got
    /// less was denied.
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

    /// The calls that may be spent in the window.
    fn budget(&self, allowance: &RetryAllowance, share: BudgetShare) -> f64 {
        let requests: u64 = self.slots.iter().map(|slot| slot.requests).sum();
        SPENDABLE_FRACTION * (allowance.ratio * requests as f64 + share.of_fixed(allowance))
    }

    /// The slot of this moment, after those that have left the window were dropped. The window is
    /// one slot longer than the allowance's, so that no shorter span can hold more.
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

/// The budgets of every service.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    windows: HashMap<ServiceName, RetryWindow>,
    shares: HashMap<ServiceName, BudgetShare>,
}

impl RetryBudgets {
    /// Counts a request for a service.
    pub fn count_request(&mut self, service: &ServiceName, allowance: &RetryAllowance, now: Micros) {
        match self.windows.get_mut(service) {
            Some(window) => window.count_request(allowance, now),
            None => self.windows.entry(service.clone()).or_default().count_request(allowance, now),
        }
    }

    /// Takes an extra call to a service out of its budget, for a request of a tenant; false when there is none left,
    /// or when the tenant gives way to others.
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

    /// Sets who sends calls to the services that a few nodes own; to all others, every node does.
    pub fn set_shares(&mut self, shares: HashMap<ServiceName, BudgetShare>) {
        self.shares = shares;
    }

    /// Forgets services that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.windows.retain(|service, _| keep(service));
    }
}
