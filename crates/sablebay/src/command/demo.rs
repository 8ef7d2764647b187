//! `sablebay demo`: runs a platform, leaves and three nodes in one process, connected over TCP.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde::Serialize;

use sablebay_config::NodeSettings;
use sablebay_node::{Node, NodeMechanisms};
use sablebay_standin::{
    CORPUS, CallerClient, Deployment, LoadOptions, LoadSummary, OperationOutcome, Platform, RunningLeaves,
    Violation, WeightedService, run_load,
};

use crate::CommandResult;
use crate::arguments::{AcceptedArguments, Arguments};

const HELP: &str = "\
Runs a platform, the leaves of several order desks and three nodes in this process, connected over
TCP: sends queries, runs an operation, drains a node, stops a leaf. Each step is printed; the last
line is a JSON object with the totals.

Usage: sablebay demo
";

const DESK: &str = "order-desk-1";
const LIMIT: usize = 5;
const SEED: u64 = 7;
const READY_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Serialize, Default)]
struct Totals {
    queries: u64,
    answered: u64,
    full_coverage: u64,
    mixed_answers: usize,
    operations_run_twice: usize,
    operations_done: usize,
    violations: usize,
}

type DemoError = Box<dyn std::error::Error + Send + Sync>;

pub fn run(parser: lexopt::Parser) -> CommandResult {
    let accepted = AcceptedArguments { help: HELP, options: &[], switches: &[], positionals: false };
    if Arguments::read(parser, &accepted)?.is_none() {
        return Ok(ExitCode::SUCCESS);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let result = runtime.map_err(DemoError::from).and_then(|runtime| runtime.block_on(run_demo()));
    match result {
        Ok(totals) => {
            let succeeded =
                totals.violations == 0 && totals.operations_run_twice == 0 && totals.operations_done > 0;
            println!("{}", serde_json::to_string(&totals).unwrap_or_default());
            Ok(if succeeded { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Err(error) => {
            eprintln!("sablebay: the demo failed: {error}");
            Ok(ExitCode::FAILURE)
        }
    }
}

async fn run_demo() -> Result<Totals, DemoError> {
    let deployment = order_desks();
    let mut leaves = deployment.start_leaves(SEED).await?;
    println!(
        "1. {} leaves hold the order histories of {} order desks.",
        leaves.leaves.len(),
        deployment.services.len()
    );
    let platform = Platform::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    platform.state.publish(&deployment.document(1, &leaves.addresses()))?;
    println!("2. The platform serves revision 1 of the configuration.");
    let mut nodes = start_nodes(platform.address).await?;
    println!("3. Three nodes in three zones have discovered each other and loaded the configuration.");

    let mut totals = Totals::default();
    let services = deployment.service_names();
    let load = run_queries(&nodes, &services, 200).await;
    record_and_print("4. Queries through every node", &load, &mut totals);

    show_one_answer(&nodes).await;
    run_operation(&nodes, &mut totals).await;

    let leaving = nodes.remove(0);
    let (name, started) = (leaving.addresses.node.clone(), Instant::now());
    let (stopped, load) = tokio::join!(leaving.stop(), run_queries(&nodes, &services, 200));
    let how = if stopped { "with all requests completed" } else { "at its stop timeout" };
    println!("7. {name} was drained and stopped {how} in {} ms, under load.", started.elapsed().as_millis());
    record_and_print("   Queries through the other two meanwhile", &load, &mut totals);

    remove_leaf(&mut leaves);
    let load = run_queries(&nodes, &services, 200).await;
    record_and_print("8. A leaf was stopped; its replica answers. Queries", &load, &mut totals);

    totals.operations_run_twice = leaves.operations_run_twice();
    for node in nodes {
        node.stop().await;
    }
    println!("9. The other nodes were stopped.");
    Ok(totals)
}

/// The order desk services of the example deployment `tepung-raya`.
fn order_desks() -> Deployment {
    let mut deployment = Deployment::tepung_raya();
    deployment.services.retain(|service| service.name.starts_with("order-desk"));
    deployment.leaves.retain(|leaf| leaf.name.starts_with("order-desk"));
    deployment
}

async fn start_nodes(platform: SocketAddr) -> Result<Vec<Node>, DemoError> {
    let mut nodes: Vec<Node> = Vec::new();
    for number in 1..=3 {
        let peers: Vec<String> =
            nodes.iter().map(|node| format!("{:?}", node.addresses.peer_address.to_string())).collect();
        let text = format!(
            "node = \"node-{number}\"\nzone = \"zone-{}\"\nplatform_address = \"{platform}\"\n\
             probe_period_ms = 200\nlog_level = \"warn\"\npeers = [{}]\n",
            ["a", "b", "c"][number - 1],
            peers.join(", ")
        );
        let settings = NodeSettings::parse("demo", &text)?;
        nodes.push(Node::start(settings, NodeMechanisms::default(), None).await?);
    }
    for node in &nodes {
        wait_until_ready(node).await?;
    }
    Ok(nodes)
}

async fn wait_until_ready(node: &Node) -> Result<(), DemoError> {
    let client = CallerClient::new(node.addresses.caller_address);
    let started = Instant::now();
    while started.elapsed() < READY_TIMEOUT {
        let answer = client.send(http::Method::GET, "/readyz", "").await;
        let members = node.shared.fleet.lock().members().present_count();
        if answer.is_some_and(|(status, _)| status.is_success()) && members == 2 {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Err(format!("{} is not ready", node.addresses.node).into())
}

async fn run_queries(nodes: &[Node], services: &[String], queries: u64) -> LoadSummary {
    const RATE: f64 = 200.0;
    run_load(LoadOptions {
        nodes: Arc::new(Mutex::new(nodes.iter().map(|node| node.addresses.caller_address).collect())),
        services: WeightedService::equal(services),
        rate: RATE,
        duration: Duration::from_secs_f64(queries as f64 / RATE),
        limit: LIMIT,
        deadline_ms: None,
        corpus: CORPUS,
        seed: SEED,
        warm_up: Duration::ZERO,
        attempts: 3,
    })
    .await
}

fn record_and_print(title: &str, load: &LoadSummary, totals: &mut Totals) {
    println!(
        "{title}: {} sent, {} answered, {} with full coverage; p50 {:.1} ms, p99 {:.1} ms, extra load {:.1} %.",
        load.queries,
        load.answered,
        load.full,
        load.latency_ms(0.5),
        load.latency_ms(0.99),
        load.extra_load() * 100.0
    );
    totals.queries += load.queries;
    totals.answered += load.answered;
    totals.full_coverage += load.full;
    totals.mixed_answers += load.count(Violation::MixedVersions);
    totals.violations += load.violations.len();
}

async fn show_one_answer(nodes: &[Node]) {
    let client = CallerClient::new(nodes[0].addresses.caller_address);
    let body = "{\"query\": {\"outlet\": 4711}, \"limit\": 1}";
    let path = format!("/v1/services/{DESK}/query");
    if let Some((_, answer)) = client.send(http::Method::POST, &path, body).await {
        println!("5. One answer as a caller sees it: {}", String::from_utf8_lossy(&answer));
    }
}

/// Submits one operation through all nodes concurrently under the same ticket.
async fn run_operation(nodes: &[Node], totals: &mut Totals) {
    let clients: Vec<CallerClient> =
        nodes.iter().map(|node| CallerClient::new(node.addresses.caller_address)).collect();
    let Some(ticket) = clients[0].ticket(DESK).await else {
        println!("6. No ticket was issued.");
        return;
    };
    let submissions = clients.iter().map(|client| client.operation(DESK, Some(&ticket), None));
    let mut outcome_counts: BTreeMap<&str, usize> = BTreeMap::new();
    let mut running: Vec<std::pin::Pin<Box<dyn Future<Output = OperationOutcome> + Send + '_>>> = Vec::new();
    for submission in submissions {
        running.push(Box::pin(submission));
    }
    let (first, second, third) = (running.remove(0), running.remove(0), running.remove(0));
    let outcomes = tokio::join!(first, second, third);
    for outcome in [outcomes.0, outcomes.1, outcomes.2] {
        let label = match outcome {
            OperationOutcome::Done { .. } => "done",
            OperationOutcome::NotRun { .. } => "not run",
            OperationOutcome::Unknown { .. } => "claimed elsewhere",
        };
        *outcome_counts.entry(label).or_default() += 1;
    }
    totals.operations_done = outcome_counts.get("done").copied().unwrap_or(0);
    println!(
        "6. One order was submitted through all three nodes at once under one ticket: {outcome_counts:?}."
    );
    if let Some(state) = clients[2].ticket_state(&ticket).await {
        println!("   The state of the ticket, read later from another node: {}.", state.state);
    }
}

fn remove_leaf(leaves: &mut RunningLeaves) {
    leaves.leaves.remove(&format!("{DESK}-leaf-1"));
}
