//! Validation of tenants in an operator's configuration.

use std::collections::{HashMap, HashSet};

use derive_more::Display;

use crate::key::ApiKey;
use crate::tenant::TenantName;

/// A tenant as configured by an operator, with plain-text keys.
#[derive(Clone, Debug)]
pub struct TenantDraft {
    pub name: TenantName,
    pub keys: Vec<ApiKey>,
    /// Sustained requests per second; 0 means unlimited.
    pub rate_per_s: f64,
    /// Additional requests allowed at once.
    pub burst: f64,
}

/// A configuration error of a tenant. Keys are identified by their position, starting at 1; their
/// text is never shown.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum TenantFinding {
    /// The name is empty or cannot be sent in a header.
    #[display("tenant {position}: its name is empty, or no header can carry it")]
    Name {
        /// Position of the tenant, starting at 1.
        position: usize,
    },
    /// Another tenant has the same name.
    #[display(
        "tenant {name}: another tenant has its name; the first one's limits and priority hold for both"
    )]
    SameName { name: TenantName },
    /// A key is empty or cannot be sent in a header.
    #[display("tenant {name}: its key {key} is empty, or no header can carry it")]
    Key {
        name: TenantName,
        /// Position of the key, starting at 1.
        key: usize,
    },
    /// A key also belongs to another tenant.
    #[display("tenant {name}: its key {key} is a key of tenant {other} too; it stands for neither")]
    SharedKey {
        name: TenantName,
        /// Position of the key, starting at 1.
        key: usize,
        other: TenantName,
    },
    /// The rate is negative or not finite.
    #[display("tenant {name}: its rate is negative, or no number")]
    Rate { name: TenantName },
    /// The burst is negative or not finite.
    #[display("tenant {name}: its burst is negative, or no number")]
    Burst { name: TenantName },
}

/// Returns all configuration errors, in the order of the tenants.
pub fn check_tenants(drafts: &[TenantDraft]) -> Vec<TenantFinding> {
    let mut findings = Vec::new();
    let mut names = HashSet::new();
    let mut owners: HashMap<&ApiKey, &TenantName> = HashMap::new();
    for (at, draft) in drafts.iter().enumerate() {
        if !draft.name.is_sendable() {
            findings.push(TenantFinding::Name { position: at + 1 });
        }
        if !names.insert(&draft.name) {
            findings.push(TenantFinding::SameName { name: draft.name.clone() });
        }
        for (key_at, key) in draft.keys.iter().enumerate() {
            findings.extend(check_key(draft, key_at + 1, key, &mut owners));
        }
        findings.extend(check_quota(draft));
    }
    findings
}

fn check_key<'a>(
    draft: &'a TenantDraft,
    position: usize,
    key: &'a ApiKey,
    owners: &mut HashMap<&'a ApiKey, &'a TenantName>,
) -> Option<TenantFinding> {
    let name = draft.name.clone();
    if !key.is_sendable() {
        return Some(TenantFinding::Key { name, key: position });
    }
    let owner = *owners.entry(key).or_insert(&draft.name);
    (owner != &draft.name).then(|| TenantFinding::SharedKey { name, key: position, other: owner.clone() })
}

fn check_quota(draft: &TenantDraft) -> Vec<TenantFinding> {
    let is_amount = |value: f64| value.is_finite() && value >= 0.0;
    let name = || draft.name.clone();
    let rate = (!is_amount(draft.rate_per_s)).then(|| TenantFinding::Rate { name: name() });
    let burst = (!is_amount(draft.burst)).then(|| TenantFinding::Burst { name: name() });
    rate.into_iter().chain(burst).collect()
}
