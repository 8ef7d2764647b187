//! Replaces every node process under load, one by one, with planned stops. Half of the services use
//! tree fan-out, so that nodes also aggregate for each other.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use sablebay_standin::{
    CORPUS, Deployment, LoadOptions, LoadSummary, ServiceTime, WeightedService, run_load,
};

use super::RunOptions;
use crate::error::BenchError;
use crate::processes::{NodeCommand, ProcessCluster};
use crate::result::ExperimentResult;

const RATE: f64 = 200.0;
const NODES: usize = 3;
/// Maximum duration of a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

pub async fn run(options: &RunOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = options.result("rolling-restart");
    let run = one_run(options).await?;
    let callers_errors = run.load.not_run + run.load.unknown;
    result.violation("cut", run.load.connections_lost);
    result.violation("callers_errors", callers_errors);
    result.violation("unclean_exits", run.unclean_exits);
    result.violations += run.load.violations.len() as u64;
    result.figure("queries", run.load.queries);
    result.figure("answered", run.load.answered);
    result.figure("full_coverage", run.load.full_coverage());
    result.figure("p99_ms", run.load.latency_ms(0.99));
    result.figure("reasons", serde_json::to_value(&run.load.reasons)?);
    result.figure("longest_stop_ms", run.longest_stop.as_millis() as u64);
    if options.broken.is_some() {
        result.break_caught = Some(result.violations > 0);
    }
    Ok(result)
}

struct Run {
    load: LoadSummary,
    unclean_exits: u64,
    longest_stop: Duration,
}

fn deployment() -> Deployment {
    let mut deployment = Deployment::default();
    deployment.template("direct", "deadline_ms = 2000\nfan_out = \"direct\"\n");
    deployment.template("tree", "deadline_ms = 2000\nfan_out = \"tree\"\n");
    deployment.add_ring("desk", "direct", 4, 2, &["zone-a", "zone-b"]);
    deployment.add_ring("portal", "tree", 8, 4, &["zone-a", "zone-b"]);
    deployment.service_time = Some(ServiceTime::log_normal(30_000.0, 0.5));
    deployment
}

async fn one_run(options: &RunOptions) -> Result<Run, BenchError> {
    let command = NodeCommand::with_break(options.broken.as_deref())?;
    let flags = ["--log-level", "warn", "--stop-timeout-ms", "15000"];
    let mut cluster = ProcessCluster::start(command, deployment(), NODES, &flags).await?;
    let nodes = Arc::new(Mutex::new(cluster.caller_addresses()));
    let load = LoadOptions {
        nodes: nodes.clone(),
        services: WeightedService::equal(&cluster.deployment.service_names()),
        rate: RATE,
        duration: options.seconds(14.0),
        limit: 10,
        deadline_ms: None,
        corpus: CORPUS,
        seed: options.seed,
        warm_up: Duration::ZERO,
        attempts: 4,
    };
    let (load, replaced) = tokio::join!(run_load(load), replace_all(&mut cluster, &nodes));
    let (unclean_exits, longest_stop) = replaced?;
    Ok(Run { load, unclean_exits, longest_stop })
}

async fn replace_all(
    cluster: &mut ProcessCluster,
    nodes: &Arc<Mutex<Vec<std::net::SocketAddr>>>,
) -> Result<(u64, Duration), BenchError> {
    let mut unclean = 0;
    let mut longest = Duration::ZERO;
    for _ in 0..NODES {
        cluster.add_node().await?;
        cluster.wait_until_ready(NODES + 1).await?;
        *nodes.lock() = cluster.caller_addresses();
        // Callers still use the stopping node, which must answer them rather than drop connections.
        let (mut leaving, _proxy) = cluster.remove_node(0);
        let started = Instant::now();
        leaving.terminate();
        let status = loop {
            if let Some(status) = leaving.exited() {
                break Some(status);
            }
            if started.elapsed() > STOP_TIMEOUT {
                break None;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        };
        longest = longest.max(started.elapsed());
        unclean += u64::from(!status.is_some_and(|status| status.success()));
        *nodes.lock() = cluster.caller_addresses();
    }
    Ok((unclean, longest))
}
