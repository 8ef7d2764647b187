//! `sablebay status`: shows the state of the fleet.

use std::process::ExitCode;
use std::time::Duration;

use http::Method;
use serde::Deserialize;
use std::collections::BTreeMap;

use sablebay_node::{CatalogueReport, NodeReport, SuspectReport};

use crate::CommandResult;
use crate::admin_client::{AdminClient, block_on};
use crate::arguments::{AcceptedArguments, Arguments};
use crate::output::print_line;

const HELP: &str = "\
Shows the fleet as seen by one node, and the status report of each node.

Usage: sablebay status [--admin ADDRESS] [--json] [--watch]

  --admin ADDRESS  the admin API of any node (default 127.0.0.1:7300)
  --json           print the data instead of tables
  --watch          print again every second
";

/// Response of `/v1/status?fleet=true`.
#[derive(Deserialize)]
struct FleetStatus {
    versions: BTreeMap<String, usize>,
    silent: Vec<String>,
    nodes: Vec<NodeReport>,
}

pub fn run(parser: lexopt::Parser) -> CommandResult {
    let accepted = AcceptedArguments {
        help: HELP,
        options: &["admin"],
        switches: &["json", "watch"],
        positionals: false,
    };
    let Some(arguments) = Arguments::read(parser, &accepted)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let client = AdminClient::from_arguments(&arguments)?;
    Ok(block_on(show(client, arguments.has("json"), arguments.has("watch"))))
}

async fn show(client: AdminClient, json: bool, watch: bool) -> ExitCode {
    const WATCH_INTERVAL: Duration = Duration::from_secs(1);
    loop {
        let shown = match client.send(Method::GET, "/v1/status?fleet=true", Vec::new()).await {
            None => false,
            Some(body) if json => {
                print_line(&format!("{}", String::from_utf8_lossy(&body)));
                true
            }
            Some(body) => match serde_json::from_slice::<FleetStatus>(&body) {
                Ok(status) => {
                    print_tables(&status);
                    true
                }
                Err(error) => {
                    eprintln!("sablebay: the response is not a valid status report: {error}");
                    false
                }
            },
        };
        if !watch {
            return if shown { ExitCode::SUCCESS } else { ExitCode::FAILURE };
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
        print_line("");
    }
}

fn print_tables(status: &FleetStatus) {
    print_line(&format!(
        "{:<16} {:<10} {:<9} {:>22} {:>12} {:>9} {:>8}",
        "NODE", "ZONE", "STATE", "VERSION", "CONFIRMED", "IN FLIGHT", "MEMBERS"
    ));
    for node in &status.nodes {
        let state = match (node.draining, node.ready) {
            (true, _) => "draining",
            (false, true) => "ready",
            (false, false) => "starting",
        };
        let confirmed = node.confirmed_ms_ago.map_or("never".to_string(), |ms| format!("{ms} ms ago"));
        let version = short_version(node);
        print_line(&format!(
            "{:<16} {:<10} {:<9} {:>22} {:>12} {:>9} {:>8}",
            node.node, node.zone, state, version, confirmed, node.in_flight, node.members_known
        ));
    }
    for node in &status.silent {
        print_line(&format!("{node:<16} {:<10} silent", ""));
    }
    for (version, count) in &status.versions {
        print_line(&format!("version {version}: {count} nodes"));
    }
    print_fleet_parts(status);
    print_evacuations(status);
    print_callers(status);
    print_catalogues(status);
    print_tenants(status);
    print_quarantine(status);
    print_services(status);
    print_problems(status);
}

/// Prints the evacuated zones with the number of nodes that know of the evacuation. All must know it before
/// the zone counts as empty.
/// Prints the nodes that gave up connections or requests of callers for lack of room.
fn print_callers(status: &FleetStatus) {
    for node in &status.nodes {
        let callers = &node.callers;
        if callers.connections_evicted + callers.memory_reclaimed + callers.memory_refused == 0 {
            continue;
        }
        print_line(&format!(
            "{}: callers hold {} of {} connections and {} of {} bytes; {} connections and {} stalled clients were closed, \
             {} requests and answers had no memory",
            node.node,
            callers.connections,
            callers.maximum_connections,
            callers.bytes,
            callers.maximum_bytes,
            callers.connections_evicted,
            callers.memory_reclaimed,
            callers.memory_refused
        ));
    }
}

fn print_evacuations(status: &FleetStatus) {
    let mut known: BTreeMap<&str, usize> = BTreeMap::new();
    for node in &status.nodes {
        let by_catalogue = node.catalogue.iter().flat_map(|catalogue| &catalogue.evacuated_zones);
        for zone in node.evacuated_zones.iter().chain(by_catalogue) {
            *known.entry(zone).or_default() += 1;
        }
    }
    for (zone, nodes) in known {
        print_line(&format!("zone {zone} is evacuated: known to {nodes} of {} nodes", status.nodes.len()));
    }
}

/// Prints versions of routes and replicas for nodes with a gateway.
fn print_catalogues(status: &FleetStatus) {
    let known: Vec<_> =
        status.nodes.iter().filter_map(|node| Some((&node.node, node.catalogue.as_ref()?))).collect();
    if known.is_empty() {
        return;
    }
    print_line(&format!(
        "\n{:<24} {:>8} {:>9} {:>12} {:>12}",
        "GATEWAY", "ROUTES", "REPLICAS", "UP TO", "CONFIRMED"
    ));
    for (node, catalogue) in &known {
        let confirmed = catalogue.confirmed_ms_ago.map_or("never".to_string(), |ms| format!("{ms} ms ago"));
        print_line(&format!(
            "{node:<24} {:>8} {:>9} {:>12} {confirmed:>12}",
            catalogue.version,
            catalogue.replicas,
            format!("{}/{}", catalogue.era, catalogue.replicas_at)
        ));
    }
    print_outdated_routes(&known);
    print_source_restore(&known);
}

/// Prints whether the catalogue's source was recently restored from an older copy, and the nodes still in an older era.
fn print_source_restore(known: &[(&String, &CatalogueReport)]) {
    let era = known.iter().map(|(_, catalogue)| catalogue.era).max().unwrap_or_default();
    let outdated: Vec<_> = known.iter().filter(|(_, catalogue)| catalogue.era < era).collect();
    for (node, catalogue) in &outdated {
        print_line(&format!(
            "{node} is at era {} of the catalogue's source, other nodes at {era}",
            catalogue.era
        ));
    }
    let unsettled = known.iter().filter(|(_, catalogue)| catalogue.era == era && !catalogue.settled);
    let retained: Vec<_> = unsettled.map(|(_, catalogue)| catalogue.kept).collect();
    if let Some(most) = retained.iter().max() {
        print_line(&format!(
            "the source recently began era {era}: {} nodes retain up to {most} replicas and zones that the source lacks",
            retained.len()
        ));
    }
}

/// Prints the node with the oldest routing configuration, if versions differ.
fn print_outdated_routes(known: &[(&String, &CatalogueReport)]) {
    let newest = known.iter().map(|(_, catalogue)| catalogue.version).max().unwrap_or_default();
    let behind: Vec<_> = known.iter().filter(|(_, catalogue)| catalogue.version < newest).collect();
    let Some((node, catalogue)) = behind.iter().min_by_key(|(_, catalogue)| catalogue.version) else {
        return;
    };
    let announced = match (catalogue.heard_version, catalogue.behind_ms) {
        (Some(heard), Some(ms)) => {
            format!("version {heard} was announced to it, the first newer one {ms} ms ago")
        }
        _ => "no newer version was announced to it".to_string(),
    };
    print_line(&format!(
        "{} of {} nodes have routes older than version {newest}; the oldest are those of {node} with version {}: {announced}",
        behind.len(),
        known.len(),
        catalogue.version
    ));
}

/// Prints the number of tenants and keys, and of requests refused for failed authentication, for nodes with a gateway.
fn print_tenants(status: &FleetStatus) {
    let of_node = |node: &NodeReport| {
        let catalogue = node.catalogue.as_ref()?;
        Some((node.node.clone(), catalogue.confirmed_ms_ago, catalogue.tenants.clone()?))
    };
    let known: Vec<_> = status.nodes.iter().filter_map(of_node).collect();
    if known.is_empty() {
        return;
    }
    print_line(&format!(
        "\n{:<24} {:>8} {:>9} {:>12} {:>12}  REFUSED",
        "GATEWAY", "TENANTS", "KEYS", "DISPUTED KEYS", "CONFIRMED"
    ));
    for (node, confirmed_ms_ago, tenants) in known {
        let confirmed = confirmed_ms_ago.map_or("never".to_string(), |ms| format!("{ms} ms ago"));
        let refused: Vec<String> =
            tenants.refused.iter().map(|(reason, count)| format!("{reason} {count}")).collect();
        print_line(&format!(
            "{node:<24} {:>8} {:>9} {:>12} {confirmed:>12}  {}",
            tenants.tenants,
            tenants.keys,
            tenants.disputed_keys,
            refused.join(", ")
        ));
    }
}

/// Prints the nodes that reach only a part of the fleet, with the basis of that estimate.
fn print_fleet_parts(status: &FleetStatus) {
    for node in &status.nodes {
        let Some(part) = node.fleet_part.as_ref().filter(|part| part.share < 1.0) else {
            continue;
        };
        print_line(&format!("{} uses {:.2} of the fleet's limits: {}", node.node, part.share, part.basis));
    }
}

/// Prints requests that crashed back ends, each from the report with the most strikes.
fn print_quarantine(status: &FleetStatus) {
    let mut known: BTreeMap<String, (&SuspectReport, usize)> = BTreeMap::new();
    for suspect in status.nodes.iter().flat_map(|node| &node.quarantine) {
        let entry = known.entry(suspect.digest.to_string()).or_insert((suspect, 0));
        entry.1 += 1;
        if suspect.strikes > entry.0.strikes {
            entry.0 = suspect;
        }
    }
    if known.is_empty() {
        return;
    }
    print_line(&format!(
        "\n{:<32} {:<12} {:<9} {:>7} {:>6} {:>11} {:>9} {:>6}",
        "REQUEST", "ROUTE", "STANDING", "STRIKES", "ENDED", "LAST", "HELD FOR", "NODES"
    ));
    for (digest, (suspect, nodes)) in known {
        let held = suspect.held_for_ms.map_or("-".to_string(), |ms| format!("{} s", ms / 1_000));
        print_line(&format!(
            "{digest} {:<12} {:<9} {:>7} {:>6} {:>9} s {held:>9} {nodes:>6}",
            suspect.route,
            suspect.standing,
            suspect.strikes,
            suspect.ended,
            suspect.last_ended_ms_ago / 1_000
        ));
        print_line(&format!("  back ends: {}", suspect.back_ends.join(" ")));
    }
}

fn short_version(node: &NodeReport) -> String {
    let lag = if node.version < node.floor { " (lags)" } else { "" };
    format!("{}{lag}", node.version)
}

fn print_services(status: &FleetStatus) {
    let mut merged: BTreeMap<&str, sablebay_node::ServiceReport> = BTreeMap::new();
    for node in &status.nodes {
        for (name, report) in &node.services {
            merged.entry(name).or_default().merge(report);
        }
    }
    if merged.is_empty() {
        return;
    }
    print_line(&format!(
        "\n{:<20} {:>9} {:>9} {:>9} {:>9} {:>9} {:>8}",
        "SERVICE", "QUERIES", "FULL", "REFUSED", "P50 MS", "P99 MS", "EXTRA %"
    ));
    for (name, report) in merged {
        let latency = report.latency_ms(&[0.5, 0.99]);
        let refused: u64 = report.refusals.values().sum();
        print_line(&format!(
            "{name:<20} {:>9} {:>9} {refused:>9} {:>9.2} {:>9.2} {:>8.2}",
            report.queries,
            report.full_coverage,
            latency[0],
            latency[1],
            report.extra_load_percent()
        ));
    }
}

fn print_problems(status: &FleetStatus) {
    let mut seen = Vec::new();
    for node in &status.nodes {
        for rejection in &node.rejections {
            let line = format!("revision {} was rejected by {}", rejection.version, rejection.by);
            if !seen.contains(&line) {
                print_line(&format!("\n{line}:"));
                for finding in &rejection.findings {
                    print_line(&format!("  {finding}"));
                }
                seen.push(line);
            }
        }
        for conflict in &node.conflicts {
            let line = format!(
                "revision {} has two contents: {} is in force, {} is not",
                conflict.revision, conflict.in_force, conflict.other
            );
            if !seen.contains(&line) {
                print_line(&format!("\n{line}"));
                seen.push(line);
            }
        }
    }
}
