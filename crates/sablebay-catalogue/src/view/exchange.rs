//! What nodes tell each other of the catalogue.

use std::collections::HashSet;

use sablebay_model::{Micros, ZoneName};

use super::{CATCH_UP_TIMEOUT, CatalogueView, CatchUp, Gap};
use crate::revision::{CataloguePosition, CatalogueRevision, PeerPosition};
use crate::snapshot::CatalogueSnapshot;

impl CatalogueView {
    /// Where this node stands, for a peer that it asks.
    pub fn position(&self) -> PeerPosition {
        PeerPosition { at: self.replicas_at, known_before: self.known_before }
    }

    /// Notes that the node starts, and that others may know more than the source says.
    pub fn begin_catch_up(&mut self, now: Micros) {
        self.catch_up = Some(CatchUp { from: self.replicas_at, since: now });
    }

    /// Notes that no peer knows more than this node does.
    pub fn end_catch_up(&mut self) {
        self.catch_up = None;
    }

    /// Whether the node knows what the fleet knew before it started, or has waited for a peer that does for long enough.
    pub fn has_caught_up(&self, now: Micros) -> bool {
        self.catch_up.is_none_or(|catch_up| now.since(catch_up.since) >= CATCH_UP_TIMEOUT)
    }

    /// From where on a peer that has learnt is to tell what it knows; nothing where that is no matter.
    pub fn catch_up_from(&self, now: Micros) -> Option<CataloguePosition> {
        self.catch_up.filter(|_| !self.has_caught_up(now)).map(|catch_up| catch_up.from)
    }

    /// Whether a peer that has a version, and knows the replicas up to a position, is missing something.
    pub fn is_newer_than(&self, version: u64, replicas_at: CataloguePosition) -> bool {
        self.version() > version || self.replicas_at > replicas_at
    }

    /// Whether a peer is told of all replicas: the catalogue's vanished entries may be forgotten here since, or never have been
    /// known.
    pub fn lists_all_replicas(&self, peer: PeerPosition) -> bool {
        self.replicas_at > peer.at && self.needs_full_listing(peer)
    }

    fn needs_full_listing(&self, peer: PeerPosition) -> bool {
        peer.at.is_nothing() || self.has_missed(peer.at) || self.settles_more_than_known(peer)
    }

    /// Whether something may have come and gone since a position of which nothing is known here, or no more.
    fn has_missed(&self, position: CataloguePosition) -> bool {
        let known = position.revision();
        let is_within = |gap: &Gap| gap.after < position && known < gap.until;
        known < self.forgotten_up_to || self.gaps.iter().any(is_within)
    }

    /// Whether a peer may keep what this node never knew, by what it knew before the source's return, and is to hear now that
    /// it is gone.
    fn settles_more_than_known(&self, peer: PeerPosition) -> bool {
        let settles = self.replicas_at.is_settled() && !peer.at.is_settled();
        settles && (peer.known_before > self.known_before || self.has_missed(peer.known_before))
    }

    /// The number of replicas that are known, those that went lately among them.
    pub fn known_replicas(&self) -> usize {
        self.entries.len()
    }

    /// The whole configuration, and the replicas that a peer is missing.
    pub fn snapshot(&self, version: u64, peer: impl Into<PeerPosition>, now: Micros) -> CatalogueSnapshot {
        let routes = self.routes().filter(|routes| routes.version() > version);
        let configuration = routes.map(|routes| routes.configuration().clone());
        CatalogueSnapshot { configuration, ..self.replica_update(peer.into(), now) }
    }

    /// What a peer is missing of the replicas. One that knew the catalogue at a moment
    /// whose vanished entries are forgotten here is told everything.
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
        for entry in self.entries.values().filter(|entry| full || entry.is_news_to(peer.at, self.replicas_at))
        {
            match (&entry.replica, entry.vanished_at) {
                (Some(replica), None) => snapshot.push_replica(replica, entry.revision),
                _ => snapshot.push_removed(entry.incarnation.clone(), entry.revision),
            }
        }
        snapshot
    }

    /// Takes what a peer knows. Returns whether it changed anything.
    ///
    /// A peer's list stands for the position that it is at; an older one than this node's says nothing new and is left, but
    /// while this node is to learn what the source has lost. One that does not tell of zones is left as well: this node would
    /// not ask for them any more.
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
            // What the peer keeps by what it knew before is kept here from now on.
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
            // The peer may never have heard of a zone that was taken back before it started. Until the era is settled it may not
            // have heard of one that is evacuated either.
            let named = |zone: &ZoneName| zones.iter().any(|notice| notice.evacuated && notice.zone == *zone);
            changed |=
                self.evacuations.restore_unlisted(named, peer_position.revision(), &self.source, true, now);
        }
        // A peer that knows less may bring back what went so long ago that it is forgotten here; unless this node is itself to
        // learn what was before.
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
        // What the peer says of this node's own era is old, where it knows less.
        let (known, knows_less) = (self.replicas_at.revision(), peer_position <= self.replicas_at);
        let is_old =
            |revision: CatalogueRevision| knows_less && revision.era() == known.era() && revision <= known;
        let mut gone = HashSet::new();
        for (id, revision) in snapshot.take_removed() {
            gone.insert(id.without_incarnation());
            changed |= self.vanish(&id, revision, settled, now);
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
