//! Drains leaves under load: one announces that it is draining, another is marked as leaving in the
//! platform's list of machines.

use std::sync::atomic::Ordering;
use std::time::Duration;

use sablebay_model::SnapshotVersion;
use sablebay_protocol::backend::{Machine, MachineList, MachineRole};
use sablebay_standin::{Deployment, LoadSummary, ServiceTime, run_load};

use super::RunOptions;
use crate::cluster::{Cluster, ClusterOptions};
use crate::error::BenchError;
use crate::result::ExperimentResult;

/// Queries per second, within the capacity of the remaining leaves.
const RATE: f64 = 100.0;
/// Period after the start of the drain in which new calls are still allowed.
const GRACE: Duration = Duration::from_secs(3);
const FLAGGED_LEAF: &str = "desk-leaf-1";
const LISTED_LEAF: &str = "desk-leaf-3";

pub async fn run(options: &RunOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = options.result("drain");
    let steady = one_run(options, false).await?;
    let drained = one_run(options, true).await?;
    let callers_errors = drained.load.not_run + drained.load.unknown;
    result.violation("cut", drained.load.connections_lost);
    result.violation("late_new_work", drained.late_calls);
    result.violation("callers_errors", callers_errors);
    result.violations += drained.load.violations.len() as u64;
    result.figure("queries", drained.load.queries);
    result.figure("full_coverage", drained.load.full_coverage());
    result.figure("p99_ms", drained.load.latency_ms(0.99));
    result.figure("steady_p99_ms", steady.load.latency_ms(0.99));
    result.figure("in_flight_finished", drained.in_flight_finished);
    if options.broken.is_some() {
        result.break_caught = Some(result.violations > 0);
    }
    Ok(result)
}

struct Run {
    load: LoadSummary,
    late_calls: u64,
    in_flight_finished: bool,
}

async fn one_run(options: &RunOptions, drains: bool) -> Result<Run, BenchError> {
    let mut deployment = Deployment::default();
    deployment.template("search", "deadline_ms = 500\n");
    deployment.add_ring("desk", "search", 4, 2, &["zone-a", "zone-b"]);
    deployment.service_time = Some(ServiceTime::log_normal(8_000.0, 0.4));
    // The grace period starts when the platform's list changes, so nodes must read the list often enough.
    let settings = "platform_reads_per_second = 6\n".to_string();
    let mut cluster_options = ClusterOptions { seed: options.seed, settings, ..ClusterOptions::default() };
    cluster_options.mechanisms.routing.leaving = !options.breaks("leaving");
    let cluster = Cluster::start(deployment, &cluster_options).await?;
    let mut load = cluster.load(RATE, options.seconds(5.0) + GRACE, options.seed);
    load.attempts = 1;
    let (load, late_calls) = if drains {
        tokio::join!(run_load(load), drain(&cluster, options))
    } else {
        (run_load(load).await, 0)
    };
    let in_flight = |name: &str| cluster.leaves.leaves[name].state.load().in_flight;
    let in_flight_finished = in_flight(FLAGGED_LEAF) == 0 && in_flight(LISTED_LEAF) == 0;
    cluster.stop().await;
    Ok(Run { load, late_calls, in_flight_finished })
}

/// Drains two leaves and returns the number of calls that they received after the grace period.
async fn drain(cluster: &Cluster, options: &RunOptions) -> u64 {
    tokio::time::sleep(options.seconds(1.0)).await;
    cluster.leaves.leaves[FLAGGED_LEAF].state.faults.lock().draining = true;
    let machine =
        Machine { name: LISTED_LEAF.to_string(), role: MachineRole::Leaf, address: None, leaving: true };
    cluster.platform.state.set_machines(MachineList { machines: vec![machine] });
    tokio::time::sleep(GRACE).await;
    let calls = |name: &str| cluster.leaves.leaves[name].state.calls.load(Ordering::Relaxed);
    let before = calls(FLAGGED_LEAF) + calls(LISTED_LEAF);
    tokio::time::sleep(options.seconds(3.0)).await;
    // The leaving leaf still holds its version, so only the leaving mark keeps calls away from it.
    let holds = cluster.leaves.leaves[LISTED_LEAF].state.versions.lock().contains(&SnapshotVersion(1));
    debug_assert!(holds);
    calls(FLAGGED_LEAF) + calls(LISTED_LEAF) - before
}
