//! The settings of a node's gateway: the `[gateway]` table of its settings file.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::section::Section;

/// The settings of a node's gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewaySettings {
    /// Where callers connect. Required.
    pub caller_address: SocketAddr,
    /// Where the node is asked whether it takes new connections. Required.
    pub readiness_address: SocketAddr,
    /// Where the catalogue of routes and replicas is read. Required.
    pub catalogue_address: SocketAddr,
    /// Extra calls to a service that the fleet may send for each request. Default 0.1.
    pub retry_ratio: f64,
    /// Extra calls to a service that the fleet may send in a window whatever the traffic. Default 10.
    pub retry_fixed: f64,
    /// The window of these, in milliseconds. Default 10,000.
    pub retry_window_ms: u64,
    /// How long a connection to a replica may take to open, in milliseconds. It should cover a few ways there
    /// and back; a replica that takes longer is taken for lost, and nothing was sent to it. Default 100.
    pub connect_timeout_ms: u64,
    /// The headers that tell one caller from another, in lower case. A request that comes again with another value of
    /// one of them is another request. Default `authorization` and `cookie`.
    pub caller_headers: Vec<String>,
    /// How many times the requests a second that its service names a cold replica bears for a moment.
    /// Default 1.
    pub warm_up_overage: f64,
    /// Requests in a second that a cold replica bears beyond that. Default 0.
    pub warm_up_slack: f64,
    /// How old the confirmation of the configuration may be for a request with a key to run, in milliseconds: a key
    /// that was taken away is refused everywhere after that time, also by nodes that cannot read the source.
    /// 0 where a node goes on by what it knows. Default 0.
    pub revocation_limit_ms: u64,
    /// The span in which a tenant's requests are counted against its quota, in milliseconds. Default 5,000.
    pub quota_window_ms: u64,
    /// The part of a quota by which all nodes together may exceed it in that span while they disagree.
    /// Default 0.
    pub quota_overage: f64,
    /// Requests beyond that, for each tenant. Default 0.
    pub quota_slack: f64,
    /// Nodes that are assumed to share budgets and connections before any was met. Default 64.
    pub assumed_nodes: u32,
    /// How long a starting node leaves the reading of the catalogue to others, in milliseconds.
    /// Default 0.
    pub start_patience_ms: u64,
    /// How long before a route's target latency an incomplete answer is given, in milliseconds.
    /// It covers the way back to the caller. Default 13.
    pub partial_margin_ms: u64,
    /// How long a stopping node still takes connections after it has called itself unready, in
    /// milliseconds. Default 2,300.
    pub stop_linger_ms: u64,
    /// How long a planned stop of the gateway may take, in milliseconds. Default 5,500.
    pub stop_timeout_ms: u64,
}

const ADDRESS: &str = "an IP address and port such as \"127.0.0.1:7000\"";

/// The headers that tell callers apart when the settings name none.
const DEFAULT_CALLER_HEADERS: [&str; 2] = ["authorization", "cookie"];

fn caller_headers(section: &Section<'_>) -> Vec<String> {
    let mut names: Vec<String> =
        section.text_list("caller_headers").iter().map(|(name, _)| name.to_ascii_lowercase()).collect();
    if names.is_empty() {
        names.extend(DEFAULT_CALLER_HEADERS.map(str::to_string));
    }
    // Nodes whose settings name them in another order agree all the same.
    names.sort_unstable();
    names
}

/// Reads the table; mistakes go to its findings.
pub(crate) fn read_gateway(section: &Section<'_>) -> GatewaySettings {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = GatewaySettings {
        caller_address: section.parsed("caller_address", ADDRESS).unwrap_or(any_port),
        readiness_address: section.parsed("readiness_address", ADDRESS).unwrap_or(any_port),
        catalogue_address: section.parsed("catalogue_address", ADDRESS).unwrap_or(any_port),
        retry_ratio: section.number("retry_ratio", 0.0..=10.0).unwrap_or(0.1),
        retry_fixed: section.number("retry_fixed", 0.0..=1_000_000.0).unwrap_or(10.0),
        retry_window_ms: section.integer("retry_window_ms", 100..=3_600_000).unwrap_or(10_000),
        connect_timeout_ms: section.integer("connect_timeout_ms", 1..=60_000).unwrap_or(100),
        caller_headers: caller_headers(section),
        warm_up_overage: section.number("warm_up_overage", 0.0..=100.0).unwrap_or(1.0),
        warm_up_slack: section.number("warm_up_slack", 0.0..=1_000_000.0).unwrap_or(0.0),
        revocation_limit_ms: section.integer("revocation_limit_ms", 0..=3_600_000).unwrap_or(0),
        quota_window_ms: section.integer("quota_window_ms", 100..=3_600_000).unwrap_or(5_000),
        quota_overage: section.number("quota_overage", 0.0..=100.0).unwrap_or(0.0),
        quota_slack: section.number("quota_slack", 0.0..=1_000_000.0).unwrap_or(0.0),
        assumed_nodes: section.integer("assumed_nodes", 1..=100_000).unwrap_or(64) as u32,
        start_patience_ms: section.integer("start_patience_ms", 0..=60_000).unwrap_or(0),
        partial_margin_ms: section.integer("partial_margin_ms", 0..=10_000).unwrap_or(13),
        stop_linger_ms: section.integer("stop_linger_ms", 0..=600_000).unwrap_or(2_300),
        stop_timeout_ms: section.integer("stop_timeout_ms", 1..=3_600_000).unwrap_or(5_500),
    };
    for (key, expected) in [
        ("caller_address", "where callers connect"),
        ("readiness_address", "where the node is asked whether it is ready"),
        ("catalogue_address", "where routes and replicas are read"),
    ] {
        section.missing(key, expected);
    }
    section.finish();
    settings
}
