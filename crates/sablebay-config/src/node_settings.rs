//! Node settings from a TOML file and command-line flags.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use toml::de::DeTable;

use sablebay_model::{FleetName, NodeId, RegionName, ZoneName};

use crate::error::ConfigurationError;
use crate::finding::Findings;
use crate::gateway_settings::{GatewaySettings, read_gateway};
use crate::section::{Section, check_name, layer};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One line of text per record.
    Text,
    /// One JSON object per record.
    Json,
}

/// Destination of log output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogTarget {
    /// Standard output, following the line with the bound addresses.
    Stdout,
    Stderr,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeSettings {
    /// Name of the node, unique in its fleet. Required.
    pub node: NodeId,
    /// Required.
    pub zone: ZoneName,
    /// Default `default`.
    pub region: RegionName,
    /// Default `sablebay`.
    pub fleet: FleetName,
    /// Shared key for authenticating peers. Default: none, which is safe only on loopback.
    #[serde(skip_serializing)]
    pub fleet_key: Option<String>,
    /// Listen address for callers. Default 127.0.0.1, any free port.
    pub caller_address: SocketAddr,
    /// Listen address of the admin API. Default 127.0.0.1, any free port.
    pub admin_address: SocketAddr,
    /// Listen address for peers. Default 127.0.0.1, any free port.
    pub peer_address: SocketAddr,
    /// Address advertised to peers, if different from the bound address.
    pub advertised_peer_address: Option<SocketAddr>,
    /// Address of the platform service. Default: none; configuration then comes only from peers.
    pub platform_address: Option<SocketAddr>,
    /// Seed peers for joining the fleet.
    pub peers: Vec<SocketAddr>,
    /// Token for state-changing admin calls. Without a token, they are accepted only on loopback.
    #[serde(skip_serializing)]
    pub operator_token: Option<String>,
    /// `error`, `warn`, `info`, `debug` or `trace`. Default `info`.
    pub log_level: String,
    /// Default `text`.
    pub log_format: LogFormat,
    /// Default `stderr`.
    pub log_target: LogTarget,
    /// Number of processor cores available to the node, possibly fractional. Gathering for other nodes
    /// is weighted by it. Default 1.
    pub core_share: f64,
    /// Maximum number of concurrent queries on this node, over all services. Default 4,096.
    pub concurrency: u32,
    /// Memory of the machine, in MiB. Bounds what callers' connections, requests and answers may take. Default 160.
    pub memory_mb: u64,
    /// Number of descriptors that the process may open. Bounds callers' connections. Default: the process's limit.
    pub descriptors: Option<u64>,
    /// Timeout of a graceful shutdown, in milliseconds. Default 30,000.
    pub stop_timeout_ms: u64,
    /// Probe period of the membership protocol, in milliseconds. Default 1,000.
    pub probe_period_ms: u64,
    /// Platform reads per second of the whole fleet. Default 1.5.
    pub platform_reads_per_second: f64,
    /// Number of nodes that connect to the leaves of each service. Default 8.
    pub aggregators_per_service: u32,
    /// Gateway settings, if the node runs a gateway. Default: none.
    pub gateway: Option<GatewaySettings>,
}

/// The least memory of a machine on which a node runs.
const MINIMUM_MEMORY_MB: u64 = 16;
/// 64 TiB.
const MAXIMUM_MEMORY_MB: u64 = 64 << 20;
/// The least number of descriptors with which a node runs.
const MINIMUM_DESCRIPTORS: u64 = 64;

const LEVELS: [(&str, &str); 5] =
    [("error", "error"), ("warn", "warn"), ("info", "info"), ("debug", "debug"), ("trace", "trace")];

impl NodeSettings {
    /// Parses a TOML settings file with overrides.
    ///
    /// Each override is a key and its value in TOML. Findings keep their positions in the file.
    ///
    /// # Errors
    /// [`ConfigurationError::Invalid`] with all findings.
    pub fn parse_with_overrides(
        file: &str,
        text: &str,
        overrides: &[(String, String)],
    ) -> Result<Self, ConfigurationError> {
        let mut merged = blank_keys(text, overrides);
        if !merged.is_empty() && !merged.ends_with('\n') {
            merged.push('\n');
        }
        for (key, value) in overrides {
            merged.push_str(&format!("{key} = {value}\n"));
        }
        Self::parse(file, &merged)
    }

    /// Parses a TOML settings file.
    ///
    /// # Errors
    /// [`ConfigurationError::Invalid`] with all findings.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigurationError> {
        let findings = Findings::new(file, text);
        let (root, errors) = DeTable::parse_recoverable(text);
        for error in &errors {
            let place = error.span().unwrap_or(0..0);
            findings.add(&place, format!("not TOML: {}", error.message()), "");
        }
        let settings = read_settings(&findings, root.get_ref());
        let list = findings.into_sorted();
        if list.is_empty() { Ok(settings) } else { Err(ConfigurationError::Invalid { findings: list }) }
    }
}

/// Replaces overridden keys and their values with spaces, which preserves the positions of all others.
fn blank_keys(text: &str, overrides: &[(String, String)]) -> String {
    let (root, errors) = DeTable::parse_recoverable(text);
    let mut bytes = text.as_bytes().to_vec();
    if !errors.is_empty() {
        return text.to_string();
    }
    for (key, value) in root.get_ref() {
        let name: &str = key.get_ref().as_ref();
        if overrides.iter().any(|(overridden, _)| overridden == name) {
            for byte in &mut bytes[key.span().start..value.span().end] {
                if *byte != b'\n' {
                    *byte = b' ';
                }
            }
        }
    }
    String::from_utf8(bytes).unwrap_or_else(|_| text.to_string())
}

fn read_settings(findings: &Findings, root: &DeTable<'_>) -> NodeSettings {
    const ADDRESS: &str = "an IP address and port such as \"127.0.0.1:7000\"";
    let section = Section::new(findings, "settings".to_string(), 0..0, layer(root));
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut peers = Vec::new();
    for (text, place) in section.text_list("peers") {
        match text.parse() {
            Ok(address) => peers.push(address),
            Err(_) => {
                findings.add(&place, format!("settings: the peer \"{text}\" is not an address"), ADDRESS)
            }
        }
    }
    let settings = NodeSettings {
        node: NodeId::new(section.text("node").unwrap_or("")),
        zone: ZoneName::new(section.text("zone").unwrap_or("")),
        region: RegionName::new(section.text("region").unwrap_or("default")),
        fleet: FleetName::new(section.text("fleet").unwrap_or("sablebay")),
        fleet_key: section.text("fleet_key").map(str::to_string),
        caller_address: section.parsed("caller_address", ADDRESS).unwrap_or(any_port),
        admin_address: section.parsed("admin_address", ADDRESS).unwrap_or(any_port),
        peer_address: section.parsed("peer_address", ADDRESS).unwrap_or(any_port),
        advertised_peer_address: section.parsed("advertised_peer_address", ADDRESS),
        platform_address: section.parsed("platform_address", ADDRESS),
        peers,
        operator_token: section.text("operator_token").map(str::to_string),
        log_level: section.choice("log_level", &LEVELS).unwrap_or("info").to_string(),
        log_format: section
            .choice("log_format", &[("text", LogFormat::Text), ("json", LogFormat::Json)])
            .unwrap_or(LogFormat::Text),
        log_target: section
            .choice("log_target", &[("stdout", LogTarget::Stdout), ("stderr", LogTarget::Stderr)])
            .unwrap_or(LogTarget::Stderr),
        core_share: section.number("core_share", 0.001..=1_024.0).unwrap_or(1.0),
        concurrency: section.integer("concurrency", 1..=1_000_000).unwrap_or(4_096) as u32,
        memory_mb: section.integer("memory_mb", MINIMUM_MEMORY_MB..=MAXIMUM_MEMORY_MB).unwrap_or(160),
        descriptors: section.integer("descriptors", MINIMUM_DESCRIPTORS..=u64::from(u32::MAX)),
        stop_timeout_ms: section.integer("stop_timeout_ms", 1..=3_600_000).unwrap_or(30_000),
        probe_period_ms: section.integer("probe_period_ms", 10..=60_000).unwrap_or(1_000),
        platform_reads_per_second: section
            .number("platform_reads_per_second", 0.001..=1_000.0)
            .unwrap_or(1.5),
        aggregators_per_service: section.integer("aggregators_per_service", 1..=1_000).unwrap_or(8) as u32,
        gateway: section.section("gateway").as_ref().map(read_gateway),
    };
    for key in ["node", "zone", "region", "fleet"] {
        if let Some(name) = section.text(key) {
            check_name(findings, name, &section.place_of(key));
        }
    }
    section.missing("node", "the name of the node");
    section.missing("zone", "the zone of the node");
    section.finish();
    settings
}
