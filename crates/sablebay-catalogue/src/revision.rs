//! What orders the words of the catalogue's source.

use std::str::FromStr;

use derive_more::Display;
use musli::{Decode, Encode};

/// How often the source has come back from an older copy of what it held. It gives the revisions that it had given since
/// that copy anew: a revision means something within one era alone.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[musli(transparent)]
pub struct Era(u64);

impl Era {
    /// That of a source that never says so.
    pub const UNNAMED: Self = Self(0);

    /// Wraps the source's count.
    pub fn new(count: u64) -> Self {
        Self(count)
    }
}

impl FromStr for Era {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim().parse().map(Self)
    }
}
