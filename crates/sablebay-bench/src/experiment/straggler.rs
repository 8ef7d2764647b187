//! Measures tail latency with slow calls and slow replicas, for both users' deployments.
//!
//! Leaf service times are log-normal. Some calls take longer by a factor, and some leaves run slower
//! for a period. The load is open-loop at 60% and at 30% of the slots of each service. At 60% with two
//! replicas per shard, the remaining replica cannot carry the full load while the other is slow.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use sablebay_standin::{Deployment, LeafState, LoadSummary, ServiceTime, WeightedService, run_load};

use super::RunOptions;
use crate::cluster::{Cluster, ClusterOptions};
use crate::error::BenchError;
use crate::result::ExperimentResult;

const MEDIAN_US: f64 = 20_000.0;
const SIGMA: f64 = 0.6;
const STRAGGLER_SHARE: f64 = 0.01;
const STRAGGLER_FACTOR: f64 = 10.0;
const SLOW_SHARE: f64 = 0.05;
const SLOW_FACTOR: f64 = 3.0;
const SLOW_PERIOD: Duration = Duration::from_secs(3);
/// Prefix of the figures and the load as a fraction of the slots.
const UTILISATIONS: [(&str, f64); 2] = [("", 0.6), ("at_30_percent_", 0.3)];
/// Maximum ratio of the p99 latency with stragglers to that without.
const LATENCY_GOAL: f64 = 1.15;
/// Maximum extra load, as a fraction.
const LOAD_GOAL: f64 = 0.03;

pub async fn run(options: &RunOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = options.result("straggler");
    let mut reached = true;
    for (prefix, deployment) in
        [("tepung_raya", Deployment::tepung_raya()), ("protokolia", Deployment::protokolia())]
    {
        for (load, utilisation) in UTILISATIONS {
            let prefix = format!("{prefix}_{load}");
            let within_goals = measure(&prefix, &deployment, utilisation, options, &mut result).await?;
            result.figure(&format!("{prefix}goals_reached"), within_goals);
            reached &= within_goals;
        }
    }
    result.figure("goals_reached", reached);
    if options.broken.is_some() {
        result.break_caught = Some(!reached);
    }
    Ok(result)
}

/// Runs one deployment without stragglers, with stragglers, and with stragglers but no hedging.
/// Returns whether the latency and load goals are reached.
async fn measure(
    prefix: &str,
    deployment: &Deployment,
    utilisation: f64,
    options: &RunOptions,
    result: &mut ExperimentResult,
) -> Result<bool, BenchError> {
    let hedging = !options.breaks("hedging");
    let healthy = one_run(deployment, utilisation, options, LeafCondition::Healthy).await?;
    let straggling = one_run(deployment, utilisation, options, LeafCondition::Stragglers { hedging }).await?;
    let unhedged =
        one_run(deployment, utilisation, options, LeafCondition::Stragglers { hedging: false }).await?;
    let mut figure = |name: &str, value: f64| result.figure(&format!("{prefix}{name}"), value);
    figure("p50_ms", straggling.latency_ms(0.5));
    figure("p99_ms", straggling.latency_ms(0.99));
    figure("p999_ms", straggling.latency_ms(0.999));
    figure("no_straggler_p99_ms", healthy.latency_ms(0.99));
    figure("no_straggler_extra_load", healthy.extra_load());
    figure("no_hedge_p99_ms", unhedged.latency_ms(0.99));
    figure("no_hedge_full_coverage", unhedged.full_coverage());
    figure("extra_load", straggling.extra_load());
    figure("full_coverage", straggling.full_coverage());
    let ratio = straggling.latency_ms(0.99) / healthy.latency_ms(0.99);
    figure("p99_ratio", ratio);
    let violations: usize = [&healthy, &straggling, &unhedged].iter().map(|run| run.violations.len()).sum();
    result.violations += violations as u64;
    for (name, run) in [("no stragglers", &healthy), ("stragglers", &straggling), ("no hedging", &unhedged)] {
        let quantiles = (1..200).map(|step| f64::from(step) / 200.0);
        let points = quantiles.map(|quantile| (quantile, run.latency_ms(quantile))).collect();
        let plot = format!("{prefix}latency by quantile");
        result.plot(&plot, name, ("quantile", "ms"), points);
    }
    Ok(ratio <= LATENCY_GOAL && straggling.extra_load() <= LOAD_GOAL)
}

/// Condition of the leaves during a run.
#[derive(Clone, Copy)]
enum LeafCondition {
    /// No stragglers; hedging is on.
    Healthy,
    /// Slow calls and slow replicas.
    Stragglers {
        /// Whether slow calls are hedged.
        hedging: bool,
    },
}

async fn one_run(
    deployment: &Deployment,
    utilisation: f64,
    options: &RunOptions,
    condition: LeafCondition,
) -> Result<LoadSummary, BenchError> {
    let (stragglers, hedging) = match condition {
        LeafCondition::Healthy => (false, true),
        LeafCondition::Stragglers { hedging } => (true, hedging),
    };
    let mut deployment = deployment.clone();
    let service_time = ServiceTime {
        straggler_fraction: if stragglers { STRAGGLER_SHARE } else { 0.0 },
        straggler_factor: STRAGGLER_FACTOR,
        ..ServiceTime::log_normal(MEDIAN_US, SIGMA)
    };
    deployment.service_time = Some(service_time);
    let mut cluster_options = ClusterOptions { seed: options.seed, ..ClusterOptions::default() };
    cluster_options.mechanisms.routing.hedging = hedging;
    let cluster = Cluster::start(deployment, &cluster_options).await?;
    let warm_up = options.seconds(3.0);
    let mut load = cluster.load(0.0, options.seconds(11.0) + warm_up, options.seed);
    let mean_us = ServiceTime { straggler_fraction: 0.0, ..service_time }.mean_us();
    load.services = weights(&cluster.deployment, utilisation, mean_us);
    load.rate = load.services.iter().map(|service| service.weight).sum();
    load.warm_up = warm_up;
    load.deadline_ms = Some(2_000);
    load.attempts = 1;
    let slow_periods = stragglers.then(|| {
        let leaves = cluster.leaves.leaves.values().map(|leaf| leaf.state.clone()).collect();
        tokio::spawn(run_slow_periods(leaves, options.seed))
    });
    let summary = run_load(load).await;
    if let Some(slow_periods) = slow_periods {
        slow_periods.abort();
    }
    cluster.stop().await;
    Ok(summary)
}

/// Weights each service by the queries per second that keep a fraction of its slots busy.
fn weights(deployment: &Deployment, utilisation: f64, mean_us: f64) -> Vec<WeightedService> {
    let slots_of = |name: &str| {
        let leaves = deployment.leaves.iter().filter(|leaf| leaf.name.starts_with(&format!("{name}-leaf-")));
        leaves.map(|leaf| f64::from(leaf.slots)).sum::<f64>()
    };
    let weight = |service: &sablebay_standin::ServicePlan| {
        let calls_per_second = utilisation * slots_of(&service.name) * 1e6 / mean_us;
        calls_per_second / service.shards.len() as f64
    };
    deployment
        .services
        .iter()
        .map(|service| WeightedService { name: service.name.clone(), weight: weight(service) })
        .collect()
}

/// Slows down a random fraction of the leaves, chosen anew in each period.
async fn run_slow_periods(leaves: Vec<Arc<LeafState>>, seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let count = ((leaves.len() as f64 * SLOW_SHARE).round() as usize).max(1);
    loop {
        let slow: Vec<usize> = (0..count).map(|_| random.random_range(0..leaves.len())).collect();
        for position in &slow {
            leaves[*position].faults.lock().slow_factor = SLOW_FACTOR;
        }
        tokio::time::sleep(SLOW_PERIOD).await;
        for position in &slow {
            leaves[*position].faults.lock().slow_factor = 1.0;
        }
    }
}
