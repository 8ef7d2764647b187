//! A planned stop interrupts no request in flight.

mod common;

use std::time::Duration;

use common::{EVENT_TIMEOUT, load_options, small_deployment, start};
use sablebay_bench::{ProcessCluster, RunOptions, run_experiment};
use sablebay_standin::run_load;

async fn wait_for_exit(node: &mut sablebay_bench::NodeProcess) -> std::process::ExitStatus {
    let started = std::time::Instant::now();
    loop {
        if let Some(status) = node.exited() {
            return status;
        }
        assert!(started.elapsed() < EVENT_TIMEOUT, "{} does not stop", node.name);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Stops a node under load; callers send requests to it until it exits.
async fn stop_under_load(cluster: &mut ProcessCluster, seed: u64) -> sablebay_standin::LoadSummary {
    let options = load_options(cluster, 100.0, 2.5, seed);
    let nodes = options.nodes.clone();
    let (mut leaving, _proxy) = cluster.remove_node(0);
    let stopping = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        leaving.terminate();
        let status = wait_for_exit(&mut leaving).await;
        assert_eq!(status.code(), Some(0));
        nodes.lock().remove(0);
    };
    let (load, ()) = tokio::join!(run_load(options), stopping);
    load
}

#[tokio::test(flavor = "multi_thread")]
async fn of_one_node_under_load() {
    let mut cluster = start(small_deployment("latency", 50_000.0)).await;
    let load = stop_under_load(&mut cluster, 1).await;
    assert_eq!((load.connections_lost, load.unknown, load.not_run), (0, 0, 0), "{load:?}");
    assert_eq!(load.violations, []);
}

#[tokio::test(flavor = "multi_thread")]
async fn while_the_platform_is_down_and_a_replica_is_lost() {
    let mut cluster = start(small_deployment("latency", 30_000.0)).await;
    cluster.platform.state.set_mode(sablebay_standin::PlatformMode::Down);
    cluster.leaves.leaves.remove("desk-leaf-1");
    let load = stop_under_load(&mut cluster, 2).await;
    assert_eq!((load.connections_lost, load.unknown, load.not_run), (0, 0, 0), "{load:?}");
}

/// Two nodes that aggregate for each other are stopped simultaneously.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_nodes_that_work_for_each_other() {
    let mut cluster = start(small_deployment("latency", 50_000.0)).await;
    let options = load_options(&cluster, 60.0, 2.5, 3);
    let nodes = options.nodes.clone();
    let mut leaving = [cluster.remove_node(0), cluster.remove_node(0)];
    let stopping = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        for (node, _) in &leaving {
            node.terminate();
        }
        for (node, _) in &mut leaving {
            assert_eq!(wait_for_exit(node).await.code(), Some(0));
        }
        nodes.lock().drain(..2);
    };
    let (load, ()) = tokio::join!(run_load(options), stopping);
    assert_eq!((load.connections_lost, load.unknown, load.not_run), (0, 0, 0), "{load:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn of_all_nodes_in_a_rolling_restart() {
    let options = RunOptions { scale: 0.5, ..RunOptions::default() };
    let result = run_experiment("rolling-restart", &options).await.unwrap();
    assert_eq!(result.violations, 0, "{:?}", result.figures);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_checker_notices_when_the_mechanism_is_off() {
    let options =
        RunOptions { broken: Some("wait-at-stop".to_string()), scale: 0.5, ..RunOptions::default() };
    let result = run_experiment("rolling-restart", &options).await.unwrap();
    assert_eq!(result.break_caught, Some(true), "{:?}", result.figures);
}
