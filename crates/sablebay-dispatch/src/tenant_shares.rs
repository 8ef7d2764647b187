//! Max-min fairness between tenants: who is refused, of what has to be refused.
//!
//! What came in lately is counted by tenant, in work. Of a part of it that cannot be run, the tenants that ask for
//! the most lose the most: their demands are cut down to one level, and a tenant below that level loses nothing
//! (water-filling). Cut down like this, the refused part of the whole is the same as if all lost alike.
//!
//! This is for one tenant that sends many times its usual while back ends are short of capacity: without it, every
//! tenant loses the same part, and the flood is paid for by those who did not send it.

use std::collections::{HashMap, VecDeque};

use sablebay_model::Micros;
use sablebay_tenants::TenantName;

/// How far back demands are counted. Where each of many nodes sees a few requests a second, a shorter window holds
/// one request of nearly everybody and tells nobody apart; a tenant that stops sending is forgotten as soon.
const WINDOW: Micros = Micros::from_secs(10);
/// Requests that are remembered at the most, so that memory and the time of a look are bounded. A flood shows among
/// a few dozen; on busy nodes they span less than the window.
const MAX_ARRIVALS: usize = 64;

/// One request that came in.
#[derive(Clone, Debug)]
struct Arrival {
    tenant: TenantName,
    work: f64,
    at: Micros,
}

/// What tenants lately asked of the same back ends, as far as one node has seen.
#[derive(Clone, Debug, Default)]
pub struct TenantShares {
    recent: VecDeque<Arrival>,
}

impl TenantShares {
    /// Counts a request over so many shards. Those that are refused count as well: they are demand.
    pub fn note(&mut self, tenant: &TenantName, shards: usize, now: Micros) {
        self.expire(now);
        if self.recent.len() == MAX_ARRIVALS {
            self.recent.pop_front();
        }
        let work = shards.max(1) as f64;
        self.recent.push_back(Arrival { tenant: tenant.clone(), work, at: now });
    }

    /// What a tenant asked for beside the others; nothing of a tenant that was not seen.
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

    /// Requests that are remembered.
    pub fn remembered(&self) -> usize {
        self.recent.len()
    }

    fn expire(&mut self, now: Micros) {
        while self.recent.front().is_some_and(|oldest| now.since(oldest.at) > WINDOW) {
            self.recent.pop_front();
        }
    }
}

/// What one tenant asked for, beside what everybody did.
#[derive(Clone, Debug, Default)]
pub struct TenantDemand {
    own: f64,
    /// Everybody's, the smallest first.
    ascending: Vec<f64>,
}

impl TenantDemand {
    /// The part of the tenant's requests to refuse where `surplus`, a part of everybody's work, cannot be run.
    pub fn refusal_fraction(&self, surplus: f64) -> f64 {
        self.fraction_above(self.level(surplus))
    }

    /// The same, but nothing of what is within an equal part of everybody's work: 0 where all ask for the same,
    /// whatever the surplus.
    pub fn excess_refusal_fraction(&self, surplus: f64) -> f64 {
        self.fraction_above(self.level(surplus).max(self.equal_share()))
    }

    /// The tenant's part of everybody's work, from 0 to 1.
    pub fn share(&self) -> f64 {
        let all = self.all();
        if all > 0.0 { self.own / all } else { 0.0 }
    }

    /// Whether the tenant asks for more than an equal part of everybody's work.
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

    /// What everybody keeps at the most, so that all together lose the surplus.
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
