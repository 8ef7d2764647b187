//! Decision logic of the query path: replica selection, hedging, retries and result coverage.
//!
//! Performs no I/O and reads no clock or global random state; time and random numbers are
//! arguments.

mod admission;
mod balance;
mod budget;
mod coverage;
mod latency;
mod plan;
mod replica;
mod routing;
mod search;

pub use admission::{Admission, Arrival, WaiterId};
pub use balance::Balancer;
pub use budget::ExtraLoadBudget;
pub use coverage::{Coverage, Gap, GapReason};
pub use latency::LatencyWindow;
pub use plan::{PlannedShard, ShardPlan};
pub use replica::{LoadReport, ReplicaIndex, ReplicaState, Target};
pub use routing::{Mechanisms, RoutingSettings, ServiceRouting};
pub use search::{
    Action, AttemptKind, AttemptNumber, CallFailure, Search, SearchContext, SearchRequest, SearchResult,
    ShardAnswer, Work,
};
