//! Rolls index versions over the leaves under load, while one leaf answers with a version other than
//! the requested one.

use std::time::Duration;

use sablebay_model::SnapshotVersion;
use sablebay_standin::{Deployment, LoadSummary, RunningLeaves, ServiceTime, run_load};

use super::{RunOptions, count_violations};
use crate::cluster::{Cluster, ClusterOptions};
use crate::error::BenchError;
use crate::result::ExperimentResult;

const RATE: f64 = 300.0;
const ROLLS: u64 = 3;
/// Delay before the next leaf drops the old version.
const STEP: Duration = Duration::from_millis(60);

pub async fn run(options: &RunOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = options.result("version-roll");
    let steady = one_run(options, false).await?;
    let rolled = one_run(options, true).await?;
    count_violations(&mut result, &[&rolled, &steady]);
    result.figure("queries", rolled.queries);
    result.figure("answered", rolled.answered);
    result.figure("full_coverage", rolled.full_coverage());
    result.figure("p99_ms", rolled.latency_ms(0.99));
    result.figure("extra_load", rolled.extra_load());
    result.figure("steady_p99_ms", steady.latency_ms(0.99));
    result.figure("steady_full_coverage", steady.full_coverage());
    let share = |(answers, full): &(u64, u64)| *full as f64 / (*answers).max(1) as f64;
    let points = rolled.coverage_over_time.iter().enumerate().map(|(at, count)| (at as f64, share(count)));
    result.plot("full coverage over time", "versions roll", ("s", "share"), points.collect());
    if options.broken.is_some() {
        result.break_caught = Some(result.violations > 0);
    }
    Ok(result)
}

async fn one_run(options: &RunOptions, rolling: bool) -> Result<LoadSummary, BenchError> {
    let mut deployment = Deployment::default();
    deployment.template("search", "deadline_ms = 500\npriority = \"coverage\"\n");
    for number in 1..=3 {
        deployment.add_ring(&format!("service-{number}"), "search", 6, 3, &["zone-a", "zone-b"]);
    }
    deployment.service_time = Some(ServiceTime::log_normal(4_000.0, 0.4));
    let mut cluster_options = ClusterOptions { seed: options.seed, ..ClusterOptions::default() };
    cluster_options.mechanisms.routing.version_check = !options.breaks("version-check");
    let cluster = Cluster::start(deployment, &cluster_options).await?;
    let load = cluster.load(RATE, options.seconds(8.0), options.seed);
    let pause = options.seconds(8.0) / (ROLLS as u32 + 1);
    let summary = if rolling {
        let (summary, ()) = tokio::join!(run_load(load), roll(&cluster.leaves, pause));
        summary
    } else {
        run_load(load).await
    };
    cluster.stop().await;
    Ok(summary)
}

/// Loads each new version on every leaf, then drops the old version leaf by leaf.
async fn roll(leaves: &RunningLeaves, pause: Duration) {
    for version in 1..=ROLLS {
        let (old, new) = (SnapshotVersion(version), SnapshotVersion(version + 1));
        for leaf in leaves.leaves.values() {
            *leaf.state.versions.lock() = vec![old, new];
            tokio::time::sleep(STEP / 4).await;
        }
        let faulty_leaf = leaves.leaves.values().next();
        if let Some(leaf) = faulty_leaf {
            leaf.state.faults.lock().wrong_version = true;
        }
        for leaf in leaves.leaves.values() {
            *leaf.state.versions.lock() = vec![new];
            tokio::time::sleep(STEP).await;
        }
        if let Some(leaf) = faulty_leaf {
            leaf.state.faults.lock().wrong_version = false;
        }
        tokio::time::sleep(pause.saturating_sub(STEP * 20)).await;
    }
}
