//! What a gateway knows of quotas: the requests that wait for tokens, and the accounts that it keeps.

use std::collections::HashMap;
use std::net::SocketAddr;

use tokio::sync::oneshot;

use sablebay_model::Micros;
use sablebay_tenants::TenantName;
use sablebay_tenants::quota::{AccountId, Accounts, LocalAllowance, QuotaRequester, UnresponsiveNodes};

/// A pause after which others may have taken this node's accounts over: suspicions begin after about as long.
const LONG_PAUSE: Micros = Micros::from_secs(1);
/// Tenants from which on idle ones are forgotten. Those that sent something within the window stay: they are at most
/// those of the configuration.
const IDLE_TENANTS_FROM: usize = 4_096;

/// A request that waits for a token.
pub type Waiter = oneshot::Sender<Result<Token, Micros>>;

/// What allows one request to run. Whoever drops one without giving it back has used it: a caller that leaves before
/// anything was sent costs its tenant a token.
#[derive(Debug)]
pub struct Token {
    /// Who lent it; nothing where the tenant has no limit, or the node let it pass by itself.
    pub lent: Option<LentToken>,
}

/// A token that an account lent.
#[derive(Debug)]
pub struct LentToken {
    /// Whose it is.
    pub tenant: TenantName,
    /// The account.
    pub account: AccountId,
    /// When.
    pub at: Micros,
}

/// One tenant at this node.
#[derive(Default)]
pub struct TenantRequests {
    /// Its requests that wait.
    pub requester: QuotaRequester<Waiter>,
    /// What passed by the node's own part.
    pub local_allowance: LocalAllowance,
    /// When it was last logged as over its quota.
    pub logged_at: Micros,
}

/// What a gateway knows of quotas.
pub struct QuotaState {
    tenants: HashMap<TenantName, TenantRequests>,
    /// The accounts that the node keeps.
    pub accounts: Accounts,
    /// Keepers that lately did not answer.
    pub unresponsive_owners: UnresponsiveNodes,
    /// Seeds that lately did not answer.
    pub unresponsive_seeds: UnresponsiveNodes<SocketAddr>,
    /// When the node was last seen running.
    last_running_at: Micros,
    /// When it started, or went on after a long pause.
    pub running_since: Micros,
}

impl QuotaState {
    /// Of a node that has just started.
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

    /// Notes that the node runs. After a long pause its accounts are lost: others have lent meanwhile.
    pub fn check_pause(&mut self, now: Micros) {
        let pause = now.since(self.last_running_at);
        if pause > LONG_PAUSE {
            log::warn!(pause_ms = pause.as_millis(), accounts = self.accounts.len(); "quota: the node stood still; its accounts are begun anew.");
            self.accounts.clear();
            self.running_since = now;
        }
        self.last_running_at = self.last_running_at.max(now);
    }

    /// A tenant, made at its first request. What it did within `window` is remembered.
    pub fn tenant(&mut self, tenant: &TenantName, window: Micros, now: Micros) -> &mut TenantRequests {
        if self.tenants.len() >= IDLE_TENANTS_FROM && !self.tenants.contains_key(tenant) {
            self.tenants.retain(|_, known| {
                !known.requester.is_idle(window, now) || !known.local_allowance.is_unused(window, now)
            });
        }
        self.tenants.entry(tenant.clone()).or_default()
    }
}

/// What the requests of one question got.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenGrant {
    /// Requests that may run.
    pub granted: u32,
    /// How long there is nothing more.
    pub empty_for: Micros,
    /// Who lent; nothing where the node let them pass by itself.
    pub account: Option<AccountId>,
}

impl TokenGrant {
    /// The token of one of them.
    pub fn token(&self, tenant: &TenantName, now: Micros) -> Token {
        let lent = |account| LentToken { tenant: tenant.clone(), account, at: now };
        Token { lent: self.account.map(lent) }
    }
}
