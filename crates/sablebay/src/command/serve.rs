//! `sablebay serve`: runs a node until SIGTERM or SIGINT.

mod reload;

use std::fs::OpenOptions;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use log::LevelFilter;
use serde::Serialize;
use tokio::signal::unix::{Signal, SignalKind, signal};

use sablebay_config::{ConfigurationError, NodeSettings, node_flags, overrides_from_flags};
use sablebay_gateway::{Gateway, GatewayAddresses, GatewayMechanisms, key_digester};
use sablebay_node::{BoundAddresses, LogControl, Node, NodeMechanisms, start_logging};

use sablebay_platform::{PlatformBackends, PlatformCallers, StoreCatalogue};

use crate::CommandResult;
use crate::arguments::{AcceptedArguments, Arguments, UsageError};

use reload::{POLL_INTERVAL, SettingsFile};

const HELP: &str = "\
Runs a node.

Usage: sablebay serve [--settings FILE] [OPTION ...]

Flags override the settings file:
  --node NAME  --zone NAME  --region NAME  --fleet NAME  --fleet-key TEXT
  --caller-address A  --admin-address A  --peer-address A  --advertised-peer-address A
  --platform-address A  --peers A (repeatable)  --operator-token TEXT
  --log-level LEVEL  --log-format text|json  --log-target stdout|stderr
  --concurrency N  --memory-mb N  --descriptors N  --stop-timeout-ms N
  --probe-period-ms N  --platform-reads-per-second X  --aggregators-per-service N

  --settings FILE   read settings from a TOML file
  --ready-fd N      also write the bound addresses to this file descriptor

The bound addresses are printed as one JSON line on standard output. SIGTERM and SIGINT start a
planned stop: new work is refused, requests in flight are completed, and the exit code is 0.
";

pub fn run(parser: lexopt::Parser) -> CommandResult {
    let mut options = node_flags();
    options.extend(["settings", "ready-fd"]);
    let accepted = AcceptedArguments { help: HELP, options: &options, switches: &[], positionals: false };
    let Some(arguments) = Arguments::read(parser, &accepted)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let ready_fd: Option<u32> = arguments.parsed("ready-fd", "a file descriptor")?;
    let Some((settings, file)) = read_settings(&arguments)? else {
        return Ok(ExitCode::FAILURE);
    };
    match runtime() {
        Ok(runtime) => Ok(runtime.block_on(serve(settings, file, ready_fd))),
        Err(error) => Err(UsageError::new(format!("cannot start the async runtime: {error}"))),
    }
}

/// Creates the runtime; single-threaded on one core, where further threads would only use more memory.
fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    let cores = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    let mut builder = match cores {
        1 => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    builder.enable_all().build()
}

/// Reads the settings. Returns `None` after printing the findings if they are invalid.
fn read_settings(arguments: &Arguments) -> Result<Option<(NodeSettings, SettingsFile)>, UsageError> {
    let file = arguments.value("settings").unwrap_or("flags");
    let text = match arguments.value("settings") {
        None => String::new(),
        Some(path) => std::fs::read_to_string(path)
            .map_err(|error| UsageError::new(format!("cannot read {path}: {error}")))?,
    };
    let overrides = overrides_from_flags(&arguments.given_options());
    match NodeSettings::parse_with_overrides(file, &text, &overrides) {
        Ok(settings) => {
            let path = arguments.value("settings").map(PathBuf::from);
            let file = SettingsFile::new(path, overrides, text, settings.clone());
            Ok(Some((settings, file)))
        }
        Err(ConfigurationError::Invalid { findings }) => {
            for finding in findings {
                eprintln!("{finding}");
            }
            Ok(None)
        }
        Err(error) => {
            eprintln!("{error}");
            Ok(None)
        }
    }
}

async fn serve(settings: NodeSettings, mut file: SettingsFile, ready_fd: Option<u32>) -> ExitCode {
    // Installed first: until then, each of these signals ends the process.
    let signals = match Signals::install() {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("sablebay: cannot install signal handlers: {error}");
            return ExitCode::FAILURE;
        }
    };
    let level: LevelFilter = settings.log_level.parse().unwrap_or(LevelFilter::Info);
    let log_control = match start_logging(level, settings.log_format, settings.log_target) {
        Ok(control) => control,
        Err(error) => {
            eprintln!("sablebay: {error}");
            return ExitCode::FAILURE;
        }
    };
    let node = match Node::start(settings, NodeMechanisms::default(), Some(log_control.clone())).await {
        Ok(node) => node,
        Err(error) => {
            eprintln!("sablebay: {error}");
            return ExitCode::FAILURE;
        }
    };
    let gateway = match start_gateway(&node).await {
        Ok(gateway) => gateway,
        Err(error) => {
            eprintln!("sablebay: {error}");
            return ExitCode::FAILURE;
        }
    };
    let addresses =
        Addresses { node: &node.addresses, gateway: gateway.as_ref().map(|gateway| &gateway.addresses) };
    if let Err(error) = announce(&addresses, ready_fd) {
        eprintln!("sablebay: cannot write the bound addresses: {error}");
        return ExitCode::FAILURE;
    }
    run_until_stopped(signals, &node, gateway.as_ref(), &mut file, &log_control).await;
    let finished = stop(node, gateway).await;
    log::info!(whole = finished; "stop: the process ends.");
    log::logger().flush();
    if finished { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs the planned stop. Returns whether no request was cut.
async fn stop(node: Node, gateway: Option<Gateway>) -> bool {
    let times = node.begin_stop();
    let left_ms = times.answer_by.since(node.shared.clock.now()).as_millis();
    log::info!(in_flight = node.shared.lifecycle.in_flight(), left_ms = left_ms; "stop: the planned stop begins.");
    let Some(gateway) = gateway else {
        return node.stop().await;
    };
    // The node outlives the gateway, which needs its peers, until all answers are due.
    let closing = gateway.stop(times).await;
    let (gateway_finished, node_finished) = tokio::join!(closing.close(), node.stop());
    gateway_finished && node_finished
}

/// Starts the gateway if the settings contain one.
async fn start_gateway(node: &Node) -> Result<Option<Gateway>, sablebay_gateway::GatewayError> {
    let Some(settings) = node.shared.settings.gateway.clone() else {
        return Ok(None);
    };
    let source = StoreCatalogue::new(settings.catalogue_address, key_digester(&node.shared.settings));
    Gateway::start(node, settings, PlatformCallers, PlatformBackends, source, GatewayMechanisms::default())
        .await
        .map(Some)
}

/// Bound addresses of all listeners, printed as JSON at startup.
#[derive(Serialize)]
struct Addresses<'a> {
    #[serde(flatten)]
    node: &'a BoundAddresses,
    #[serde(skip_serializing_if = "Option::is_none")]
    gateway: Option<&'a GatewayAddresses>,
}

fn announce(addresses: &Addresses<'_>, ready_fd: Option<u32>) -> std::io::Result<()> {
    let line = serde_json::to_string(addresses)?;
    println!("{line}");
    std::io::stdout().flush()?;
    if let Some(descriptor) = ready_fd {
        let path = format!("/dev/fd/{descriptor}");
        let mut file = OpenOptions::new().write(true).open(path)?;
        writeln!(file, "{line}")?;
    }
    Ok(())
}

/// The signals that the process handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Installs the handlers, which stay in place until the process ends: later signals are ignored.
    fn install() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }
}

/// Waits for SIGTERM or SIGINT. Reloads the settings on SIGHUP and when the file has changed.
async fn run_until_stopped(
    mut signals: Signals,
    node: &Node,
    gateway: Option<&Gateway>,
    file: &mut SettingsFile,
    log_control: &LogControl,
) {
    let mut poll = tokio::time::interval(POLL_INTERVAL);
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => return,
            _ = signals.interrupt.recv() => return,
            _ = signals.hang_up.recv() => file.reload(node, gateway, log_control, true),
            _ = poll.tick() => file.reload(node, gateway, log_control, false),
        }
    }
}
