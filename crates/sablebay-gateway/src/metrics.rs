//! Metrics of a gateway, and the rate limit of its request log.

use std::sync::atomic::AtomicU64;

use derive_more::Display;
use parking_lot::Mutex;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use sablebay_dispatch::{FanoutOutcome, LOWEST_RANK};
use sablebay_model::Micros;

use crate::driver::DriverWork;
use crate::edge::Refusal;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// One of a fixed set of values.
    pub outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// One of a fixed set of values.
    pub reason: &'static str,
}

/// Labels of a request refused because its shards are overloaded.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CrowdingLabel {
    /// Priority rank, capped at the lowest rank that makes a difference.
    pub rank: u32,
    /// Whether the tenant exceeded an equal share of the work.
    pub beyond_equal_part: &'static str,
}

/// How a request ended that a planned stop of this node gave less time than its deadline.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StopEnding {
    /// In time.
    #[display("answered")]
    Answered,
    /// With the shards that had answered.
    #[display("answered in part")]
    Partial,
    /// Refused: no back end ran it.
    #[display("not run")]
    NotRun,
    /// Sent to a back end that had not answered when the response was due.
    #[display("unanswered")]
    Unanswered,
}

impl StopEnding {
    const ALL: [Self; 4] = [Self::Answered, Self::Partial, Self::NotRun, Self::Unanswered];

    /// The ending for an outcome; `None` if a back end failed, in which the stop had no part.
    pub fn of(outcome: FanoutOutcome) -> Option<Self> {
        match outcome {
            FanoutOutcome::Answered { missing: 0 } => Some(Self::Answered),
            FanoutOutcome::Answered { .. } => Some(Self::Partial),
            FanoutOutcome::NotRun | FanoutOutcome::Expired { may_have_run: false } => Some(Self::NotRun),
            FanoutOutcome::Expired { may_have_run: true } => Some(Self::Unanswered),
            FanoutOutcome::Unknown => None,
        }
    }

    /// The value of the metric's label.
    fn label(self) -> OutcomeLabel {
        let outcome = match self {
            Self::Answered => "answered",
            Self::Partial => "answered_in_part",
            Self::NotRun => "not_run",
            Self::Unanswered => "unanswered",
        };
        OutcomeLabel { outcome }
    }
}

/// Maximum number of log lines about requests in a second.
const LINES_PER_SECOND: u64 = 10;

/// Rate limit of log lines about requests.
#[derive(Debug, Default)]
pub struct LogBudget {
    state: Mutex<(u64, u64, u64)>,
}

impl LogBudget {
    /// Whether another line may be written now. The number of omitted lines is logged once a second.
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

#[derive(Debug)]
pub struct GatewayMetrics {
    pub connections_opened: Counter,
    /// Replicas that exited during a call of this node.
    pub ended_back_ends: Counter,
    /// Calls in which a replica sent no answer, by reason.
    no_answers: Family<ReasonLabel, Counter>,
    /// Fraction of fleet-wide limits that the nodes visible to this one may use, from 0 to 1.
    pub fleet_share: Gauge<f64, AtomicU64>,
    /// Requests in quarantine.
    pub held_back: Gauge,
    pub log_budget: LogBudget,
    /// Rate limit of log lines about refusals caused by the caller, such as an unknown key or an exhausted quota.
    /// Separate, so that they do not displace other lines.
    pub caller_fault_log_budget: LogBudget,
    /// Rate limit of log lines about calls in which a replica sent no answer. Separate for the same reason.
    pub no_answer_log_budget: LogBudget,
    /// Reads of the catalogue's source, by outcome.
    pub source_reads: Family<OutcomeLabel, Counter>,
    /// Revision of the source in its last answer.
    pub source_revision: Gauge,
    /// Era of the source; increases when the source is restored from an older copy.
    pub source_era: Gauge,
    /// Replicas and evacuated zones retained after the source was restored from an older copy.
    pub retained: Gauge,
    /// Unreadable items of the catalogue source.
    pub rejected_items: Counter,
    /// Requests to peers for catalogue updates, by outcome.
    pub peer_requests: Family<OutcomeLabel, Counter>,
    /// Document fetches from peers, by outcome.
    pub documents: Family<OutcomeLabel, Counter>,
    /// The version of the configuration in force.
    pub configuration_version: Gauge,
    /// The newest announced version.
    pub announced_version: Gauge,
    /// Time since a newer version than the one in force was announced, in milliseconds; 0 when there is none.
    pub behind: Gauge,
    /// Time since the catalogue was last confirmed as current, in milliseconds.
    pub catalogue_age: Gauge,
    /// Time since the configuration was last known to be the newest. Observed at each request to a peer, so more often
    /// while peers fail.
    pub configuration_age: Histogram,
    requests: Family<OutcomeLabel, Counter>,
    stop_endings: Family<OutcomeLabel, Counter>,
    crowding_refusals: Family<CrowdingLabel, Counter>,
    /// Quota accounts that this node owns.
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
        /// Upper bounds in seconds; finer in the range of typical revocation limits.
        const AGE_BUCKETS: [f64; 12] = [0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 3.5, 4.0, 4.5, 5.0, 10.0, 60.0];
        /// Upper bounds in seconds.
        const BUCKETS: [f64; 12] = [0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0];
        /// Upper bounds in seconds.
        const QUOTA_WAIT_BUCKETS: [f64; 8] = [0.0005, 0.001, 0.002, 0.003, 0.005, 0.01, 0.04, 0.1];
        Self {
            connections_opened: Counter::default(),
            ended_back_ends: Counter::default(),
            no_answers: Family::default(),
            held_back: Gauge::default(),
            log_budget: LogBudget::default(),
            caller_fault_log_budget: LogBudget::default(),
            no_answer_log_budget: LogBudget::default(),
            source_reads: Family::default(),
            source_revision: Gauge::default(),
            source_era: Gauge::default(),
            retained: Gauge::default(),
            rejected_items: Counter::default(),
            peer_requests: Family::default(),
            documents: Family::default(),
            configuration_version: Gauge::default(),
            announced_version: Gauge::default(),
            behind: Gauge::default(),
            catalogue_age: Gauge::default(),
            configuration_age: Histogram::new(AGE_BUCKETS),
            requests: Family::default(),
            stop_endings: Family::default(),
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
    /// Records an answered request.
    pub fn answered(&self, held: Micros, missing: usize) {
        self.latency.observe(held.as_secs_f64());
        self.missing_shards.inc_by(missing as u64);
        let outcome = if missing == 0 { "answered" } else { "answered_in_part" };
        self.requests.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Records a request that was refused or failed.
    pub fn refused(&self, refusal: Refusal) {
        self.requests.get_or_create(&OutcomeLabel { outcome: refusal_label(refusal) }).inc();
    }

    /// Records how a request ended during a planned stop.
    pub fn stopped(&self, ending: StopEnding) {
        self.stop_endings.get_or_create(&ending.label()).inc();
    }

    /// The number of requests by how they ended during the planned stop, as text for the log.
    pub fn stop_summary(&self) -> String {
        let count = |ending: StopEnding| {
            format!("{ending}: {}", self.stop_endings.get_or_create(&ending.label()).get())
        };
        StopEnding::ALL.map(count).join(", ")
    }

    /// Records a request refused because its shards are overloaded.
    pub fn refused_for_crowding(&self, rank: u32, beyond_equal_part: bool) {
        let label = CrowdingLabel {
            rank: rank.min(LOWEST_RANK),
            beyond_equal_part: if beyond_equal_part { "yes" } else { "no" },
        };
        self.crowding_refusals.get_or_create(&label).inc();
    }

    /// Records the outcome of delegating shards to another node.
    pub fn delegated(&self, outcome: &'static str) {
        self.delegations.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Records `times` quota events.
    pub fn quota(&self, outcome: &'static str, times: u32) {
        self.quota.get_or_create(&OutcomeLabel { outcome }).inc_by(u64::from(times));
    }

    /// Records how long a request waited for a quota decision.
    pub fn quota_waited(&self, waited: Micros) {
        self.quota_wait.observe(waited.as_secs_f64());
    }

    /// Records the calls that a request needed.
    pub fn work(&self, work: &DriverWork) {
        self.calls.inc_by(u64::from(work.calls));
        self.extra_calls.inc_by(u64::from(work.extra_calls));
        self.delegated_shards.inc_by(u64::from(work.delegated_shards));
    }

    /// Records a call in which a replica sent no answer.
    pub fn no_answer(&self, reason: &'static str) {
        self.no_answers.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Records the outcome of a read of the catalogue source.
    pub fn source_read(&self, outcome: &'static str) {
        self.source_reads.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Records the outcome of a request to a peer for catalogue updates.
    pub fn peer_request(&self, outcome: &'static str) {
        self.peer_requests.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Records the outcome of a document fetch.
    pub fn document(&self, outcome: &'static str) {
        self.documents.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Registers all metrics under the prefix `gateway`.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("gateway");
        registry.register("requests", "Requests by outcome", self.requests.clone());
        registry.register(
            "stop_endings",
            "Requests to which a planned stop left less time than their deadline, by how they ended",
            self.stop_endings.clone(),
        );
        registry.register(
            "crowding_refusals",
            "Requests refused because their shards are overloaded, by rank and by whether their tenant exceeded an equal share",
            self.crowding_refusals.clone(),
        );
        registry.register(
            "quota",
            "Quota decisions and events of quota accounts, by outcome",
            self.quota.clone(),
        );
        registry.register(
            "fleet_share",
            "Fraction of fleet-wide limits that the nodes visible to this one may use",
            self.fleet_share.clone(),
        );
        registry.register("quota_wait_seconds", "Wait for a quota decision", self.quota_wait.clone());
        registry.register("accounts", "Quota accounts that this node owns", self.accounts.clone());
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
        registry.register("held_back", "Requests in quarantine", self.held_back.clone());
        registry.register(
            "ended_back_ends",
            "Replicas that exited during a call of this node",
            self.ended_back_ends.clone(),
        );
        registry.register(
            "no_answers",
            "Calls in which a replica sent no answer, by reason",
            self.no_answers.clone(),
        );
        registry.register("latency_seconds", "Time from request to answer", self.latency.clone());
        registry.register("source_reads", "Reads of the catalogue by outcome", self.source_reads.clone());
        registry.register(
            "source_revision",
            "Revision of the source in its last answer",
            self.source_revision.clone(),
        );
        registry.register("source_era", "The era of the source", self.source_era.clone());
        registry.register(
            "kept_after_return",
            "Replicas and evacuated zones retained after the source was restored from an older copy",
            self.retained.clone(),
        );
        registry.register(
            "rejected_items",
            "Unreadable items of the catalogue source",
            self.rejected_items.clone(),
        );
        registry.register(
            "peer_questions",
            "Requests to peers for catalogue updates, by outcome",
            self.peer_requests.clone(),
        );
        registry.register("documents", "Documents fetched from peers, by outcome", self.documents.clone());
        registry.register("configuration_version", "Version in force", self.configuration_version.clone());
        registry.register(
            "configuration_heard_version",
            "The newest announced version",
            self.announced_version.clone(),
        );
        registry.register(
            "configuration_behind_milliseconds",
            "Time since a newer version than the one in force was announced",
            self.behind.clone(),
        );
        registry.register(
            "catalogue_age_milliseconds",
            "Time since the catalogue was last confirmed as current",
            self.catalogue_age.clone(),
        );
        registry.register(
            "configuration_age_seconds",
            "Time since the configuration was last known to be the newest",
            self.configuration_age.clone(),
        );
    }
}
