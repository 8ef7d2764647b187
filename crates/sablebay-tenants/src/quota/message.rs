//! What nodes ask and answer about accounts.

use musli::{Decode, Encode};

use sablebay_model::Micros;

use crate::tenant::{Quota, TenantName};

/// Tells the accounts of a tenant apart: each time one is begun, it has another id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
#[musli(transparent)]
pub struct AccountId(pub u64);

/// Tokens for which nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ReturnedTokens {
    /// The account that lent them.
    pub account: AccountId,
    /// How many.
    pub tokens: u32,
}

/// May so many requests of a tenant run?
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct QuotaRequest {
    /// The tenant.
    pub tenant: TenantName,
    /// The version of the configuration that the asker goes by.
    pub version: u64,
    /// The tenant's quota in it.
    pub quota: Quota,
    /// Requests that wait.
    pub wanted: u32,
    /// The accounts that lent to the asker in the last window.
    pub lenders: Vec<AccountId>,
    /// Tokens that come back.
    pub returned: Option<ReturnedTokens>,
    /// Whether the asker has just started, and asks a seed since it does not know who keeps the account. Nodes of
    /// releases that could not do it do not say so.
    #[musli(default)]
    pub starting: bool,
}

/// How many of the requests may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuotaGrant {
    /// The account.
    pub account: AccountId,
    /// Requests that may run.
    pub granted: u32,
    /// How long the account lends nothing more; 0 when there may be more.
    pub empty_for: Micros,
    /// Whether the node that answers only stands in for the first in the tenant's order.
    pub from_standby: bool,
}
