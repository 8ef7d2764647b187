//! What a request is asked to do, what it asks the shell to do, and how it ends.

use std::sync::Arc;

use sablebay_catalogue::{Repeatability, ReplicaId, RoutableReplica, ServiceName};
use sablebay_model::Micros;

use super::call::CallNumber;

/// One shard and the replicas that may answer for it.
#[derive(Clone, Debug)]
pub struct ShardTargets {
    /// The shard.
    pub service: ServiceName,
    /// Its replicas.
    pub replicas: Arc<[RoutableReplica]>,
}

/// What bounds one request.
#[derive(Clone, Copy, Debug)]
pub struct FanoutSettings {
    /// Whether it may run more than once.
    pub repeatability: Repeatability,
    /// Replicas that each shard may be sent to.
    pub maximum_attempts: u32,
    /// Shards without which there is no success.
    pub minimum_shards: usize,
    /// When the request is given up.
    pub deadline: Micros,
    /// When an answer that leaves shards out is worth more than a late whole one.
    pub partial_at: Micros,
    /// After how long a silent call is hedged.
    pub hedge_delay: Micros,
}

/// What the shell has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum FanoutAction {
    /// Send a call.
    Send {
        /// Names the call in what comes back.
        call: CallNumber,
        /// The shard's position in the request.
        shard: usize,
        /// Where to.
        replica: ReplicaId,
        /// Whether it is the first call of its shard.
        first: bool,
    },
    /// The answer to a call is no longer wanted.
    Abandon {
        /// The call.
        call: CallNumber,
    },
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FanoutOutcome {
    /// Enough shards answered.
    Answered {
        /// Shards left out.
        missing: usize,
    },
    /// Too few shards answered, and no call can have run.
    NotRun,
    /// Too few shards answered.
    Unknown,
    /// The deadline came before enough shards had answered.
    Expired {
        /// Whether a call can have run.
        may_have_run: bool,
    },
}
