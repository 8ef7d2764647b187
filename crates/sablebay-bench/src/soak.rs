//! A randomized fault soak of the node binaries.
//!
//! Three node processes run against stand-ins for callers, back ends and the store, with a
//! fault-injecting proxy on every link. Storms of faults drawn from the seed alternate with calm
//! periods, each of which observes one operation such as a new configuration or a planned stop.
//! Observations of callers, back ends and the operator are checked against the promises. Only
//! processes that the soak started are killed.

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

/// Configuration of a soak.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Seed of the faults.
    pub seed: u64,
    /// Duration of the run.
    pub length: Duration,
    /// Mechanism to disable in every node.
    pub broken: Option<String>,
    /// Whether to check operations with a time bound too. Disabled where the verdict must not
    /// depend on the speed of the machine.
    pub bounds: bool,
    /// Whether storms restore the store from older copies. Nodes then refuse requests with keys
    /// for seconds, which can hide a disabled mechanism.
    pub returns: bool,
    /// Directory for the nodes' logs.
    pub logs: PathBuf,
}

/// Results of a soak.
#[derive(Debug, Serialize)]
pub struct SoakReport {
    pub seed: u64,
    /// The disabled mechanism.
    pub broken: Option<String>,
    /// Duration of the run in seconds.
    pub seconds: f64,
    pub storms: u32,
    pub faults: u32,
    /// Operations observed in calm periods.
    pub operations: u32,
    /// Requests sent by callers.
    pub requests: u64,
    /// Requests answered successfully.
    pub answered: u64,
    /// Answers with missing shards.
    pub incomplete: u64,
    /// Requests reported as not run.
    pub promised_not_run: u64,
    pub unanswered: u64,
    /// Crashes of back ends on the fatal request.
    pub ended: u32,
    /// Violated promises.
    pub violations: Vec<Violation>,
    /// Whether the disabled mechanism was detected; `None` if all were enabled.
    pub break_caught: Option<bool>,
}

/// Time for requests in flight to finish before the final check.
const DRAIN_TIME: Duration = Duration::from_millis(1_500);
/// Time for the system to recover before an operation is observed.
const RECOVERY_TIME: Duration = Duration::from_millis(4_000);

/// Fraction of calm periods that also observe a restore of the store.
const STORE_RESTORE_PROBABILITY: f64 = 0.5;

///
/// # Errors
/// Fails if a stand-in or a node does not start. Violated promises are in the report.
pub async fn run_soak(options: &SoakOptions) -> Result<SoakReport, BenchError> {
    std::fs::create_dir_all(&options.logs)?;
    let mut random = SmallRng::seed_from_u64(options.seed);
    // Separate generators keep the other faults of a seed unchanged.
    let mut restore_random = SmallRng::seed_from_u64(!options.seed);
    let mut answer_random = SmallRng::seed_from_u64(options.seed.rotate_left(32));
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
        if options.broken.is_none() {
            storm = storm.with_unreliable_answers(&mut answer_random);
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
