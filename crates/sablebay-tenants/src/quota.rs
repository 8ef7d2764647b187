//! Quotas of tenants, counted over the whole fleet.
//!
//! One node keeps the account of a tenant: the first in rendezvous order of tenant and node. The others ask it
//! for a token a request. What nodes that disagree, or reach nobody, may let pass beyond the quota is planned
//! here as parts of the overage that the operator allows.

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

// The parts of the overage. What a full account, a takeover and the nodes without a keeper let pass adds up to the
// whole: grace, takeover and own part come to 1. A restart spends what the takeover before it left.

/// What a full account holds beyond the burst, as a part of the overage: callers that send at their rate, and not
/// evenly, are not refused.
const GRACE_PART: f64 = 0.2;
/// What an account lends at once whose keeper has just taken over, as a part of the overage: the one before may
/// just have lent the burst. It bridges the time until a lost keeper is known to be lost.
const TAKEOVER_PART: f64 = 0.6;
/// The same where the keeper has just started, which may be the second change of the keeper in one window.
const RESTART_PART: f64 = 0.2;
/// What all nodes together let pass that reach nobody who keeps the account, as a part of the overage.
const OWN_PART: f64 = 0.2;
/// What all seeds together lend to nodes that have just started, as a part of the overage. No node has an own part then.
const STARTING_PART: f64 = 0.2;

/// How quotas are counted in a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRule {
    /// The span in which requests are counted.
    pub window: Micros,
    /// The part of a quota by which all nodes together may exceed it while they disagree.
    pub overage: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl QuotaRule {
    /// Requests that a quota allows in a window.
    pub fn allowed(&self, quota: &Quota) -> f64 {
        quota.rate_per_s * self.window.as_secs_f64() + quota.burst
    }

    /// Requests beyond that which may pass while nodes disagree.
    pub fn overage_of(&self, quota: &Quota) -> f64 {
        self.overage * self.allowed(quota) + self.slack
    }

    /// Tokens in a full account.
    pub fn capacity(&self, quota: &Quota) -> f64 {
        quota.burst + GRACE_PART * self.overage_of(quota)
    }

    /// Tokens that a keeper lends which has just taken over, and in a window one that stands in for another.
    pub fn takeover_tokens(&self, quota: &Quota) -> f64 {
        TAKEOVER_PART * self.overage_of(quota)
    }

    /// Tokens that a keeper lends at once which has just started.
    pub fn restart_tokens(&self, quota: &Quota) -> f64 {
        RESTART_PART * self.overage_of(quota)
    }

    /// Requests that all seeds together lend in a window to nodes that have just started.
    pub fn starting_tokens(&self, quota: &Quota) -> f64 {
        STARTING_PART * self.overage_of(quota)
    }

    /// Requests that all nodes together let pass in a window which reach no keeper.
    pub fn total_local_allowance(&self, quota: &Quota) -> f64 {
        OWN_PART * self.overage_of(quota)
    }
}
