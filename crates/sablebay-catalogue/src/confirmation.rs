//! Up to which moment the configuration known here is the newest: a lower bound, by the node's own clock.
//!
//! Invariant kept here: no bound is later than the true moment, however long questions and answers are on their
//! way, and over however many nodes they come. Keys that were taken away before the bound are known to be gone;
//! a bound that is too late would let requests run on them. A bound that is too early only makes a node ask again.

use musli::{Decode, Encode};

use sablebay_model::Micros;

use crate::revision::{CatalogueRevision, Era};

/// How long waits for changes at the source may hear nothing while changes are made: a source that is about to drop
/// its history stops telling of changes for so long before it ends the waits.
pub const WATCH_SILENCE: Micros = Micros::from_secs(1);

/// The bound after the source told everything, to a question asked at `asked_at`: before its first page.
pub fn bound_of_listing(asked_at: Micros) -> Micros {
    asked_at
}

/// The bound after the source answered a wait for changes that was asked for at `asked_at`.
pub fn bound_of_wait(asked_at: Micros) -> Micros {
    asked_at.since(WATCH_SILENCE)
}

/// What a peer says of its own bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PeerConfirmation {
    /// How long it had the question when it said so.
    pub held: Micros,
    /// The age of its bound at that moment.
    pub age: Micros,
}

impl PeerConfirmation {
    /// The bound after a peer said so in answer to a question of `asked_at`, which arrived at `now`.
    ///
    /// The peer spoke at the earliest at `asked_at` plus the time that it held the question, since it got the
    /// question later than it was asked.
    pub fn bound(self, asked_at: Micros, now: Micros) -> Micros {
        asked_at.plus(self.held).min(now).since(self.age)
    }
}

/// The revisions of the source at which the newest configurations lay that could be read, and could not.
///
/// They travel with what nodes know: who goes on from a revision that another node told does not see again what
/// that one could not read. The eras stand in fields of their own: nodes of an earlier release know numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationRevisions {
    read: u64,
    unreadable: u64,
    #[musli(default)]
    read_era: Era,
    #[musli(default)]
    unreadable_era: Era,
}

impl ConfigurationRevisions {
    /// Of the newest that was read, and of the newest that could not be; nothing is [`CatalogueRevision::NOTHING`].
    pub fn new(read: CatalogueRevision, unreadable: CatalogueRevision) -> Self {
        Self {
            read: read.number(),
            unreadable: unreadable.number(),
            read_era: read.era(),
            unreadable_era: unreadable.era(),
        }
    }

    /// Of the newest that was read.
    pub fn read(self) -> CatalogueRevision {
        CatalogueRevision::new(self.read_era, self.read)
    }

    /// Of the newest that could not be read.
    pub fn unreadable(self) -> CatalogueRevision {
        CatalogueRevision::new(self.unreadable_era, self.unreadable)
    }

    /// Takes what another answer said.
    pub fn merge(&mut self, other: Self) {
        *self = Self::new(self.read().max(other.read()), self.unreadable().max(other.unreadable()));
    }

    /// Whether no configuration is known to be newer than the one that was read.
    pub fn newest_is_read(self) -> bool {
        self.read() >= self.unreadable()
    }
}
