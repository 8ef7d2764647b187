//! How tenants share a budget for extra calls: while others are denied, none of them spends more than its part.
//!
//! Who asks most often would else take nearly all of a budget that others have earned as well. Nothing is set
//! aside beforehand: where nobody else is denied, one tenant may spend the whole.

use std::collections::{HashMap, VecDeque};

use sablebay_model::Micros;
use sablebay_tenants::TenantName;

/// The part of the budget that one tenant may spend while another was denied. What is held back is lost if the denied
/// do not ask again in the window; a half bounds that loss.
const MAXIMUM_TENANT_FRACTION: f64 = 0.5;
/// Denied tenants that are remembered at the most. It takes one to hold another back.
const MAXIMUM_DENIALS: usize = 32;

/// Whom calls of a budget were granted, and who was denied one.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryClaims {
    /// Calls that were granted in the window: no more than the budget.
    granted: VecDeque<Claim>,
    /// The last denial of each tenant.
    denied: VecDeque<Claim>,
}

/// A call that somebody asked for; nobody where the request has no tenant.
#[derive(Clone, Debug)]
struct Claim {
    tenant: Option<TenantName>,
    at: Micros,
}

impl RetryClaims {
    /// Whether a tenant that would have more than its part of the budget gives way: another was denied within the
    /// window that got less.
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

    /// Notes a call that was granted.
    pub(crate) fn grant(&mut self, tenant: Option<&TenantName>, window: Micros, now: Micros) {
        evict_expired(&mut self.granted, window, now);
        self.granted.push_back(Claim { tenant: tenant.cloned(), at: now });
    }

    /// Notes a call that was denied.
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

/// Drops claims that have left the window; the oldest come first.
fn evict_expired(claims: &mut VecDeque<Claim>, window: Micros, now: Micros) {
    while claims.front().is_some_and(|oldest| now.since(oldest.at) > window) {
        claims.pop_front();
    }
}
