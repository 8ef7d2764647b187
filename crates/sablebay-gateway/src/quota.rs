//! Asks the account of a tenant whether a request may run, and keeps the accounts that are this node's.
//!
//! One question a tenant is on its way from a node; requests that come meanwhile share the next.

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
use crate::quota_keepers::{AccountKeeperNode, FleetKnowledge};
use crate::quota_state::{Lent, LentToken, Token, Waiter};

/// How long a keeper may take to answer: some ways there and back between zones, and the pause of a machine that
/// has used up its share of a processor for a moment.
const KEEPER_PATIENCE: Duration = Duration::from_millis(40);
/// How long a node that has just started refuses by itself after the seeds had nothing more to lend.
const SEEDS_EMPTY: Micros = Micros::from_millis(25);
/// How often the node notes that it runs.
const PAUSE_CHECK: Duration = Duration::from_millis(250);
/// How often a tenant's line about its quota is written at the most.
const OVER_QUOTA_LOG_PERIOD: Micros = Micros::from_secs(1);
/// How long a decision may take: a question on its way and the next, each to two keepers that stay silent, and as long
/// again for a node that waits its turn. A question that is lost is begun anew after this.
const DECISION_PATIENCE: Duration = Duration::from_millis(8 * 40);

/// Notes that the node runs, until it ends.
pub async fn watch_pauses<C: CallerProtocol, B: BackendProtocol>(context: Arc<Context<C, B>>) {
    loop {
        context.note_awake();
        tokio::time::sleep(PAUSE_CHECK).await;
    }
}

impl<C: CallerProtocol, B: BackendProtocol> Context<C, B> {
    fn note_awake(&self) {
        let now = self.clock().now();
        let mut quota = self.quota.lock();
        quota.note_awake(now);
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

    /// The quota of a tenant in the newest configuration, and its version.
    fn known_quota(&self, tenant: &TenantName) -> Option<(u64, Quota)> {
        self.node.catalogue.read(|view| {
            let routes = view.routes()?;
            let quota = routes.tenants()?.tenant(tenant)?.quota;
            Some((routes.version(), quota))
        })
    }

    fn fleet_knowledge(&self, awake_since: Micros) -> FleetKnowledge {
        let now = self.clock().now();
        let assumed = self.settings.load().assumed_nodes as usize;
        FleetKnowledge { now, running_for: now.since(awake_since), assumed }
    }

    /// How long this node has run, for what it knows of the fleet.
    pub fn known_fleet(&self) -> FleetKnowledge {
        let awake_since = self.quota.lock().awake_since;
        self.fleet_knowledge(awake_since)
    }

    /// Asks for a token for a request.
    ///
    /// # Errors
    /// When its tenant is over its quota: when to come back.
    pub async fn take_token(self: &Arc<Self>, tenant: Option<&Arc<Tenant>>) -> Result<Token, Micros> {
        let limited = tenant.filter(|tenant| tenant.quota.is_limited() && self.mechanisms.quota);
        let Some(tenant) = limited else {
            return Ok(Token { lent: None });
        };
        let asked_at = self.clock().now();
        let window = self.quota_rule().window;
        let (waiter, decided) = oneshot::channel();
        let arrival = self.quota.lock().tenant(&tenant.name, window, asked_at).asker.arrive(waiter, asked_at);
        let decision = match arrival {
            Arrival::Refused(_, empty_for) => Err(empty_for),
            Arrival::Ask(batch) => {
                tokio::spawn(self.clone().ask_for(tenant.name.clone(), batch));
                self.decision(&tenant.name, decided).await
            }
            Arrival::Queued => self.decision(&tenant.name, decided).await,
        };
        self.metrics.quota_waited(self.clock().now().since(asked_at));
        self.metrics.quota(if decision.is_ok() { "granted" } else { "refused" }, 1);
        decision.map_err(|empty_for| self.refuse_over_quota(tenant, empty_for))
    }

    /// Waits until a question for a request was answered.
    async fn decision(
        &self,
        tenant: &TenantName,
        decided: oneshot::Receiver<Result<Token, Micros>>,
    ) -> Result<Token, Micros> {
        if let Ok(Ok(decision)) = tokio::time::timeout(DECISION_PATIENCE, decided).await {
            return decision;
        }
        let now = self.clock().now();
        let window = self.quota_rule().window;
        // Whoever waited for the next question is told nothing, and comes here by itself.
        drop(self.quota.lock().tenant(tenant, window, now).asker.lost());
        if self.metrics.log_budget.take(now) {
            log::warn!(tenant = tenant.as_str(); "quota: nobody decided about a request in time.");
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
            let known_fleet = self.fleet_knowledge(quota.awake_since);
            drop(quota);
            let part = self.fleet.lock().part(&known_fleet);
            log::info!(tenant = tenant.name.as_str(), rate_per_s = tenant.quota.rate_per_s, burst = tenant.quota.burst, empty_for_ms = empty_for.as_millis(), fleet_share = part.share; "quota: a tenant is over its quota; {}.", part.basis);
        }
        retry_after(empty_for, self.quota_rule().window, rand::random())
    }

    /// Nothing ran for a token.
    pub fn give_back(&self, token: Token) {
        if let Some(LentToken { tenant, account, at }) = token.lent {
            let now = self.clock().now();
            let window = self.quota_rule().window;
            self.quota.lock().tenant(&tenant, window, now).asker.give_back(account, at, now);
        }
    }

    /// Asks for the requests of a tenant that wait, until none does.
    async fn ask_for(self: Arc<Self>, tenant: TenantName, mut batch: Vec<Waiter>) {
        loop {
            let grant = self.ask_keepers(&tenant, batch.len()).await;
            let now = self.clock().now();
            let mut unwanted = Vec::new();
            for (place, waiter) in batch.into_iter().enumerate() {
                if place >= grant.granted as usize {
                    // Who has left needs no refusal.
                    let _ = waiter.send(Err(grant.empty_for));
                } else if waiter.send(Ok(grant.token(&tenant, now))).is_err() {
                    unwanted.push(grant.token(&tenant, now));
                }
            }
            unwanted.into_iter().for_each(|token| self.give_back(token));
            let mut quota = self.quota.lock();
            let asker = &mut quota.tenant(&tenant, self.quota_rule().window, now).asker;
            let next = asker.answered(grant.empty_for, now);
            let goes_on = asker.is_asking();
            drop(quota);
            if !goes_on {
                for waiter in next {
                    let _ = waiter.send(Err(grant.empty_for));
                }
                return;
            }
            batch = next;
        }
    }

    /// Asks the keeper of a tenant's account, then whoever stands in for it; what neither lends may be within
    /// this node's own part.
    async fn ask_keepers(&self, tenant: &TenantName, waiting: usize) -> Lent {
        let wanted = u32::try_from(waiting).unwrap_or(u32::MAX);
        let Some((version, quota)) = self.known_quota(tenant).filter(|(_, quota)| quota.is_limited()) else {
            return Lent { granted: wanted, ..Lent::default() };
        };
        let now = self.clock().now();
        let question = {
            let mut state = self.quota.lock();
            let window = self.quota_rule().window;
            let asker = &mut state.tenant(tenant, window, now).asker;
            let lenders = asker.lenders(window, now);
            let returned = asker.take_returned(now);
            let tenant = tenant.clone();
            QuotaRequest { tenant, version, quota, wanted, lenders, returned, starting: false }
        };
        if let Some(lent) = self.ask_seeds(&question).await {
            return lent;
        }
        let keepers = {
            let mut fleet = self.fleet.lock();
            fleet.refresh(&self.node);
            fleet.account_keepers(tenant)
        };
        for keeper in keepers {
            if let Some(grant) = self.ask_keeper(&keeper, &question).await {
                if grant.granted > 0 {
                    let now = self.clock().now();
                    let window = self.quota_rule().window;
                    self.quota.lock().tenant(tenant, window, now).asker.note_lender(grant.account, now);
                }
                let missing = wanted.saturating_sub(grant.granted);
                let more = if grant.from_standby { self.take_own_part(tenant, &quota, missing) } else { 0 };
                let granted = grant.granted.min(wanted) + more;
                return Lent { granted, empty_for: grant.empty_for, account: Some(grant.account) };
            }
        }
        Lent { granted: self.take_own_part(tenant, &quota, wanted), ..Lent::default() }
    }

    /// Asks the seeds, where this node has just started and does not know who keeps the account. Returns nothing where
    /// it does, or a seed does.
    async fn ask_seeds(&self, question: &QuotaRequest) -> Option<Lent> {
        let seeds = {
            let mut fleet = self.fleet.lock();
            fleet.refresh(&self.node);
            if !is_starting(self.started_ago()) || fleet.census.knows_fleet() {
                return None;
            }
            fleet.seeds_for(&question.tenant)
        };
        let mut granted = 0;
        for seed in seeds {
            let wanted = question.wanted - granted;
            let grant =
                self.ask_seed(seed, &QuotaRequest { wanted, starting: true, ..question.clone() }).await;
            let Some(grant) = grant else {
                continue;
            };
            if grant.granted == 0 && grant.empty_for == Micros::default() {
                return None;
            }
            granted += grant.granted.min(wanted);
            if granted == question.wanted {
                return Some(Lent { granted, ..Lent::default() });
            }
        }
        self.metrics.quota("seeds_empty", 1);
        Some(Lent { granted, empty_for: SEEDS_EMPTY, ..Lent::default() })
    }

    async fn ask_seed(&self, seed: Option<SocketAddr>, question: &QuotaRequest) -> Option<QuotaGrant> {
        let Some(address) = seed else {
            return Some(self.lend_as_seed(question));
        };
        if !self.quota.lock().silent_seeds.may_ask(&address, self.clock().now()) {
            return None;
        }
        let request = PeerRequest::Quota(question.clone());
        let until = Instant::now() + KEEPER_PATIENCE;
        let answer = self.node.peers.request(address, Lane::Control, request, until).await;
        if let Ok(PeerResponse::Quota(grant)) = answer {
            return Some(grant);
        }
        let now = self.clock().now();
        self.metrics.quota("seed_silent", 1);
        let is_news = self.quota.lock().silent_seeds.note(address, now);
        if is_news && self.metrics.log_budget.take(now) {
            log::warn!(seed = address.to_string().as_str(), tenant = question.tenant.as_str(); "quota: a seed does not answer: {answer:?}.");
        }
        None
    }

    /// Lends to a node that has just started.
    fn lend_as_seed(&self, question: &QuotaRequest) -> QuotaGrant {
        let now = self.clock().now();
        let known = self.known_quota(&question.tenant);
        let rule = self.quota_rule();
        let mut fleet = self.fleet.lock();
        fleet.refresh(&self.node);
        let mut quota = self.quota.lock();
        quota.note_awake(now);
        let place = fleet.seed_place(&question.tenant, &self.fleet_knowledge(quota.awake_since));
        quota.accounts.answer_starting(question, known, &rule, place, now)
    }

    async fn ask_keeper(&self, keeper: &AccountKeeperNode, question: &QuotaRequest) -> Option<QuotaGrant> {
        let Some(address) = keeper.address else {
            return Some(self.lend(question));
        };
        if !self.quota.lock().silent.may_ask(&keeper.node, self.clock().now()) {
            return None;
        }
        let request = PeerRequest::Quota(question.clone());
        let until = Instant::now() + KEEPER_PATIENCE;
        match self.node.peers.request(address, Lane::Control, request, until).await {
            Ok(PeerResponse::Quota(grant)) => Some(grant),
            failure => {
                let now = self.clock().now();
                self.metrics.quota("keeper_silent", 1);
                let is_news = self.quota.lock().silent.note(keeper.node.clone(), now);
                if is_news && self.metrics.log_budget.take(now) {
                    log::warn!(keeper = keeper.node.as_str(), tenant = question.tenant.as_str(); "quota: the keeper of an account does not answer: {failure:?}.");
                }
                None
            }
        }
    }

    /// Lends out of an account of this node.
    fn lend(&self, question: &QuotaRequest) -> QuotaGrant {
        if question.starting {
            return self.lend_as_seed(question);
        }
        let now = self.clock().now();
        let known = self.known_quota(&question.tenant);
        let rule = self.quota_rule();
        let mut fleet = self.fleet.lock();
        fleet.refresh(&self.node);
        let mut quota = self.quota.lock();
        quota.note_awake(now);
        let known_fleet = self.fleet_knowledge(quota.awake_since);
        let standing = fleet.keeper_standing(&question.tenant, &known_fleet);
        let basis = fleet.part(&known_fleet).basis;
        let (grant, event) = quota.accounts.answer(question, known, &rule, &standing, now);
        drop((fleet, quota));
        let outcome = match event {
            AccountEvent::Known => return grant,
            AccountEvent::Created => "account_begun",
            AccountEvent::CreatedByStandby => "taken_over",
        };
        self.metrics.quota(outcome, 1);
        if self.metrics.log_budget.take(now) {
            log::info!(tenant = question.tenant.as_str(), first = standing.is_first, fleet_share = standing.share, granted = grant.granted; "quota: an account is begun; {basis}.");
        }
        grant
    }

    fn started_ago(&self) -> Micros {
        Micros::from(self.clock().running_for())
    }

    fn take_own_part(&self, tenant: &TenantName, quota: &Quota, wanted: u32) -> u32 {
        let now = self.clock().now();
        let rule = self.quota_rule();
        let known = self.known_fleet();
        let (nodes, place) = self.fleet.lock().quota_place(tenant, &known);
        let part = allowance_by_uptime(
            local_allowance(rule.total_local_allowance(quota), nodes, place),
            known.running_for,
            rule.window,
        );
        let passed =
            self.quota.lock().tenant(tenant, rule.window, now).own.take(part, rule.window, wanted, now);
        self.metrics.quota("own_part", passed);
        passed
    }
}

/// Answers other nodes out of a gateway's accounts.
pub struct GatewayAccounts<C, B> {
    /// Gone when the gateway has ended.
    context: Weak<Context<C, B>>,
}

impl<C, B> GatewayAccounts<C, B> {
    /// The accounts of a gateway.
    pub fn new(context: &Arc<Context<C, B>>) -> Self {
        Self { context: Arc::downgrade(context) }
    }
}

impl<C: CallerProtocol, B: BackendProtocol> AccountOwner for GatewayAccounts<C, B> {
    fn answer(&self, question: &QuotaRequest) -> PeerResponse {
        match self.context.upgrade() {
            Some(context) => PeerResponse::Quota(context.lend(question)),
            None => PeerResponse::Refused(Refusal::not_run(Reason::Stopping, "the gateway has ended")),
        }
    }
}
