//! A randomized fault soak of the real programs on the users' platform.
//!
//! Three node processes stand between callers, back ends and a store, all stand-ins of this process,
//! with a fault-injecting proxy on every way. Storms of faults drawn from the seed alternate with
//! calm spells, in which one operation is watched closely: a new configuration, a replica that
//! leaves, a planned stop. What callers, back ends and the operator see is held against the promises
//! while it runs and at the end. Only processes that the soak started are ended.

mod checker;
mod deployment;
mod load;
mod node;
mod operations;
mod routes;
mod schedule;
mod tenants;
#[cfg(test)]
mod tenants_tests;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::time::Instant;

use crate::error::BenchError;

pub use checker::{Promise, Violation};
pub use node::{NodePlan, SoakNode};
pub use schedule::Storm;

use checker::Checker;
use deployment::SoakDeployment;

/// What a soak is asked to do.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Decides the faults.
    pub seed: u64,
    /// How long it runs.
    pub length: Duration,
    /// A mechanism to turn off in every node.
    pub broken: Option<String>,
    /// Whether operations with a bound in seconds are watched too. A run whose verdict must not depend
    /// on the machine watches planned stops alone.
    pub bounds: bool,
    /// Whether the store comes back from older copies in the storms. Requests with keys are refused for seconds then: a
    /// broken mechanism that shows in what passes needs storms without.
    pub returns: bool,
    /// Where the logs of the nodes are kept.
    pub logs: PathBuf,
}

/// What a soak has come to.
#[derive(Debug, Serialize)]
pub struct SoakReport {
    /// The seed.
    pub seed: u64,
    /// The mechanism that was off.
    pub broken: Option<String>,
    /// How long it ran, in seconds.
    pub seconds: f64,
    /// Storms played.
    pub storms: u32,
    /// Faults injected.
    pub faults: u32,
    /// Operations watched in calm spells.
    pub operations: u32,
    /// Requests that callers sent.
    pub requests: u64,
    /// Requests answered with success.
    pub answered: u64,
    /// Answers that left shards out.
    pub incomplete: u64,
    /// Requests promised not to have run.
    pub promised_not_run: u64,
    /// Requests without an answer.
    pub unanswered: u64,
    /// Back ends that ended under the request that ends them.
    pub ended: u32,
    /// What was promised and not kept.
    pub violations: Vec<Violation>,
    /// Whether the mechanism that was off was noticed; nothing when all were on.
    pub break_caught: Option<bool>,
}

/// How long what is in flight may take to end before the last check.
const DRAIN_TIME: Duration = Duration::from_millis(1_500);
/// How long the system has to heal before an operation is watched.
const RECOVERY_TIME: Duration = Duration::from_millis(4_000);

/// The part of calm spells in which a return of the store is watched as well.
const STORE_RESTORE_PROBABILITY: f64 = 0.5;

/// Runs a soak.
///
/// # Errors
/// When a stand-in or a node does not start. Broken promises are in the report.
pub async fn run_soak(options: &SoakOptions) -> Result<SoakReport, BenchError> {
    std::fs::create_dir_all(&options.logs)?;
    let mut random = SmallRng::seed_from_u64(options.seed);
    // Drawn by themselves: what a seed has played so far stays in its place.
    let mut restore_random = SmallRng::seed_from_u64(!options.seed);
    let checker = Arc::new(Checker::default());
    let mut deployment = SoakDeployment::start(options, checker.clone()).await?;
    deployment.wait_ready().await?;
    let load = load::start(&deployment, checker.clone());
    let started = Instant::now();
    let (mut storms, mut faults, mut operations) = (0, 0, 0);
    while started.elapsed() < options.length {
        let mut storm = Storm::draw(&mut random);
        if options.returns {
            storm = storm.with_store_restores(&mut restore_random);
        }
        faults += storm.faults.len() as u32;
        schedule::play(&storm, &mut deployment).await?;
        storms += 1;
        deployment.heal().await?;
        tokio::time::sleep(RECOVERY_TIME).await;
        operations::watch_one(&mut deployment, &checker, options.bounds, &mut random).await?;
        operations += 1;
        if options.bounds && restore_random.random_bool(STORE_RESTORE_PROBABILITY) {
            operations::watch_store_restore(
                &mut deployment,
                &checker,
                restore_random.random_range(0..routes::SHARDS),
            )
            .await?;
            operations += 1;
        }
    }
    load.stop().await;
    tokio::time::sleep(DRAIN_TIME).await;
    checker.check_runs(&deployment.records());
    checker.check_tenants(&deployment.calls(), deployment.keys());
    checker.check_crashes(deployment.fragile_crashes(), storms);
    let counts = checker.counts();
    let violations = checker.violations();
    Ok(SoakReport {
        seed: options.seed,
        break_caught: options.broken.as_ref().map(|_| !violations.is_empty()),
        broken: options.broken.clone(),
        seconds: started.elapsed().as_secs_f64(),
        storms,
        faults,
        operations,
        requests: counts.requests,
        answered: counts.answered,
        incomplete: counts.incomplete,
        promised_not_run: counts.promised_not_run,
        unanswered: counts.unanswered,
        ended: deployment.fragile_crashes(),
        violations,
    })
}
