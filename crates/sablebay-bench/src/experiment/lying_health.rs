//! One replica accepts calls, never answers them and reports itself healthy; another works and
//! reports itself unhealthy. Routing must follow observed behaviour, not the reports.

use std::sync::atomic::Ordering;
use std::time::Duration;

use sablebay_standin::{Deployment, LoadSummary, ServiceTime, run_load};

use super::RunOptions;
use crate::cluster::{Cluster, ClusterOptions};
use crate::error::BenchError;
use crate::result::ExperimentResult;

const RATE: f64 = 300.0;
const BLACK_HOLE: &str = "desk-leaf-1";
const REPORTED_SICK: &str = "desk-leaf-2";
/// Maximum share of calls sent to the unresponsive replica after the first second.
const SHARE_GOAL: f64 = 0.02;

pub async fn run(options: &RunOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = options.result("lying-health");
    let observed = one_run(options, !options.breaks("observation")).await?;
    let unobserved = one_run(options, false).await?;
    result.figure("black_hole_share", observed.black_hole_share);
    result.figure("reported_sick_share", observed.reported_sick_share);
    result.figure("full_coverage", observed.load.full_coverage());
    result.figure("p99_ms", observed.load.latency_ms(0.99));
    result.figure("extra_load", observed.load.extra_load());
    result.figure("no_observation_black_hole_share", unobserved.black_hole_share);
    result.figure("no_observation_full_coverage", unobserved.load.full_coverage());
    result.figure("no_observation_p99_ms", unobserved.load.latency_ms(0.99));
    result.violations = observed.load.violations.len() as u64;
    let over = observed.black_hole_share > SHARE_GOAL;
    result.violation("black_hole_over_share", u64::from(over));
    if options.broken.is_some() {
        result.break_caught = Some(over);
    }
    Ok(result)
}

struct Run {
    load: LoadSummary,
    black_hole_share: f64,
    reported_sick_share: f64,
}

async fn one_run(options: &RunOptions, observation: bool) -> Result<Run, BenchError> {
    let mut deployment = Deployment::default();
    deployment.template("search", "deadline_ms = 300\n");
    deployment.add_ring("desk", "search", 4, 2, &["zone-a", "zone-b"]);
    deployment.service_time = Some(ServiceTime::log_normal(4_000.0, 0.4));
    let mut cluster_options = ClusterOptions { seed: options.seed, ..ClusterOptions::default() };
    cluster_options.mechanisms.routing.observation = observation;
    let cluster = Cluster::start(deployment, &cluster_options).await?;
    for leaf in [BLACK_HOLE, REPORTED_SICK] {
        let mut faults = cluster.leaves.leaves[leaf].state.faults.lock();
        faults.black_hole = leaf == BLACK_HOLE;
        faults.claims_healthy = Some(leaf == BLACK_HOLE);
    }
    let calls = |leaf: &str| cluster.leaves.leaves[leaf].state.calls.load(Ordering::Relaxed);
    let first = cluster.load(RATE, Duration::from_secs(1), options.seed);
    run_load(first).await;
    let (black_hole_before, reported_sick_before, all_before) =
        (calls(BLACK_HOLE), calls(REPORTED_SICK), cluster.leaves.calls());
    let load = run_load(cluster.load(RATE, options.seconds(6.0), options.seed + 1)).await;
    let all = (cluster.leaves.calls() - all_before).max(1) as f64;
    let run = Run {
        load,
        black_hole_share: (calls(BLACK_HOLE) - black_hole_before) as f64 / all,
        reported_sick_share: (calls(REPORTED_SICK) - reported_sick_before) as f64 / all,
    };
    cluster.stop().await;
    Ok(run)
}
