//! What a request is asked to do, what it asks the shell to do, and how it ends.

use std::sync::Arc;

use sablebay_catalogue::{Repeatability, ReplicaId, RoutableReplica, ServiceName};
use sablebay_model::{Micros, NodeId, ZoneName};

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
    /// When those who gather shards for this node tell what is in.
    pub report_at: Micros,
    /// After how long a silent call is hedged.
    pub hedge_delay: Micros,
    /// After how long a gatherer that gave no sign of life is given up.
    pub gatherer_timeout: Micros,
}

/// Shards that one other node gathers for this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DelegatedShards {
    /// The node.
    pub gatherer: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Positions of the shards in the request, rising.
    pub shards: Vec<usize>,
    /// The node that is asked in its place when it is of no use; another owner of the shards.
    pub fallback: Option<NodeId>,
    /// Whether a node was asked before that may have sent the first call of each of these shards.
    pub continued: bool,
}

/// What a gatherer tells of the shards that it was asked for. Positions are those of the request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GatheredShards {
    /// Shards whose answers are in the merged part that came with this.
    pub answered: Vec<usize>,
    /// Shards that the gatherer has given up.
    pub closed: Vec<usize>,
    /// Shards that it has sent to a second replica so far.
    pub retried: Vec<usize>,
    /// Whether nothing more will come.
    pub last: bool,
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
    /// Ask another node for shards.
    Delegate {
        /// Names the call in what comes back.
        call: CallNumber,
        /// The node and the shards.
        delegated: DelegatedShards,
        /// The spare replica of each of these shards, where it has more replicas than attempts.
        spares: Vec<Option<ReplicaId>>,
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
