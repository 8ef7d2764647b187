//! What an answer covers, and why the rest is missing.

use derive_more::Display;
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

use sablebay_model::PartitionSet;

/// Why partitions are missing from an answer.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(rename_all = "snake_case")]
pub enum GapReason {
    /// No answer came before the deadline.
    #[display("late")]
    Late,
    /// Every replica failed or could not be reached.
    #[display("lost")]
    Lost,
    /// Every replica refused the work.
    #[display("refused")]
    Refused,
    /// No replica holds the partitions at the answer's version.
    #[display("not_held")]
    NotHeld,
}

/// Partitions that are missing for one reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct Gap {
    /// The partitions.
    pub partitions: PartitionSet,
    /// Why they are missing.
    pub reason: GapReason,
}

/// What an answer covers. `answered` and the gaps are disjoint, and together the whole index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct Coverage {
    /// The partitions that the hits come from.
    pub answered: PartitionSet,
    /// The partitions that are missing.
    pub missing: Vec<Gap>,
}

impl Coverage {
    /// Adds a gap, joining it with others of the same reason.
    pub fn add_gap(&mut self, partitions: &PartitionSet, reason: GapReason) {
        match self.missing.iter_mut().find(|gap| gap.reason == reason) {
            Some(gap) => gap.partitions = gap.partitions.union(partitions),
            None => self.missing.push(Gap { partitions: partitions.clone(), reason }),
        }
    }

    /// How many partitions were asked for.
    pub fn total(&self) -> u32 {
        self.answered.len() + self.missing.iter().map(|gap| gap.partitions.len()).sum::<u32>()
    }

    /// Whether nothing is missing.
    pub fn is_full(&self) -> bool {
        self.missing.is_empty()
    }

    /// Whether this divides exactly `asked` into answered and missing partitions, each once.
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
