//! Zones that an operator has emptied: nothing new goes to their replicas.
//!
//! Invariant kept here: what is known of a zone is replaced by a word of a higher revision alone, so that
//! neither a peer that lags nor a node that was cut off brings back what was overruled. Nor does a source that has come back
//! from an older copy: what was known holds until the operator has spoken since.

use std::collections::BTreeMap;

use musli::{Decode, Encode};

use sablebay_model::{Micros, ZoneName};

use crate::revision::{CatalogueRevision, Era};
use crate::source_era::SourceEra;

/// Whether the replicas of a zone get new work, as the operator said at a revision.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ZoneNotice {
    /// The zone.
    pub zone: ZoneName,
    /// Whether it is evacuated; otherwise it was taken back.
    pub evacuated: bool,
    /// The number of the revision at which that was said. Its era stands in a field of its own: nodes of an earlier release
    /// know numbers.
    number: u64,
    #[musli(default)]
    era: Era,
}

impl ZoneNotice {
    /// What was said of a zone at a revision.
    pub fn new(zone: ZoneName, evacuated: bool, revision: CatalogueRevision) -> Self {
        Self { zone, evacuated, number: revision.number(), era: revision.era() }
    }

    /// The revision at which that was said.
    pub fn revision(&self) -> CatalogueRevision {
        CatalogueRevision::new(self.era, self.number)
    }
}

#[derive(Clone, Copy, Debug)]
struct KnownNotice {
    evacuated: bool,
    revision: CatalogueRevision,
    /// The last revision at which it was said to be evacuated.
    evacuated_by: Option<CatalogueRevision>,
    /// When this node learnt that the zone was taken back; nothing while it is evacuated.
    restored_at: Option<Micros>,
}

/// What operators said of zones, by zone. A zone that was never named takes work.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Zones are few, so that what was said of each is kept for good.
    notices: BTreeMap<ZoneName, KnownNotice>,
}

impl Evacuations {
    /// Takes a notice. Returns whether the zone is evacuated now and was not, or the other way round.
    pub fn apply(&mut self, notice: &ZoneNotice, source: &SourceEra, settled: bool, now: Micros) -> bool {
        let known = self.notices.get(&notice.zone);
        if known.is_some_and(|known| !replaces(notice, known, source, settled)) {
            return false;
        }
        let was_evacuated = known.is_some_and(|known| known.evacuated);
        let before = known.and_then(|known| known.restored_at);
        let restored_at = match (was_evacuated, notice.evacuated) {
            (_, true) => None,
            (true, false) => Some(now),
            (false, false) => before,
        };
        let revision = notice.revision();
        let evacuated_by =
            if notice.evacuated { Some(revision) } else { known.and_then(|known| known.evacuated_by) };
        let next = KnownNotice { evacuated: notice.evacuated, revision, evacuated_by, restored_at };
        self.notices.insert(notice.zone.clone(), next);
        was_evacuated != notice.evacuated
    }

    /// Takes back the zones that were evacuated before revision `at`, but for those in `listed`, which were
    /// evacuated then. Those of before a return stay until the era is settled. Returns whether there was one.
    pub fn restore_unlisted(
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

    /// The zones of which more is known than the source has said in an era.
    pub fn known_before(&self, era: Era) -> usize {
        self.notices.values().filter(|known| known.revision.era() < era && known.evacuated).count()
    }

    /// Whether the replicas of a zone get nothing new.
    pub fn is_evacuated(&self, zone: &ZoneName) -> bool {
        self.notices.get(zone).is_some_and(|known| known.evacuated)
    }

    /// The zones whose replicas get nothing new.
    pub fn evacuated(&self) -> impl Iterator<Item = &ZoneName> {
        self.notices.iter().filter(|(_, known)| known.evacuated).map(|(zone, _)| zone)
    }

    /// When this node learnt that a zone was taken back, if it was.
    pub fn restored_at(&self, zone: &ZoneName) -> Option<Micros> {
        self.notices.get(zone).and_then(|known| known.restored_at)
    }

    /// Everything that was said, for a peer.
    pub fn notices(&self) -> Vec<ZoneNotice> {
        let notice = |(zone, known): (&ZoneName, &KnownNotice)| {
            ZoneNotice::new(zone.clone(), known.evacuated, known.revision)
        };
        self.notices.iter().map(notice).collect()
    }
}

/// Whether a notice takes the place of what is known.
fn replaces(notice: &ZoneNotice, known: &KnownNotice, source: &SourceEra, settled: bool) -> bool {
    let incoming = notice.revision();
    if incoming.era() == known.revision.era() {
        return incoming > known.revision;
    }
    if incoming < known.revision {
        // What is known may be the copy's: then it is older than what was said after it.
        let is_copy = !source.is_written_since_restore(known.revision);
        return is_copy && incoming > known.revision.in_era(incoming.era());
    }
    // The copy may hold a notice that was taken back since. One that was never heard of is taken for the operator's: a zone that
    // is left alone for some seconds costs less than one that is used when it is to be empty.
    let is_overruled = known.evacuated_by.is_some_and(|by| by.in_era(incoming.era()) == incoming);
    settled
        || source.is_written_since_restore(incoming)
        || (notice.evacuated && !known.evacuated && !is_overruled)
}
