//! Messages between nodes about quota accounts.

use musli::{Decode, Encode};

use sablebay_model::Micros;

use crate::tenant::{Quota, TenantName};

/// Id of an account; every new account has a different one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
#[musli(transparent)]
pub struct AccountId(pub u64);

/// Unused tokens returned to an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ReturnedTokens {
    /// The account that lent the tokens.
    pub account: AccountId,
    pub tokens: u32,
}

/// Request for tokens of a tenant.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct QuotaRequest {
    pub tenant: TenantName,
    /// Configuration version known to the requester.
    pub version: u64,
    /// The quota in that version.
    pub quota: Quota,
    /// Number of tokens wanted.
    pub wanted: u32,
    /// Accounts that lent to the requester in the last window.
    pub lenders: Vec<AccountId>,
    pub returned: Option<ReturnedTokens>,
    /// Whether a node that has just started asks a seed because it does not know the owner. Absent
    /// from messages of older releases.
    #[musli(default)]
    pub starting: bool,
}

/// Answer to a [`QuotaRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuotaGrant {
    pub account: AccountId,
    /// Number of tokens granted.
    pub granted: u32,
    /// Time until the account lends again; 0 if more tokens may be available.
    pub empty_for: Micros,
    /// Whether the answering node is a standby for the first node in the order of the tenant.
    pub from_standby: bool,
}
