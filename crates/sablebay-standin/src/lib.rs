//! Stand-ins for what sablebay meets from outside: the platform, leaves, the network between,
//! and callers with a checker of what they are told. For tests and experiments alone.

mod corpus;
mod deployment;
mod error;
mod leaf;
mod load;
mod platform;
mod proxy;
mod service_time;

pub use corpus::{Corpus, StoredHit};
pub use deployment::{CORPUS, Deployment, LeafPlan, RunningLeaves, ServicePlan, ShardPlan};
pub use error::StandInError;
pub use leaf::{Leaf, LeafFaults, LeafOptions, LeafState};
pub use load::{
    CallerClient, CheckedAnswer, LoadOptions, LoadSummary, OperationOutcome, QueryOutcome, Violation,
    WeightedService, check_answer, run_load,
};
pub use platform::{Platform, PlatformMode, PlatformState};
pub use proxy::{Direction, Faults, Proxy};
pub use service_time::ServiceTime;
