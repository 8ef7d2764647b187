//! Inputs and outputs of the query state machine.

use std::sync::Arc;

use derive_more::{Add, AddAssign};
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

use sablebay_model::{Hit, Micros, PartitionSet, Revision, SnapshotVersion, SortOrder};

use super::attempt::AttemptNumber;
use crate::coverage::Coverage;
use crate::replica::{LoadReport, ReplicaIndex};

/// Parameters of a query.
#[derive(Clone, Debug)]
pub struct SearchRequest {
    pub deadline: Micros,
    /// Maximum number of hits.
    pub limit: usize,
    pub order: SortOrder,
    /// Whether the query may restart at another version. Disabled on aggregators, where the root
    /// pins the version.
    pub may_replan: bool,
}

/// An action for the caller of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a call.
    Dispatch {
        /// Identifies the call in its answer.
        attempt: AttemptNumber,
        replica: ReplicaIndex,
        partitions: Arc<PartitionSet>,
        version: SnapshotVersion,
        deadline: Micros,
    },
    /// Cancel a call.
    Cancel { attempt: AttemptNumber, replica: ReplicaIndex },
}

/// Answer to one call.
#[derive(Clone, Debug)]
pub struct ShardAnswer {
    pub version: SnapshotVersion,
    /// Searched and missing partitions. Only an aggregator reports missing ones.
    pub coverage: Coverage,
    pub hits: Vec<Hit>,
    /// Load reported by the replica.
    pub report: Option<LoadReport>,
    /// Work done by an aggregator; zero for an answer from a leaf.
    pub work: Work,
}

/// Number of calls caused by a query.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Add, AddAssign, Serialize, Deserialize, Encode, Decode,
)]
pub struct Work {
    /// Leaf calls of all kinds, including those of aggregators.
    pub leaf_calls: u64,
    /// Calls sent because another call was slow.
    pub hedges: u64,
    /// Calls sent because another call failed.
    pub retries: u64,
    /// Answers discarded as late, repeated or mismatched.
    pub discarded: u64,
    /// Number of restarts at another version.
    #[serde(rename = "plans_again")]
    pub replans: u64,
}

#[derive(Clone, Debug)]
pub struct SearchResult {
    /// The version of all hits.
    pub version: SnapshotVersion,
    /// The configuration revision of the plan.
    pub revision: Revision,
    /// Merged hits in the requested order.
    pub hits: Vec<Hit>,
    /// Partitions covered by the hits.
    pub coverage: Coverage,
    pub work: Work,
}
