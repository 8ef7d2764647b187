//! Service settings.

use serde::{Deserialize, Serialize};

use sablebay_model::{IndexId, PartitionSet, ServiceId};

use crate::section::Section;

/// Preference when no index version has full coverage, or when the deadline is near.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Return a partial result early.
    Latency,
    /// Replan at another version, or wait until the deadline, to reach full coverage.
    Coverage,
}

/// Handling of new requests while the configuration is unconfirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WhenUnconfirmed {
    /// Serve, and report the age of the confirmation in the response.
    Serve,
    /// Refuse with `not_run`.
    Refuse,
}

/// Topology of the fan-out to leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FanOut {
    /// Direct for few shards, through aggregators for many.
    Auto,
    /// Always direct.
    Direct,
    /// Always through aggregators.
    Tree,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSettings {
    pub service: ServiceId,
    /// Template of the service and its ancestors, nearest first.
    pub templates: Vec<String>,
    pub index: IndexId,
    /// Searched partitions. Default: all of the index.
    pub partitions: Option<PartitionSet>,
    /// Number of replicas used for each shard. Default 1.
    pub replicas: u32,
    /// Default query deadline, in milliseconds, if the caller sets none. Default 300.
    pub deadline_ms: u64,
    /// Default `latency`.
    pub priority: Priority,
    /// Default `serve`.
    pub when_unconfirmed: WhenUnconfirmed,
    /// Whether failed leaf queries may be retried on another replica. Default true.
    pub retry_queries: bool,
    /// Whether slow leaf queries are hedged. Default true.
    pub hedge: bool,
    /// Latency quantile after which a call is hedged. Default 0.975.
    pub hedge_quantile: f64,
    /// Budget for hedges and retries, in percent of first calls. Default 3.
    pub extra_load_percent: f64,
    /// Maximum number of concurrent queries per node. Default 64.
    pub concurrency: u32,
    /// Maximum number of queued queries per node. Default 64.
    pub queue: u32,
    /// Time for which a call waits to be batched with others to the same leaf, in microseconds. Default 0.
    pub coalesce_us: u64,
    /// Maximum number of calls in a request to a leaf. Default 32.
    pub batch: u32,
    /// Default `auto`.
    pub fan_out: FanOut,
    /// Validity period of tickets, in milliseconds. Default 60,000.
    pub ticket_lifetime_ms: u64,
}

const MAXIMUM_DEADLINE_MS: u64 = 600_000;
const MAXIMUM_REPLICAS: u64 = 1_000;
const MAXIMUM_QUERIES: u64 = 1_000_000;
const MAXIMUM_COALESCE_US: u64 = 1_000_000;
const MAXIMUM_BATCH: u64 = 1_024;
const MAXIMUM_TICKET_LIFETIME_MS: u64 = 3_600_000;

/// Reads service settings from merged keys. Invalid values are reported and replaced with defaults.
pub fn read_service(section: &Section<'_>, service: ServiceId, templates: Vec<String>) -> ServiceSettings {
    let settings = ServiceSettings {
        service,
        templates,
        index: IndexId::new(section.text("index").unwrap_or("")),
        partitions: section.parsed("partitions", "partitions such as \"0-3,7\""),
        replicas: section.integer("replicas", 1..=MAXIMUM_REPLICAS).unwrap_or(1) as u32,
        deadline_ms: section.integer("deadline_ms", 1..=MAXIMUM_DEADLINE_MS).unwrap_or(300),
        priority: section
            .choice("priority", &[("latency", Priority::Latency), ("coverage", Priority::Coverage)])
            .unwrap_or(Priority::Latency),
        when_unconfirmed: section
            .choice(
                "when_unconfirmed",
                &[("serve", WhenUnconfirmed::Serve), ("refuse", WhenUnconfirmed::Refuse)],
            )
            .unwrap_or(WhenUnconfirmed::Serve),
        retry_queries: section.boolean("retry_queries").unwrap_or(true),
        hedge: section.boolean("hedge").unwrap_or(true),
        hedge_quantile: section.number("hedge_quantile", 0.5..=0.9999).unwrap_or(0.975),
        extra_load_percent: section.number("extra_load_percent", 0.0..=100.0).unwrap_or(3.0),
        concurrency: section.integer("concurrency", 1..=MAXIMUM_QUERIES).unwrap_or(64) as u32,
        queue: section.integer("queue", 0..=MAXIMUM_QUERIES).unwrap_or(64) as u32,
        coalesce_us: section.integer("coalesce_us", 0..=MAXIMUM_COALESCE_US).unwrap_or(0),
        batch: section.integer("batch", 1..=MAXIMUM_BATCH).unwrap_or(32) as u32,
        fan_out: section
            .choice("fan_out", &[("auto", FanOut::Auto), ("direct", FanOut::Direct), ("tree", FanOut::Tree)])
            .unwrap_or(FanOut::Auto),
        ticket_lifetime_ms: section
            .integer("ticket_lifetime_ms", 1..=MAXIMUM_TICKET_LIFETIME_MS)
            .unwrap_or(60_000),
    };
    section.finish();
    settings
}
