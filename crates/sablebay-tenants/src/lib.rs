//! API keys, tenants and quotas.
//!
//! Maps API keys to tenants and decides whether a request is within the quota of its tenant.
//! Performs no I/O and reads no clock or global random state.
//!
//! Invariant: API keys are secret. Only a [`KeyDigest`] is stored, sent between nodes or looked up;
//! only [`KeyDigester`] reads the text of an [`ApiKey`].

mod directory;
mod findings;
mod key;
pub mod quota;
mod tenant;

pub use directory::TenantDirectory;
pub use findings::{TenantDraft, TenantFinding, check_tenants};
pub use key::{ApiKey, KEY_DIGEST_BYTES, KeyDigest, KeyDigester};
pub use tenant::{Quota, Tenant, TenantName};
