//! Tracks restores of the source from an older copy.
//!
//! A restored source lacks acknowledged writes until their writers write again. In that time an entry may
//! come from the copy or from its writer; numbers above the first one observed in the era certainly come from
//! writers.

use sablebay_model::Micros;

use crate::revision::{CatalogueRevision, Era};

/// Time after a restore within which writers have rewritten their entries or the entries have expired. Until
/// then, absence of an entry does not count as removal.
pub const SETTLE_PERIOD: Micros = Micros::from_millis(4_000);

/// The source's current era as far as this node knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct SourceEra {
    era: Era,
    /// Lowest number observed in the era; 0 in the first era, which is not a restore.
    first_number: u64,
    /// Earliest time at which any node learned of the era, by this node's clock.
    observed_at: Micros,
}

impl SourceEra {
    pub fn era(&self) -> Era {
        self.era
    }

    pub fn first_number(&self) -> u64 {
        self.first_number
    }

    /// Time since the era was first observed.
    pub fn age(&self, now: Micros) -> Micros {
        now.since(self.observed_at)
    }

    /// Whether writers have had time to write again.
    pub fn is_settled(&self, now: Micros) -> bool {
        self.era == Era::UNNAMED || self.age(now) >= SETTLE_PERIOD
    }

    /// Whether a change was certainly made after the last restore. Unknown for changes of earlier eras, which
    /// count as not.
    pub fn is_written_since_restore(&self, revision: CatalogueRevision) -> bool {
        revision.era() == self.era && revision.number() > self.first_number
    }

    /// Records that the source was at `at` or lower in an era known for `age`. Returns whether the era is
    /// new.
    pub fn observe(&mut self, at: CatalogueRevision, age: Micros, now: Micros) -> bool {
        let observed_at = now.since(age);
        if at.era() < self.era {
            return false;
        }
        if at.era() > self.era {
            *self = Self { era: at.era(), first_number: at.number(), observed_at };
            return true;
        }
        if self.era != Era::UNNAMED {
            self.first_number = self.first_number.min(at.number());
            self.observed_at = self.observed_at.min(observed_at);
        }
        false
    }
}
