//! Fair sharing of a retry budget between tenants.
//!
//! While other tenants are denied, no tenant may spend more than a fixed fraction of the budget. Nothing is
//! reserved in advance: if no other tenant is denied, one tenant may spend the whole budget.

use std::collections::{HashMap, VecDeque};

use sablebay_model::Micros;
use sablebay_tenants::TenantName;

/// Fraction of the budget that one tenant may spend while another is denied. Also bounds the budget left
/// unused if the denied tenants do not ask again within the window.
const MAXIMUM_TENANT_FRACTION: f64 = 0.5;
/// Maximum number of denied tenants to track. A single one is enough to limit the others.
const MAXIMUM_DENIALS: usize = 32;

/// Extra calls granted and denied by one budget, by tenant.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryClaims {
    /// Calls granted within the window; bounded by the budget.
    granted: VecDeque<Claim>,
    /// Last denial of each tenant.
    denied: VecDeque<Claim>,
}

/// An extra call requested by a tenant; `None` for requests without a tenant.
#[derive(Clone, Debug)]
struct Claim {
    tenant: Option<TenantName>,
    at: Micros,
}

impl RetryClaims {
    /// Returns whether one more call would put a tenant over its fraction of the budget while another tenant
    /// that was granted fewer calls was denied within the window.
    pub(crate) fn is_over_fair_share(
        &mut self,
        tenant: Option<&TenantName>,
        budget: f64,
        window: Micros,
        now: Micros,
    ) -> bool {
        evict_expired(&mut self.denied, window, now);
        if self.denied.is_empty() {
            return false;
        }
        evict_expired(&mut self.granted, window, now);
        let own = self.granted_to(tenant);
        if (own + 1) as f64 <= budget * MAXIMUM_TENANT_FRACTION {
            return false;
        }
        let mut granted: HashMap<Option<&TenantName>, usize> = HashMap::new();
        for claim in &self.granted {
            *granted.entry(claim.tenant.as_ref()).or_default() += 1;
        }
        let granted_count =
            |denial: &Claim| granted.get(&denial.tenant.as_ref()).copied().unwrap_or_default();
        self.denied.iter().any(|denial| granted_count(denial) < own)
    }

    /// Records a granted call.
    pub(crate) fn grant(&mut self, tenant: Option<&TenantName>, window: Micros, now: Micros) {
        evict_expired(&mut self.granted, window, now);
        self.granted.push_back(Claim { tenant: tenant.cloned(), at: now });
    }

    /// Records a denied call.
    pub(crate) fn deny(&mut self, tenant: Option<&TenantName>, now: Micros) {
        let known = self.denied.iter().position(|denial| denial.tenant.as_ref() == tenant);
        match known {
            Some(position) => drop(self.denied.remove(position)),
            None if self.denied.len() == MAXIMUM_DENIALS => drop(self.denied.pop_front()),
            None => {}
        }
        self.denied.push_back(Claim { tenant: tenant.cloned(), at: now });
    }

    fn granted_to(&self, tenant: Option<&TenantName>) -> usize {
        self.granted.iter().filter(|claim| claim.tenant.as_ref() == tenant).count()
    }
}

/// Removes claims older than the window. Claims are ordered from oldest to newest.
fn evict_expired(claims: &mut VecDeque<Claim>, window: Micros, now: Micros) {
    while claims.front().is_some_and(|oldest| now.since(oldest.at) > window) {
        claims.pop_front();
    }
}
