//! Operations observed in calm periods.

use std::time::Duration;

use rand::{Rng, RngExt};
use tokio::task::JoinSet;
use tokio::time::Instant;

use sablebay_platform_standin::CallerCall;

use super::checker::{Checker, Promise};
use super::deployment::{NODES, SoakDeployment, ZONES};
use super::routes::{HOST, LONG_PATH, SHARDS, marker_path};
use super::tenants::{GUEST_KEY, REVOCATION_LIMIT_MS, STEADY_KEY};
use crate::error::BenchError;

/// Time for a configuration to take effect, and for a draining back end or an evacuated zone to
/// stop receiving requests.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
/// Tolerance for scheduling delays of the machine.
const MACHINE_SLACK: Duration = Duration::from_secs(1);
/// How long the result is observed.
const OBSERVATION_PERIOD: Duration = Duration::from_millis(1_500);
/// Interval between probes of a node.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of requests in flight at a planned stop.
const IN_FLIGHT: u64 = 6;
/// Service time of the requests in flight.
const WORK: Duration = Duration::from_millis(1_200);
/// Number of requests that outlast a planned stop: more than a node has connections for.
const OUTLASTING: u64 = 40;
/// Service time of these requests.
const OUTLASTING_WORK: Duration = Duration::from_secs(15);
/// Deadline of these requests.
const OUTLASTING_TIMEOUT: Duration = Duration::from_secs(20);

/// Performs and observes a randomly drawn operation.
///
/// # Errors
/// When a node or a stand-in does not start.
pub async fn watch_one(
    deployment: &mut SoakDeployment,
    checker: &Checker,
    bounds: bool,
    random: &mut impl Rng,
) -> Result<(), BenchError> {
    match random.random_range(0..4) {
        _ if !bounds => {
            watch_planned_stop(deployment, checker, random.random_range(0..NODES)).await?;
            watch_revocation(deployment, checker, random.random_range(0..NODES)).await
        }
        0 => {
            watch_configuration(deployment, checker).await?;
            watch_revocation(deployment, checker, random.random_range(0..NODES)).await
        }
        1 => watch_leaving(deployment, checker, random.random_range(0..SHARDS)).await,
        2 => watch_evacuation(deployment, checker).await,
        _ => watch_planned_stop(deployment, checker, random.random_range(0..NODES)).await,
    }
}

/// Whether a node serves the route that exists only in this version.
async fn serves_version(deployment: &SoakDeployment, node: usize, version: u64, number: u64) -> bool {
    let (caller, incarnation) = deployment.caller_for(node);
    let before = deployment.checker.highest_seen(node, incarnation);
    let id = format!("m{version}-{node}-{number}");
    let call = CallerCall::get(HOST, &marker_path(version), &id);
    let answer = caller.call(&deployment.checker.with_key(call, Some(STEADY_KEY))).await;
    let serves = answer.is_ok_and(|answer| answer.status.is_success());
    if serves {
        deployment.checker.version_seen(node, incarnation, version, before);
    }
    serves
}

async fn watch_configuration(deployment: &mut SoakDeployment, checker: &Checker) -> Result<(), BenchError> {
    deployment.publish();
    let version = deployment.version();
    let accepted = Instant::now();
    let mut number = 0;
    for node in 0..NODES {
        while !serves_version(deployment, node, version, number).await {
            number += 1;
            if accepted.elapsed() > PROPAGATION_LIMIT + MACHINE_SLACK {
                let seen = format!(
                    "version {version} has not taken effect on node {node} after {:?}",
                    accepted.elapsed()
                );
                checker.report_violation(Promise::Configuration, seen);
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    let watched = Instant::now();
    while watched.elapsed() < OBSERVATION_PERIOD {
        for node in 0..NODES {
            number += 1;
            if serves_version(deployment, node, version - 1, number).await {
                checker.report_violation(
                    Promise::Configuration,
                    format!("node {node} reverted to version {}", version - 1),
                );
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

async fn watch_leaving(
    deployment: &mut SoakDeployment,
    checker: &Checker,
    shard: u8,
) -> Result<(), BenchError> {
    let leaving = deployment.drain_leaf(shard).await?;
    tokio::time::sleep(PROPAGATION_LIMIT + MACHINE_SLACK).await;
    let before = leaving.arrivals();
    tokio::time::sleep(OBSERVATION_PERIOD).await;
    let after = leaving.arrivals();
    if after > before {
        let seen =
            format!("back end {} received {} requests after the drain period", leaving.id(), after - before);
        checker.report_violation(Promise::Leaving, seen);
    }
    deployment.retire(leaving);
    Ok(())
}

async fn watch_evacuation(deployment: &SoakDeployment, checker: &Checker) -> Result<(), BenchError> {
    let zone = ZONES[0];
    deployment.evacuate(zone);
    tokio::time::sleep(PROPAGATION_LIMIT + MACHINE_SLACK).await;
    let before = deployment.arrivals_in(zone);
    tokio::time::sleep(OBSERVATION_PERIOD).await;
    let after = deployment.arrivals_in(zone);
    if after > before {
        let seen = format!("back ends of {zone} received {} requests after the evacuation", after - before);
        checker.report_violation(Promise::Evacuation, seen);
    }
    deployment.lift_evacuation(zone);
    Ok(())
}

/// Revokes a key while a node is isolated and calls the node with it. Late runs are detected at
/// the back ends.
async fn watch_revocation(
    deployment: &mut SoakDeployment,
    checker: &Checker,
    node: usize,
) -> Result<(), BenchError> {
    let (caller, incarnation) = deployment.caller_for(node);
    deployment.cut_off(node, true);
    deployment.publish_guest(false);
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < Duration::from_millis(REVOCATION_LIMIT_MS) + OBSERVATION_PERIOD {
        let id = format!("guest{node}-{incarnation}-{}-{number}", deployment.version());
        let call = checker.with_key(CallerCall::get(HOST, "/one/1", &id), Some(GUEST_KEY));
        // The answer is unspecified.
        let _ = tokio::time::timeout(PROPAGATION_LIMIT, caller.call(&call)).await;
        number += 1;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    deployment.cut_off(node, false);
    deployment.publish_guest(true);
    deployment.wait_ready().await
}

async fn watch_planned_stop(
    deployment: &mut SoakDeployment,
    checker: &Checker,
    node: usize,
) -> Result<(), BenchError> {
    deployment.slow_singles(Some(WORK));
    let (caller, incarnation) = deployment.caller_for(node);
    let ids: Vec<String> =
        (0..IN_FLIGHT).map(|number| format!("stop{node}-{incarnation}-{number}")).collect();
    let mut calls = JoinSet::new();
    for id in &ids {
        checker.sent(id, false);
        let call = checker.with_key(CallerCall::get(HOST, "/one/1", id), Some(STEADY_KEY));
        calls.spawn(async move { (call.id.clone(), caller.call(&call).await) });
    }
    let started = Instant::now();
    while !ids.iter().all(|id| deployment.runs_of(id) > 0) && started.elapsed() < WORK / 2 {
        tokio::time::sleep(POLL_INTERVAL / 5).await;
    }
    deployment.slow_singles(Some(OUTLASTING_WORK));
    let ids: Vec<String> =
        (0..OUTLASTING).map(|number| format!("long{node}-{incarnation}-{number}")).collect();
    for id in &ids {
        checker.sent(id, true);
        let call = CallerCall { timeout: OUTLASTING_TIMEOUT, ..CallerCall::get(HOST, LONG_PATH, id) };
        let call = checker.with_key(call, Some(STEADY_KEY));
        calls.spawn(async move { (call.id.clone(), caller.call(&call).await) });
    }
    let started = Instant::now();
    while !ids.iter().any(|id| deployment.runs_of(id) > 0) && started.elapsed() < WORK / 2 {
        tokio::time::sleep(POLL_INTERVAL / 5).await;
    }
    let ended = deployment.stop_as_planned(node).await?;
    deployment.slow_singles(None);
    if !ended {
        checker.report_violation(Promise::PlannedStop, format!("node {node} did not exit"));
    }
    for (id, answer) in calls.join_all().await {
        let id = id.unwrap_or_default();
        match answer {
            Ok(answer) => checker.answered(&id, false, &answer),
            Err(error) => {
                checker.report_violation(Promise::PlannedStop, format!("{id} was interrupted: {error}"))
            }
        }
    }
    Ok(())
}

/// Drains a back end, evacuates a zone and publishes a configuration, then restores the store
/// from an earlier copy without rewrites. None of the changes may be reverted.
pub async fn watch_store_restore(
    deployment: &mut SoakDeployment,
    checker: &Checker,
    shard: u8,
) -> Result<(), BenchError> {
    let zone = ZONES[1];
    deployment.keep_copy();
    let leaving = deployment.drain_leaf(shard).await?;
    deployment.evacuate(zone);
    deployment.publish();
    let version = deployment.version();
    tokio::time::sleep(PROPAGATION_LIMIT + MACHINE_SLACK).await;
    let before = (leaving.arrivals(), deployment.arrivals_in(zone));
    deployment.restore_store();
    let returned = Instant::now();
    let mut number = 0;
    while returned.elapsed() < OBSERVATION_PERIOD {
        for node in 0..NODES {
            number += 1;
            if serves_version(deployment, node, version - 1, number).await {
                let seen = format!("node {node} reverted to version {} after the store restore", version - 1);
                checker.report_violation(Promise::Configuration, seen);
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let after = (leaving.arrivals(), deployment.arrivals_in(zone));
    if after.0 > before.0 {
        let seen =
            format!("{} received {} requests after the store restore", leaving.id(), after.0 - before.0);
        checker.report_violation(Promise::Leaving, seen);
    }
    if after.1 > before.1 {
        let seen = format!("{zone} received {} requests after the store restore", after.1 - before.1);
        checker.report_violation(Promise::Evacuation, seen);
    }
    deployment.write_all_again();
    deployment.lift_evacuation(zone);
    deployment.retire(leaving);
    Ok(())
}
