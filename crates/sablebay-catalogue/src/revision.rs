//! Revisions that order changes of the catalogue's source.

use std::str::FromStr;

use derive_more::Display;
use musli::{Decode, Encode};

/// Number of times the source was restored from an older copy. The source reuses revision numbers after a
/// restore, so numbers are comparable only within an era.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[musli(transparent)]
pub struct Era(u64);

impl Era {
    /// Era of a source that does not report eras and is never restored from a copy.
    pub const UNNAMED: Self = Self(0);

    pub const fn new(count: u64) -> Self {
        Self(count)
    }

    /// The source's restore count, for reports.
    pub fn count(self) -> u64 {
        self.0
    }
}

impl FromStr for Era {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim().parse().map(Self)
    }
}

/// A change of the source, ordered by era and then by number. It is not comparable with a bare number:
///
/// ```compile_fail
/// let at = sablebay_catalogue::CatalogueRevision::new(sablebay_catalogue::Era::new(1), 78);
/// assert!(at < 79);
/// ```
///
/// ```
/// use sablebay_catalogue::{CatalogueRevision, Era};
/// let before = CatalogueRevision::new(Era::new(1), 78);
/// assert!(before < CatalogueRevision::new(Era::new(2), 75));
/// ```
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{era}/{number}")]
pub struct CatalogueRevision {
    era: Era,
    number: u64,
}

impl CatalogueRevision {
    /// Precedes all changes.
    pub const NOTHING: Self = Self { era: Era::UNNAMED, number: 0 };

    pub const fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    pub fn era(self) -> Era {
        self.era
    }

    /// The number that the source assigned within the era.
    pub fn number(self) -> u64 {
        self.number
    }

    /// The same number in another era: entries in a restored copy keep their numbers.
    pub fn in_era(self, era: Era) -> Self {
        Self { era, ..self }
    }
}

/// Position up to which a node knows the catalogue.
///
/// An era is settled once writers have had [`crate::SETTLE_PERIOD`] to rewrite lost entries. Until then,
/// absence of an entry at the source does not mean that it was removed.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
#[display("{era}/{number}{}", if *settled { "" } else { " unsettled" })]
pub struct CataloguePosition {
    era: Era,
    settled: bool,
    number: u64,
}

impl CataloguePosition {
    /// Nothing is known.
    pub const NOTHING: Self = Self { era: Era::UNNAMED, settled: false, number: 0 };

    /// All changes up to `revision` are known.
    pub const fn new(revision: CatalogueRevision, settled: bool) -> Self {
        Self { era: revision.era, settled, number: revision.number }
    }

    pub fn revision(self) -> CatalogueRevision {
        CatalogueRevision { era: self.era, number: self.number }
    }

    pub fn era(self) -> Era {
        self.era
    }

    pub fn stage(self) -> EraStage {
        EraStage { era: self.era, settled: self.settled }
    }

    /// Whether an entry that is absent at the source counts as removed.
    pub fn is_settled(self) -> bool {
        self.settled
    }

    /// Whether nothing is known. Sources assign numbers above 0.
    pub fn is_nothing(self) -> bool {
        self.number == 0
    }
}

/// Position of a peer that requests an update.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct PeerPosition {
    pub at: CataloguePosition,
    /// The peer's position when it learned of the source's current era.
    pub known_before: CataloguePosition,
}

impl From<CataloguePosition> for PeerPosition {
    fn from(at: CataloguePosition) -> Self {
        Self { at, known_before: CataloguePosition::NOTHING }
    }
}

/// Era part of a position, as sent to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EraStage {
    pub era: Era,
    pub settled: bool,
}

impl EraStage {
    /// Assumed for nodes of releases without eras.
    pub const UNNAMED: Self = Self { era: Era::UNNAMED, settled: true };

    pub fn at(self, number: u64) -> CataloguePosition {
        CataloguePosition { era: self.era, settled: self.settled, number }
    }
}
