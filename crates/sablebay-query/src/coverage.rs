//! Partitions covered by an answer, and reasons for missing ones.

use derive_more::Display;
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

use sablebay_model::PartitionSet;

/// Reason why partitions are missing from an answer.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(rename_all = "snake_case")]
pub enum GapReason {
    /// No answer came before the deadline.
    #[display("late")]
    Late,
    /// Every replica failed or was unreachable.
    #[display("lost")]
    Lost,
    /// Every replica refused the work.
    #[display("refused")]
    Refused,
    /// No replica holds the partitions at the answer's version.
    #[display("not_held")]
    NotHeld,
}

/// Partitions missing for the same reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct Gap {
    pub partitions: PartitionSet,
    pub reason: GapReason,
}

/// Partitions covered by an answer. `answered` and all gaps are disjoint; their union is the set of
/// requested partitions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct Coverage {
    pub answered: PartitionSet,
    pub missing: Vec<Gap>,
}

impl Coverage {
    /// Adds a gap, merging it with an existing one of the same reason.
    pub fn add_gap(&mut self, partitions: &PartitionSet, reason: GapReason) {
        match self.missing.iter_mut().find(|gap| gap.reason == reason) {
            Some(gap) => gap.partitions = gap.partitions.union(partitions),
            None => self.missing.push(Gap { partitions: partitions.clone(), reason }),
        }
    }

    /// Returns the number of requested partitions.
    pub fn total(&self) -> u32 {
        self.answered.len() + self.missing.iter().map(|gap| gap.partitions.len()).sum::<u32>()
    }

    pub fn is_full(&self) -> bool {
        self.missing.is_empty()
    }

    /// Returns whether the answered and missing partitions are disjoint and their union is `asked`.
    pub fn covers_exactly(&self, asked: &PartitionSet) -> bool {
        let mut whole = self.answered.clone();
        for gap in &self.missing {
            if whole.intersects(&gap.partitions) {
                return false;
            }
            whole = whole.union(&gap.partitions);
        }
        whole == *asked
    }
}
