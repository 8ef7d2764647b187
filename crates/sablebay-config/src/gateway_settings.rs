//! Gateway settings: the `[gateway]` table of the node settings.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::section::Section;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewaySettings {
    /// Listen address for callers. Required.
    pub caller_address: SocketAddr,
    /// Listen address of the readiness check. Required.
    pub readiness_address: SocketAddr,
    /// Address of the catalogue source for routes and replicas. Required.
    pub catalogue_address: SocketAddr,
    /// Retry budget of the fleet for each service, as a fraction of requests. Default 0.1.
    pub retry_ratio: f64,
    /// Retry budget of the fleet for each service in a window, independent of traffic. Default 10.
    pub retry_fixed: f64,
    /// Window of the retry budget, in milliseconds. Default 10,000.
    pub retry_window_ms: u64,
    /// Timeout for connecting to a replica, in milliseconds. Should cover several round trips. No request is
    /// sent when it expires. Default 100.
    pub connect_timeout_ms: u64,
    /// Headers that identify the caller, in lower case. Requests that differ in one of them are treated as
    /// different requests. Default `authorization` and `cookie`.
    pub caller_headers: Vec<String>,
    /// Burst capacity of a cold replica, as a multiple of the cold request rate configured for its service.
    /// Default 1.
    pub warm_up_overage: f64,
    /// Additional requests per second allowed to a cold replica. Default 0.
    pub warm_up_slack: f64,
    /// Maximum age of the configuration confirmation for requests with a key, in milliseconds. Bounds the time
    /// until all nodes reject a revoked key, including nodes that cannot reach the source. 0 disables the
    /// limit. Default 0.
    pub revocation_limit_ms: u64,
    /// Window of tenant quotas, in milliseconds. Default 5,000.
    pub quota_window_ms: u64,
    /// Fraction of a quota by which the fleet may exceed it in a window while nodes disagree. Default 0.
    pub quota_overage: f64,
    /// Additional requests allowed for each tenant. Default 0.
    pub quota_slack: f64,
    /// Number of nodes assumed to share budgets and connections until nodes are discovered. Default 64.
    pub assumed_nodes: u32,
    /// Time for which a starting node waits for peers before it reads the catalogue source itself, in
    /// milliseconds. Default 0.
    pub start_patience_ms: u64,
    /// Time before the target latency of a route at which a partial response is sent, in milliseconds.
    /// Covers the network latency to the caller. Default 13.
    pub partial_margin_ms: u64,
    /// Time for which a stopping node accepts connections after reporting that it is not ready, in
    /// milliseconds. Default 2,300.
    pub stop_linger_ms: u64,
    /// Timeout of a graceful shutdown of the gateway, in milliseconds. Default 5,500.
    pub stop_timeout_ms: u64,
}

const ADDRESS: &str = "an IP address and port such as \"127.0.0.1:7000\"";

/// Default of `caller_headers`.
const DEFAULT_CALLER_HEADERS: [&str; 2] = ["authorization", "cookie"];

fn caller_headers(section: &Section<'_>) -> Vec<String> {
    let mut names: Vec<String> =
        section.text_list("caller_headers").iter().map(|(name, _)| name.to_ascii_lowercase()).collect();
    if names.is_empty() {
        names.extend(DEFAULT_CALLER_HEADERS.map(str::to_string));
    }
    // Sorted so that nodes agree regardless of the order in their settings.
    names.sort_unstable();
    names
}

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
        ("caller_address", "the listen address for callers"),
        ("readiness_address", "the listen address of the readiness check"),
        ("catalogue_address", "the address of the catalogue source"),
    ] {
        section.missing(key, expected);
    }
    section.finish();
    settings
}
