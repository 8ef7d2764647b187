//! Counts of requests by their callers: by tenant, and by the reason why a caller could not be authenticated.

use std::collections::{BTreeMap, BTreeSet};

use parking_lot::Mutex;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Tenants that are counted by name. There may be any number of them, and each costs a scraper two series for
/// each node; what goes beyond is counted together.
pub const NAMED_TENANTS: usize = 50;
/// The name that all further tenants are counted under.
const OTHER_TENANTS: &str = "other";

/// Why a caller could not be authenticated.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

/// What became of requests of a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TenantLabels {
    tenant: String,
    outcome: &'static str,
}

/// Counts of requests by their callers.
#[derive(Debug, Default)]
pub struct CallerCounts {
    refused: Family<ReasonLabel, Counter>,
    requests: Family<TenantLabels, Counter>,
    /// The tenants that are counted by name: those that called first.
    named: Mutex<BTreeSet<String>>,
}

impl CallerCounts {
    /// Reasons why a caller could not be authenticated.
    pub const REASONS: [&'static str; 5] = ["no_key", "malformed_key", "unknown_key", "unsure", "outdated"];

    /// A request was refused because its caller could not be authenticated, for one of [`Self::REASONS`].
    pub fn refused(&self, reason: &'static str) {
        self.refused.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// A request of a tenant was answered.
    pub fn answered(&self, tenant: &str) {
        self.count(tenant, "answered");
    }

    /// A request of a tenant was refused, or failed.
    pub fn failed(&self, tenant: &str) {
        self.count(tenant, "failed");
    }

    fn count(&self, tenant: &str, outcome: &'static str) {
        let tenant = self.tenant_label(tenant);
        self.requests.get_or_create(&TenantLabels { tenant, outcome }).inc();
    }

    /// The name that a tenant is counted under. The characters that the format of metrics quotes by are left out.
    fn tenant_label(&self, tenant: &str) -> String {
        let mut named = self.named.lock();
        if !named.contains(tenant) {
            if named.len() >= NAMED_TENANTS {
                return OTHER_TENANTS.to_string();
            }
            named.insert(tenant.to_string());
        }
        tenant.replace(['"', '\\'], "_")
    }

    /// Requests refused because their caller could not be authenticated, by reason.
    pub fn refusals(&self) -> BTreeMap<String, u64> {
        let count = |reason: &'static str| {
            let counter = self.refused.get(&ReasonLabel { reason })?;
            Some((reason.to_string(), counter.get()))
        };
        Self::REASONS.into_iter().filter_map(count).collect()
    }

    /// All of them, for a registry.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("gateway");
        registry.register(
            "unauthenticated",
            "Requests refused because their caller could not be authenticated, by reason",
            self.refused.clone(),
        );
        registry.register("tenant_requests", "Requests by tenant and outcome", self.requests.clone());
    }
}
