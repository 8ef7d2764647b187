//! Request counts by tenant, and by the reason why a caller could not be authenticated.

use std::collections::{BTreeMap, BTreeSet};

use parking_lot::Mutex;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Maximum number of tenants with series of their own. Bounds the number of time series; requests of further
/// tenants are counted together.
pub const NAMED_TENANTS: usize = 50;
/// The label under which all further tenants are counted.
const OTHER_TENANTS: &str = "other";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TenantLabels {
    tenant: String,
    outcome: &'static str,
}

#[derive(Debug, Default)]
pub struct CallerCounts {
    refused: Family<ReasonLabel, Counter>,
    requests: Family<TenantLabels, Counter>,
    /// Tenants with series of their own: the first [`NAMED_TENANTS`] that called.
    named: Mutex<BTreeSet<String>>,
}

impl CallerCounts {
    /// Reasons why a caller could not be authenticated.
    pub const REASONS: [&'static str; 5] = ["no_key", "malformed_key", "unknown_key", "unsure", "outdated"];

    /// Counts a request whose caller could not be authenticated; `reason` is one of [`Self::REASONS`].
    pub fn refused(&self, reason: &'static str) {
        self.refused.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts an answered request.
    pub fn answered(&self, tenant: &str) {
        self.count(tenant, "answered");
    }

    /// Counts a request that was refused or failed.
    pub fn failed(&self, tenant: &str) {
        self.count(tenant, "failed");
    }

    fn count(&self, tenant: &str, outcome: &'static str) {
        let tenant = self.tenant_label(tenant);
        self.requests.get_or_create(&TenantLabels { tenant, outcome }).inc();
    }

    /// The label value for a tenant, with the characters replaced that the text format would escape.
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

    /// Unauthenticated requests by reason.
    pub fn refusals(&self) -> BTreeMap<String, u64> {
        let count = |reason: &'static str| {
            let counter = self.refused.get(&ReasonLabel { reason })?;
            Some((reason.to_string(), counter.get()))
        };
        Self::REASONS.into_iter().filter_map(count).collect()
    }

    /// Registers the counters.
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
