//! Inputs, actions and outcomes of the request state machine.

use std::sync::Arc;

use sablebay_catalogue::{Repeatability, ReplicaId, RoutableReplica, ServiceName};
use sablebay_model::{Micros, NodeId, ZoneName};

use super::call::CallNumber;

/// A shard and the replicas that can serve it.
#[derive(Clone, Debug)]
pub struct ShardTargets {
    /// The service that represents the shard.
    pub service: ServiceName,
    pub replicas: Arc<[RoutableReplica]>,
}

/// Limits and times of one request.
#[derive(Clone, Copy, Debug)]
pub struct FanoutSettings {
    /// Whether the request may be executed more than once.
    pub repeatability: Repeatability,
    /// Maximum number of replicas that each shard may be sent to.
    pub maximum_attempts: u32,
    /// Minimum number of shards that must answer for the request to succeed; 0 if they are gathered for another node.
    pub minimum_shards: usize,
    pub deadline: Micros,
    /// When to return a partial answer instead of waiting for the remaining shards.
    pub partial_at: Micros,
    /// When gatherers send the shards that they have so far.
    pub report_at: Micros,
    /// Time without an answer after which a call is hedged.
    pub hedge_delay: Micros,
    /// Time without a report after which a gatherer's shards are reassigned.
    pub gatherer_timeout: Micros,
    pub usual_call: CallDurations,
}

/// Typical durations of a route's calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallDurations {
    /// From the choice of the replica to its answer, including the wait for a connection.
    pub total: Micros,
    /// From sending the request to the answer.
    pub exchange: Micros,
}

/// The calls of a request that have not been sent yet. A call of the current step, whose action has not been carried
/// out, counts as sent.
pub trait UnsentCalls {
    /// Whether a call has not been sent. It may be sent at any moment, unless it is withdrawn.
    fn is_unsent(&self, call: CallNumber) -> bool;

    /// Cancels a call unless it has been sent. Returns whether it was cancelled: no byte of it is ever sent then.
    fn withdraw(&mut self, call: CallNumber) -> bool;
}

/// [`UnsentCalls`] of a driver whose calls count as sent from the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct AlwaysSent;

impl UnsentCalls for AlwaysSent {
    fn is_unsent(&self, _call: CallNumber) -> bool {
        false
    }

    fn withdraw(&mut self, _call: CallNumber) -> bool {
        false
    }
}

/// Shards of a request that another node gathers for this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DelegatedShards {
    pub gatherer: NodeId,
    /// Zone of the gatherer.
    pub zone: ZoneName,
    /// Indexes of the shards in the request, in ascending order.
    pub shards: Vec<usize>,
    /// Another owner of the shards, used if the gatherer fails or times out.
    pub fallback: Option<NodeId>,
    /// Whether an earlier gatherer may have sent the first call of each of these shards.
    pub continued: bool,
}

/// Report of a gatherer on its shards, given by their indexes in the request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GatheredShards {
    /// Shards whose answers are in the merged part sent with this report.
    pub answered: Vec<usize>,
    /// Shards that the gatherer could not get an answer for.
    pub closed: Vec<usize>,
    /// Shards that the gatherer has sent to a second replica so far.
    pub retried: Vec<usize>,
    /// Whether this is the final report.
    pub last: bool,
}

/// An action for the caller of the state machine to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum FanoutAction {
    /// Send a shard to a replica.
    Send {
        call: CallNumber,
        /// Index of the shard in the request.
        shard: usize,
        replica: ReplicaId,
        /// Whether this is the first call of the shard.
        first: bool,
    },
    /// Ask another node to gather shards.
    Delegate {
        call: CallNumber,
        delegated: DelegatedShards,
        /// Spare replica of each of these shards; none if it has no more replicas than attempts.
        spares: Vec<Option<ReplicaId>>,
    },
    /// Cancel a call whose answer is no longer needed.
    Abandon { call: CallNumber },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FanoutOutcome {
    /// Enough shards answered.
    Answered {
        /// Number of shards without an answer.
        missing: usize,
    },
    /// Too few shards answered, and no call can have been executed.
    NotRun,
    /// Too few shards answered, and a call may have been executed.
    Unknown,
    /// The deadline passed before enough shards answered.
    Expired {
        /// Whether a call may have been executed.
        may_have_run: bool,
    },
}
