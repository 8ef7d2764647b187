//! Zones that an operator has emptied: nothing new goes to their replicas.
//!
//! Invariant kept here: what is known of a zone is replaced by a word of a higher revision alone, so that
//! neither a peer that lags nor a node that was cut off brings back what was overruled.

use std::collections::BTreeMap;

use musli::{Decode, Encode};

use sablebay_model::{Micros, ZoneName};

/// Whether the replicas of a zone get new work, as the operator said at a revision.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ZoneNotice {
    /// The zone.
    pub zone: ZoneName,
    /// Whether it is evacuated; otherwise it was taken back.
    pub evacuated: bool,
    /// The revision at which that was said.
    pub revision: u64,
}

#[derive(Clone, Copy, Debug)]
struct KnownNotice {
    evacuated: bool,
    revision: u64,
    /// When this node learnt that the zone was taken back; nothing while it is evacuated.
    taken_back_at: Option<Micros>,
}

/// What operators said of zones, by zone. A zone that was never named takes work.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Zones are few, so that what was said of each is kept for good.
    notices: BTreeMap<ZoneName, KnownNotice>,
}

impl Evacuations {
    /// Takes a notice. Returns whether the zone is evacuated now and was not, or the other way round.
    pub fn apply(&mut self, notice: &ZoneNotice, now: Micros) -> bool {
        let known = self.notices.get(&notice.zone);
        if known.is_some_and(|known| known.revision >= notice.revision) {
            return false;
        }
        let was_evacuated = known.is_some_and(|known| known.evacuated);
        let before = known.and_then(|known| known.taken_back_at);
        let taken_back_at = match (was_evacuated, notice.evacuated) {
            (_, true) => None,
            (true, false) => Some(now),
            (false, false) => before,
        };
        let next = KnownNotice { evacuated: notice.evacuated, revision: notice.revision, taken_back_at };
        self.notices.insert(notice.zone.clone(), next);
        was_evacuated != notice.evacuated
    }

    /// Takes back the zones that were evacuated before revision `at`, but for those in `listed`, which were
    /// evacuated then. Returns whether there was one.
    pub fn take_back_others(&mut self, listed: impl Fn(&ZoneName) -> bool, at: u64, now: Micros) -> bool {
        let overruled = |(zone, known): &(&ZoneName, &KnownNotice)| {
            known.evacuated && known.revision < at && !listed(zone)
        };
        let zones: Vec<ZoneName> =
            self.notices.iter().filter(overruled).map(|(zone, _)| zone.clone()).collect();
        let taken_back = !zones.is_empty();
        for zone in zones {
            self.apply(&ZoneNotice { zone, evacuated: false, revision: at }, now);
        }
        taken_back
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
    pub fn taken_back_at(&self, zone: &ZoneName) -> Option<Micros> {
        self.notices.get(zone).and_then(|known| known.taken_back_at)
    }

    /// Everything that was said, for a peer.
    pub fn notices(&self) -> Vec<ZoneNotice> {
        let notice = |(zone, known): (&ZoneName, &KnownNotice)| ZoneNotice {
            zone: zone.clone(),
            evacuated: known.evacuated,
            revision: known.revision,
        };
        self.notices.iter().map(notice).collect()
    }
}
