//! Experiments, load tests and fault injection for sablebay.
//!
//! Every experiment prints one JSON object with its figures, the figures of the baseline from the
//! same run, and the number of `violations`. `--break MECHANISM` disables one mechanism, and the
//! experiment then passes only if its checker detects the resulting violations.

mod allocation;
mod capacity;
mod child_process;
mod cli;
mod cluster;
mod compare;
mod configuration_cost;
mod error;
mod experiment;
mod gateway_cost;
mod hollow;
mod processes;
mod report;
mod result;
mod soak;
mod tenant_cost;
mod usage;

pub use allocation::{Allocated, CountingAllocator, count_allocations};
pub use child_process::ChildProcess;
pub use cli::run_command_line;
pub use cluster::{Cluster, ClusterOptions};
pub use configuration_cost::{ConfigurationSize, configuration_text};
pub use error::BenchError;
pub use experiment::{RunOptions, run_experiment};
pub use gateway_cost::{GatewayCost, measure_gateway_cost};
pub use hollow::{HollowFleet, HollowOptions, HollowReport};
pub use processes::{NodeCommand, NodeProcess, ProcessCluster};
pub use result::{ExperimentResult, Series};
pub use soak::{Promise, SoakOptions, SoakReport, Violation, run_soak};
pub use tenant_cost::{TenantCost, measure_tenant_cost};
