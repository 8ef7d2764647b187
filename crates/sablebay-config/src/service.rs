//! The settings of one service, as they are in force.

use serde::{Deserialize, Serialize};

use sablebay_model::{IndexId, PartitionSet, ServiceId};

use crate::section::Section;

/// What wins when no index version has full coverage, or a deadline nears.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Answer early with what there is.
    Latency,
    /// Plan again at another version, or wait until the deadline, for full coverage.
    Coverage,
}

/// What a node does with new work while its configuration is unconfirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WhenUnconfirmed {
    /// Serve; the answer shows how long ago the configuration was confirmed.
    Serve,
    /// Refuse with `not_run`.
    Refuse,
}

/// How a query reaches the leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FanOut {
    /// Directly when the index has few shards, through aggregators when it has many.
    Auto,
    /// Always directly.
    Direct,
    /// Always through aggregators.
    Tree,
}

/// The settings of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// The service.
    pub service: ServiceId,
    /// The template it is an instance of, and the templates that one extends, nearest first.
    pub templates: Vec<String>,
    /// The index that is searched.
    pub index: IndexId,
    /// The partitions that are searched; all of the index by default.
    pub partitions: Option<PartitionSet>,
    /// How many replicas of each shard are used. Default 1.
    pub replicas: u32,
    /// Time for a whole query, in milliseconds, when the caller gives none. Default 300.
    pub deadline_ms: u64,
    /// Latency or coverage first. Default latency.
    pub priority: Priority,
    /// Whether to serve while unconfirmed. Default serve.
    pub when_unconfirmed: WhenUnconfirmed,
    /// Whether a failed leaf query may be sent to another replica. Default true.
    pub retry_queries: bool,
    /// Whether slow leaf queries are hedged. Default true.
    pub hedge: bool,
    /// The latency quantile after which a call is hedged. Default 0.975.
    pub hedge_quantile: f64,
    /// Hedges and retries allowed, in percent of first calls. Default 3.
    pub extra_load_percent: f64,
    /// Queries that run at once on one node. Default 64.
    pub concurrency: u32,
    /// Queries that wait for a free slot on one node. Default 64.
    pub queue: u32,
    /// How long a call waits for others to the same leaf, in microseconds. Default 0.
    pub coalesce_us: u64,
    /// Calls in one request to a leaf at the most. Default 32.
    pub batch: u32,
    /// Direct or through aggregators. Default auto.
    pub fan_out: FanOut,
    /// How long a ticket can be used, in milliseconds. Default 60,000.
    pub ticket_lifetime_ms: u64,
}

const MAXIMUM_DEADLINE_MS: u64 = 600_000;
const MAXIMUM_REPLICAS: u64 = 1_000;
const MAXIMUM_QUERIES: u64 = 1_000_000;
const MAXIMUM_COALESCE_US: u64 = 1_000_000;
const MAXIMUM_BATCH: u64 = 1_024;
const MAXIMUM_TICKET_LIFETIME_MS: u64 = 3_600_000;

/// Reads the settings of a service from its merged keys.
///
/// Findings go to the section; a value that is wrong is replaced by its default.
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
