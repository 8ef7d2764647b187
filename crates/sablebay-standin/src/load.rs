//! Callers: a client, an answer checker and an open-loop load generator.

mod check;
mod client;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

use crate::corpus::Corpus;

pub use check::{CheckedAnswer, Violation, check_answer};
pub use client::{CallerClient, OperationOutcome, QueryOutcome};

/// Configuration of a load run.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Nodes, used round-robin. May change during the run.
    pub nodes: Arc<Mutex<Vec<SocketAddr>>>,
    /// Services, drawn by weight.
    pub services: Vec<WeightedService>,
    /// Mean queries per second; intervals are exponentially distributed.
    pub rate: f64,
    pub duration: Duration,
    /// Requested number of hits.
    pub limit: usize,
    pub deadline_ms: Option<u64>,
    /// The corpus from which expected answers are computed.
    pub corpus: Corpus,
    /// Seed of arrival times, services and outlets.
    pub seed: u64,
    /// Initial period whose queries are checked but not timed.
    pub warm_up: Duration,
    /// Maximum attempts of a query; a `not_run` refusal is retried at the next node.
    pub attempts: u32,
}

/// A service and its weight in the load.
#[derive(Clone, Debug)]
pub struct WeightedService {
    pub name: String,
    pub weight: f64,
}

impl WeightedService {
    /// Returns services of equal weight.
    pub fn equal(names: &[String]) -> Vec<WeightedService> {
        names.iter().map(|name| WeightedService { name: name.clone(), weight: 1.0 }).collect()
    }
}

/// Draws a service by weight.
fn draw_service(services: &[WeightedService], random: &mut SmallRng) -> String {
    let total: f64 = services.iter().map(|service| service.weight).sum();
    let mut point = random.random_range(0.0..total);
    for service in services {
        point -= service.weight;
        if point < 0.0 {
            return service.name.clone();
        }
    }
    services[services.len() - 1].name.clone()
}

/// Results of a load run.
#[derive(Clone, Debug)]
pub struct LoadSummary {
    pub queries: u64,
    pub answered: u64,
    /// Answers with full coverage.
    pub full: u64,
    /// Queries refused as `not_run` at the last attempt.
    pub not_run: u64,
    /// Queries refused as `unknown`.
    pub unknown: u64,
    /// Connections lost before an answer.
    pub connections_lost: u64,
    /// Latencies of timed answers, in microseconds.
    pub latency_us: Histogram<u64>,
    pub leaf_calls: u64,
    pub hedges: u64,
    pub retries: u64,
    /// A violated guarantee.
    pub violations: Vec<Violation>,
    /// Reasons for missing answers and partitions, with their counts.
    pub reasons: BTreeMap<String, u64>,
    /// Per second of the run: answers, and answers with full coverage.
    pub coverage_over_time: Vec<(u64, u64)>,
}

impl Default for LoadSummary {
    fn default() -> Self {
        Self {
            queries: 0,
            answered: 0,
            full: 0,
            not_run: 0,
            unknown: 0,
            connections_lost: 0,
            latency_us: Histogram::new_with_bounds(1, 600_000_000, 3).expect("constant bounds are valid"),
            leaf_calls: 0,
            hedges: 0,
            retries: 0,
            violations: Vec::new(),
            reasons: BTreeMap::new(),
            coverage_over_time: Vec::new(),
        }
    }
}

impl LoadSummary {
    /// Returns a latency quantile in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Ratio of hedges and retries to first calls.
    pub fn extra_load(&self) -> f64 {
        let extra = self.hedges + self.retries;
        let first = self.leaf_calls.saturating_sub(extra).max(1);
        extra as f64 / first as f64
    }

    /// Fraction of queries answered with full coverage.
    pub fn full_coverage(&self) -> f64 {
        self.full as f64 / self.queries.max(1) as f64
    }

    /// Counts the violations of one kind.
    pub fn count(&self, kind: Violation) -> usize {
        self.violations.iter().filter(|violation| **violation == kind).count()
    }

    fn add(&mut self, outcome: &QueryOutcome, took: Duration, timed: bool, second: usize) {
        self.queries += 1;
        match outcome {
            QueryOutcome::Answered(checked) => {
                self.answered += 1;
                self.full += u64::from(checked.is_full);
                self.leaf_calls += checked.work.leaf_calls;
                self.hedges += checked.work.hedges;
                self.retries += checked.work.retries;
                self.violations.extend(&checked.violations);
                for reason in &checked.missing {
                    self.note(format!("missing: {reason}"));
                }
                if timed {
                    self.latency_us.saturating_record(took.as_micros() as u64);
                }
                if self.coverage_over_time.len() <= second {
                    self.coverage_over_time.resize(second + 1, (0, 0));
                }
                self.coverage_over_time[second].0 += 1;
                self.coverage_over_time[second].1 += u64::from(checked.is_full);
            }
            QueryOutcome::NotRun { reason, .. } => {
                self.not_run += 1;
                self.note(
                    reason.map_or("not run: not reached".to_string(), |reason| format!("not run: {reason}")),
                );
            }
            QueryOutcome::Unknown { reason } => {
                self.unknown += 1;
                self.note(format!("unknown: {reason}"));
            }
            QueryOutcome::ConnectionLost => self.connections_lost += 1,
        }
    }

    fn note(&mut self, reason: String) {
        *self.reasons.entry(reason).or_default() += 1;
    }
}

/// Runs an open-loop load: queries are sent on schedule regardless of pending answers.
pub async fn run_load(options: LoadOptions) -> LoadSummary {
    let summary = Arc::new(Mutex::new(LoadSummary::default()));
    let mut clients: HashMap<SocketAddr, Arc<CallerClient>> = HashMap::new();
    let mut random = SmallRng::seed_from_u64(options.seed);
    let mut running = JoinSet::new();
    let started = Instant::now();
    let mut due = started;
    let mut number = 0usize;
    while due.duration_since(started) < options.duration {
        tokio::time::sleep_until(due.into()).await;
        let service = draw_service(&options.services, &mut random);
        let outlet = random.random_range(1..100_000);
        let nodes = options.nodes.lock().clone();
        let client_of = |node: &SocketAddr| {
            clients.entry(*node).or_insert_with(|| Arc::new(CallerClient::new(*node))).clone()
        };
        let node_clients = nodes.iter().map(client_of).collect();
        let query = OneQuery { clients: node_clients, service, outlet, first_node: number };
        running.spawn(query.run(options.clone(), summary.clone(), started, due));
        number += 1;
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / options.rate);
        while running.try_join_next().is_some() {}
    }
    running.join_all().await;
    std::mem::take(&mut *summary.lock())
}

struct OneQuery {
    clients: Vec<Arc<CallerClient>>,
    service: String,
    outlet: u64,
    first_node: usize,
}

impl OneQuery {
    async fn run(
        self,
        options: LoadOptions,
        summary: Arc<Mutex<LoadSummary>>,
        started: Instant,
        due: Instant,
    ) {
        let mut outcome = QueryOutcome::ConnectionLost;
        for attempt in 0..options.attempts.max(1) {
            let client = &self.clients[(self.first_node + attempt as usize) % self.clients.len()];
            let deadline = options.deadline_ms;
            outcome =
                client.query(&self.service, self.outlet, options.limit, deadline, &options.corpus).await;
            if !matches!(outcome, QueryOutcome::NotRun { .. }) {
                break;
            }
        }
        let offset = due.duration_since(started);
        let timed = offset >= options.warm_up;
        summary.lock().add(&outcome, due.elapsed(), timed, offset.as_secs() as usize);
    }
}
