//! Per-service query statistics of a node, and merging them across nodes.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use sablebay_model::{Micros, Refusal};
use sablebay_query::SearchResult;

/// The highest latency that the histogram distinguishes, in microseconds.
const MAXIMUM_LATENCY_US: u64 = 600_000_000;

/// Query statistics of one service on one node.
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
    /// Records the result and duration of a query.
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

    pub fn report(&self) -> ServiceReport {
        let recorded = self.latency.iter_recorded();
        let latency_us = recorded.map(|value| (value.value_iterated_to(), value.count_at_value()));
        ServiceReport { latency_us: latency_us.collect(), ..self.report.clone() }
    }
}

/// Query statistics of one service, as exchanged between nodes and shown to operators.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Completed queries, answered or refused.
    pub queries: u64,
    /// Answered queries.
    pub answered: u64,
    /// Answers that cover all partitions.
    pub full_coverage: u64,
    /// Calls to leaves.
    pub leaf_calls: u64,
    /// Hedged calls, included in `leaf_calls`.
    pub hedges: u64,
    /// Retried calls, included in `leaf_calls`.
    pub retries: u64,
    /// Discarded leaf answers.
    pub discarded: u64,
    /// Refused queries by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Pairs of a latency in microseconds and the number of queries with it.
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

    /// Latency quantiles in milliseconds, over all merged reports.
    pub fn latency_ms(&self, quantiles: &[f64]) -> Vec<f64> {
        let mut histogram = empty_histogram();
        for (value, count) in &self.latency_us {
            histogram.saturating_record_n(*value, *count);
        }
        let value = |quantile: &f64| histogram.value_at_quantile(*quantile) as f64 / 1_000.0;
        quantiles.iter().map(value).collect()
    }

    /// Hedged and retried calls in percent of first calls.
    pub fn extra_load_percent(&self) -> f64 {
        let extra = self.hedges + self.retries;
        let first = self.leaf_calls.saturating_sub(extra);
        if first == 0 { 0.0 } else { extra as f64 * 100.0 / first as f64 }
    }
}
