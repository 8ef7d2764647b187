//! Zones that an operator has evacuated: their replicas receive no new requests.
//!
//! Invariant: the state of a zone is replaced only by a higher revision, so lagging or partitioned peers
//! cannot revert it. After the source was restored from an older copy, the known state holds until the
//! operator writes again or the era is settled.

use std::collections::BTreeMap;

use musli::{Decode, Encode};

use sablebay_model::{Micros, ZoneName};

use crate::revision::{CatalogueRevision, Era};
use crate::source_era::SourceEra;

/// An operator's evacuation setting for a zone.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ZoneNotice {
    pub zone: ZoneName,
    /// `false` if the evacuation was lifted.
    pub evacuated: bool,
    /// Revision number of the setting. The era is a separate field for compatibility with releases that only
    /// know numbers.
    number: u64,
    #[musli(default)]
    era: Era,
}

impl ZoneNotice {
    pub fn new(zone: ZoneName, evacuated: bool, revision: CatalogueRevision) -> Self {
        Self { zone, evacuated, number: revision.number(), era: revision.era() }
    }

    pub fn revision(&self) -> CatalogueRevision {
        CatalogueRevision::new(self.era, self.number)
    }
}

#[derive(Clone, Copy, Debug)]
struct KnownNotice {
    evacuated: bool,
    revision: CatalogueRevision,
    /// Latest revision at which the zone was evacuated.
    evacuated_by: Option<CatalogueRevision>,
    /// When this node learned that the evacuation was lifted; `None` while evacuated.
    lifted_at: Option<Micros>,
}

/// Evacuation state by zone. Zones without an entry accept requests.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Never expires, as zones are few.
    notices: BTreeMap<ZoneName, KnownNotice>,
}

impl Evacuations {
    /// Returns whether the evacuation state of the zone changed.
    pub fn apply(&mut self, notice: &ZoneNotice, source: &SourceEra, settled: bool, now: Micros) -> bool {
        let known = self.notices.get(&notice.zone);
        if known.is_some_and(|known| !replaces(notice, known, source, settled)) {
            return false;
        }
        let was_evacuated = known.is_some_and(|known| known.evacuated);
        let before = known.and_then(|known| known.lifted_at);
        let lifted_at = match (was_evacuated, notice.evacuated) {
            (_, true) => None,
            (true, false) => Some(now),
            (false, false) => before,
        };
        let revision = notice.revision();
        let evacuated_by =
            if notice.evacuated { Some(revision) } else { known.and_then(|known| known.evacuated_by) };
        let next = KnownNotice { evacuated: notice.evacuated, revision, evacuated_by, lifted_at };
        self.notices.insert(notice.zone.clone(), next);
        was_evacuated != notice.evacuated
    }

    /// Lifts evacuations older than revision `at` of all zones not in `listed`; those from an earlier era
    /// only if `settled`. Returns whether any was lifted.
    pub fn lift_unlisted(
        &mut self,
        listed: impl Fn(&ZoneName) -> bool,
        at: CatalogueRevision,
        source: &SourceEra,
        settled: bool,
        now: Micros,
    ) -> bool {
        let overruled = |(zone, known): &(&ZoneName, &KnownNotice)| {
            let of_this_era = known.revision.era() == at.era();
            known.evacuated && known.revision < at && (of_this_era || settled) && !listed(zone)
        };
        let zones: Vec<ZoneName> =
            self.notices.iter().filter(overruled).map(|(zone, _)| zone.clone()).collect();
        let taken_back = !zones.is_empty();
        for zone in zones {
            self.apply(&ZoneNotice::new(zone, false, at), source, settled, now);
        }
        taken_back
    }

    /// Number of evacuated zones whose state dates from before `era`.
    pub fn known_before(&self, era: Era) -> usize {
        self.notices.values().filter(|known| known.revision.era() < era && known.evacuated).count()
    }

    pub fn is_evacuated(&self, zone: &ZoneName) -> bool {
        self.notices.get(zone).is_some_and(|known| known.evacuated)
    }

    pub fn evacuated(&self) -> impl Iterator<Item = &ZoneName> {
        self.notices.iter().filter(|(_, known)| known.evacuated).map(|(zone, _)| zone)
    }

    /// When this node learned that the evacuation of a zone was lifted.
    pub fn lifted_at(&self, zone: &ZoneName) -> Option<Micros> {
        self.notices.get(zone).and_then(|known| known.lifted_at)
    }

    /// All known settings, for a peer.
    pub fn notices(&self) -> Vec<ZoneNotice> {
        let notice = |(zone, known): (&ZoneName, &KnownNotice)| {
            ZoneNotice::new(zone.clone(), known.evacuated, known.revision)
        };
        self.notices.iter().map(notice).collect()
    }
}

/// Whether `notice` supersedes the known state.
fn replaces(notice: &ZoneNotice, known: &KnownNotice, source: &SourceEra, settled: bool) -> bool {
    let incoming = notice.revision();
    if incoming.era() == known.revision.era() {
        return incoming > known.revision;
    }
    if incoming < known.revision {
        // The known state may come from the restored copy, and is then older than a later write of the
        // previous era.
        let is_copy = !source.is_written_since_restore(known.revision);
        return is_copy && incoming > known.revision.in_era(incoming.era());
    }
    // The copy may hold an evacuation that has been lifted since. One that this node has never seen is
    // assumed valid: avoiding a zone for a few seconds is cheaper than using an evacuated one.
    let is_overruled = known.evacuated_by.is_some_and(|by| by.in_era(incoming.era()) == incoming);
    settled
        || source.is_written_since_restore(incoming)
        || (notice.evacuated && !known.evacuated && !is_overruled)
}
