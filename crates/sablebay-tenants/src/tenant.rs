//! Tenants and their quotas.

use std::sync::Arc;

use derive_more::Display;
use musli::{Decode, Encode};

use crate::key::{KeyDigest, is_sendable};

#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[musli(transparent)]
pub struct TenantName(Arc<str>);

impl TenantName {
    pub fn new(text: impl AsRef<str>) -> Self {
        Self(Arc::from(text.as_ref()))
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns whether a header can carry the name unchanged.
    pub fn is_sendable(&self) -> bool {
        is_sendable(self.0.as_bytes())
    }
}

/// Request quota of a tenant, across all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Encode, Decode)]
pub struct Quota {
    /// Sustained requests per second; 0 means unlimited.
    pub rate_per_s: f64,
    /// Additional requests allowed at once.
    pub burst: f64,
}

impl Quota {
    /// Returns whether the quota limits requests.
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Tenant {
    /// The name, which is sent to back ends.
    pub name: TenantName,
    /// Digests of the API keys.
    pub keys: Vec<KeyDigest>,
    /// Priority that overrides that of the route; 0 is the most urgent.
    pub priority: Option<u32>,
    pub quota: Quota,
}
