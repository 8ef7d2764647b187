//! Prometheus metrics of a node.

use parking_lot::Mutex;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use sablebay_model::{Micros, Refusal, ServiceId};
use sablebay_query::SearchResult;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabel {
    service: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    service: String,
    outcome: String,
    reason: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct GivenUpLabel {
    pub reason: &'static str,
}

/// Upper bounds of the latency histogram, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.33, 0.5, 1.0, 2.5];

pub struct Metrics {
    registry: Mutex<Registry>,
    answers: Family<ServiceLabel, Counter>,
    partial_answers: Family<ServiceLabel, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    latency: Family<ServiceLabel, Histogram>,
    leaf_calls: Family<ServiceLabel, Counter>,
    hedges: Family<ServiceLabel, Counter>,
    retries: Family<ServiceLabel, Counter>,
    discarded: Family<ServiceLabel, Counter>,
    /// Revision of the configuration in force.
    pub revision: Gauge,
    /// Members that accept work, including this node.
    pub members: Gauge,
    pub in_flight: Gauge,
    /// Peer frames that failed authentication.
    pub frames_wrong_proof: Gauge,
    /// Malformed or oversized peer frames.
    pub frames_malformed: Gauge,
    /// Bytes of control traffic sent to peers.
    pub control_bytes: Gauge,
    /// Leaf answers that matched no open call.
    pub misaddressed: Gauge,
    /// Milliseconds since the configuration was last confirmed; -1 if it never was.
    pub confirmed_ms_ago: Gauge,
    /// Open connections of callers.
    pub caller_connections: Gauge,
    /// Bytes leased for callers' requests and answers.
    pub caller_bytes: Gauge,
    /// What was given up of callers, by reason.
    pub given_up: Family<GivenUpLabel, Gauge>,
}

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS)
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Mutex::new(Registry::with_prefix("sablebay")),
            answers: Family::default(),
            partial_answers: Family::default(),
            refusals: Family::default(),
            latency: Family::new_with_constructor(latency_histogram),
            leaf_calls: Family::default(),
            hedges: Family::default(),
            retries: Family::default(),
            discarded: Family::default(),
            revision: Gauge::default(),
            members: Gauge::default(),
            in_flight: Gauge::default(),
            frames_wrong_proof: Gauge::default(),
            frames_malformed: Gauge::default(),
            control_bytes: Gauge::default(),
            misaddressed: Gauge::default(),
            confirmed_ms_ago: Gauge::default(),
            caller_connections: Gauge::default(),
            caller_bytes: Gauge::default(),
            given_up: Family::default(),
        };
        metrics.register_services();
        metrics.register_node();
        metrics
    }

    fn register_services(&mut self) {
        let registry = self.registry.get_mut();
        registry.register("answers", "Queries answered", self.answers.clone());
        registry.register("partial_answers", "Answers with missing partitions", self.partial_answers.clone());
        registry.register("refusals", "Queries without an answer", self.refusals.clone());
        registry.register("latency_seconds", "Time from arrival to answer", self.latency.clone());
        registry.register("leaf_calls", "Calls to leaves", self.leaf_calls.clone());
        registry.register("hedges", "Calls sent because another was slow", self.hedges.clone());
        registry.register("retries", "Calls sent because another failed", self.retries.clone());
        registry.register("discarded", "Leaf answers that were discarded", self.discarded.clone());
    }

    fn register_node(&mut self) {
        let registry = self.registry.get_mut();
        registry.register("revision", "Revision in force", self.revision.clone());
        registry.register("members", "Members that take work", self.members.clone());
        registry.register("in_flight", "Requests in flight", self.in_flight.clone());
        registry.register(
            "frames_wrong_proof",
            "Peer frames with a wrong proof",
            self.frames_wrong_proof.clone(),
        );
        registry.register("frames_malformed", "Malformed peer frames", self.frames_malformed.clone());
        registry.register("control_bytes", "Bytes sent to peers for control", self.control_bytes.clone());
        registry.register("misaddressed", "Leaf answers to no open call", self.misaddressed.clone());
        registry.register(
            "confirmed_ms_ago",
            "Milliseconds since the configuration was confirmed",
            self.confirmed_ms_ago.clone(),
        );
        registry.register(
            "caller_connections",
            "Open connections of callers",
            self.caller_connections.clone(),
        );
        registry.register(
            "caller_bytes",
            "Bytes of callers' requests and answers",
            self.caller_bytes.clone(),
        );
        registry.register(
            "given_up",
            "Connections closed and bodies refused for lack of room",
            self.given_up.clone(),
        );
    }

    /// Records the result and duration of a query.
    pub fn count_query(&self, service: &ServiceId, result: &Result<SearchResult, Refusal>, took: Micros) {
        let label = ServiceLabel { service: service.to_string() };
        match result {
            Ok(result) => {
                self.answers.get_or_create(&label).inc();
                if !result.coverage.is_full() {
                    self.partial_answers.get_or_create(&label).inc();
                }
                self.latency.get_or_create(&label).observe(took.as_secs_f64());
                self.leaf_calls.get_or_create(&label).inc_by(result.work.leaf_calls);
                self.hedges.get_or_create(&label).inc_by(result.work.hedges);
                self.retries.get_or_create(&label).inc_by(result.work.retries);
                self.discarded.get_or_create(&label).inc_by(result.work.discarded);
            }
            Err(refusal) => {
                let labels = RefusalLabels {
                    service: service.to_string(),
                    outcome: refusal.outcome.to_string(),
                    reason: refusal.reason.to_string(),
                };
                self.refusals.get_or_create(&labels).inc();
            }
        }
    }

    /// Lets another component register its metrics.
    pub fn extend(&self, register: impl FnOnce(&mut Registry)) {
        register(&mut self.registry.lock());
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry.lock());
        text
    }
}
