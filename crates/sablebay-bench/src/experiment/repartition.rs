//! Splits, merges and moves shards between leaves under load. Old and new owners overlap at some
//! stages and leave a gap at another, and one leaf answers for partitions outside the request.

use std::time::Duration;

use sablebay_model::PartitionSet;
use sablebay_standin::{Deployment, LeafPlan, LoadSummary, ServicePlan, ServiceTime, ShardPlan, run_load};

use super::{RunOptions, count_violations};
use crate::cluster::{Cluster, ClusterOptions};
use crate::error::BenchError;
use crate::result::ExperimentResult;

const RATE: f64 = 300.0;
const PARTITIONS: u32 = 8;
const LEAVES: usize = 6;

pub async fn run(options: &RunOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = options.result("repartition");
    let steady = one_run(options, false).await?;
    let moved = one_run(options, true).await?;
    count_violations(&mut result, &[&moved, &steady]);
    result.figure("queries", moved.queries);
    result.figure("full_coverage", moved.full_coverage());
    result.figure("p99_ms", moved.latency_ms(0.99));
    result.figure("extra_load", moved.extra_load());
    result.figure("steady_p99_ms", steady.latency_ms(0.99));
    result.figure("steady_full_coverage", steady.full_coverage());
    if options.broken.is_some() {
        result.break_caught = Some(result.violations > 0);
    }
    Ok(result)
}

fn leaf_name(number: usize) -> String {
    format!("leaf-{number}")
}

/// The shards of the index at one stage, each on two leaves.
fn shards(stage: usize) -> Vec<ShardPlan> {
    let shard = |first: u32, last: u32, leaves: [usize; 2]| ShardPlan {
        partitions: PartitionSet::range(first, last),
        leaves: leaves.iter().map(|number| leaf_name(*number)).collect(),
    };
    match stage {
        0 => vec![shard(0, 3, [0, 1]), shard(4, 7, [2, 3])],
        // The first shard is split, and one half moves.
        1 => vec![shard(0, 1, [0, 1]), shard(2, 3, [4, 5]), shard(4, 7, [2, 3])],
        // The second shard is split, and one half merges with the moved one.
        2 => vec![shard(0, 1, [0, 1]), shard(2, 5, [4, 5]), shard(6, 7, [2, 3])],
        // All shards are merged into one.
        _ => vec![shard(0, 7, [4, 5])],
    }
}

fn held_at(stage: usize, leaf: &str) -> PartitionSet {
    let plans = shards(stage);
    let held = plans.iter().filter(|shard| shard.leaves.iter().any(|holder| holder == leaf));
    held.flat_map(|shard| shard.partitions.iter()).collect()
}

fn deployment() -> Deployment {
    let mut deployment = Deployment::default();
    deployment.template("search", "deadline_ms = 500\npriority = \"coverage\"\n");
    for number in 0..LEAVES {
        deployment.leaves.push(LeafPlan {
            name: leaf_name(number),
            zone: ["zone-a", "zone-b"][number % 2].to_string(),
            slots: 4,
            connections: 80,
        });
    }
    deployment.services.push(ServicePlan {
        name: "orders".to_string(),
        template: "search".to_string(),
        partitions: PARTITIONS,
        shards: shards(0),
        replicas: 2,
    });
    deployment.service_time = Some(ServiceTime::log_normal(4_000.0, 0.4));
    deployment
}

async fn one_run(options: &RunOptions, moving: bool) -> Result<LoadSummary, BenchError> {
    let mut cluster_options = ClusterOptions { seed: options.seed, ..ClusterOptions::default() };
    cluster_options.mechanisms.routing.partition_check = !options.breaks("partition-check");
    let mut cluster = Cluster::start(deployment(), &cluster_options).await?;
    let load = cluster.load(RATE, options.seconds(8.0), options.seed);
    let stage_time = options.seconds(8.0) / 4;
    let summary = if moving {
        let (summary, moved) = tokio::join!(run_load(load), move_shards(&mut cluster, stage_time));
        moved?;
        summary
    } else {
        run_load(load).await
    };
    cluster.stop().await;
    Ok(summary)
}

async fn move_shards(cluster: &mut Cluster, stage_time: Duration) -> Result<(), BenchError> {
    for stage in 1..=3 {
        tokio::time::sleep(stage_time / 2).await;
        // New owners are added before old ones are removed, except at the last stage.
        let overlap = stage < 3;
        for (name, leaf) in &cluster.leaves.leaves {
            let held = held_at(stage, name);
            let union = held.union(&held_at(stage - 1, name));
            *leaf.state.partitions.lock() = if overlap { union } else { held };
        }
        cluster.deployment.services[0].shards = shards(stage);
        cluster.publish()?;
        tokio::time::sleep(stage_time / 4).await;
        if let Some(leaf) = cluster.leaves.leaves.get(&leaf_name(4)) {
            leaf.state.faults.lock().wrong_partitions = true;
        }
        tokio::time::sleep(stage_time / 4).await;
        for (name, leaf) in &cluster.leaves.leaves {
            *leaf.state.partitions.lock() = held_at(stage, name);
            leaf.state.faults.lock().wrong_partitions = false;
        }
    }
    Ok(())
}
