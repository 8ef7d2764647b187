//! What a node reports to operators, and how the reports of many nodes are merged.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use sablebay_config::Version;
use sablebay_fleet::{Conflict, MemberStatus, Rejection};
use sablebay_model::{Incarnation, Micros, Refusal};
use sablebay_query::SearchResult;

use crate::shared::Shared;

/// Latencies up to this are told apart, in microseconds.
const MAXIMUM_LATENCY_US: u64 = 600_000_000;

/// What was counted of one service on one node.
pub struct ServiceCounts {
    report: ServiceReport,
    latency: Histogram<u64>,
}

impl Default for ServiceCounts {
    fn default() -> Self {
        Self { report: ServiceReport::default(), latency: empty_histogram() }
    }
}

fn empty_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAXIMUM_LATENCY_US, 2).expect("constant bounds are valid")
}

impl ServiceCounts {
    /// Counts the end of a query.
    pub fn count(&mut self, result: &Result<SearchResult, Refusal>, took: Micros) {
        self.report.queries += 1;
        match result {
            Ok(result) => {
                self.report.answered += 1;
                self.report.full_coverage += u64::from(result.coverage.is_full());
                self.report.leaf_calls += result.work.leaf_calls;
                self.report.hedges += result.work.hedges;
                self.report.retries += result.work.retries;
                self.report.discarded += result.work.discarded;
                self.latency.saturating_record(took.0.max(1));
            }
            Err(refusal) => {
                *self.report.refusals.entry(refusal.reason.to_string()).or_default() += 1;
            }
        }
    }

    /// The report of what was counted.
    pub fn report(&self) -> ServiceReport {
        let recorded = self.latency.iter_recorded();
        let latency_us = recorded.map(|value| (value.value_iterated_to(), value.count_at_value()));
        ServiceReport { latency_us: latency_us.collect(), ..self.report.clone() }
    }
}

/// How one service behaves.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Queries that ended.
    pub queries: u64,
    /// Queries that were answered.
    pub answered: u64,
    /// Answers with nothing missing.
    pub full_coverage: u64,
    /// Calls to leaves.
    pub leaf_calls: u64,
    /// Hedged calls among them.
    pub hedges: u64,
    /// Retried calls among them.
    pub retries: u64,
    /// Answers of leaves that were discarded.
    pub discarded: u64,
    /// Queries without an answer, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Latencies in microseconds, with how many queries had them.
    pub latency_us: Vec<(u64, u64)>,
}

impl ServiceReport {
    /// Adds another node's report.
    pub fn merge(&mut self, other: &ServiceReport) {
        self.queries += other.queries;
        self.answered += other.answered;
        self.full_coverage += other.full_coverage;
        self.leaf_calls += other.leaf_calls;
        self.hedges += other.hedges;
        self.retries += other.retries;
        self.discarded += other.discarded;
        for (reason, count) in &other.refusals {
            *self.refusals.entry(reason.clone()).or_default() += count;
        }
        self.latency_us.extend(&other.latency_us);
    }

    /// Latency quantiles in milliseconds, over all that was merged.
    pub fn latency_ms(&self, quantiles: &[f64]) -> Vec<f64> {
        let mut histogram = empty_histogram();
        for (value, count) in &self.latency_us {
            histogram.saturating_record_n(*value, *count);
        }
        let value = |quantile: &f64| histogram.value_at_quantile(*quantile) as f64 / 1_000.0;
        quantiles.iter().map(value).collect()
    }

    /// Extra calls in percent of first calls.
    pub fn extra_load_percent(&self) -> f64 {
        let extra = self.hedges + self.retries;
        let first = self.leaf_calls.saturating_sub(extra);
        if first == 0 { 0.0 } else { extra as f64 * 100.0 / first as f64 }
    }
}

/// One member as a node sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberReport {
    /// The node's name.
    pub node: String,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: String,
    /// What is believed of it.
    pub status: MemberStatus,
    /// The configuration that it last told.
    pub version: Version,
    /// Milliseconds since it was heard directly; absent when it never was.
    pub heard_ms_ago: Option<u64>,
    /// Where operators reach it.
    pub admin_address: String,
}

/// What one node says of itself and of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeReport {
    /// The node's name.
    pub node: String,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// What is in force; zero when nothing is.
    pub version: Version,
    /// The highest accepted version heard of.
    pub floor: Version,
    /// Milliseconds since a peer confirmed that.
    pub confirmed_ms_ago: Option<u64>,
    /// Whether it serves.
    pub ready: bool,
    /// Whether it refuses new work.
    pub draining: bool,
    /// Requests in flight.
    pub in_flight: i64,
    /// Claims held.
    pub claims_held: usize,
    /// How many other members it knows.
    pub members_known: usize,
    /// The other members; left out of what nodes send each other, where each would name them all.
    #[serde(default)]
    pub members: Vec<MemberReport>,
    /// Leaves that are leaving.
    pub leaving_leaves: Vec<String>,
    /// Revisions that were rejected.
    pub rejections: Vec<Rejection>,
    /// Revisions with two contents.
    pub conflicts: Vec<Conflict>,
    /// Services that were asked for here.
    pub services: BTreeMap<String, ServiceReport>,
}

/// The report of this node without its members, as another node asks for it.
pub fn short_report(shared: &Shared) -> NodeReport {
    NodeReport { members: Vec::new(), ..node_report(shared) }
}

/// The report of this node.
pub fn node_report(shared: &Shared) -> NodeReport {
    let now = shared.clock.now();
    let fleet = shared.fleet.lock();
    let mut members: Vec<MemberReport> = fleet
        .members()
        .iter()
        .map(|member| MemberReport {
            node: member.info.key.node.to_string(),
            incarnation: member.info.key.incarnation,
            zone: member.info.zone.to_string(),
            status: member.status(),
            version: member.version,
            heard_ms_ago: (member.heard_at.0 > 0).then(|| now.since(member.heard_at).as_millis()),
            admin_address: member.info.admin_address.to_string(),
        })
        .collect();
    members.sort_by(|a, b| a.node.cmp(&b.node));
    let services = shared
        .service_states()
        .iter()
        .map(|state| (state.service_id().to_string(), state.counts.lock().report()))
        .collect();
    NodeReport {
        node: shared.key().node.to_string(),
        incarnation: shared.key().incarnation,
        zone: shared.settings.zone.to_string(),
        region: shared.settings.region.to_string(),
        version: fleet.floor().version(),
        floor: fleet.floor().floor(),
        confirmed_ms_ago: shared.freshness.confirmed_ms_ago(now),
        ready: shared.freshness.is_ready(),
        draining: shared.lifecycle.is_draining(),
        in_flight: shared.lifecycle.in_flight(),
        claims_held: shared.claims.lock().len(),
        members_known: members.len(),
        members,
        leaving_leaves: fleet.leaving_leaves().iter().map(|leaf| leaf.to_string()).collect(),
        rejections: fleet.floor().rejections().cloned().collect(),
        conflicts: fleet.floor().conflicts().copied().collect(),
        services,
    }
}
