//! Scatter-gather dispatch of a request to one replica of each of its shards: replica selection,
//! hedging, retries, admission and completion. A request for one replica is a request over one shard.
//!
//! Routes and replicas come from `sablebay-catalogue`; `sablebay-gateway` does the networking. This
//! crate performs no I/O and reads no clock: time and the random generator are arguments.

mod admission;
mod answer_lag;
mod arrival_rate;
mod cold_rate;
mod connection_share;
mod fanout;
mod gatherer_table;
mod gatherers;
mod quarantine;
mod records;
mod replica_health;
mod replica_table;
mod retry_claims;
mod retry_window;
mod route_latency;
mod tenant_shares;
mod weighted_choice;

pub use admission::{
    Admission, AdmissionInputs, LOWEST_RANK, TypicalTimeout, admit, admit_fairly, fair_refusal_probability,
    refusal_probability,
};
pub use answer_lag::AnswerLag;
pub use arrival_rate::ArrivalRate;
pub use cold_rate::{COLD_WINDOW, Callers, ColdCapacity, cold_share};
pub use connection_share::{
    FleetSize, ReplicaShareInputs, ZoneNodes, connection_share, has_room_for_all, own_replicas,
};
pub use fanout::{
    AlwaysSent, CallDurations, CallFailure, CallNumber, DelegatedShards, Execution, Fanout, FanoutAction,
    FanoutContext, FanoutOutcome, FanoutSettings, GatheredShards, ShardTargets, UnsentCalls,
};
pub use gatherer_table::GathererTable;
pub use gatherers::{
    GathererInputs, GathererNode, choose_gatherers, gatherer_count, owned_shards, shard_owners,
};
pub use quarantine::{
    Audience, CrashHistory, CrashNotice, CrashedRun, FIRST_HOLD, KEPT_CRASHES, LONGEST_HOLD, LeaseRequest,
    MAXIMUM_REQUESTS, NOTICES_PER_MESSAGE, ObserverId, QUARANTINE_STRIKES, Quarantine, QuarantineNotice,
    QuarantineStatus, RunId, RunPermit, Suspect, lease_duration,
};
pub use records::{RECORD_BYTES, TopRecords};
pub use replica_health::{LoadHint, ReplicaHealth};
pub use replica_table::{CallKey, ReplicaTable};
pub use retry_window::{BudgetShare, RetryAllowance, RetryBudgets, RetryWindow};
pub use route_latency::RouteLatency;
pub use tenant_shares::{TenantDemand, TenantShares};
pub use weighted_choice::WeightedChoice;
