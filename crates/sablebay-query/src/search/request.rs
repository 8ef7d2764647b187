//! What goes into a query's state machine and what comes out.

use std::sync::Arc;

use derive_more::{Add, AddAssign};
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

use sablebay_model::{Hit, Micros, PartitionSet, Revision, SnapshotVersion, SortOrder};

use super::attempt::AttemptNumber;
use crate::coverage::Coverage;
use crate::replica::{LoadReport, ReplicaIndex};

/// What a query asks of the machine.
#[derive(Clone, Debug)]
pub struct SearchRequest {
    /// When the answer is due.
    pub deadline: Micros,
    /// Hits in the answer at the most.
    pub limit: usize,
    /// Their order.
    pub order: SortOrder,
    /// Whether the query may start again at another version. An aggregator's part may not: the
    /// root pins the version.
    pub may_replan: bool,
}

/// What the shell has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a call.
    Dispatch {
        /// Names the call in what comes back.
        attempt: AttemptNumber,
        /// Where to.
        replica: ReplicaIndex,
        /// The partitions to search.
        partitions: Arc<PartitionSet>,
        /// The version to search at.
        version: SnapshotVersion,
        /// When the answer is due.
        deadline: Micros,
    },
    /// Tell a replica that a call's answer is no longer wanted.
    Cancel {
        /// The call.
        attempt: AttemptNumber,
        /// The replica.
        replica: ReplicaIndex,
    },
}

/// What came back for one call.
#[derive(Clone, Debug)]
pub struct ShardAnswer {
    /// The version searched.
    pub version: SnapshotVersion,
    /// Which of the partitions asked for were searched. A leaf has no gaps; an aggregator may.
    pub coverage: Coverage,
    /// The hits.
    pub hits: Vec<Hit>,
    /// What the replica says of itself.
    pub report: Option<LoadReport>,
    /// The calls to leaves that an aggregator made for it; nothing for a leaf's answer.
    pub work: Work,
}

/// The work that a query caused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Add, AddAssign, Serialize, Deserialize, Encode, Decode,
)]
pub struct Work {
    /// Calls to leaves, all kinds, those of aggregators included.
    pub leaf_calls: u64,
    /// Calls sent because another was slow.
    pub hedges: u64,
    /// Calls sent because another failed.
    pub retries: u64,
    /// Answers that were late, repeated or did not fit, and were discarded.
    pub discarded: u64,
    /// Times the whole query was planned again at another version.
    #[serde(rename = "plans_again")]
    pub replans: u64,
}

/// The result of a query.
#[derive(Clone, Debug)]
pub struct SearchResult {
    /// The one version that every hit is from.
    pub version: SnapshotVersion,
    /// The revision of the configuration that the plan was made from.
    pub revision: Revision,
    /// The hits, merged in order.
    pub hits: Vec<Hit>,
    /// What they cover.
    pub coverage: Coverage,
    /// What it took.
    pub work: Work,
}
