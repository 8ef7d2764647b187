//! The command line of `sablebay-bench`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};
use lexopt::prelude::*;
use parking_lot::Mutex;
use serde_json::json;
use tokio::net::TcpListener;

use sablebay_config::{LeafSettings, NodeSettings, overrides_from_flags};
use sablebay_gateway::{Gateway, GatewayMechanisms, key_digester};
use sablebay_model::{LeafId, PartitionSet, SnapshotVersion};
use sablebay_node::{Node, NodeMechanisms};
use sablebay_platform::{PlatformBackends, PlatformCallers, StoreCatalogue};
use sablebay_standin::{
    CORPUS, Corpus, Deployment, Leaf, LeafOptions, LoadOptions, Platform, ServiceTime, WeightedService,
    run_load,
};

use crate::capacity::measure_capacity;
use crate::compare::{compare, read_result};
use crate::error::BenchError;
use crate::experiment::{EXPERIMENTS, RunOptions, run_experiment};
use crate::gateway_cost::measure_gateway_cost;
use crate::report::write_report;
use crate::soak::{SoakOptions, run_soak};
use crate::tenant_cost::measure_tenant_cost;

const USAGE: &str = "\
sablebay-bench: experiments, load tests and fault injection for sablebay

Usage: sablebay-bench COMMAND [OPTION ...]

  run NAME [--seed N] [--break MECHANISM] [--scale X] [--out DIR] [--json]
      run an experiment; the last line on standard output is one JSON object
  list
      list the experiments and the mechanisms that each can disable
  soak [--seed N] [--minutes X | --replay SEED [--minutes X]] [--break MECHANISM] [--logs DIR]
      run node processes on the users' platform with random faults; the last line is JSON
  gateway-cost [--shards N] [--requests N]
      measure the CPU time that a node spends on one gathered request, as JSON
  tenant-cost [--tenants N] [--keys N]
      measure the cost of loading tenants with N keys each and of looking one up, as JSON
  capacity [--json]
      measure the slopes behind docs/CAPACITY.md and compute its table
  compare A B
      compare two results (JSON files, or folders written by --out)
  platform --address A [--configuration FILE]
      run a platform stand-in
  leaves --configuration FILE
      run every leaf of a configuration at its configured address
  leaf --name NAME --address A --partitions SET [--versions LIST] [--slots N] [--median-us N]
      run one leaf
  load --nodes A[,A ...] --services NAME[,NAME ...] [--rate X] [--seconds X] [--seed N]
      generate an open-loop load, check the answers and print a JSON summary
  deployment tepung-raya|protokolia
      print a user's deployment as a configuration

Exit codes: 0 success, 1 violations or failure, 2 usage error.
";

const USAGE_EXIT_CODE: u8 = 2;

/// Options and positional arguments of a command.
#[derive(Default)]
struct Arguments {
    options: BTreeMap<String, String>,
    repeated: Vec<(String, String)>,
    positionals: Vec<String>,
}

impl Arguments {
    fn read(switches: &[&str]) -> Result<(String, Self), lexopt::Error> {
        let mut parser = lexopt::Parser::from_env();
        let mut arguments = Self::default();
        let mut command = String::new();
        while let Some(argument) = parser.next()? {
            match argument {
                Short('h') | Long("help") => command = "help".to_string(),
                Short('V') | Long("version") => command = "version".to_string(),
                Long(name) if switches.contains(&name) => {
                    arguments.options.insert(name.to_string(), String::new());
                }
                Long(name) => {
                    let name = name.to_string();
                    let value = parser.value()?.string()?;
                    arguments.repeated.push((name.clone(), value.clone()));
                    arguments.options.insert(name, value);
                }
                Value(word) if command.is_empty() => command = word.string()?,
                Value(word) => arguments.positionals.push(word.string()?),
                other => return Err(other.unexpected()),
            }
        }
        Ok((command, arguments))
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.options.get(name).map(String::as_str)
    }

    fn parsed<T: std::str::FromStr>(&self, name: &str) -> Result<Option<T>, UsageError> {
        let Some(text) = self.text(name) else {
            return Ok(None);
        };
        text.parse().map(Some).map_err(|_| UsageError(format!("--{name} cannot be `{text}`")))
    }

    fn required<T: std::str::FromStr>(&self, name: &str) -> Result<T, UsageError> {
        self.parsed(name)?.ok_or_else(|| UsageError(format!("--{name} is required")))
    }
}

struct UsageError(String);

enum Failure {
    Usage(UsageError),
    Bench(BenchError),
}

impl From<UsageError> for Failure {
    fn from(error: UsageError) -> Self {
        Failure::Usage(error)
    }
}

impl<E: Into<BenchError>> From<E> for Failure {
    fn from(error: E) -> Self {
        Failure::Bench(error.into())
    }
}

/// Runs the command given on the command line of this process.
pub fn run_command_line() -> ExitCode {
    let (command, arguments) = match Arguments::read(&["json"]) {
        Ok(read) => read,
        Err(error) => {
            eprintln!("sablebay-bench: {error}");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("sablebay-bench: failed to start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(&command, &arguments)) {
        Ok(code) => code,
        Err(Failure::Usage(UsageError(message))) => {
            eprintln!("sablebay-bench: {message}; see --help");
            ExitCode::from(USAGE_EXIT_CODE)
        }
        Err(Failure::Bench(error)) => {
            eprintln!("sablebay-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: &str, arguments: &Arguments) -> Result<ExitCode, Failure> {
    match command {
        "help" => print!("{USAGE}"),
        "version" => println!("sablebay-bench {}", env!("CARGO_PKG_VERSION")),
        "list" => list(),
        "run" => return run_one(arguments).await,
        "soak" => return soak(arguments).await,
        "gateway-cost" => gateway_cost(arguments).await?,
        "tenant-cost" => tenant_cost(arguments)?,
        "capacity" => capacity(arguments).await?,
        "compare" => compare_results(arguments)?,
        "platform" => platform(arguments).await?,
        "leaves" => leaves(arguments).await?,
        "leaf" => leaf(arguments).await?,
        "hollow-leaves" => hollow_leaves(arguments).await?,
        "node" => node(arguments).await?,
        "load" => return load(arguments).await,
        "deployment" => deployment(arguments)?,
        "" => return Err(UsageError("a command is required".to_string()).into()),
        other => return Err(UsageError(format!("unknown command `{other}`")).into()),
    }
    Ok(ExitCode::SUCCESS)
}

fn list() {
    for (name, mechanisms, sentence) in EXPERIMENTS {
        println!("{name:<22} {sentence}; --break: {}", mechanisms.join(", "));
    }
}

async fn run_one(arguments: &Arguments) -> Result<ExitCode, Failure> {
    let name = arguments
        .positionals
        .first()
        .ok_or_else(|| UsageError("run requires the name of an experiment".to_string()))?;
    let options = RunOptions {
        seed: arguments.parsed("seed")?.unwrap_or(1),
        broken: arguments.text("break").map(str::to_string),
        scale: arguments.parsed("scale")?.unwrap_or(1.0),
    };
    let progress = ProgressBar::new_spinner();
    if let Ok(style) = ProgressStyle::with_template("{spinner} {msg} {elapsed}") {
        progress.set_style(style);
    }
    progress.set_message(name.clone());
    progress.enable_steady_tick(Duration::from_millis(200));
    let outcome = run_experiment(name, &options).await;
    progress.finish_and_clear();
    let result = match outcome {
        Err(error @ (BenchError::UnknownExperiment { .. } | BenchError::UnknownMechanism { .. })) => {
            return Err(UsageError(error.to_string()).into());
        }
        other => other?,
    };
    if let Some(folder) = arguments.text("out") {
        write_report(&result, Path::new(folder))?;
        eprintln!("report written to {folder}");
    }
    if arguments.text("json").is_none() {
        for (name, value) in &result.figures {
            println!("{name:<48} {value}");
        }
    }
    println!("{}", result.printed_line()?);
    // With a mechanism disabled, the run succeeds only if the checker reported violations.
    let succeeded = result.break_caught.unwrap_or(result.violations == 0);
    Ok(if succeeded { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn capacity(arguments: &Arguments) -> Result<(), Failure> {
    let table = measure_capacity().await?;
    if arguments.text("json").is_some() {
        println!("{}", serde_json::to_string(&table)?);
    } else {
        print!("{}", table.as_markdown());
    }
    Ok(())
}

fn compare_results(arguments: &Arguments) -> Result<(), Failure> {
    let [first, second] = arguments.positionals.as_slice() else {
        return Err(UsageError("compare requires two results".to_string()).into());
    };
    let (first, second) = (PathBuf::from(first), PathBuf::from(second));
    print!("{}", compare(&read_result(&first)?, &read_result(&second)?));
    Ok(())
}

/// Waits for Ctrl-C.
async fn wait_for_interrupt() -> Result<(), Failure> {
    tokio::signal::ctrl_c().await?;
    Ok(())
}

async fn platform(arguments: &Arguments) -> Result<(), Failure> {
    let platform = Platform::start(arguments.required("address")?).await?;
    if let Some(file) = arguments.text("configuration") {
        platform.state.publish(&std::fs::read_to_string(file)?)?;
    }
    println!("{}", serde_json::json!({ "address": platform.address }));
    wait_for_interrupt().await
}

async fn leaves(arguments: &Arguments) -> Result<(), Failure> {
    let file: String = arguments.required("configuration")?;
    let text = std::fs::read_to_string(&file)?;
    let configuration = sablebay_config::Configuration::parse(&file, &text)?;
    let mut running = Vec::new();
    let mut leaves: BTreeMap<LeafId, (Arc<LeafSettings>, PartitionSet)> = BTreeMap::new();
    for layout in configuration.index_layouts()? {
        for shard in &layout.map.shards {
            for leaf in &shard.leaves {
                let entry = || (layout.leaves[leaf].clone(), PartitionSet::empty());
                let (_, held) = leaves.entry(leaf.clone()).or_insert_with(entry);
                *held = held.union(&shard.partitions);
            }
        }
    }
    for (name, (settings, partitions)) in leaves {
        let options = LeafOptions {
            address: settings.address,
            slots: settings.slots,
            service_time: ServiceTime::log_normal(2_000.0, 0.3),
            corpus: CORPUS,
            ..LeafOptions::quick(name.as_str(), partitions)
        };
        running.push(Leaf::start(options).await?);
    }
    println!("{}", serde_json::json!({ "leaves": running.len() }));
    wait_for_interrupt().await
}

async fn leaf(arguments: &Arguments) -> Result<(), Failure> {
    let name: String = arguments.required("name")?;
    let partitions: PartitionSet = arguments.required("partitions")?;
    let versions = arguments.text("versions").unwrap_or("1");
    let versions = versions.split(',').filter_map(|version| version.parse().ok()).map(SnapshotVersion);
    let median_us = arguments.parsed("median-us")?.unwrap_or(2_000.0);
    let options = LeafOptions {
        address: arguments.required("address")?,
        slots: arguments.parsed("slots")?.unwrap_or(4),
        versions: versions.collect(),
        service_time: ServiceTime::log_normal(median_us, 0.3),
        corpus: CORPUS,
        ..LeafOptions::quick(&name, partitions)
    };
    let leaf = Leaf::start(options).await?;
    println!("{}", serde_json::json!({ "name": name, "address": leaf.address }));
    wait_for_interrupt().await
}

/// Runs leaves without service time, each with one partition, and the server of the raw-frame baseline.
/// Prints their addresses as a JSON array, with the address of the baseline last.
async fn hollow_leaves(arguments: &Arguments) -> Result<(), Failure> {
    const DOCUMENTS: u32 = 1;
    let count: u32 = arguments.required("count")?;
    let mut running = Vec::new();
    for number in 0..count {
        let options = LeafOptions {
            corpus: Corpus { documents: DOCUMENTS },
            ..LeafOptions::quick(&format!("l{number}"), PartitionSet::range(number, number))
        };
        running.push(Leaf::start(options).await?);
    }
    let floor = TcpListener::bind("127.0.0.1:0").await?;
    let mut addresses: Vec<SocketAddr> = running.iter().map(|leaf| leaf.address).collect();
    addresses.push(floor.local_addr()?);
    tokio::spawn(crate::experiment::serve_floor(floor));
    println!("{}", serde_json::to_string(&addresses)?);
    wait_for_interrupt().await
}

async fn gateway_cost(arguments: &Arguments) -> Result<(), Failure> {
    let shards = arguments.parsed("shards")?.unwrap_or(90);
    let requests = arguments.parsed("requests")?.unwrap_or(300);
    let cost = measure_gateway_cost(shards, requests).await?;
    println!("{}", serde_json::to_string(&cost)?);
    Ok(())
}

fn tenant_cost(arguments: &Arguments) -> Result<(), Failure> {
    let tenants = arguments.parsed("tenants")?.unwrap_or(10_000);
    let keys = arguments.parsed("keys")?.unwrap_or(3);
    println!("{}", serde_json::to_string(&measure_tenant_cost(tenants, keys)?)?);
    Ok(())
}

/// Runs the soak. Fails on any violation or, with `--break`, if the disabled mechanism is not detected.
async fn soak(arguments: &Arguments) -> Result<ExitCode, Failure> {
    const DEFAULT_MINUTES: f64 = 1.0;
    let seed = match arguments.parsed("replay")? {
        Some(seed) => seed,
        None => arguments.parsed("seed")?.unwrap_or_else(rand::random),
    };
    let minutes: f64 = arguments.parsed("minutes")?.unwrap_or(DEFAULT_MINUTES);
    let broken = arguments.text("break").map(str::to_string);
    if let Some(name) = broken.as_deref().filter(|name| GatewayMechanisms::without(name).is_none()) {
        let known = GatewayMechanisms::NAMES.join(", ");
        return Err(UsageError(format!("--break cannot be `{name}`; expected one of {known}")).into());
    }
    let default_logs = std::env::temp_dir().join(format!("sablebay-soak-{seed}-{}", std::process::id()));
    let logs = arguments.text("logs").map_or(default_logs, std::path::PathBuf::from);
    let length = Duration::from_secs_f64(minutes * 60.0);
    let options = SoakOptions { seed, length, broken, bounds: true, returns: true, logs: logs.clone() };
    let report = run_soak(&options).await?;
    println!("{}", serde_json::to_string(&report)?);
    let as_expected = report.break_caught.unwrap_or(report.violations.is_empty());
    if !report.violations.is_empty() {
        eprintln!("sablebay-bench: seed {seed}; node logs are in {}", logs.display());
    }
    Ok(if as_expected { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs a node with one mechanism disabled, for experiments that use node processes.
async fn node(arguments: &Arguments) -> Result<(), Failure> {
    if let Some(path) = arguments.text("settings") {
        return node_with_gateway(path, arguments).await;
    }
    let mut mechanisms = NodeMechanisms::default();
    match arguments.text("break") {
        Some("write-once") => mechanisms.claims = false,
        Some("wait-at-stop") => mechanisms.wait_at_stop = false,
        Some("correlation") => mechanisms.correlation = false,
        Some("unknown-outcomes") => mechanisms.unknown_outcomes = false,
        other => return Err(UsageError(format!("--break cannot be `{other:?}`")).into()),
    }
    let settings =
        NodeSettings::parse_with_overrides("flags", "", &overrides_from_flags(&arguments.repeated))?;
    let node = Node::start(settings, mechanisms, None).await?;
    println!("{}", serde_json::to_string(&node.addresses)?);
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    terminate.recv().await;
    node.stop().await;
    Ok(())
}

/// Runs a node whose gateway has one mechanism disabled, for the soak.
async fn node_with_gateway(path: &str, arguments: &Arguments) -> Result<(), Failure> {
    let name = arguments.text("break").unwrap_or_default();
    let mechanisms = GatewayMechanisms::without(name)
        .ok_or_else(|| UsageError(format!("--break cannot be `{name}` with --settings")))?;
    let settings = NodeSettings::parse(path, &std::fs::read_to_string(path)?)?;
    let gateway_settings =
        settings.gateway.clone().ok_or_else(|| UsageError(format!("{path} has no [gateway] section")))?;
    let node = Node::start(settings, NodeMechanisms::default(), None).await?;
    let source = StoreCatalogue::new(gateway_settings.catalogue_address, key_digester(&node.shared.settings));
    let gateway =
        Gateway::start(&node, gateway_settings, PlatformCallers, PlatformBackends, source, mechanisms)
            .await?;
    println!("{}", json!({ "peer_address": node.addresses.peer_address, "gateway": gateway.addresses }));
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    terminate.recv().await;
    let closing = gateway.stop(node.begin_stop()).await;
    if mechanisms.planned_stop {
        tokio::join!(closing.close(), node.stop());
    }
    Ok(())
}

async fn load(arguments: &Arguments) -> Result<ExitCode, Failure> {
    let list = |name: &str| -> Result<Vec<String>, UsageError> {
        let text: String = arguments.required(name)?;
        Ok(text.split(',').map(str::to_string).collect())
    };
    let mut nodes = Vec::new();
    for text in list("nodes")? {
        let address: SocketAddr =
            text.parse().map_err(|_| UsageError(format!("--nodes: `{text}` is not a socket address")))?;
        nodes.push(address);
    }
    let summary = run_load(LoadOptions {
        nodes: Arc::new(Mutex::new(nodes)),
        services: WeightedService::equal(&list("services")?),
        rate: arguments.parsed("rate")?.unwrap_or(100.0),
        duration: Duration::from_secs_f64(arguments.parsed("seconds")?.unwrap_or(10.0)),
        limit: 10,
        deadline_ms: arguments.parsed("deadline-ms")?,
        corpus: CORPUS,
        seed: arguments.parsed("seed")?.unwrap_or(1),
        warm_up: Duration::ZERO,
        attempts: 3,
    })
    .await;
    let line = serde_json::json!({ "queries": summary.queries, "answered": summary.answered, "full_coverage": summary.full, "not_run": summary.not_run, "unknown": summary.unknown, "cut": summary.connections_lost, "p50_ms": summary.latency_ms(0.5), "p99_ms": summary.latency_ms(0.99), "extra_load": summary.extra_load(), "violations": summary.violations.len(), });
    println!("{line}");
    let succeeded = summary.violations.is_empty() && summary.answered > 0;
    Ok(if succeeded { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn deployment(arguments: &Arguments) -> Result<(), Failure> {
    let name = arguments.positionals.first().map(String::as_str);
    let deployment = match name {
        Some("tepung-raya") => Deployment::tepung_raya(),
        Some("protokolia") => Deployment::protokolia(),
        _ => return Err(UsageError("deployment requires tepung-raya or protokolia".to_string()).into()),
    };
    print!("{}", deployment.document(1, &deployment.example_addresses()));
    Ok(())
}
