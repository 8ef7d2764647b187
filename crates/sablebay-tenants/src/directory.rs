//! Lookup of tenants by API key.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::key::KeyDigest;
use crate::tenant::{Tenant, TenantName};

/// Index of the tenants of one configuration.
#[derive(Debug, Default)]
pub struct TenantDirectory {
    by_key: HashMap<KeyDigest, Arc<Tenant>>,
    by_name: HashMap<TenantName, Arc<Tenant>>,
    disputed: usize,
}

impl TenantDirectory {
    /// Builds the directory.
    ///
    /// A key that belongs to several tenants is rejected for all of them, so that all nodes agree
    /// regardless of order; other keys stay valid. If several tenants have the same name, their
    /// keys are merged and the settings of the first apply. A tenant whose name cannot be sent in a
    /// header is left out.
    pub fn new(tenants: &[Tenant]) -> Self {
        let mut directory = Self::default();
        let mut disputed = HashSet::new();
        for tenant in tenants.iter().filter(|tenant| tenant.name.is_sendable()) {
            let first = directory.by_name.entry(tenant.name.clone());
            let first = first.or_insert_with(|| Arc::new(tenant.clone())).clone();
            for key in &tenant.keys {
                match directory.by_key.entry(*key) {
                    Entry::Vacant(entry) => {
                        entry.insert(first.clone());
                    }
                    Entry::Occupied(entry) if entry.get().name != first.name => {
                        disputed.insert(*key);
                    }
                    Entry::Occupied(_) => {}
                }
            }
        }
        directory.by_key.retain(|key, _| !disputed.contains(key));
        directory.disputed = disputed.len();
        directory
    }

    /// Returns the tenant of a key. The lookup compares keyed digests, so its timing reveals
    /// nothing about other keys.
    pub fn tenant_of(&self, key: &KeyDigest) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }

    /// Returns the tenant with the given name.
    pub fn tenant(&self, name: &TenantName) -> Option<&Arc<Tenant>> {
        self.by_name.get(name)
    }

    /// Iterates over all tenants in arbitrary order.
    pub fn tenants(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.by_name.values()
    }

    /// Returns the number of valid keys.
    pub fn keys(&self) -> usize {
        self.by_key.len()
    }

    /// Returns the number of keys rejected because several tenants have them.
    pub fn disputed_keys(&self) -> usize {
        self.disputed
    }
}
