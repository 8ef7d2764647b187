//! What a node knows of the source's last return from an older copy.
//!
//! The source then says less than it had acknowledged, until whoever wrote since the copy has written again. What an item says
//! in that time may be the copy's or its writer's: numbers above the first that was heard of in the era are certainly its
//! writer's.

use sablebay_model::Micros;

use crate::revision::{CatalogueRevision, Era};

/// How long after a return writers have written again: three heartbeats of 1.2 s, after which the entry of a replica that does
/// not write is gone as well, and 0.4 s on the way. Until then nothing is taken for gone because the source does not
/// have it.
pub const SETTLE_PERIOD: Micros = Micros::from_millis(4_000);

/// The era that the source is in, as far as a node knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct SourceEra {
    era: Era,
    /// The lowest number that was heard of in it; 0 in the first era, in which nothing is a copy's.
    first_number: u64,
    /// When anybody was first heard to have been told of it, by the node's clock.
    observed_at: Micros,
}

impl SourceEra {
    /// The era.
    pub fn era(&self) -> Era {
        self.era
    }

    /// The lowest number that was heard of in it.
    pub fn first_number(&self) -> u64 {
        self.first_number
    }

    /// How long it has been known.
    pub fn age(&self, now: Micros) -> Micros {
        now.since(self.observed_at)
    }

    /// Whether writers have had the time to write again.
    pub fn is_settled(&self, now: Micros) -> bool {
        self.era == Era::UNNAMED || self.age(now) >= SETTLE_PERIOD
    }

    /// Whether a change was surely made after the last return. Of one of an earlier era nobody can tell: its writer may have
    /// made it then, or in the era before.
    pub fn is_written_since_restore(&self, revision: CatalogueRevision) -> bool {
        revision.era() == self.era && revision.number() > self.first_number
    }

    /// Hears that the source was at a number, or at a lower one, of an era that has been known for `age`. Returns whether the
    /// era is a new one.
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
