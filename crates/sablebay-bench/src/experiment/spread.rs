//! Measures how fast configuration changes spread through a hollow fleet, with message loss and node
//! churn at the rates of the planned two-year size.

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use sablebay_config::Configuration;
use sablebay_fleet::FleetMechanisms;
use sablebay_model::Micros;

use super::RunOptions;
use crate::configuration_cost::{ConfigurationSize, measure_slopes};
use crate::error::BenchError;
use crate::hollow::{HollowFleet, HollowOptions, HollowReport};
use crate::result::ExperimentResult;
use crate::usage::{process_cpu_time, resident_bytes};

/// Numbers of nodes; the last is the two-year size.
const SIZES: [usize; 4] = [50, 200, 800, 2_100];
/// The two-year size, with 100 leaves per service.
const LARGEST_CONFIGURATION: ConfigurationSize = ConfigurationSize { leaves: 110_000, services: 1_100 };
const SMALL_CONFIGURATION: ConfigurationSize = ConfigurationSize { leaves: 2_000, services: 200 };
const REGIONS: usize = 4;
const ZONES: usize = 13;
const LOSS: f64 = 0.01;
/// Configuration changes per day at the two-year size.
const CHANGES_PER_DAY: f64 = 32_000.0;
/// Nodes restarted, replaced or failed per day at the two-year size.
const REPLACED_PER_DAY: f64 = 9_820.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Maximum time until a change is in force on every node.
const GOAL_MS: f64 = 5_000.0;
/// Time after which the wait for a change ends.
const SPREAD_TIMEOUT: Micros = Micros::from_secs(30);
const STEP: Micros = Micros::from_millis(20);

pub fn run(options: &RunOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = options.result("configuration-spread");
    let sizes: &[usize] = if options.scale < 1.0 { &SIZES[..2] } else { &SIZES };
    add_configuration(&mut result, options)?;
    let mut slopes = Vec::new();
    for nodes in sizes {
        let measured = measure(*nodes, options)?;
        let mut figure = |name: &str, value: f64| result.figure(&format!("{name}_{nodes}"), value);
        figure("in_force_everywhere_p50_ms", measured.quantile(0.5));
        figure("in_force_everywhere_p100_ms", measured.quantile(1.0));
        figure("control_bytes_per_second_per_node", measured.bytes_per_second);
        figure("control_messages_per_second_per_node", measured.messages_per_second);
        figure("control_cpu_share_per_node", measured.cpu_share);
        figure("control_memory_bytes_per_node", measured.memory_bytes);
        figure("false_deaths", measured.report.false_deaths as f64);
        let late = measured.times_ms.iter().filter(|time| **time > GOAL_MS).count();
        result.violations += late as u64;
        let points = measured.times_ms.iter().enumerate().map(|(at, time)| (at as f64, *time));
        let series = format!("{nodes} nodes");
        result.plot("time until in force everywhere", &series, ("change", "ms"), points.collect());
        slopes.push((*nodes as f64, measured));
    }
    add_slopes(&mut result, &slopes);
    result.figure("late_changes", result.violations);
    if options.broken.is_some() {
        result.break_caught = Some(result.violations > 0);
    }
    Ok(result)
}

/// Adds the cost of a configuration to a node, in total and for each 1,000 leaves and services.
fn add_configuration(result: &mut ExperimentResult, options: &RunOptions) -> Result<(), BenchError> {
    let size = if options.scale < 1.0 { SMALL_CONFIGURATION } else { LARGEST_CONFIGURATION };
    let slopes = measure_slopes(size)?;
    result.figure("configuration_leaves", size.leaves as f64);
    result.figure("configuration_services", size.services as f64);
    result.figure("configuration_memory_bytes", slopes.largest.memory_bytes);
    result.figure("configuration_read_peak_bytes", slopes.largest.read_peak_bytes);
    result.figure("configuration_reread_peak_bytes", slopes.largest.reread_peak_bytes);
    result.figure("configuration_join_peak_bytes", slopes.largest.join_peak_bytes);
    result.figure("configuration_document_bytes", slopes.largest.document_bytes);
    result.figure("configuration_read_us", slopes.largest.read_us);
    result.figure("configuration_delta_us", slopes.largest.delta_us);
    result.figure("configuration_delta_bytes", slopes.largest.delta_bytes);
    for (name, slope) in [("leaves", slopes.per_leaf), ("services", slopes.per_service)] {
        let mut figure =
            |what: &str, each: f64| result.figure(&format!("{what}_per_1000_{name}"), each * 1e3);
        figure("memory_bytes", slope.memory_bytes);
        figure("read_peak_bytes", slope.read_peak_bytes);
        figure("document_bytes", slope.document_bytes);
        figure("read_us", slope.read_us);
        figure("delta_us", slope.delta_us);
    }
    Ok(())
}

/// Adds the growth of the cost per node for each 1,000 nodes in the fleet.
fn add_slopes(result: &mut ExperimentResult, measured: &[(f64, Measured)]) {
    let (Some((small, first)), Some((large, last))) = (measured.first(), measured.last()) else {
        return;
    };
    let per_thousand = |before: f64, after: f64| (after - before) * 1_000.0 / (large - small);
    result.figure(
        "bytes_per_second_per_1000_nodes",
        per_thousand(first.bytes_per_second, last.bytes_per_second),
    );
    result.figure("cpu_share_per_1000_nodes", per_thousand(first.cpu_share, last.cpu_share));
    result.figure("memory_bytes_per_1000_nodes", per_thousand(first.memory_bytes, last.memory_bytes));
}

struct Measured {
    times_ms: Vec<f64>,
    bytes_per_second: f64,
    messages_per_second: f64,
    cpu_share: f64,
    memory_bytes: f64,
    report: HollowReport,
}

impl Measured {
    fn quantile(&self, quantile: f64) -> f64 {
        let mut sorted = self.times_ms.clone();
        sorted.sort_by(f64::total_cmp);
        let position = ((sorted.len() as f64 - 1.0) * quantile).round() as usize;
        sorted.get(position).copied().unwrap_or(f64::NAN)
    }
}

/// A minimal configuration, whose own cost is negligible. `content` makes revisions differ.
pub fn small_configuration(revision: u64, content: u64) -> Result<Arc<Configuration>, BenchError> {
    let text = format!(
        "revision = {revision}\n[templates.t]\ndeadline_ms = {}\n[instances.s]\ntemplate = \"t\"\nindex = \"i\"\n\
         [indexes.i]\npartitions = 1\nshards = [{{ partitions = \"0\", leaves = [\"l\"] }}]\n\
         [leaves.l]\naddress = \"127.0.0.1:1\"\nzone = \"zone-0\"\n",
        100 + content
    );
    Ok(Arc::new(Configuration::parse("experiment", &text)?))
}

fn measure(nodes: usize, options: &RunOptions) -> Result<Measured, BenchError> {
    let mechanisms = FleetMechanisms { push: !options.breaks("push"), ..FleetMechanisms::default() };
    let memory_before = resident_bytes();
    let mut fleet = HollowFleet::new(HollowOptions {
        nodes,
        regions: REGIONS,
        zones: ZONES,
        loss: LOSS,
        probe_period: Micros::from_secs(1),
        mechanisms,
        seed: options.seed,
    });
    let first = small_configuration(1, 1)?;
    for position in fleet.running() {
        fleet.offer(position, &first);
    }
    fleet.run_until(fleet.now().plus(Micros::from_secs(10)));
    fleet.report = HollowReport::default();
    let mut random = SmallRng::seed_from_u64(options.seed);
    let share = nodes as f64 / SIZES[3] as f64;
    let change_every = Micros((SECONDS_PER_DAY / CHANGES_PER_DAY * 1e6) as u64);
    let replaced_per_change = REPLACED_PER_DAY / CHANGES_PER_DAY * share;
    let started = fleet.now();
    let cpu = process_cpu_time();
    let changes = if options.scale < 1.0 { 8 } else { 24 };
    let mut times_ms = Vec::new();
    for change in 0..changes {
        if random.random_bool(replaced_per_change.min(1.0)) {
            let running = fleet.running();
            fleet.replace(running[random.random_range(0..running.len())]);
        }
        let due = started.plus(Micros(change_every.0 * (change + 1)));
        if fleet.now() < due {
            fleet.run_until(due);
        }
        times_ms.push(publish_and_wait(&mut fleet, change + 2, &mut random)?);
    }
    let seconds = fleet.now().since(started).as_secs_f64();
    let cpu = (process_cpu_time() - cpu).as_secs_f64();
    let per_node = seconds * nodes as f64;
    Ok(Measured {
        times_ms,
        bytes_per_second: fleet.report.bytes as f64 / per_node,
        messages_per_second: fleet.report.messages as f64 / per_node,
        cpu_share: cpu / per_node,
        memory_bytes: resident_bytes().saturating_sub(memory_before) as f64 / nodes as f64,
        report: fleet.report.clone(),
    })
}

/// Publishes a revision to one node. Returns the milliseconds until it is in force on every running node.
fn publish_and_wait(
    fleet: &mut HollowFleet,
    revision: u64,
    random: &mut SmallRng,
) -> Result<f64, BenchError> {
    let configuration = small_configuration(revision, revision)?;
    let running = fleet.running();
    fleet.offer(running[random.random_range(0..running.len())], &configuration);
    let published = fleet.now();
    while fleet.now().since(published) < SPREAD_TIMEOUT {
        fleet.run_until(fleet.now().plus(STEP));
        let lagging = fleet.running().iter().any(|at| fleet.version(*at) < configuration.version);
        if !lagging {
            break;
        }
    }
    Ok(fleet.now().since(published).0 as f64 / 1e3)
}
