//! Obtains quota tokens for requests, and answers for the accounts that this node owns.
//!
//! A node has at most one quota request per tenant in flight; requests that arrive in the meantime share the next one.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use sablebay_model::{Micros, Reason, Refusal};
use sablebay_node::{AccountOwner, Lane};
use sablebay_protocol::peer::{PeerRequest, PeerResponse};
use sablebay_tenants::quota::{
    AccountEvent, Arrival, QuotaGrant, QuotaRequest, QuotaRule, allowance_by_uptime, is_starting,
    local_allowance, retry_after,
};
use sablebay_tenants::{Quota, Tenant, TenantName};

use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol};
use crate::quota_owners::{AccountOwnerNode, FleetKnowledge};
use crate::quota_state::{LentToken, Token, TokenGrant, Waiter};

/// How long an owner may take to answer. Covers round trips between zones and a short CPU throttling pause.
const OWNER_TIMEOUT: Duration = Duration::from_millis(40);
/// How long a starting node refuses locally after the seeds had no more tokens.
const SEEDS_EMPTY_BACKOFF: Micros = Micros::from_millis(25);
/// How often the node checks for long pauses of its own process.
const PAUSE_CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Minimum interval between two log lines about one tenant's quota.
const OVER_QUOTA_LOG_PERIOD: Micros = Micros::from_secs(1);
/// Maximum wait for a decision: the quota request in flight and the next one, each with two unresponsive owners, and
/// twice that for scheduling delays. A lost quota request is restarted after this.
const DECISION_TIMEOUT: Duration = Duration::from_millis(8 * 40);

/// Checks for long pauses until the node stops.
pub async fn watch_pauses<C: CallerProtocol, B: BackendProtocol>(context: Arc<Context<C, B>>) {
    loop {
        context.check_pause();
        tokio::time::sleep(PAUSE_CHECK_PERIOD).await;
    }
}

impl<C: CallerProtocol, B: BackendProtocol> Context<C, B> {
    fn check_pause(&self) {
        let now = self.clock().now();
        let mut quota = self.quota.lock();
        quota.check_pause(now);
        self.metrics.accounts.set(quota.accounts.len() as i64);
    }

    fn quota_rule(&self) -> QuotaRule {
        let settings = self.settings.load();
        QuotaRule {
            window: Micros::from_millis(settings.quota_window_ms),
            overage: settings.quota_overage,
            slack: settings.quota_slack,
        }
    }

    /// The configuration version and the quota of a tenant, by the newest configuration.
    fn known_quota(&self, tenant: &TenantName) -> Option<(u64, Quota)> {
        self.node.catalogue.read(|view| {
            let routes = view.routes()?;
            let quota = routes.tenants()?.tenant(tenant)?.quota;
            Some((routes.version(), quota))
        })
    }

    fn fleet_knowledge(&self, running_since: Micros) -> FleetKnowledge {
        let now = self.clock().now();
        let assumed = self.settings.load().assumed_nodes as usize;
        FleetKnowledge { now, running_for: now.since(running_since), assumed }
    }

    /// The current inputs for assumptions about the fleet.
    pub fn known_fleet(&self) -> FleetKnowledge {
        let running_since = self.quota.lock().running_since;
        self.fleet_knowledge(running_since)
    }

    /// Takes a token for a request.
    ///
    /// # Errors
    /// The time after which to retry, when the tenant is over its quota.
    pub async fn take_token(self: &Arc<Self>, tenant: Option<&Arc<Tenant>>) -> Result<Token, Micros> {
        let limited = tenant.filter(|tenant| tenant.quota.is_limited() && self.mechanisms.quota);
        let Some(tenant) = limited else {
            return Ok(Token { lent: None });
        };
        let asked_at = self.clock().now();
        let window = self.quota_rule().window;
        let (waiter, decided) = oneshot::channel();
        let arrival =
            self.quota.lock().tenant(&tenant.name, window, asked_at).requester.arrive(waiter, asked_at);
        let decision = match arrival {
            Arrival::Refused(_, empty_for) => Err(empty_for),
            Arrival::Ask(batch) => {
                tokio::spawn(self.clone().run_requests(tenant.name.clone(), batch));
                self.decision(&tenant.name, decided).await
            }
            Arrival::Queued => self.decision(&tenant.name, decided).await,
        };
        self.metrics.quota_waited(self.clock().now().since(asked_at));
        self.metrics.quota(if decision.is_ok() { "granted" } else { "refused" }, 1);
        decision.map_err(|empty_for| self.refuse_over_quota(tenant, empty_for))
    }

    /// Waits for the decision about a request.
    async fn decision(
        &self,
        tenant: &TenantName,
        decided: oneshot::Receiver<Result<Token, Micros>>,
    ) -> Result<Token, Micros> {
        let deciding = tokio::time::timeout(DECISION_TIMEOUT, decided);
        if let Some(Ok(Ok(decision))) = self.node.lifecycle.before_stop(self.clock(), deciding).await {
            return decision;
        }
        let now = self.clock().now();
        let window = self.quota_rule().window;
        // Dropping the other waiters makes them time out here as well.
        drop(self.quota.lock().tenant(tenant, window, now).requester.lost());
        if self.metrics.log_budget.take(now) {
            log::warn!(tenant = tenant.as_str(); "quota: no decision about a request within the timeout.");
        }
        Err(Micros::default())
    }

    fn refuse_over_quota(&self, tenant: &Tenant, empty_for: Micros) -> Micros {
        let now = self.clock().now();
        let mut quota = self.quota.lock();
        let known = quota.tenant(&tenant.name, self.quota_rule().window, now);
        let is_due = now.since(known.logged_at) >= OVER_QUOTA_LOG_PERIOD;
        if is_due && self.metrics.caller_fault_log_budget.take(now) {
            known.logged_at = now;
            let known_fleet = self.fleet_knowledge(quota.running_since);
            drop(quota);
            let part = self.fleet.lock().part(&known_fleet);
            log::info!(tenant = tenant.name.as_str(), rate_per_s = tenant.quota.rate_per_s, burst = tenant.quota.burst, empty_for_ms = empty_for.as_millis(), fleet_share = part.share; "quota: a tenant is over its quota; {}.", part.basis);
        }
        retry_after(empty_for, self.quota_rule().window, rand::random())
    }

    /// Returns the token of a request that did not run.
    pub fn give_back(&self, token: Token) {
        if let Some(LentToken { tenant, account, at }) = token.lent {
            let now = self.clock().now();
            let window = self.quota_rule().window;
            self.quota.lock().tenant(&tenant, window, now).requester.give_back(account, at, now);
        }
    }

    /// Requests tokens for a tenant's waiting requests until none is left.
    async fn run_requests(self: Arc<Self>, tenant: TenantName, mut batch: Vec<Waiter>) {
        loop {
            let grant = self.request_tokens(&tenant, batch.len()).await;
            let now = self.clock().now();
            let mut unclaimed = Vec::new();
            for (place, waiter) in batch.into_iter().enumerate() {
                if place >= grant.granted as usize {
                    // A closed channel means that the caller has gone.
                    let _ = waiter.send(Err(grant.empty_for));
                } else if waiter.send(Ok(grant.token(&tenant, now))).is_err() {
                    unclaimed.push(grant.token(&tenant, now));
                }
            }
            unclaimed.into_iter().for_each(|token| self.give_back(token));
            let mut quota = self.quota.lock();
            let requester = &mut quota.tenant(&tenant, self.quota_rule().window, now).requester;
            let next = requester.answered(grant.empty_for, now);
            let is_asking = requester.is_asking();
            drop(quota);
            if !is_asking {
                for waiter in next {
                    let _ = waiter.send(Err(grant.empty_for));
                }
                return;
            }
            batch = next;
        }
    }

    /// Requests tokens from the owner of a tenant's account, then from its standby; the rest is taken from the local
    /// allowance.
    async fn request_tokens(&self, tenant: &TenantName, waiting: usize) -> TokenGrant {
        let wanted = u32::try_from(waiting).unwrap_or(u32::MAX);
        let Some((version, quota)) = self.known_quota(tenant).filter(|(_, quota)| quota.is_limited()) else {
            return TokenGrant { granted: wanted, ..TokenGrant::default() };
        };
        let now = self.clock().now();
        let quota_request = {
            let mut state = self.quota.lock();
            let window = self.quota_rule().window;
            let requester = &mut state.tenant(tenant, window, now).requester;
            let lenders = requester.lenders(window, now);
            let returned = requester.take_returned(now);
            let tenant = tenant.clone();
            QuotaRequest { tenant, version, quota, wanted, lenders, returned, starting: false }
        };
        if let Some(lent) = self.ask_seeds(&quota_request).await {
            return lent;
        }
        let owners = {
            let mut fleet = self.fleet.lock();
            fleet.refresh(&self.node);
            fleet.account_owners(tenant)
        };
        for owner in owners {
            if let Some(grant) = self.ask_owner(&owner, &quota_request).await {
                if grant.granted > 0 {
                    let now = self.clock().now();
                    let window = self.quota_rule().window;
                    self.quota.lock().tenant(tenant, window, now).requester.note_lender(grant.account, now);
                }
                let missing = wanted.saturating_sub(grant.granted);
                let more =
                    if grant.from_standby { self.take_local_allowance(tenant, &quota, missing) } else { 0 };
                let granted = grant.granted.min(wanted) + more;
                return TokenGrant { granted, empty_for: grant.empty_for, account: Some(grant.account) };
            }
        }
        TokenGrant { granted: self.take_local_allowance(tenant, &quota, wanted), ..TokenGrant::default() }
    }

    /// Requests tokens from the seeds while this node is starting and does not know the owner. Returns `None` when this
    /// node or a seed knows the fleet.
    async fn ask_seeds(&self, quota_request: &QuotaRequest) -> Option<TokenGrant> {
        let seeds = {
            let mut fleet = self.fleet.lock();
            fleet.refresh(&self.node);
            if !is_starting(self.started_ago()) || fleet.census.knows_fleet() {
                return None;
            }
            fleet.seeds_for(&quota_request.tenant)
        };
        let mut granted = 0;
        for seed in seeds {
            let wanted = quota_request.wanted - granted;
            let grant =
                self.ask_seed(seed, &QuotaRequest { wanted, starting: true, ..quota_request.clone() }).await;
            let Some(grant) = grant else {
                continue;
            };
            if grant.granted == 0 && grant.empty_for == Micros::default() {
                return None;
            }
            granted += grant.granted.min(wanted);
            if granted == quota_request.wanted {
                return Some(TokenGrant { granted, ..TokenGrant::default() });
            }
        }
        self.metrics.quota("seeds_empty", 1);
        Some(TokenGrant { granted, empty_for: SEEDS_EMPTY_BACKOFF, ..TokenGrant::default() })
    }

    async fn ask_seed(&self, seed: Option<SocketAddr>, quota_request: &QuotaRequest) -> Option<QuotaGrant> {
        let Some(address) = seed else {
            return Some(self.lend_as_seed(quota_request));
        };
        if !self.quota.lock().unresponsive_seeds.may_ask(&address, self.clock().now()) {
            return None;
        }
        let request = PeerRequest::Quota(quota_request.clone());
        let until = Instant::now() + OWNER_TIMEOUT;
        let answer = self.node.peers.request(address, Lane::Control, request, until).await;
        if let Ok(PeerResponse::Quota(grant)) = answer {
            return Some(grant);
        }
        let now = self.clock().now();
        self.metrics.quota("seed_silent", 1);
        let is_first_failure = self.quota.lock().unresponsive_seeds.note(address, now);
        if is_first_failure && self.metrics.log_budget.take(now) {
            log::warn!(seed = address.to_string().as_str(), tenant = quota_request.tenant.as_str(); "quota: a seed does not answer: {answer:?}.");
        }
        None
    }

    /// Grants tokens to a starting node, as a seed.
    fn lend_as_seed(&self, quota_request: &QuotaRequest) -> QuotaGrant {
        let now = self.clock().now();
        let known = self.known_quota(&quota_request.tenant);
        let rule = self.quota_rule();
        let mut fleet = self.fleet.lock();
        fleet.refresh(&self.node);
        let mut quota = self.quota.lock();
        quota.check_pause(now);
        let place = fleet.seed_place(&quota_request.tenant, &self.fleet_knowledge(quota.running_since));
        quota.accounts.answer_starting(quota_request, known, &rule, place, now)
    }

    async fn ask_owner(&self, owner: &AccountOwnerNode, quota_request: &QuotaRequest) -> Option<QuotaGrant> {
        let Some(address) = owner.address else {
            return Some(self.lend(quota_request));
        };
        if !self.quota.lock().unresponsive_owners.may_ask(&owner.node, self.clock().now()) {
            return None;
        }
        let request = PeerRequest::Quota(quota_request.clone());
        let until = Instant::now() + OWNER_TIMEOUT;
        match self.node.peers.request(address, Lane::Control, request, until).await {
            Ok(PeerResponse::Quota(grant)) => Some(grant),
            failure => {
                let now = self.clock().now();
                self.metrics.quota("keeper_silent", 1);
                let is_first_failure = self.quota.lock().unresponsive_owners.note(owner.node.clone(), now);
                if is_first_failure && self.metrics.log_budget.take(now) {
                    log::warn!(keeper = owner.node.as_str(), tenant = quota_request.tenant.as_str(); "quota: the owner of an account does not answer: {failure:?}.");
                }
                None
            }
        }
    }

    /// Grants tokens from an account of this node.
    fn lend(&self, quota_request: &QuotaRequest) -> QuotaGrant {
        if quota_request.starting {
            return self.lend_as_seed(quota_request);
        }
        let now = self.clock().now();
        let known = self.known_quota(&quota_request.tenant);
        let rule = self.quota_rule();
        let mut fleet = self.fleet.lock();
        fleet.refresh(&self.node);
        let mut quota = self.quota.lock();
        quota.check_pause(now);
        let known_fleet = self.fleet_knowledge(quota.running_since);
        let status = fleet.owner_status(&quota_request.tenant, &known_fleet);
        let basis = fleet.part(&known_fleet).basis;
        let (grant, event) = quota.accounts.answer(quota_request, known, &rule, &status, now);
        drop((fleet, quota));
        let outcome = match event {
            AccountEvent::Known => return grant,
            AccountEvent::Created => "account_begun",
            AccountEvent::CreatedByStandby => "taken_over",
        };
        self.metrics.quota(outcome, 1);
        if self.metrics.log_budget.take(now) {
            log::info!(tenant = quota_request.tenant.as_str(), first = status.is_first, fleet_share = status.share, granted = grant.granted; "quota: an account was created; {basis}.");
        }
        grant
    }

    fn started_ago(&self) -> Micros {
        Micros::from(self.clock().running_for())
    }

    fn take_local_allowance(&self, tenant: &TenantName, quota: &Quota, wanted: u32) -> u32 {
        let now = self.clock().now();
        let rule = self.quota_rule();
        let known = self.known_fleet();
        let (nodes, place) = self.fleet.lock().quota_place(tenant, &known);
        let allowance = allowance_by_uptime(
            local_allowance(rule.total_local_allowance(quota), nodes, place),
            known.running_for,
            rule.window,
        );
        let allowed = self.quota.lock().tenant(tenant, rule.window, now).local_allowance.take(
            allowance,
            rule.window,
            wanted,
            now,
        );
        self.metrics.quota("own_part", allowed);
        allowed
    }
}

/// Answers quota requests of other nodes.
pub struct GatewayAccounts<C, B> {
    /// Empty after the gateway has stopped.
    context: Weak<Context<C, B>>,
}

impl<C, B> GatewayAccounts<C, B> {
    pub fn new(context: &Arc<Context<C, B>>) -> Self {
        Self { context: Arc::downgrade(context) }
    }
}

impl<C: CallerProtocol, B: BackendProtocol> AccountOwner for GatewayAccounts<C, B> {
    fn answer(&self, quota_request: &QuotaRequest) -> PeerResponse {
        match self.context.upgrade() {
            Some(context) => PeerResponse::Quota(context.lend(quota_request)),
            None => PeerResponse::Refused(Refusal::not_run(Reason::Stopping, "the gateway has ended")),
        }
    }
}
