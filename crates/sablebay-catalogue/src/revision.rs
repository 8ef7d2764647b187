//! What orders the words of the catalogue's source.

use std::str::FromStr;

use derive_more::Display;
use musli::{Decode, Encode};

/// How often the source has come back from an older copy of what it held. It gives the numbers that it had given since
/// that copy anew: a number orders nothing beyond its era.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[musli(transparent)]
pub struct Era(u64);

impl Era {
    /// That of a source that never says so, and never comes back from a copy.
    pub const UNNAMED: Self = Self(0);

    /// Wraps the source's count.
    pub const fn new(count: u64) -> Self {
        Self(count)
    }

    /// The source's count, for reports.
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

/// The moment of a change at the source. A bare number is none:
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
    /// Before everything that a source says.
    pub const NOTHING: Self = Self { era: Era::UNNAMED, number: 0 };

    /// The change that the source gave this number in an era.
    pub const fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// Its era.
    pub fn era(self) -> Era {
        self.era
    }

    /// The source's number of it, for the source and for messages.
    pub fn number(self) -> u64 {
        self.number
    }

    /// The change of the same number in another era: what a copy holds has the number that it had before.
    pub fn in_era(self, era: Era) -> Self {
        Self { era, ..self }
    }
}

/// Up to where a node knows the catalogue.
///
/// An era is settled once the writers have had the time to write again what was lost ([`crate::SETTLE_PERIOD`]). Until then the
/// source may say less than nodes know, and what it does not say is no word of anybody's.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
#[display("{era}/{number}{}", if *settled { "" } else { " unsettled" })]
pub struct CataloguePosition {
    era: Era,
    settled: bool,
    number: u64,
}

impl CataloguePosition {
    /// Where nothing is known.
    pub const NOTHING: Self = Self { era: Era::UNNAMED, settled: false, number: 0 };

    /// All changes up to one are known.
    pub const fn new(revision: CatalogueRevision, settled: bool) -> Self {
        Self { era: revision.era, settled, number: revision.number }
    }

    /// The last change that is known.
    pub fn revision(self) -> CatalogueRevision {
        CatalogueRevision { era: self.era, number: self.number }
    }

    /// The era of that change.
    pub fn era(self) -> Era {
        self.era
    }

    /// The stage that the era was in when everything was listed.
    pub fn stage(self) -> EraStage {
        EraStage { era: self.era, settled: self.settled }
    }

    /// Whether the source's silence is a word.
    pub fn is_settled(self) -> bool {
        self.settled
    }

    /// Whether nothing is known. Sources give numbers above 0.
    pub fn is_nothing(self) -> bool {
        self.number == 0
    }
}

/// Where a peer stands that asks for news.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct PeerPosition {
    /// Up to where it knows the catalogue.
    pub at: CataloguePosition,
    /// Up to where it knew it when it heard of the source's era.
    pub known_before: CataloguePosition,
}

impl From<CataloguePosition> for PeerPosition {
    fn from(at: CataloguePosition) -> Self {
        Self { at, known_before: CataloguePosition::NOTHING }
    }
}

/// The part of a position that is no number, as nodes tell it each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EraStage {
    /// The era.
    pub era: Era,
    /// Whether it was settled.
    pub settled: bool,
}

impl EraStage {
    /// What a node of a release that knows no eras stands for.
    pub const UNNAMED: Self = Self { era: Era::UNNAMED, settled: true };

    /// The position at a number.
    pub fn at(self, number: u64) -> CataloguePosition {
        CataloguePosition { era: self.era, settled: self.settled, number }
    }
}
