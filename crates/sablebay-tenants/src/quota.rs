//! Fleet-wide tenant quotas.
//!
//! The account of a tenant is owned by the first node in the rendezvous order of the tenant. Other
//! nodes request tokens from the owner. Requests allowed beyond the quota while nodes disagree or
//! cannot reach an owner are bounded by fractions of the configured overage.

mod account;
mod accounts;
mod bucket;
mod local_allowance;
mod message;
mod requester;
mod starting;
mod unresponsive;
mod window_count;

use sablebay_model::Micros;

use crate::tenant::Quota;

pub use account::{Account, OwnerStatus};
pub use accounts::{AccountEvent, Accounts};
pub use bucket::TokenBucket;
pub use local_allowance::{LocalAllowance, allowance_by_uptime, local_allowance};
pub use message::{AccountId, QuotaGrant, QuotaRequest, ReturnedTokens};
pub use requester::{Arrival, QuotaRequester, retry_after};
pub use starting::{SeedPlace, StartingTokens, is_starting};
pub use unresponsive::UnresponsiveNodes;
pub use window_count::WindowCount;

// Fractions of the overage. The grace, takeover and local fractions add up to 1. A restart uses
// what the preceding takeover left.

/// Capacity of an account beyond the burst, so that uneven traffic at the permitted rate is not
/// refused.
const GRACE_PART: f64 = 0.2;
/// Initial tokens of an owner that has taken over. They bridge failure detection; the previous
/// owner may just have lent the burst.
const TAKEOVER_PART: f64 = 0.6;
/// Initial tokens of an owner that has just started, which may be the second owner change in a
/// window.
const RESTART_PART: f64 = 0.2;
/// Requests allowed per window by all nodes together without reaching an owner.
const LOCAL_PART: f64 = 0.2;
/// Requests lent per window by all seeds together to starting nodes, which have no local allowance.
const STARTING_PART: f64 = 0.2;

/// Parameters of quota accounting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRule {
    /// Length of the accounting window.
    pub window: Micros,
    /// Fraction of a quota by which the fleet may exceed it while nodes disagree.
    pub overage: f64,
    /// Requests allowed in addition to that fraction.
    pub slack: f64,
}

impl QuotaRule {
    /// Returns the requests that a quota allows per window.
    pub fn allowed(&self, quota: &Quota) -> f64 {
        quota.rate_per_s * self.window.as_secs_f64() + quota.burst
    }

    /// Returns the requests allowed per window beyond the quota while nodes disagree.
    pub fn overage_of(&self, quota: &Quota) -> f64 {
        self.overage * self.allowed(quota) + self.slack
    }

    /// Returns the capacity of an account in tokens.
    pub fn capacity(&self, quota: &Quota) -> f64 {
        quota.burst + GRACE_PART * self.overage_of(quota)
    }

    /// Returns the tokens lent by an owner after a takeover, and per window by a standby.
    pub fn takeover_tokens(&self, quota: &Quota) -> f64 {
        TAKEOVER_PART * self.overage_of(quota)
    }

    /// Returns the tokens lent by an owner that has just started.
    pub fn restart_tokens(&self, quota: &Quota) -> f64 {
        RESTART_PART * self.overage_of(quota)
    }

    /// Returns the requests lent per window by all seeds to starting nodes.
    pub fn starting_tokens(&self, quota: &Quota) -> f64 {
        STARTING_PART * self.overage_of(quota)
    }

    /// Returns the requests allowed per window by all nodes together without an owner.
    pub fn total_local_allowance(&self, quota: &Quota) -> f64 {
        LOCAL_PART * self.overage_of(quota)
    }
}
