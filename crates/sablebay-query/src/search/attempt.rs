//! Call attempts of a query and their failures.

use derive_more::Display;
use smallvec::SmallVec;

use sablebay_model::Micros;

use crate::coverage::GapReason;
use crate::replica::ReplicaIndex;

/// Number of a call, unique within a query across replans.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub struct AttemptNumber(pub u32);

/// Reason for sending a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first call for its shard.
    First,
    /// Sent because another replica is slow.
    Hedge,
    /// Sent because another replica failed or refused.
    Retry,
}

/// Reason for the failure of a call.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CallFailure {
    /// No data reached the replica.
    #[display("not sent")]
    NotSent,
    /// The connection failed after data was sent.
    #[display("broken")]
    Broken,
    /// The replica does not hold the version or a partition.
    #[display("not held")]
    NotHeld,
    /// The replica is leaving and refuses new work.
    #[display("draining")]
    Draining,
    /// The replica sheds load.
    #[display("shedding")]
    Shedding,
    /// The replica exceeded the deadline of the call.
    #[display("too late")]
    TooLate,
    /// The answer does not match the call.
    #[display("mismatched")]
    Mismatched,
}

impl CallFailure {
    /// Returns whether the failure counts towards quarantine of the replica.
    pub fn counts_against_replica(self) -> bool {
        matches!(self, CallFailure::NotSent | CallFailure::Broken | CallFailure::Mismatched)
    }

    /// Returns whether a retry adds no load because the call did not run.
    pub fn is_budget_exempt(self) -> bool {
        matches!(self, CallFailure::NotSent | CallFailure::NotHeld | CallFailure::Draining)
    }

    /// Returns the gap reason of a shard that failed this way.
    pub fn gap_reason(self) -> GapReason {
        match self {
            CallFailure::NotSent | CallFailure::Broken | CallFailure::Mismatched => GapReason::Lost,
            CallFailure::NotHeld => GapReason::NotHeld,
            CallFailure::Draining | CallFailure::Shedding => GapReason::Refused,
            CallFailure::TooLate => GapReason::Late,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub shard: usize,
    pub replica: ReplicaIndex,
    pub kind: AttemptKind,
    pub sent_at: Micros,
    pub open: bool,
}

/// Progress of a shard in the current plan.
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
    /// Returns the gap reason of an unanswered shard: the last one other than `NotHeld`. `NotHeld`
    /// is reported only if every replica returned it.
    pub fn gap_reason(&self) -> GapReason {
        let other = self.reasons.iter().rev().find(|reason| **reason != GapReason::NotHeld);
        other.or(self.reasons.last()).copied().unwrap_or(GapReason::Lost)
    }
}
