//! An answer comes from a single index snapshot: guards against mixed versions during rolling index
//! updates, with slow, lost and misbehaving replicas.

mod common;

use std::time::Duration;

use common::{load_options, small_deployment, start};
use sablebay_bench::{ProcessCluster, RunOptions, run_experiment};
use sablebay_model::SnapshotVersion;
use sablebay_standin::{LoadSummary, Violation, run_load};

async fn roll(cluster: &ProcessCluster, from: u64) {
    let (old, new) = (SnapshotVersion(from), SnapshotVersion(from + 1));
    for leaf in cluster.leaves.leaves.values() {
        *leaf.state.versions.lock() = vec![old, new];
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for leaf in cluster.leaves.leaves.values() {
        *leaf.state.versions.lock() = vec![new];
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
}

fn assert_one_snapshot(load: &LoadSummary) {
    assert_eq!(load.violations, []);
    assert!(load.answered > 0, "nothing was answered");
    assert_eq!(load.count(Violation::MixedVersions), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn while_versions_roll() {
    let cluster = start(small_deployment("coverage", 3_000.0)).await;
    let load = run_load(load_options(&cluster, 100.0, 3.0, 1));
    let rolls = async {
        roll(&cluster, 1).await;
        roll(&cluster, 2).await;
    };
    let (load, ()) = tokio::join!(load, rolls);
    assert_one_snapshot(&load);
}

#[tokio::test(flavor = "multi_thread")]
async fn while_versions_roll_with_a_straggler_and_a_lost_replica() {
    let mut cluster = start(small_deployment("latency", 3_000.0)).await;
    cluster.leaves.leaves["desk-leaf-1"].state.faults.lock().slow_factor = 20.0;
    cluster.leaves.leaves.remove("portal-leaf-1");
    let load = run_load(load_options(&cluster, 100.0, 2.5, 2));
    let (load, ()) = tokio::join!(load, roll(&cluster, 1));
    assert_one_snapshot(&load);
}

#[tokio::test(flavor = "multi_thread")]
async fn with_a_leaf_that_answers_at_another_version() {
    let cluster = start(small_deployment("latency", 3_000.0)).await;
    for leaf in ["desk-leaf-1", "portal-leaf-3"] {
        cluster.leaves.leaves[leaf].state.faults.lock().wrong_version = true;
    }
    let load = run_load(load_options(&cluster, 100.0, 1.5, 3)).await;
    assert_one_snapshot(&load);
}

/// Validates the checker: it must detect mixed versions when the version check is disabled.
#[tokio::test(flavor = "multi_thread")]
async fn the_checker_notices_when_the_mechanism_is_off() {
    let options =
        RunOptions { broken: Some("version-check".to_string()), scale: 0.3, ..RunOptions::default() };
    let result = run_experiment("version-roll", &options).await.unwrap();
    assert_eq!(result.break_caught, Some(true));
}
