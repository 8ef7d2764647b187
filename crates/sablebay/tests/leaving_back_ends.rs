//! A leaving back end gets no new work once the nodes know that it is leaving.

mod common;

use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{load, small_deployment, start, wait_for_report};
use sablebay_bench::{ProcessCluster, RunOptions, run_experiment};
use sablebay_protocol::backend::{Machine, MachineList, MachineRole};

fn calls(cluster: &ProcessCluster, leaf: &str) -> u64 {
    cluster.leaves.leaves[leaf].state.calls.load(Ordering::Relaxed)
}

async fn wait_until_known_to_all(cluster: &ProcessCluster, leaf: &str) {
    for node in 0..cluster.nodes.len() {
        let lists_leaf =
            |report: &sablebay_node::NodeReport| report.leaving_leaves.iter().any(|name| name == leaf);
        wait_for_report(cluster, node, "the report of the leaving leaf", lists_leaf).await;
    }
}

/// The leaf reports that it is draining to one node; that node must inform the others.
#[tokio::test(flavor = "multi_thread")]
async fn by_its_own_flag_fleet_wide() {
    const LEAF: &str = "desk-leaf-1";
    let cluster = start(small_deployment("latency", 2_000.0)).await;
    cluster.leaves.leaves[LEAF].state.faults.lock().draining = true;
    let mut options = common::load_options(&cluster, 100.0, 1.0, 1);
    options.nodes = std::sync::Arc::new(parking_lot::Mutex::new(vec![cluster.nodes[0].caller_address]));
    sablebay_standin::run_load(options).await;
    wait_until_known_to_all(&cluster, LEAF).await;
    let before = calls(&cluster, LEAF);
    let load = load(&cluster, 100.0, 1.0, 2).await;
    assert_eq!(calls(&cluster, LEAF), before, "the leaf got new work");
    assert_eq!(load.full, load.queries);
}

/// The machine list of the platform marks the leaf as leaving while a node is replaced and a replica is lost.
#[tokio::test(flavor = "multi_thread")]
async fn by_the_platforms_list_with_a_lost_replica_and_a_replaced_node() {
    const LEAF: &str = "portal-leaf-1";
    let mut cluster = start(small_deployment("latency", 2_000.0)).await;
    cluster.leaves.leaves.remove("desk-leaf-3");
    let machine = Machine { name: LEAF.to_string(), role: MachineRole::Leaf, address: None, leaving: true };
    cluster.platform.state.set_machines(MachineList { machines: vec![machine] });
    cluster.remove_node(2).0.kill();
    cluster.add_node().await.unwrap();
    cluster.wait_until_ready(3).await.unwrap();
    wait_until_known_to_all(&cluster, LEAF).await;
    let before = calls(&cluster, LEAF);
    let load = load(&cluster, 100.0, 1.0, 3).await;
    assert_eq!(calls(&cluster, LEAF), before, "the leaf got new work");
    assert_eq!(load.violations, []);
    assert_eq!(load.full, load.queries);
}

/// Calls in flight when the leaf starts draining are completed.
#[tokio::test(flavor = "multi_thread")]
async fn work_in_flight_is_finished() {
    const LEAF: &str = "desk-leaf-2";
    let cluster = start(small_deployment("latency", 60_000.0)).await;
    let draining = async {
        tokio::time::sleep(Duration::from_millis(400)).await;
        cluster.leaves.leaves[LEAF].state.faults.lock().draining = true;
    };
    let (load, ()) = tokio::join!(load(&cluster, 20.0, 1.5, 4), draining);
    assert_eq!(load.full, load.queries);
    assert_eq!(load.connections_lost, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_checker_notices_when_the_mechanism_is_off() {
    let options = RunOptions { broken: Some("leaving".to_string()), scale: 0.3, ..RunOptions::default() };
    let result = run_experiment("drain", &options).await.unwrap();
    assert_eq!(result.break_caught, Some(true));
}
