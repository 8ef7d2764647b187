//! Quota state of a gateway: requests that wait for tokens, and the accounts that it owns.

use std::collections::HashMap;
use std::net::SocketAddr;

use tokio::sync::oneshot;

use sablebay_model::Micros;
use sablebay_tenants::TenantName;
use sablebay_tenants::quota::{AccountId, Accounts, LocalAllowance, QuotaRequester, UnresponsiveNodes};

/// A pause after which other nodes may have taken over this node's accounts. Failure detection takes about as long.
const LONG_PAUSE: Micros = Micros::from_secs(1);
/// Number of tenants from which on idle ones are removed. Tenants active within the window stay.
const IDLE_TENANTS_FROM: usize = 4_096;

pub type Waiter = oneshot::Sender<Result<Token, Micros>>;

/// Permission to run one request. Dropping a token without returning it counts as used, also when the caller
/// disconnects before anything was sent.
#[derive(Debug)]
pub struct Token {
    /// The lending account; `None` when the tenant is unlimited, or the token is from the local allowance.
    pub lent: Option<LentToken>,
}

#[derive(Debug)]
pub struct LentToken {
    pub tenant: TenantName,
    pub account: AccountId,
    /// When the token was granted.
    pub at: Micros,
}

/// State of one tenant at this node.
#[derive(Default)]
pub struct TenantRequests {
    /// Waiting requests.
    pub requester: QuotaRequester<Waiter>,
    /// Requests admitted under the local allowance.
    pub local_allowance: LocalAllowance,
    /// When the tenant was last logged as over its quota.
    pub logged_at: Micros,
}

pub struct QuotaState {
    tenants: HashMap<TenantName, TenantRequests>,
    /// Accounts that this node owns.
    pub accounts: Accounts,
    /// Owners that recently did not answer.
    pub unresponsive_owners: UnresponsiveNodes,
    /// Seeds that recently did not answer.
    pub unresponsive_seeds: UnresponsiveNodes<SocketAddr>,
    /// When the process was last known to be running.
    last_running_at: Micros,
    /// When the node started, or resumed after a long pause.
    pub running_since: Micros,
}

impl QuotaState {
    pub fn new(first_account: u64, now: Micros) -> Self {
        Self {
            tenants: HashMap::new(),
            accounts: Accounts::new(first_account),
            unresponsive_owners: UnresponsiveNodes::for_owners(),
            unresponsive_seeds: UnresponsiveNodes::for_seeds(),
            last_running_at: now,
            running_since: now,
        }
    }

    /// Detects long pauses. After one the accounts are dropped, since other nodes may have granted tokens in the
    /// meantime.
    pub fn check_pause(&mut self, now: Micros) {
        let pause = now.since(self.last_running_at);
        if pause > LONG_PAUSE {
            log::warn!(pause_ms = pause.as_millis(), accounts = self.accounts.len(); "quota: the process was paused; its accounts are reset.");
            self.accounts.clear();
            self.running_since = now;
        }
        self.last_running_at = self.last_running_at.max(now);
    }

    /// The state of a tenant, created at its first request. Activity within `window` is kept.
    pub fn tenant(&mut self, tenant: &TenantName, window: Micros, now: Micros) -> &mut TenantRequests {
        if self.tenants.len() >= IDLE_TENANTS_FROM && !self.tenants.contains_key(tenant) {
            self.tenants.retain(|_, known| {
                !known.requester.is_idle(window, now) || !known.local_allowance.is_unused(window, now)
            });
        }
        self.tenants.entry(tenant.clone()).or_default()
    }
}

/// The result of one quota request.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenGrant {
    /// Number of requests that may run.
    pub granted: u32,
    /// How long the account stays empty.
    pub empty_for: Micros,
    /// The lending account; `None` for tokens from the local allowance.
    pub account: Option<AccountId>,
}

impl TokenGrant {
    /// A token for one of the granted requests.
    pub fn token(&self, tenant: &TenantName, now: Micros) -> Token {
        let lent = |account| LentToken { tenant: tenant.clone(), account, at: now };
        Token { lent: self.account.map(lent) }
    }
}
