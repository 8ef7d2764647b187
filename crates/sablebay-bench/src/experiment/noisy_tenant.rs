//! One tenant floods the leaves that it shares with another. Admission must protect the latency of the
//! other tenant.

use std::time::Duration;

use sablebay_model::PartitionSet;
use sablebay_standin::{
    Deployment, LeafPlan, LoadSummary, ServicePlan, ServiceTime, ShardPlan, WeightedService, run_load,
};

use super::RunOptions;
use crate::cluster::{Cluster, ClusterOptions};
use crate::error::BenchError;
use crate::result::ExperimentResult;

const VICTIM: &str = "victim";
const NOISY: &str = "noisy";
const VICTIM_RATE: f64 = 100.0;
const NOISY_RATE: f64 = 3_000.0;
const LEAVES: usize = 4;
/// Slots of each leaf. All leaves together serve slightly more than 2,000 queries per second.
const SLOTS: u32 = 6;
/// Maximum ratio of the victim's p99 latency under the flood to that without it.
const RATIO_GOAL: f64 = 1.1;

pub async fn run(options: &RunOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = options.result("noisy-tenant");
    let admission = !options.breaks("admission");
    let (quiet, _) = one_run(options, admission, false).await?;
    let (flooded, noisy) = one_run(options, admission, true).await?;
    let (unlimited, _) = one_run(options, false, true).await?;
    let ratio = flooded.latency_ms(0.99) / quiet.latency_ms(0.99);
    result.figure("victim_p99_ms", flooded.latency_ms(0.99));
    result.figure("quiet_p99_ms", quiet.latency_ms(0.99));
    result.figure("victim_p99_ratio", ratio);
    result.figure("victim_full_coverage", flooded.full_coverage());
    result.figure("noisy_answered", noisy.answered as f64 / noisy.queries.max(1) as f64);
    result.figure("noisy_not_run", noisy.not_run as f64 / noisy.queries.max(1) as f64);
    result.figure("no_admission_victim_p99_ms", unlimited.latency_ms(0.99));
    result.figure("no_admission_victim_full_coverage", unlimited.full_coverage());
    result.violations = (flooded.violations.len() + noisy.violations.len()) as u64;
    result.figure("goal_reached", ratio <= RATIO_GOAL);
    if options.broken.is_some() {
        result.break_caught = Some(ratio > RATIO_GOAL);
    }
    Ok(result)
}

fn deployment(admission: bool) -> Deployment {
    let mut deployment = Deployment::default();
    let limits =
        if admission { "concurrency = 4\nqueue = 4\n" } else { "concurrency = 100000\nqueue = 100000\n" };
    deployment.template("tenant", &format!("deadline_ms = 500\n{limits}"));
    let names: Vec<String> = (0..LEAVES).map(|number| format!("leaf-{number}")).collect();
    for name in &names {
        deployment.leaves.push(LeafPlan {
            name: name.clone(),
            zone: "zone-a".to_string(),
            slots: SLOTS,
            connections: 100,
        });
    }
    for tenant in [VICTIM, NOISY] {
        deployment.services.push(ServicePlan {
            name: tenant.to_string(),
            template: "tenant".to_string(),
            partitions: 2,
            shards: vec![ShardPlan { partitions: PartitionSet::range(0, 1), leaves: names.clone() }],
            replicas: LEAVES as u32,
        });
    }
    deployment.service_time = Some(ServiceTime::log_normal(10_000.0, 0.3));
    deployment
}

/// Returns the load summaries of the victim and of the noisy tenant.
async fn one_run(
    options: &RunOptions,
    admission: bool,
    flood: bool,
) -> Result<(LoadSummary, LoadSummary), BenchError> {
    let cluster_options = ClusterOptions { seed: options.seed, ..ClusterOptions::default() };
    let cluster = Cluster::start(deployment(admission), &cluster_options).await?;
    let mut victim = cluster.load(VICTIM_RATE, options.seconds(8.0), options.seed);
    victim.services = vec![WeightedService { name: VICTIM.to_string(), weight: 1.0 }];
    victim.warm_up = Duration::from_secs(1);
    victim.attempts = 1;
    let mut noisy = victim.clone();
    noisy.services = vec![WeightedService { name: NOISY.to_string(), weight: 1.0 }];
    noisy.rate = if flood { NOISY_RATE } else { 1.0 };
    noisy.seed = options.seed + 1;
    let summaries = tokio::join!(run_load(victim), run_load(noisy));
    cluster.stop().await;
    Ok(summaries)
}
