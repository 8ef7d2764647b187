//! Slows down every replica at once. Retries and hedges must not add load beyond the budget.

use std::time::Duration;

use sablebay_standin::{Deployment, LoadSummary, ServiceTime, run_load};

use super::RunOptions;
use crate::cluster::{Cluster, ClusterOptions};
use crate::error::BenchError;
use crate::result::ExperimentResult;

const MEDIAN_US: f64 = 10_000.0;
const SIGMA: f64 = 0.4;
const SLOW_FACTOR: f64 = 6.0;
const RATE: f64 = 150.0;
const DEADLINE_MS: u64 = 400;
/// Maximum extra load while every replica is slow, as a fraction.
const LOAD_GOAL: f64 = 0.01;

pub async fn run(options: &RunOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = options.result("brownout");
    let budget = !options.breaks("budget");
    let (healthy, slow) = one_run(options, budget).await?;
    let (_, unbounded) = one_run(options, false).await?;
    result.figure("extra_load", slow.extra_load());
    result.figure("sound_extra_load", healthy.extra_load());
    result.figure("goodput", slow.full as f64 / slow.queries.max(1) as f64);
    result.figure("p99_ms", slow.latency_ms(0.99));
    result.figure("no_budget_extra_load", unbounded.extra_load());
    result.figure("no_budget_goodput", unbounded.full as f64 / unbounded.queries.max(1) as f64);
    result.figure("no_budget_p99_ms", unbounded.latency_ms(0.99));
    result.violations = (healthy.violations.len() + slow.violations.len()) as u64;
    let reached = slow.extra_load() <= LOAD_GOAL;
    result.violation("over_budget", u64::from(!reached));
    if options.broken.is_some() {
        result.break_caught = Some(!reached);
    }
    Ok(result)
}

/// Returns the load summaries before and during the slowdown.
async fn one_run(options: &RunOptions, budget: bool) -> Result<(LoadSummary, LoadSummary), BenchError> {
    let mut deployment = Deployment::default();
    deployment.template("search", "deadline_ms = 400\nextra_load_percent = 3\nhedge_quantile = 0.95\n");
    for number in 1..=4 {
        deployment.add_ring(&format!("service-{number}"), "search", 4, 2, &["zone-a", "zone-b"]);
    }
    deployment.service_time = Some(ServiceTime::log_normal(MEDIAN_US, SIGMA));
    let mut cluster_options = ClusterOptions { seed: options.seed, ..ClusterOptions::default() };
    cluster_options.mechanisms.routing.budget = budget;
    let cluster = Cluster::start(deployment, &cluster_options).await?;
    let mut load = cluster.load(RATE, options.seconds(8.0), options.seed);
    load.deadline_ms = Some(DEADLINE_MS);
    load.attempts = 1;
    load.warm_up = Duration::from_secs(1);
    let healthy = run_load(load.clone()).await;
    for leaf in cluster.leaves.leaves.values() {
        leaf.state.faults.lock().slow_factor = SLOW_FACTOR;
    }
    let slow = run_load(load).await;
    cluster.stop().await;
    Ok((healthy, slow))
}
