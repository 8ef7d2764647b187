//! Entry of one replica and the rules by which updates replace it.

use std::cmp::Ordering;
use std::sync::Arc;

use sablebay_model::Micros;

use crate::replica::{Replica, ReplicaId};
use crate::revision::{CataloguePosition, CatalogueRevision};
use crate::source_era::SourceEra;

#[derive(Debug)]
pub(super) struct Entry {
    /// The current or last known incarnation.
    pub(super) incarnation: ReplicaId,
    /// `None` if only the removal is known.
    pub(super) replica: Option<Arc<Replica>>,
    pub(super) revision: CatalogueRevision,
    /// Whether the entry is kept from before the source's restore although the source differs or lacks it.
    pub(super) retained: bool,
    pub(super) warm_at: Micros,
    pub(super) removed_at: Option<Micros>,
}

impl Entry {
    /// An entry of which only the removal is known.
    pub(super) fn absent(incarnation: ReplicaId, now: Micros) -> Self {
        let revision = CatalogueRevision::NOTHING;
        Self {
            incarnation,
            replica: None,
            revision,
            retained: false,
            warm_at: Micros(0),
            removed_at: Some(now),
        }
    }

    pub(super) fn matches(&self, replica: &Replica) -> bool {
        self.removed_at.is_none() && self.replica.as_deref() == Some(replica)
    }

    /// Whether an announced replica replaces the entry.
    ///
    /// Within an era, revisions decide. Across eras the copy's entry may be older despite its newer era:
    /// there incarnation and sequence decide, and if these are not comparable, the update must have been
    /// written since the restore or the era be settled.
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

    /// Whether a removal, or absence from a listing, replaces the entry. `incarnation` is the removed one, if
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
        // The known entry may come from the copy, and is then older than the removal, unless its incarnation
        // is later.
        let is_later_incarnation =
            incarnation.incarnation_order(&self.incarnation) == Some(Ordering::Greater);
        !source.is_written_since_restore(self.revision)
            && incoming > self.revision.in_era(incoming.era())
            && !is_later_incarnation
    }

    /// Whether a peer at position `peer` lacks the entry as known at position `sender`. A peer that has not
    /// settled an era gets all entries of it again, as it may have retained others.
    pub(super) fn is_update_for(&self, peer: CataloguePosition, sender: CataloguePosition) -> bool {
        let settled_since = sender.is_settled() && !peer.is_settled() && self.revision.era() == peer.era();
        self.revision > peer.revision() || settled_since
    }
}
