//! Max-min fairness between tenants for refusing requests under overload.
//!
//! Recent demand is measured per tenant in work (shards). If a part of it cannot be served, demands are
//! capped at a common level (water-filling): tenants below the level lose nothing. The total refused work is
//! the same as with equal refusal probabilities.
//!
//! This protects other tenants when one tenant sends many times its usual load while capacity is short.

use std::collections::{HashMap, VecDeque};

use sablebay_model::Micros;
use sablebay_tenants::TenantName;

/// Window over which demand is measured. Long enough for nodes with a few requests per second to tell tenants
/// apart.
const WINDOW: Micros = Micros::from_secs(10);
/// Maximum number of recorded requests, to bound memory and lookup time.
/// A flood shows among a few dozen requests; on busy nodes they span less than the window.
const MAX_ARRIVALS: usize = 64;

#[derive(Clone, Debug)]
struct Arrival {
    tenant: TenantName,
    work: f64,
    at: Micros,
}

/// Recent demand of tenants on the same back ends, as seen by one node.
#[derive(Clone, Debug, Default)]
pub struct TenantShares {
    recent: VecDeque<Arrival>,
}

impl TenantShares {
    /// Counts a request over `shards` shards. Refused requests are counted too.
    pub fn note(&mut self, tenant: &TenantName, shards: usize, now: Micros) {
        self.expire(now);
        if self.recent.len() == MAX_ARRIVALS {
            self.recent.pop_front();
        }
        let work = shards.max(1) as f64;
        self.recent.push_back(Arrival { tenant: tenant.clone(), work, at: now });
    }

    /// Demand of a tenant in relation to the others; zero for an unknown tenant.
    pub fn demand_of(&self, tenant: &TenantName) -> TenantDemand {
        let mut by_tenant: HashMap<&TenantName, f64> = HashMap::new();
        for arrival in &self.recent {
            *by_tenant.entry(&arrival.tenant).or_default() += arrival.work;
        }
        let own = by_tenant.get(tenant).copied().unwrap_or_default();
        let mut ascending: Vec<f64> = by_tenant.into_values().collect();
        ascending.sort_unstable_by(f64::total_cmp);
        TenantDemand { own, ascending }
    }

    /// Number of recorded requests.
    pub fn remembered(&self) -> usize {
        self.recent.len()
    }

    fn expire(&mut self, now: Micros) {
        while self.recent.front().is_some_and(|oldest| now.since(oldest.at) > WINDOW) {
            self.recent.pop_front();
        }
    }
}

/// Demand of one tenant in relation to all tenants.
#[derive(Clone, Debug, Default)]
pub struct TenantDemand {
    own: f64,
    /// Demands of all tenants in ascending order.
    ascending: Vec<f64>,
}

impl TenantDemand {
    /// Fraction of the tenant's requests to refuse if the fraction `surplus` of all work cannot be served.
    pub fn refusal_fraction(&self, surplus: f64) -> f64 {
        self.fraction_above(self.level(surplus))
    }

    /// Like [`Self::refusal_fraction`], but only for demand above an equal share; 0 if all demands are equal.
    pub fn excess_refusal_fraction(&self, surplus: f64) -> f64 {
        self.fraction_above(self.level(surplus).max(self.equal_share()))
    }

    /// The tenant's share of all work, from 0 to 1.
    pub fn share(&self) -> f64 {
        let all = self.all();
        if all > 0.0 { self.own / all } else { 0.0 }
    }

    /// Whether the tenant's demand exceeds an equal share of all work.
    pub fn exceeds_equal_share(&self) -> bool {
        self.own > self.equal_share()
    }

    fn equal_share(&self) -> f64 {
        self.all() / self.ascending.len().max(1) as f64
    }

    fn all(&self) -> f64 {
        self.ascending.iter().sum()
    }

    fn fraction_above(&self, level: f64) -> f64 {
        if self.own > level { 1.0 - level / self.own } else { 0.0 }
    }

    /// Highest demand that is served in full, such that the demand above it adds up to the surplus.
    fn level(&self, surplus: f64) -> f64 {
        if surplus <= 0.0 {
            return f64::INFINITY;
        }
        let mut left = self.all() * (1.0 - surplus);
        for (smaller, demand) in self.ascending.iter().enumerate() {
            let equal_share = left / (self.ascending.len() - smaller) as f64;
            if *demand > equal_share {
                return equal_share;
            }
            left -= demand;
        }
        f64::INFINITY
    }
}
