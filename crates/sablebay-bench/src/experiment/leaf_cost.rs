//! Measures the CPU time for each leaf call in a wide fan-out, against a baseline of raw frames in
//! batches of the same size. The leaves run in a separate process, so that only the CPU time of the
//! calling side is measured.

mod floor;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use sablebay_config::NodeSettings;
use sablebay_model::{RequestId, ServiceId, SortOrder};
use sablebay_node::{Node, NodeMechanisms, QueryInput, root_search};
use sablebay_standin::Platform;

use super::RunOptions;
use crate::cluster::wait_for;
use crate::error::BenchError;
use crate::result::ExperimentResult;
use crate::usage::process_cpu_time;

pub use floor::serve_floor;

/// Leaves per query, number of concurrent queries, and batching delay in microseconds.
const FAN_OUTS: [(usize, usize, u64); 3] = [(10, 256, 1_000), (100, 64, 1_000), (1_400, 48, 2_000)];
/// Connections to one leaf: one eighth of the 80 connections that a leaf accepts.
const CONNECTIONS: usize = 10;
const BATCH: usize = 32;
const SERVICE: &str = "wide";

pub async fn run(options: &RunOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = options.result("leaf-cost");
    let leaves = HollowLeaves::spawn(FAN_OUTS[2].0)?;
    for (fan_out, parallel, coalesce_us) in FAN_OUTS {
        let measured = measure(&leaves.addresses[..fan_out], parallel, coalesce_us, options).await?;
        let batch = measured.batch.round().max(1.0) as usize;
        let floor_us = floor::measure(leaves.floor, batch, options.seconds(2.0)).await?;
        let mut figure = |name: &str, value: f64| result.figure(&format!("{name}_{fan_out}"), value);
        figure("us_per_leaf_call", measured.us_per_call);
        figure("floor_us_per_leaf_call", floor_us);
        figure("ratio", measured.us_per_call / floor_us);
        figure("batch", measured.batch);
        figure("query_p50_ms", measured.p50_ms);
        figure("query_p99_ms", measured.p99_ms);
        figure("leaf_calls_per_second", measured.calls_per_second);
        result.violations += measured.incomplete;
    }
    Ok(result)
}

/// The process that runs the leaves. Killed on drop.
struct HollowLeaves {
    child: Child,
    addresses: Vec<SocketAddr>,
    floor: SocketAddr,
}

impl HollowLeaves {
    fn spawn(count: usize) -> Result<Self, BenchError> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["hollow-leaves", "--count", &count.to_string()])
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child.stdout.take().ok_or_else(|| std::io::Error::other("no standard output"))?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let mut addresses: Vec<SocketAddr> = serde_json::from_str(&line)?;
        let floor = addresses.pop().ok_or_else(|| std::io::Error::other("no floor address"))?;
        Ok(Self { child, addresses, floor })
    }
}

impl Drop for HollowLeaves {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Measured {
    us_per_call: f64,
    batch: f64,
    p50_ms: f64,
    p99_ms: f64,
    calls_per_second: f64,
    incomplete: u64,
}

fn document(leaves: &[SocketAddr], parallel: usize, coalesce_us: u64) -> String {
    let mut text = format!(
        "revision = 1\n[templates.t]\nfan_out = \"direct\"\ndeadline_ms = 5000\ncoalesce_us = {coalesce_us}\n\
         batch = {BATCH}\nconcurrency = {parallel}\nhedge = false\n\
         [instances.{SERVICE}]\ntemplate = \"t\"\nindex = \"i\"\n[indexes.i]\npartitions = {}\n",
        leaves.len()
    );
    for number in 0..leaves.len() {
        text.push_str(&format!(
            "[[indexes.i.shards]]\npartitions = \"{number}\"\nleaves = [\"l{number}\"]\n"
        ));
    }
    // A node uses nine tenths of the configured connections.
    let connections = CONNECTIONS * 10 / 9 + 1;
    for (number, address) in leaves.iter().enumerate() {
        text.push_str(&format!(
            "[leaves.l{number}]\naddress = \"{address}\"\nzone = \"a\"\nconnections = {connections}\n"
        ));
    }
    text
}

async fn measure(
    leaves: &[SocketAddr],
    parallel: usize,
    coalesce_us: u64,
    options: &RunOptions,
) -> Result<Measured, BenchError> {
    let platform = Platform::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    platform.state.publish(&document(leaves, parallel, coalesce_us))?;
    let settings = NodeSettings::parse(
        "experiment",
        &format!("node = \"n\"\nzone = \"a\"\nplatform_address = \"{}\"\n", platform.address),
    )?;
    let node = Node::start(settings, NodeMechanisms::default(), None).await?;
    wait_for("a ready node", 60, || node.shared.freshness.is_ready()).await?;
    run_queries(&node, parallel, options.seconds(2.0)).await;
    let counters = &node.shared.client_counters;
    let (calls, batches) = (counters.calls.load(Ordering::Relaxed), counters.batches.load(Ordering::Relaxed));
    let cpu = process_cpu_time();
    let started = Instant::now();
    let (latency, incomplete) = run_queries(&node, parallel, options.seconds(5.0)).await;
    let elapsed = started.elapsed();
    let cpu = process_cpu_time() - cpu;
    let calls = (counters.calls.load(Ordering::Relaxed) - calls) as f64;
    let batches = (counters.batches.load(Ordering::Relaxed) - batches) as f64;
    node.stop().await;
    Ok(Measured {
        us_per_call: cpu.as_secs_f64() * 1e6 / calls,
        batch: calls / batches,
        p50_ms: latency.value_at_quantile(0.5) as f64 / 1e3,
        p99_ms: latency.value_at_quantile(0.99) as f64 / 1e3,
        calls_per_second: calls / elapsed.as_secs_f64(),
        incomplete,
    })
}

/// Runs queries from `parallel` tasks. Returns their latencies in microseconds and the number of queries
/// that failed or were answered incompletely.
async fn run_queries(node: &Node, parallel: usize, duration: Duration) -> (Histogram<u64>, u64) {
    let started = Instant::now();
    let mut workers = tokio::task::JoinSet::new();
    for number in 0..parallel {
        let shared = node.shared.clone();
        workers.spawn(async move {
            let mut latency = histogram();
            let mut incomplete = 0u64;
            while started.elapsed() < duration {
                let input = QueryInput {
                    request_id: RequestId::new("bench"),
                    query: query(number),
                    limit: 10,
                    sort: SortOrder::Descending,
                    deadline_ms: None,
                };
                let sent_at = Instant::now();
                let answer = root_search(&shared, &ServiceId::new(SERVICE), input).await;
                latency.saturating_record(sent_at.elapsed().as_micros() as u64);
                let complete = answer.is_ok_and(|answer| answer.coverage.missing.is_empty());
                incomplete += u64::from(!complete);
            }
            (latency, incomplete)
        });
    }
    let mut latency = histogram();
    let mut incomplete = 0;
    for (other, count) in workers.join_all().await {
        latency.add(&other).expect("the bounds are the same");
        incomplete += count;
    }
    (latency, incomplete)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("constant bounds are valid")
}

fn query(outlet: usize) -> Arc<serde_json::value::RawValue> {
    let value = serde_json::json!({ "outlet": outlet });
    serde_json::value::to_raw_value(&value).expect("a plain structure is written without error").into()
}
