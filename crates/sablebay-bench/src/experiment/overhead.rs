//! Measures the latency that a node adds to a query over two leaves, compared with calling the
//! leaves directly.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http::Method;

use sablebay_http::ConnectionPool;
use sablebay_model::{CallId, PartitionSet, ServiceId, SnapshotVersion, SortOrder};
use sablebay_protocol::backend::{LeafCall, SEARCH_PATH, SearchBatch};
use sablebay_standin::{CORPUS, CallerClient, Deployment, QueryOutcome, ServiceTime};

use super::RunOptions;
use crate::error::BenchError;
use crate::processes::{NodeCommand, ProcessCluster};
use crate::result::ExperimentResult;

const SERVICE: &str = "desk";
const LIMIT: usize = 10;
const PAIRS: f64 = 6_000.0;
const PARALLEL: usize = 32;

pub async fn run(options: &RunOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = options.result("overhead");
    let cluster = start(NodeCommand::with_break(None)?).await?;
    let node = cluster.nodes[0].client();
    let direct = DirectCaller::new(&cluster);
    let mut node_latency = histogram();
    let mut direct_latency = histogram();
    let pairs = (PAIRS * options.scale) as u64;
    for outlet in 0..pairs {
        // Direct and routed queries alternate, so that both run under the same machine load.
        let started = Instant::now();
        direct.call_both(outlet).await?;
        let direct_elapsed = started.elapsed();
        let started = Instant::now();
        let outcome = node.query(SERVICE, outlet, LIMIT, None, &CORPUS).await;
        let node_elapsed = started.elapsed();
        if outlet >= pairs / 10 {
            direct_latency.saturating_record(direct_elapsed.as_nanos() as u64);
            node_latency.saturating_record(node_elapsed.as_nanos() as u64);
        }
        match outcome {
            QueryOutcome::Answered(checked) => result.violations += checked.violations.len() as u64,
            _ => result.violations += 1,
        }
    }
    let us = |histogram: &Histogram<u64>, quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
    result.figure("direct_p50_us", us(&direct_latency, 0.5));
    result.figure("direct_p99_us", us(&direct_latency, 0.99));
    result.figure("p50_us", us(&node_latency, 0.5));
    result.figure("p99_us", us(&node_latency, 0.99));
    result.figure("added_p50_us", us(&node_latency, 0.5) - us(&direct_latency, 0.5));
    result.figure("added_p99_us", us(&node_latency, 0.99) - us(&direct_latency, 0.99));
    result.figure("p99_ratio", us(&node_latency, 0.99) / us(&direct_latency, 0.99));
    let (queries, cpu) = saturate(&cluster, options.seconds(5.0)).await?;
    result.figure("queries_per_second_per_core", queries / cpu.as_secs_f64());
    Ok(result)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("constant bounds are valid")
}

async fn start(command: NodeCommand) -> Result<ProcessCluster, BenchError> {
    let mut deployment = Deployment::default();
    deployment.template("search", "deadline_ms = 1000\nconcurrency = 1000\n");
    deployment.add_ring(SERVICE, "search", 2, 2, &["zone-a"]);
    deployment.service_time = Some(ServiceTime::NONE);
    ProcessCluster::start(command, deployment, 1, &["--log-level", "warn"]).await
}

/// Calls both leaves directly, one shard each.
struct DirectCaller {
    pools: Vec<ConnectionPool>,
}

impl DirectCaller {
    fn new(cluster: &ProcessCluster) -> Self {
        let pools = cluster.leaves.leaves.values().map(|leaf| ConnectionPool::new(leaf.address, 4));
        Self { pools: pools.collect() }
    }

    async fn call_both(&self, outlet: u64) -> Result<(), BenchError> {
        let (first, second) = tokio::join!(self.call_leaf(0, outlet), self.call_leaf(1, outlet));
        first.and(second)
    }

    async fn call_leaf(&self, number: usize, outlet: u64) -> Result<(), BenchError> {
        let query = serde_json::value::to_raw_value(&serde_json::json!({ "outlet": outlet }))?;
        let first = number as u32 * 2;
        let call = LeafCall {
            call_id: CallId(outlet),
            service: ServiceId::new(SERVICE),
            partitions: PartitionSet::range(first, first + 1),
            version: SnapshotVersion(1),
            remaining_ms: 1_000,
            limit: LIMIT,
            sort: SortOrder::Descending,
            query: query.into(),
        };
        let batch = SearchBatch { caller: "direct".to_string(), calls: vec![call] };
        let body = serde_json::to_vec(&batch)?;
        let response = self.pools[number].exchange(Method::POST, SEARCH_PATH, body.into()).await;
        let answer = response.map_err(|error| std::io::Error::other(error.to_string()))?;
        let line = answer.split(|byte| *byte == b'\n').next().unwrap_or_default();
        let _: sablebay_protocol::backend::LeafAnswer = serde_json::from_slice(line)?;
        Ok(())
    }
}

/// Saturates the node from `PARALLEL` clients. Returns the number of answered queries and the CPU time
/// that the node process used.
async fn saturate(cluster: &ProcessCluster, duration: Duration) -> Result<(f64, Duration), BenchError> {
    let before = cluster.nodes[0].cpu_time();
    let started = Instant::now();
    let mut workers = tokio::task::JoinSet::new();
    for number in 0..PARALLEL {
        let client = CallerClient::new(cluster.nodes[0].caller_address);
        workers.spawn(async move {
            let mut answered = 0u64;
            while started.elapsed() < duration {
                let outcome = client.query(SERVICE, number as u64, LIMIT, None, &CORPUS).await;
                answered += u64::from(matches!(outcome, QueryOutcome::Answered(_)));
            }
            answered
        });
    }
    let answered: u64 = workers.join_all().await.iter().sum();
    Ok((answered as f64, cluster.nodes[0].cpu_time().saturating_sub(before)))
}
