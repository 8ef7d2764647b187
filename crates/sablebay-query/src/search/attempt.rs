//! Attempts at the shards of a query, and how they fail.

use derive_more::Display;
use smallvec::SmallVec;

use sablebay_model::Micros;

use crate::coverage::GapReason;
use crate::replica::ReplicaIndex;

/// Numbers the calls of one query, over all its plans.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub struct AttemptNumber(pub u32);

/// Why a call was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first call for its shard.
    First,
    /// Another replica is slow.
    Hedge,
    /// Another replica failed or refused.
    Retry,
}

/// How a call failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CallFailure {
    /// No byte can have reached the replica.
    #[display("not sent")]
    NotSent,
    /// The connection failed after bytes were sent.
    #[display("broken")]
    Broken,
    /// The replica does not hold the version or a partition.
    #[display("not held")]
    NotHeld,
    /// The replica is leaving and takes no new work.
    #[display("draining")]
    Draining,
    /// The replica sheds load.
    #[display("shedding")]
    Shedding,
    /// The replica gave up at the deadline it was given.
    #[display("too late")]
    TooLate,
    /// The answer does not fit the call.
    #[display("mismatched")]
    Mismatched,
}

impl CallFailure {
    /// Whether the replica's own fitness is in doubt.
    pub fn counts_against_replica(self) -> bool {
        matches!(self, CallFailure::NotSent | CallFailure::Broken | CallFailure::Mismatched)
    }

    /// Whether repeating the call elsewhere adds no load: it is known that it did not run.
    pub fn is_budget_exempt(self) -> bool {
        matches!(self, CallFailure::NotSent | CallFailure::NotHeld | CallFailure::Draining)
    }

    /// What a shard that fails for this reason is missing for.
    pub fn gap_reason(self) -> GapReason {
        match self {
            CallFailure::NotSent | CallFailure::Broken | CallFailure::Mismatched => GapReason::Lost,
            CallFailure::NotHeld => GapReason::NotHeld,
            CallFailure::Draining | CallFailure::Shedding => GapReason::Refused,
            CallFailure::TooLate => GapReason::Late,
        }
    }
}

/// One call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub shard: usize,
    pub replica: ReplicaIndex,
    pub kind: AttemptKind,
    pub sent_at: Micros,
    pub open: bool,
}

/// How far one shard has come in the present plan.
#[derive(Clone, Debug, Default)]
pub(super) struct ShardProgress {
    pub tried: SmallVec<[ReplicaIndex; 4]>,
    pub open_attempts: u32,
    pub hedged: bool,
    pub recorded_late: bool,
    pub reasons: Vec<GapReason>,
    /// `Some(None)`: answered. `Some(Some(reason))`: missing.
    pub closed: Option<Option<GapReason>>,
}

impl ShardProgress {
    /// The reason to give for a shard that no replica answered: the last that is not "not held",
    /// since a version is gone just when every replica says so.
    pub fn gap_reason(&self) -> GapReason {
        let other = self.reasons.iter().rev().find(|reason| **reason != GapReason::NotHeld);
        other.or(self.reasons.last()).copied().unwrap_or(GapReason::Lost)
    }
}
