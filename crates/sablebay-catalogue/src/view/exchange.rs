//! Exchange of catalogue updates between nodes.

use std::collections::HashSet;

use sablebay_model::{Micros, ZoneName};

use super::{CATCH_UP_TIMEOUT, CatalogueView, CatchUp, Gap};
use crate::revision::{CataloguePosition, CatalogueRevision, PeerPosition};
use crate::snapshot::CatalogueSnapshot;

impl CatalogueView {
    pub fn position(&self) -> PeerPosition {
        PeerPosition { at: self.replicas_at, known_before: self.known_before }
    }

    /// Records that peers may know more than the source.
    pub fn begin_catch_up(&mut self, now: Micros) {
        self.catch_up = Some(CatchUp { from: self.replicas_at, since: now });
    }

    /// Records that no peer knows more than this node.
    pub fn end_catch_up(&mut self) {
        self.catch_up = None;
    }

    /// Whether the node has caught up or [`CATCH_UP_TIMEOUT`] has passed.
    pub fn has_caught_up(&self, now: Micros) -> bool {
        self.catch_up.is_none_or(|catch_up| now.since(catch_up.since) >= CATCH_UP_TIMEOUT)
    }

    /// The position from which a caught-up peer should send updates, while this node is catching up.
    pub fn catch_up_from(&self, now: Micros) -> Option<CataloguePosition> {
        self.catch_up.filter(|_| !self.has_caught_up(now)).map(|catch_up| catch_up.from)
    }

    /// Whether a peer at this version and position lacks anything.
    pub fn is_newer_than(&self, version: u64, replicas_at: CataloguePosition) -> bool {
        self.version() > version || self.replicas_at > replicas_at
    }

    /// Whether a peer gets the full list of replicas because removals since its position may be unknown here.
    pub fn lists_all_replicas(&self, peer: PeerPosition) -> bool {
        self.replicas_at > peer.at && self.needs_full_listing(peer)
    }

    fn needs_full_listing(&self, peer: PeerPosition) -> bool {
        peer.at.is_nothing() || self.has_missed(peer.at) || self.settles_more_than_known(peer)
    }

    /// Whether removals since `position` may be unknown here.
    fn has_missed(&self, position: CataloguePosition) -> bool {
        let known = position.revision();
        let is_within = |gap: &Gap| gap.after < position && known < gap.until;
        known < self.forgotten_up_to || self.gaps.iter().any(is_within)
    }

    /// Whether a peer may retain entries from before the source's restore that this node never knew and that
    /// are removed when the era settles.
    fn settles_more_than_known(&self, peer: PeerPosition) -> bool {
        let settles = self.replicas_at.is_settled() && !peer.at.is_settled();
        settles && (peer.known_before > self.known_before || self.has_missed(peer.known_before))
    }

    /// Number of known replicas, including tombstones.
    pub fn known_replicas(&self) -> usize {
        self.entries.len()
    }

    /// The full configuration and the replica updates that a peer lacks.
    pub fn snapshot(&self, version: u64, peer: impl Into<PeerPosition>, now: Micros) -> CatalogueSnapshot {
        let routes = self.routes().filter(|routes| routes.version() > version);
        let configuration = routes.map(|routes| routes.configuration().clone());
        CatalogueSnapshot { configuration, ..self.replica_update(peer.into(), now) }
    }

    /// The replica updates that a peer lacks, or the full list if removals since its position may be unknown
    /// here.
    pub fn replica_update(&self, peer: PeerPosition, now: Micros) -> CatalogueSnapshot {
        let full = self.needs_full_listing(peer);
        let mut snapshot = CatalogueSnapshot {
            full,
            zones: Some(self.evacuations.notices()),
            revisions: self.revisions,
            first_number: self.source.first_number(),
            era_age: Some(self.source.age(now)),
            caught_up: self.has_caught_up(now),
            known_before: self.known_before,
            ..CatalogueSnapshot::at(self.replicas_at)
        };
        if self.replicas_at <= peer.at {
            return snapshot;
        }
        for entry in
            self.entries.values().filter(|entry| full || entry.is_update_for(peer.at, self.replicas_at))
        {
            match (&entry.replica, entry.removed_at) {
                (Some(replica), None) => snapshot.push_replica(replica, entry.revision),
                _ => snapshot.push_removed(entry.incarnation.clone(), entry.revision),
            }
        }
        snapshot
    }

    /// Merges a peer's snapshot. Returns whether the view changed.
    ///
    /// Replica lists older than the local position are ignored unless this node is catching up. Those without
    /// evacuation settings are ignored too, since this node would not request the settings again.
    pub fn merge(&mut self, mut snapshot: CatalogueSnapshot, now: Micros) -> bool {
        self.revisions.merge(snapshot.revisions);
        if let Some(version) = snapshot.version().max(snapshot.offer.map(|offer| offer.version)) {
            self.note_version(version, now);
        }
        let mut changed = self.configuration.take_steps(std::mem::take(&mut snapshot.steps));
        if let Some(configuration) = snapshot.configuration.take() {
            changed |= self.configuration.take_full(configuration);
        }
        let Some(zones) = snapshot.zones.take() else {
            return changed;
        };
        let peer_position = snapshot.replicas_at();
        let first = CatalogueRevision::new(peer_position.era(), snapshot.first_number);
        self.observe_source(first, snapshot.era_age.unwrap_or_default(), now);
        if !peer_position.is_settled() {
            // Entries that the peer retains may be retained here from now on.
            self.known_before = self.known_before.max(snapshot.known_before);
        }
        let settles = peer_position.is_settled() && !self.replicas_at.is_settled();
        for notice in &zones {
            changed |= match settles {
                true => self.evacuations.apply(notice, &self.source, true, now),
                false => self.take_notice(notice, peer_position.is_settled(), now),
            };
        }
        if peer_position > self.replicas_at && peer_position.is_settled() {
            // Evacuations missing at a settled peer were lifted. Before the era is settled, the peer may not
            // have received them yet.
            let named = |zone: &ZoneName| zones.iter().any(|notice| notice.evacuated && notice.zone == *zone);
            changed |=
                self.evacuations.lift_unlisted(named, peer_position.revision(), &self.source, true, now);
        }
        // A peer that is behind may hold entries whose tombstones have expired here, so its list counts only
        // during catch-up.
        let knows_more = peer_position > self.replicas_at || self.catch_up.is_some();
        if snapshot.caught_up {
            self.catch_up = None;
        }
        (knows_more && self.merge_replicas(snapshot, now)) || changed
    }

    fn merge_replicas(&mut self, mut snapshot: CatalogueSnapshot, now: Micros) -> bool {
        let peer_position = snapshot.replicas_at();
        let settled = peer_position.is_settled();
        let mut changed = false;
        // Entries of the current era from a peer that is behind are outdated.
        let (known, knows_less) = (self.replicas_at.revision(), peer_position <= self.replicas_at);
        let is_old =
            |revision: CatalogueRevision| knows_less && revision.era() == known.era() && revision <= known;
        let mut gone = HashSet::new();
        for (id, revision) in snapshot.take_removed() {
            gone.insert(id.without_incarnation());
            changed |= self.remove(&id, revision, settled, now);
        }
        let replicas = snapshot.take_replicas();
        if snapshot.full && peer_position > self.replicas_at {
            self.skip_to(peer_position.revision());
            changed |= self.replace_replicas(peer_position.revision(), replicas, gone, settled, now);
        } else {
            for (replica, revision) in replicas {
                changed |= !is_old(revision) && self.write(replica, revision, settled, now);
            }
        }
        self.advance_to(peer_position);
        changed
    }
}
