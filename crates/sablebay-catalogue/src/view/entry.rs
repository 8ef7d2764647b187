//! The entry of one replica as a node knows it, and which news of it takes its place.

use std::cmp::Ordering;
use std::sync::Arc;

use sablebay_model::Micros;

use crate::replica::{Replica, ReplicaId};
use crate::revision::{CataloguePosition, CatalogueRevision};
use crate::source_era::SourceEra;

/// What is known of the entry of one replica.
#[derive(Debug)]
pub(super) struct Entry {
    /// The life that it is or was of.
    pub(super) incarnation: ReplicaId,
    /// Nothing where it was only heard that the entry went.
    pub(super) replica: Option<Arc<Replica>>,
    pub(super) revision: CatalogueRevision,
    /// Whether the source has said something else since its return, or nothing, and this is kept by what was known before.
    pub(super) retained: bool,
    pub(super) warm_at: Micros,
    pub(super) vanished_at: Option<Micros>,
}

impl Entry {
    /// That of a replica of which nothing was heard but that it went.
    pub(super) fn absent(incarnation: ReplicaId, now: Micros) -> Self {
        let revision = CatalogueRevision::NOTHING;
        Self {
            incarnation,
            replica: None,
            revision,
            retained: false,
            warm_at: Micros(0),
            vanished_at: Some(now),
        }
    }

    /// Whether it says what a replica says.
    pub(super) fn has(&self, replica: &Replica) -> bool {
        self.vanished_at.is_none() && self.replica.as_deref() == Some(replica)
    }

    /// Whether a word of the replica takes its place.
    ///
    /// Within an era the source's numbers order them. Between eras the copy's word may be the older one under the newer era:
    /// there the replica's own count goes first, and where that does not tell, a word that was surely written since.
    pub(super) fn is_replaced_by(
        &self,
        replica: &Replica,
        incoming: CatalogueRevision,
        source: &SourceEra,
        settled: bool,
    ) -> bool {
        if incoming.era() == self.revision.era() {
            return incoming > self.revision;
        }
        let later = incoming > self.revision;
        let same_incarnation = self.incarnation == replica.id;
        let order = match &self.replica {
            Some(known) => known.version_order(replica),
            None => self.incarnation.incarnation_order(&replica.id).filter(|order| order.is_ne()),
        };
        match order {
            Some(Ordering::Greater) => {
                later || same_incarnation || !source.is_written_since_restore(self.revision)
            }
            Some(Ordering::Less) if same_incarnation => false,
            _ => later && (settled || source.is_written_since_restore(incoming)),
        }
    }

    /// Whether the word that the entry went, or is not there, takes its place. It names the life that there was, where that is
    /// known.
    pub(super) fn is_removed_by(
        &self,
        incarnation: &ReplicaId,
        incoming: CatalogueRevision,
        source: &SourceEra,
        settled: bool,
    ) -> bool {
        if incoming.era() == self.revision.era() {
            return incoming > self.revision;
        }
        if incoming > self.revision {
            return settled || source.is_written_since_restore(incoming);
        }
        // What is known may be the copy's: then it is older than what went after it. A later life is not.
        let is_later_incarnation =
            incarnation.incarnation_order(&self.incarnation) == Some(Ordering::Greater);
        !source.is_written_since_restore(self.revision)
            && incoming > self.revision.in_era(incoming.era())
            && !is_later_incarnation
    }

    /// Whether a peer that knows the catalogue up to a position has yet to hear of it from a node that is at another. To one that
    /// knew an era before it was settled all of that era is said again: it may have kept something else by what it knew before.
    pub(super) fn is_news_to(&self, peer: CataloguePosition, teller: CataloguePosition) -> bool {
        let settled_since = teller.is_settled() && !peer.is_settled() && self.revision.era() == peer.era();
        self.revision > peer.revision() || settled_since
    }
}
