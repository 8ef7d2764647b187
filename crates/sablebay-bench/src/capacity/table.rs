//! Projection of the slopes to the planned two-year size of the fleet.

use serde::Serialize;

use super::slopes::Slopes;

/// Number of nodes at the two-year size.
const NODES: f64 = 2_100.0;
const LEAVES: f64 = 110_000.0;
const QUERIES_PER_SECOND: f64 = 3_200_000.0;
const LEAVES_PER_QUERY: f64 = 1_400.0;
const CHANGES_PER_DAY: f64 = 32_000.0;
const RESTARTS_PER_DAY: f64 = 9_820.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
const CONTROL_SHARE_LIMIT: f64 = 0.041;
const CONTROL_MEMORY_LIMIT: f64 = 32e6;
const CONTROL_BYTES_LIMIT: f64 = 14_000.0;
const SPREAD_LIMIT_MS: f64 = 5_000.0;
/// Limit on the cores of a node used by leaf calls.
const LEAF_CALL_CORES: f64 = 6.0;
/// Aggregators of each service.
const AGGREGATORS: f64 = 8.0;
/// Reads of the platform per second, over the whole fleet.
const PLATFORM_READS_PER_SECOND: f64 = 1.5;
/// Fraction of requests that are operations.
const OPERATION_SHARE: f64 = 0.001;
const CLAIM_LIFETIME_SECONDS: f64 = 180.0;
const HOLDERS: f64 = 3.0;

/// A row of the capacity table.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The role of the node and the quantity.
    pub what: String,
    /// Value at the two-year size.
    pub value: f64,
    pub unit: String,
    /// Maximum allowed value, if one is required.
    pub limit: Option<f64>,
    /// Value divided by the limit.
    pub ratio: Option<f64>,
    /// The mechanism that determines the value.
    pub mechanism: String,
    /// The measurement or computation that yields the value.
    pub source: String,
}

/// The capacity table and the slopes from which it is computed.
#[derive(Clone, Debug, Serialize)]
pub struct CapacityTable {
    pub slopes: Slopes,
    pub rows: Vec<Row>,
}

struct Rows {
    rows: Vec<Row>,
}

impl Rows {
    fn add(&mut self, what: &str, value: f64, unit: &str, limit: Option<f64>, mechanism: &str, source: &str) {
        self.rows.push(Row {
            what: what.to_string(),
            value,
            unit: unit.to_string(),
            limit,
            ratio: limit.map(|limit| value / limit),
            mechanism: mechanism.to_string(),
            source: source.to_string(),
        });
    }
}

/// Computes the table at the two-year size.
pub fn compute(slopes: Slopes) -> CapacityTable {
    let mut rows = Rows { rows: Vec::new() };
    add_query_path(&mut rows, &slopes);
    add_control(&mut rows, &slopes);
    add_claims(&mut rows, &slopes);
    CapacityTable { rows: rows.rows, slopes }
}

fn add_query_path(rows: &mut Rows, slopes: &Slopes) {
    let queries = QUERIES_PER_SECOND / NODES;
    let leaf_calls = queries * LEAVES_PER_QUERY;
    let frames = queries * AGGREGATORS;
    rows.add("root: queries", queries, "1/s", None, "every node accepts callers", "requirement");
    rows.add(
        "root: frames to aggregators",
        frames,
        "1/s",
        None,
        "one frame per aggregator and query; 8 aggregators per service",
        "arithmetic",
    );
    rows.add(
        "root and aggregator: processor time for these frames",
        frames * slopes.us_per_partial_frame_pair / 1e6,
        "cores",
        None,
        "musli frames with a message authentication code",
        "capacity: frames",
    );
    rows.add(
        "root and aggregator: frame traffic",
        frames * slopes.bytes_per_partial_frame_pair / 1e6,
        "MB/s",
        None,
        "aggregators merge and truncate partial results",
        "capacity: frames",
    );
    rows.add("back-end client: leaf calls", leaf_calls, "1/s", None, "tree fan-out", "requirement");
    rows.add(
        "back-end client: processor time",
        leaf_calls * slopes.us_per_leaf_call / 1e6,
        "cores",
        Some(LEAF_CALL_CORES),
        "batches over few connections, streamed answers",
        "run leaf-cost",
    );
    rows.add(
        "back-end client: leaves that a node connects to",
        LEAVES * AGGREGATORS / NODES,
        "leaves",
        None,
        "rendezvous hashing of services over nodes",
        "arithmetic",
    );
    rows.add(
        "back-end client: calls to one leaf from one node",
        leaf_calls / (LEAVES * AGGREGATORS / NODES),
        "1/s",
        None,
        "k = 8 nodes per leaf, so that batches fill",
        "arithmetic",
    );
}

fn add_control(rows: &mut Rows, slopes: &Slopes) {
    let changes = CHANGES_PER_DAY / SECONDS_PER_DAY;
    let restarts = RESTARTS_PER_DAY / SECONDS_PER_DAY;
    let document = slopes.document_bytes;
    let platform_reads = PLATFORM_READS_PER_SECOND / NODES;
    let joins = restarts / NODES;
    let traffic = slopes.control_bytes_per_second + (platform_reads + joins) * document;
    rows.add(
        "peer: membership and configuration traffic",
        slopes.control_bytes_per_second,
        "B/s",
        Some(CONTROL_BYTES_LIMIT),
        "one probe per second, gossip piggybacked on probes, deltas pushed to four peers",
        "run configuration-spread",
    );
    rows.add(
        "configuration reader: whole document",
        document / 1e6,
        "MB",
        None,
        "entries as inline TOML",
        "run configuration-spread",
    );
    rows.add(
        "peer and configuration reader: all control traffic, whole documents included",
        traffic,
        "B/s",
        Some(CONTROL_BYTES_LIMIT),
        "conditional reads spread over the fleet; a joining node receives one full document",
        "run configuration-spread",
    );
    let delta = changes * slopes.delta_us / 1e6;
    let parse = (platform_reads + joins) * slopes.read_us / 1e6;
    rows.add(
        "configuration reader: processor time for deltas",
        delta,
        "cores",
        Some(CONTROL_SHARE_LIMIT),
        "only entries that a delta changes are read again; the others are shared",
        "run configuration-spread",
    );
    rows.add(
        "configuration reader: processor time for whole documents",
        parse,
        "cores",
        Some(CONTROL_SHARE_LIMIT),
        "full validation without side effects",
        "run configuration-spread",
    );
    rows.add(
        "peer: processor time of an idle node, transport included",
        slopes.idle_process_share,
        "cores",
        Some(CONTROL_SHARE_LIMIT),
        "probe rate five times that of the two-year size",
        "capacity: idle",
    );
    rows.add(
        "peer: processor time of the logic at 2,100 members",
        slopes.control_logic_share,
        "cores",
        Some(CONTROL_SHARE_LIMIT),
        "hollow nodes in virtual time",
        "run configuration-spread",
    );
    rows.add(
        "all control: processor time",
        delta + parse + slopes.control_logic_share + slopes.idle_process_share,
        "cores",
        Some(CONTROL_SHARE_LIMIT),
        "the sum of the four rows above",
        "sum",
    );
    let configuration = slopes.configuration_memory_bytes;
    rows.add(
        "configuration reader: memory of the configuration in force",
        configuration / 1e6,
        "MB",
        Some(CONTROL_MEMORY_LIMIT / 1e6),
        "the document as text, one allocation per entry; parsed services",
        "run configuration-spread",
    );
    rows.add(
        "peer: memory of the view of the fleet",
        slopes.control_memory_bytes / 1e6,
        "MB",
        Some(CONTROL_MEMORY_LIMIT / 1e6),
        "one record per member",
        "run configuration-spread",
    );
    rows.add(
        "all control: memory",
        (configuration + slopes.control_memory_bytes) / 1e6,
        "MB",
        Some(CONTROL_MEMORY_LIMIT / 1e6),
        "the sum of the two rows above",
        "sum",
    );
    for (when, peak) in [
        ("a node that starts is sent it by a peer", configuration + slopes.configuration_join_peak_bytes),
        (
            "the platform's changed text is read beside the one in force",
            configuration + slopes.configuration_reread_peak_bytes + document,
        ),
    ] {
        rows.add(
            &format!("all control: memory at once while {when}"),
            (peak + slopes.control_memory_bytes) / 1e6,
            "MB",
            Some(CONTROL_MEMORY_LIMIT / 1e6),
            "reads in steps of 64 KiB; entries common to two documents are shared",
            "run configuration-spread",
        );
    }
    rows.add(
        "configuration reader: change in force everywhere, longest",
        slopes.in_force_everywhere_ms,
        "ms",
        Some(SPREAD_LIMIT_MS),
        "push to four peers, then probes",
        "run configuration-spread",
    );
}

fn add_claims(rows: &mut Rows, slopes: &Slopes) {
    let claims = QUERIES_PER_SECOND * OPERATION_SHARE / NODES * HOLDERS;
    rows.add(
        "claim holder: claims",
        claims,
        "1/s",
        None,
        "three holders per ticket, named in the ticket",
        "assumption: one operation in 1,000 requests",
    );
    rows.add(
        "claim holder: memory",
        claims * CLAIM_LIFETIME_SECONDS * slopes.memory_bytes_per_claim / 1e6,
        "MB",
        None,
        "records expire with their ticket",
        "capacity: claims",
    );
    rows.add(
        "claim holder: processor time",
        claims * slopes.us_per_claim / 1e6,
        "cores",
        None,
        "one map entry per claim",
        "capacity: claims",
    );
    rows.add(
        "admin: one fleet status",
        slopes.fleet_status_bytes_per_node * NODES / 1e6,
        "MB",
        None,
        "each node sends its report without its members",
        "capacity: idle",
    );
}

impl CapacityTable {
    /// Formats the table and the slopes as Markdown.
    pub fn as_markdown(&self) -> String {
        let mut text = String::from(
            "| role and figure | at the two-year size | limit | ratio | mechanism | source |\n|---|---|---|---|---|---|\n",
        );
        for row in &self.rows {
            let limit = row.limit.map_or("-".to_string(), |limit| format!("{limit} {}", row.unit));
            let ratio = row.ratio.map_or("-".to_string(), |ratio| format!("{ratio:.2}"));
            text.push_str(&format!(
                "| {} | {} {} | {limit} | {ratio} | {} | {} |\n",
                row.what,
                significant(row.value),
                row.unit,
                row.mechanism,
                row.source
            ));
        }
        text.push_str("\nSlopes:\n\n");
        if let Ok(serde_json::Value::Object(slopes)) = serde_json::to_value(&self.slopes) {
            for (name, value) in slopes {
                text.push_str(&format!("- `{name}`: {}\n", significant(value.as_f64().unwrap_or(f64::NAN))));
            }
        }
        text
    }
}

/// Formats a number with at least three significant digits.
fn significant(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return value.to_string();
    }
    let digits = (2 - value.abs().log10().floor() as i32).max(0) as usize;
    format!("{value:.digits$}")
}
