//! A planned stop interrupts no request in flight.

mod common;

use std::time::Duration;

use common::{DESK, EVENT_TIMEOUT, PORTAL, load_options, small_deployment, start, wait_for_report};
use sablebay_bench::{NodeCommand, ProcessCluster, RunOptions, run_experiment};
use sablebay_standin::{CORPUS, OperationOutcome, QueryOutcome, run_load};

/// Deadline of requests that outlast a stop.
const OUTLASTING_MS: u64 = 60_000;

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

/// Guards against a stop that closes the connections of callers whose back ends do not answer.
#[tokio::test(flavor = "multi_thread")]
async fn with_requests_that_outlast_it() {
    let command = NodeCommand::with_break(None).expect("the binaries are built");
    let flags = ["--log-level", "warn", "--stop-timeout-ms", "2000"];
    let deployment = small_deployment("latency", 2_000.0);
    let mut cluster =
        ProcessCluster::start(command, deployment, 3, &flags).await.expect("the cluster starts");
    cluster.leaves.leaves.values().for_each(|leaf| leaf.state.faults.lock().black_hole = true);
    let client = cluster.nodes[0].client();
    let query = |service| client.query(service, 7, 10, Some(OUTLASTING_MS), &CORPUS);
    let calls =
        async { tokio::join!(query(DESK), query(PORTAL), client.operation(DESK, None, Some(OUTLASTING_MS))) };
    let stopping = async {
        wait_for_report(&cluster, 0, "three requests in flight", |report| report.in_flight >= 3).await;
        cluster.nodes[0].terminate();
    };
    let ((direct, gathered, operation), ()) = tokio::join!(calls, stopping);
    for outcome in [direct, gathered] {
        assert!(!matches!(outcome, QueryOutcome::ConnectionLost), "a query was cut");
    }
    assert!(matches!(operation, OperationOutcome::Unknown { reason: Some(_) }), "{operation:?}");
    let (mut leaving, _proxy) = cluster.remove_node(0);
    assert_eq!(wait_for_exit(&mut leaving).await.code(), Some(0));
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
