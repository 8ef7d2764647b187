//! The registry of experiments.

mod at_most_once;
mod brownout;
mod drain;
mod leaf_cost;
mod lying_health;
mod never_reverts;
mod noisy_tenant;
mod overhead;
mod repartition;
mod rolling_restart;
mod spread;
mod straggler;
mod version_roll;

use std::time::Duration;

pub use leaf_cost::serve_floor;

use sablebay_standin::{LoadSummary, Violation};

use crate::error::BenchError;
use crate::result::ExperimentResult;

/// Options of one run of an experiment.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Seed of the random number generators.
    pub seed: u64,
    /// The disabled mechanism, if any.
    pub broken: Option<String>,
    /// Factor on the duration of the experiment; published figures use 1.
    pub scale: f64,
}

impl Default for RunOptions {
    fn default() -> Self {
        Self { seed: 1, broken: None, scale: 1.0 }
    }
}

impl RunOptions {
    /// Whether this mechanism is disabled.
    pub fn breaks(&self, mechanism: &str) -> bool {
        self.broken.as_deref() == Some(mechanism)
    }

    /// A duration of `seconds`, multiplied by the scale of the run.
    pub fn seconds(&self, seconds: f64) -> Duration {
        Duration::from_secs_f64(seconds * self.scale)
    }

    pub fn result(&self, experiment: &str) -> ExperimentResult {
        ExperimentResult::new(experiment, self.seed, self.broken.as_deref())
    }
}

/// Adds the violations that the checker found in some loads, with one figure for each kind.
fn count_violations(result: &mut ExperimentResult, loads: &[&LoadSummary]) {
    for kind in
        [Violation::MixedVersions, Violation::DoubledHit, Violation::FalseCoverage, Violation::ForeignAnswer]
    {
        let count: usize = loads.iter().map(|load| load.count(kind)).sum();
        result.violation(&kind.to_string(), count as u64);
    }
}

/// Name, mechanisms that can be disabled, and a short description of each experiment.
pub const EXPERIMENTS: [(&str, &[&str], &str); 13] = [
    ("straggler", &["hedging"], "tail latency with slow calls and slow replicas"),
    ("brownout", &["budget"], "extra load while every replica is slow"),
    ("version-roll", &["version-check"], "index versions change under load"),
    ("repartition", &["partition-check"], "shards split and move under load"),
    ("noisy-tenant", &["admission"], "one tenant floods leaves that another uses"),
    ("lying-health", &["observation"], "a replica that accepts calls and never answers"),
    ("overhead", &[], "latency that a node adds to a direct call"),
    ("leaf-cost", &[], "CPU time for each leaf call in a wide fan-out"),
    ("configuration-spread", &["push"], "time until a change is in force on a hollow fleet"),
    (
        "never-reverts",
        &["floor"],
        "a platform that serves stale and conflicting revisions while nodes are replaced",
    ),
    ("at-most-once", &["write-once"], "operations during node pauses, crashes and network partitions"),
    ("drain", &["leaving"], "leaves are drained under load"),
    ("rolling-restart", &["wait-at-stop"], "every node is replaced under load"),
];

/// Runs an experiment by name.
///
/// # Errors
/// When the name or the mechanism is unknown, or a node, a process or a stand-in fails.
pub async fn run_experiment(name: &str, options: &RunOptions) -> Result<ExperimentResult, BenchError> {
    let found = EXPERIMENTS.iter().find(|(known, _, _)| *known == name);
    let (_, mechanisms, _) = found.ok_or_else(|| BenchError::UnknownExperiment { name: name.to_string() })?;
    if let Some(mechanism) = &options.broken
        && !mechanisms.contains(&mechanism.as_str())
    {
        return Err(BenchError::UnknownMechanism {
            experiment: name.to_string(),
            mechanism: mechanism.clone(),
            known: mechanisms.join(", "),
        });
    }
    match name {
        "straggler" => straggler::run(options).await,
        "brownout" => brownout::run(options).await,
        "version-roll" => version_roll::run(options).await,
        "repartition" => repartition::run(options).await,
        "noisy-tenant" => noisy_tenant::run(options).await,
        "lying-health" => lying_health::run(options).await,
        "overhead" => overhead::run(options).await,
        "leaf-cost" => leaf_cost::run(options).await,
        "configuration-spread" => spread::run(options),
        "never-reverts" => never_reverts::run(options),
        "at-most-once" => at_most_once::run(options).await,
        "drain" => drain::run(options).await,
        _ => rolling_restart::run(options).await,
    }
}
