//! Stand-ins for the external parts of a sablebay deployment: platform, leaves, network and
//! callers that check their answers. For tests and experiments only.

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
