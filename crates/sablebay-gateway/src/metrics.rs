//! Counts and latencies of a gateway, and the budget of its log lines.

use std::sync::atomic::AtomicU64;

use parking_lot::Mutex;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use sablebay_dispatch::LOWEST_RANK;
use sablebay_model::Micros;

use crate::driver::DriverWork;
use crate::edge::Refusal;

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// A word of a closed list.
    pub outcome: &'static str,
}

/// Why a request was refused for queues at its shards.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CrowdingLabel {
    /// How much less urgent it was than the most urgent one; ranks that make no difference are one.
    pub rank: u32,
    /// Whether its tenant asked for more than an equal part of the work.
    pub beyond_equal_part: &'static str,
}

/// Log lines about requests that may be written at once, and that are allowed anew each second.
const LINES_PER_SECOND: u64 = 10;

/// Bounds the log lines about requests.
#[derive(Debug, Default)]
pub struct LogBudget {
    state: Mutex<(u64, u64, u64)>,
}

impl LogBudget {
    /// Whether one more line may be written now. What was left out is told once a second.
    pub fn take(&self, now: Micros) -> bool {
        let mut state = self.state.lock();
        let second = now.0 / 1_000_000;
        if state.0 != second {
            if state.2 > 0 {
                log::warn!(omitted = state.2; "log: lines about requests were left out.");
            }
            *state = (second, 0, 0);
        }
        let allowed = state.1 < LINES_PER_SECOND;
        if allowed {
            state.1 += 1;
        } else {
            state.2 += 1;
        }
        allowed
    }
}

/// Counts and latencies of a gateway.
#[derive(Debug)]
pub struct GatewayMetrics {
    /// Connections opened to replicas.
    pub connections_opened: Counter,
    /// Back ends that ended while they had a call of this node.
    pub ended_back_ends: Counter,
    /// What the nodes that this one sees may use together of what is bounded for the fleet, from 0 to 1.
    pub fleet_share: Gauge<f64, AtomicU64>,
    /// Requests that are held back now.
    pub held_back: Gauge,
    /// The log's budget.
    pub log_budget: LogBudget,
    /// That of lines about requests that are refused for their caller's own doing, an unknown key or a quota that is
    /// used up: these must not crowd out lines about others.
    pub caller_fault_log_budget: LogBudget,
    /// Reads of the catalogue's source, by outcome.
    pub source_reads: Family<OutcomeLabel, Counter>,
    /// The number of the revision that the source was at by its last answer.
    pub source_revision: Gauge,
    /// The era of the source: it rises when the source comes back from an older copy.
    pub source_era: Gauge,
    /// Replicas and evacuated zones that are kept by what was known before the source came back from an older copy.
    pub retained: Gauge,
    /// Items of the catalogue's source that could not be read.
    pub rejected_items: Counter,
    /// Questions to peers for news of the catalogue, by outcome.
    pub peer_questions: Family<OutcomeLabel, Counter>,
    /// Documents that were fetched from peers, by outcome.
    pub documents: Family<OutcomeLabel, Counter>,
    /// The version of the configuration in force.
    pub configuration_version: Gauge,
    /// The newest version that was heard of.
    pub announced_version: Gauge,
    /// For how long a newer version than the one in force has been heard of, in milliseconds; 0 when there is none.
    pub behind: Gauge,
    /// Since anybody said that there is nothing newer than the catalogue, in milliseconds.
    pub catalogue_age: Gauge,
    /// The age of the moment up to which the configuration is the newest for certain, observed at each question to a peer: more
    /// often while peers fail.
    pub configuration_age: Histogram,
    requests: Family<OutcomeLabel, Counter>,
    crowding_refusals: Family<CrowdingLabel, Counter>,
    /// Accounts of tenants that the node keeps.
    pub accounts: Gauge,
    quota: Family<OutcomeLabel, Counter>,
    quota_wait: Histogram,
    delegations: Family<OutcomeLabel, Counter>,
    delegated_shards: Counter,
    calls: Counter,
    extra_calls: Counter,
    missing_shards: Counter,
    latency: Histogram,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        /// Upper bounds of the age buckets, in seconds: close to each other where limits on revocation lie.
        const AGE_BUCKETS: [f64; 12] = [0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 3.5, 4.0, 4.5, 5.0, 10.0, 60.0];
        /// Upper bounds of the latency buckets, in seconds.
        const BUCKETS: [f64; 12] = [0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0];
        /// Upper bounds of the buckets of waits for a token, in seconds.
        const QUOTA_WAIT_BUCKETS: [f64; 8] = [0.0005, 0.001, 0.002, 0.003, 0.005, 0.01, 0.04, 0.1];
        Self {
            connections_opened: Counter::default(),
            ended_back_ends: Counter::default(),
            held_back: Gauge::default(),
            log_budget: LogBudget::default(),
            caller_fault_log_budget: LogBudget::default(),
            source_reads: Family::default(),
            source_revision: Gauge::default(),
            source_era: Gauge::default(),
            retained: Gauge::default(),
            rejected_items: Counter::default(),
            peer_questions: Family::default(),
            documents: Family::default(),
            configuration_version: Gauge::default(),
            announced_version: Gauge::default(),
            behind: Gauge::default(),
            catalogue_age: Gauge::default(),
            configuration_age: Histogram::new(AGE_BUCKETS),
            requests: Family::default(),
            crowding_refusals: Family::default(),
            accounts: Gauge::default(),
            fleet_share: Gauge::default(),
            quota: Family::default(),
            quota_wait: Histogram::new(QUOTA_WAIT_BUCKETS),
            delegations: Family::default(),
            delegated_shards: Counter::default(),
            calls: Counter::default(),
            extra_calls: Counter::default(),
            missing_shards: Counter::default(),
            latency: Histogram::new(BUCKETS),
        }
    }
}

fn refusal_label(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::NoRoute => "no_route",
        Refusal::NoIdentifier => "no_identifier",
        Refusal::UnknownCaller => "unknown_caller",
        Refusal::OverQuota { .. } => "over_quota",
        Refusal::BodyTooLong => "body_too_long",
        Refusal::NotRun { .. } => "not_run",
        Refusal::HeldBack { .. } => "held_back",
        Refusal::Unknown => "unknown",
        Refusal::Expired => "expired",
    }
}

impl GatewayMetrics {
    /// A request was answered.
    pub fn answered(&self, held: Micros, missing: usize) {
        self.latency.observe(held.as_secs_f64());
        self.missing_shards.inc_by(missing as u64);
        let outcome = if missing == 0 { "answered" } else { "answered_in_part" };
        self.requests.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// A request was refused or failed.
    pub fn refused(&self, refusal: Refusal) {
        self.requests.get_or_create(&OutcomeLabel { outcome: refusal_label(refusal) }).inc();
    }

    /// A request was refused for queues at its shards.
    pub fn refused_for_crowding(&self, rank: u32, beyond_equal_part: bool) {
        let label = CrowdingLabel {
            rank: rank.min(LOWEST_RANK),
            beyond_equal_part: if beyond_equal_part { "yes" } else { "no" },
        };
        self.crowding_refusals.get_or_create(&label).inc();
    }

    /// Another node that was asked to gather shards answered, failed or was given up.
    pub fn delegated(&self, outcome: &'static str) {
        self.delegations.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Something about quotas happened, as often as said.
    pub fn quota(&self, outcome: &'static str, times: u32) {
        self.quota.get_or_create(&OutcomeLabel { outcome }).inc_by(u64::from(times));
    }

    /// A request has waited for a token, or for its refusal.
    pub fn quota_waited(&self, waited: Micros) {
        self.quota_wait.observe(waited.as_secs_f64());
    }

    /// What one request needed.
    pub fn work(&self, work: &DriverWork) {
        self.calls.inc_by(u64::from(work.calls));
        self.extra_calls.inc_by(u64::from(work.extra_calls));
        self.delegated_shards.inc_by(u64::from(work.delegated_shards));
    }

    /// A read of the catalogue's source ended.
    pub fn source_read(&self, outcome: &'static str) {
        self.source_reads.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// A question to a peer for news of the catalogue ended.
    pub fn peer_question(&self, outcome: &'static str) {
        self.peer_questions.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// A document was fetched, or given up.
    pub fn document(&self, outcome: &'static str) {
        self.documents.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// All of them, for a registry.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("gateway");
        registry.register("requests", "Requests by outcome", self.requests.clone());
        registry.register(
            "crowding_refusals",
            "Requests refused for queues at their shards, by rank and by whether their tenant asked for more than an equal part",
            self.crowding_refusals.clone(),
        );
        registry.register(
            "quota",
            "Requests of limited tenants, and keepers, by outcome",
            self.quota.clone(),
        );
        registry.register(
            "fleet_share",
            "Part of what is bounded for the fleet that the nodes seen from here may use",
            self.fleet_share.clone(),
        );
        registry.register("quota_wait_seconds", "Wait for a tenant's token", self.quota_wait.clone());
        registry.register("accounts", "Accounts of tenants that this node keeps", self.accounts.clone());
        registry.register("calls", "Calls to replicas", self.calls.clone());
        registry.register("extra_calls", "Calls after the first of their shard", self.extra_calls.clone());
        registry.register(
            "delegations",
            "Nodes asked to gather shards, by outcome",
            self.delegations.clone(),
        );
        registry.register(
            "delegated_shards",
            "Shards that other nodes were asked to gather",
            self.delegated_shards.clone(),
        );
        registry.register("missing_shards", "Shards left out of answers", self.missing_shards.clone());
        registry.register(
            "connections_opened",
            "Connections opened to replicas",
            self.connections_opened.clone(),
        );
        registry.register("held_back", "Requests that are held back now", self.held_back.clone());
        registry.register(
            "ended_back_ends",
            "Back ends that ended while they had a call of this node",
            self.ended_back_ends.clone(),
        );
        registry.register("latency_seconds", "Time from request to answer", self.latency.clone());
        registry.register("source_reads", "Reads of the catalogue by outcome", self.source_reads.clone());
        registry.register(
            "source_revision",
            "The revision that the source was at by its last answer",
            self.source_revision.clone(),
        );
        registry.register("source_era", "The era of the source", self.source_era.clone());
        registry.register(
            "kept_after_return",
            "Replicas and zones kept by what was known before the source came back from an older copy",
            self.retained.clone(),
        );
        registry.register(
            "rejected_items",
            "Items of the catalogue that could not be read",
            self.rejected_items.clone(),
        );
        registry.register(
            "peer_questions",
            "Questions to peers for news of the catalogue, by outcome",
            self.peer_questions.clone(),
        );
        registry.register("documents", "Documents fetched from peers, by outcome", self.documents.clone());
        registry.register("configuration_version", "Version in force", self.configuration_version.clone());
        registry.register(
            "configuration_heard_version",
            "The newest version that was heard of",
            self.announced_version.clone(),
        );
        registry.register(
            "configuration_behind_milliseconds",
            "For how long a newer version than the one in force has been heard of",
            self.behind.clone(),
        );
        registry.register(
            "catalogue_age_milliseconds",
            "Since anybody said that there is nothing newer than the catalogue",
            self.catalogue_age.clone(),
        );
        registry.register(
            "configuration_age_seconds",
            "Age of the moment up to which the configuration is the newest for certain",
            self.configuration_age.clone(),
        );
    }
}
