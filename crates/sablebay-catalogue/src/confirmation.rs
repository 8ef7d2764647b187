//! Lower bounds, by the node's own clock, of the time up to which the local configuration is known to be the
//! newest.
//!
//! Invariant: a bound is never later than the true time, whatever the network delays and number of hops. Keys
//! revoked before the bound are known to be revoked; a bound that is too late would accept them, one that is
//! too early only causes another read.

use musli::{Decode, Encode};

use sablebay_model::Micros;

use crate::revision::{CatalogueRevision, Era};

/// Time for which a watch on the source may miss changes: the source stops reporting changes for up to this
/// long before it drops its history and ends the watches.
pub const WATCH_SILENCE: Micros = Micros::from_secs(1);

/// Returns the bound after a full listing that was requested at `asked_at`.
pub fn bound_of_listing(asked_at: Micros) -> Micros {
    asked_at
}

/// Returns the bound after a watch that was requested at `asked_at`.
pub fn bound_of_wait(asked_at: Micros) -> Micros {
    asked_at.since(WATCH_SILENCE)
}

/// A peer's bound as reported in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PeerConfirmation {
    /// Time between receipt of the request and the response.
    pub held: Micros,
    /// Age of the peer's bound when it responded.
    pub age: Micros,
}

impl PeerConfirmation {
    /// Returns the bound derived from a response that arrived at `now` to a request sent at `asked_at`.
    ///
    /// The peer received the request no earlier than `asked_at`, so it responded no earlier than `asked_at +
    /// held`.
    pub fn bound(self, asked_at: Micros, now: Micros) -> Micros {
        asked_at.plus(self.held).min(now).since(self.age)
    }
}

/// Source revisions of the newest readable and the newest unreadable configuration.
///
/// Nodes pass these on with the catalogue: a node that continues from a peer's revision does not see earlier
/// changes that the peer could not read. Eras are separate fields for compatibility with releases that only
/// know numbers.
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
    /// [`CatalogueRevision::NOTHING`] stands for no such configuration.
    pub fn new(read: CatalogueRevision, unreadable: CatalogueRevision) -> Self {
        Self {
            read: read.number(),
            unreadable: unreadable.number(),
            read_era: read.era(),
            unreadable_era: unreadable.era(),
        }
    }

    pub fn read(self) -> CatalogueRevision {
        CatalogueRevision::new(self.read_era, self.read)
    }

    pub fn unreadable(self) -> CatalogueRevision {
        CatalogueRevision::new(self.unreadable_era, self.unreadable)
    }

    /// Keeps the later of each revision.
    pub fn merge(&mut self, other: Self) {
        *self = Self::new(self.read().max(other.read()), self.unreadable().max(other.unreadable()));
    }

    /// Whether no unreadable configuration is newer than the one that was read.
    pub fn newest_is_read(self) -> bool {
        self.read() >= self.unreadable()
    }
}
