//! A node's view of the catalogue and how updates are merged.
//!
//! Invariants:
//! - a configuration is replaced only by one of a higher version;
//! - an entry is replaced only by one of a higher revision, so updates may arrive in any order and from
//!   several sources;
//! - replicas of an evacuated zone get no new requests: [`CatalogueView::routable`] excludes them;
//! - a replica that is draining, or whose entry has been absent for [`ABSENCE_GRACE_PERIOD`], gets no new
//!   requests. Before that, an absent replica is a last resort, since entries also disappear while the source
//!   is in trouble;
//! - a source restored from an older copy reverts nothing: known state holds until its writer has written
//!   again or has had time to ([`crate::SETTLE_PERIOD`]).

mod entry;
mod exchange;

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use sablebay_model::{Micros, ZoneName};

use crate::configuration::RoutingConfiguration;
use crate::confirmation::ConfigurationRevisions;
use crate::evacuation::{Evacuations, ZoneNotice};
use crate::incoming_configuration::IncomingConfiguration;
use crate::known_configuration::{ConfigurationUpdate, KnownConfiguration};
use crate::replica::{Replica, ReplicaId, ReplicaPhase, ServiceName};
use crate::revision::{CataloguePosition, CatalogueRevision, Era};
use crate::route_table::RouteTable;
use crate::source_era::SourceEra;

use entry::Entry;

/// Time for which a replica whose entry is absent remains a last resort.
const ABSENCE_GRACE_PERIOD: Micros = Micros::from_millis(1_600);
/// Warm-up time of replicas after the end of an evacuation if their service does not specify one.
const ASSUMED_WARM_UP: Micros = Micros::from_secs(3);
/// Time that a node waits for a peer from which to catch up. Covers peer discovery and unresponsive peers.
/// A node finds its first peer 0.1 s after its start; each of two peers that are gone without a sign costs 0.35 s.
const CATCH_UP_TIMEOUT: Micros = Micros::from_millis(1_000);
/// Maximum number of gaps that are tracked.
/// Listings are seconds apart at least, and a peer lags by less.
const MAXIMUM_GAPS: usize = 4;
/// Time for which a removed entry's revision is kept, to reject older updates.
const TOMBSTONE_LIFETIME: Micros = Micros::from_secs(60);

#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaChange {
    /// The entry was written.
    Written(Replica),
    /// The entry was removed or is invalid, whichever the incarnation.
    Removed(ReplicaId),
}

/// A full listing of the source.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// Revision at which the listing was started.
    pub at: CatalogueRevision,
    /// Replicas with the revisions of their entries.
    pub replicas: Vec<(Replica, CatalogueRevision)>,
    /// Evacuated zones with the revisions of their evacuation.
    pub evacuated: Vec<(ZoneName, CatalogueRevision)>,
}

/// A replica that may receive new requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutableReplica {
    pub replica: Arc<Replica>,
    /// Whether to use the replica only if no others are available.
    pub last_resort: bool,
    /// Whether this node keeps no connections to the replica because of its connection limit, and uses it
    /// only if others fail. Set when connections are allocated.
    pub beyond_share: bool,
    /// When the replica has warmed up after its start or the end of an evacuation.
    pub warm_at: Micros,
    /// Maximum requests per second from this node until `warm_at`; `None` if unlimited. Set when connections
    /// are allocated.
    pub cold_calls_per_s: Option<u32>,
}

/// A range of changes that were not received individually, only as part of a full listing.
#[derive(Clone, Copy, Debug)]
struct Gap {
    after: CataloguePosition,
    until: CatalogueRevision,
}

/// Catch-up with what the fleet knew before this node started or before the source's last restore.
#[derive(Clone, Copy, Debug)]
struct CatchUp {
    /// Position of the node when it started to catch up.
    from: CataloguePosition,
    since: Micros,
}

#[derive(Debug, Default)]
pub struct CatalogueView {
    configuration: KnownConfiguration,
    /// By replica name: a new incarnation replaces the previous one.
    entries: HashMap<ReplicaId, Entry>,
    replicas_at: CataloguePosition,
    /// Highest revision of the expired tombstones.
    forgotten_up_to: CatalogueRevision,
    /// The most recent gaps; replicas may have been added and removed within them.
    gaps: VecDeque<Gap>,
    source: SourceEra,
    /// Position up to which all changes before the source's era were received.
    received_before: CataloguePosition,
    /// Latest position before the source's era of this node or its peers; retained entries may date from
    /// there.
    known_before: CataloguePosition,
    catch_up: Option<CatchUp>,
    evacuations: Evacuations,
    revisions: ConfigurationRevisions,
    /// Fault injection for the soak test: routes to draining replicas.
    keeps_leaving: bool,
    /// Fault injection for the soak test: routes to replicas of evacuated zones.
    keeps_evacuated: bool,
    /// Fault injection for the soak test: treats every era as settled.
    settles_at_once: bool,
}

impl CatalogueView {
    pub fn routes(&self) -> Option<&Arc<RouteTable>> {
        self.configuration.routes()
    }

    /// Position up to which replicas and zones are known.
    pub fn replicas_at(&self) -> CataloguePosition {
        self.replicas_at
    }

    pub fn source(&self) -> &SourceEra {
        &self.source
    }

    /// Number of replicas and evacuated zones known from before the source's restore that the source has not
    /// confirmed; 0 once its era is settled.
    pub fn retained(&self) -> usize {
        if self.replicas_at.is_settled() || self.known_before.is_nothing() {
            return 0;
        }
        let kept = |entry: &&Entry| entry.retained;
        self.entries.values().filter(kept).count() + self.evacuations.known_before(self.source.era())
    }

    /// Whether a full listing is due because the era has settled: entries missing from it are then removed.
    pub fn must_settle(&self, now: Micros) -> bool {
        !self.replicas_at.is_nothing() && !self.replicas_at.is_settled() && self.is_era_settled(now)
    }

    /// Records that the source is at a revision of an era that was known for `age`.
    fn observe_source(&mut self, at: CatalogueRevision, age: Micros, now: Micros) {
        if self.source.observe(at, age, now) {
            self.received_before = self.replicas_at;
            // Entries retained from before an era that never settled remain retained.
            if self.replicas_at.is_settled() || self.known_before.is_nothing() {
                self.known_before = self.replicas_at;
            }
            let kept = |entry: &mut Entry| entry.retained = false;
            self.entries.values_mut().for_each(kept);
        }
    }

    /// Fault injection for the soak test: routes to draining replicas.
    pub fn keep_leaving(&mut self) {
        self.keeps_leaving = true;
    }

    /// Fault injection for the soak test: routes to replicas of evacuated zones.
    pub fn keep_evacuated(&mut self) {
        self.keeps_evacuated = true;
    }

    /// Fault injection for the soak test: treats every era as settled.
    pub fn settle_at_once(&mut self) {
        self.settles_at_once = true;
    }

    fn is_era_settled(&self, now: Micros) -> bool {
        self.settles_at_once || self.source.is_settled(now)
    }

    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Applies an evacuation setting. Returns whether the zone's state changed. Settings up to the known
    /// position are ignored: they were received or superseded.
    pub fn apply_notice(&mut self, notice: &ZoneNotice, now: Micros) -> bool {
        self.take_notice(notice, self.replicas_at.is_settled(), now)
    }

    fn take_notice(&mut self, notice: &ZoneNotice, settled: bool, now: Micros) -> bool {
        // Changes at the start of a new era were not received in order.
        let received_up_to =
            if self.replicas_at.is_settled() || notice.revision().era() == self.replicas_at.era() {
                self.replicas_at
            } else {
                self.received_before
            };
        notice.revision() > received_up_to.revision()
            && self.evacuations.apply(notice, &self.source, settled, now)
    }

    pub fn is_evacuated(&self, zone: &ZoneName) -> bool {
        !self.keeps_evacuated && self.evacuations.is_evacuated(zone)
    }

    /// The version of the configuration in force; 0 if none.
    pub fn version(&self) -> u64 {
        self.configuration.version()
    }

    pub fn incoming(&self) -> &IncomingConfiguration {
        self.configuration.incoming()
    }

    pub fn incoming_mut(&mut self) -> &mut IncomingConfiguration {
        self.configuration.incoming_mut()
    }

    /// Records that a node has `version`.
    pub fn note_version(&mut self, version: u64, now: Micros) {
        self.configuration.note_version(version, now);
    }

    /// Applies a configuration if it is newer. Returns whether it was.
    pub fn offer_configuration(&mut self, configuration: RoutingConfiguration) -> bool {
        self.configuration.offer(vec![configuration])
    }

    /// Applies the newest of `configurations`. Returns whether the configuration changed.
    pub fn offer_configurations(&mut self, configurations: Vec<RoutingConfiguration>) -> bool {
        self.configuration.offer(configurations)
    }

    /// Returns what a peer at `version` lacks of the configuration.
    pub fn configuration_update(&self, version: u64) -> ConfigurationUpdate {
        self.configuration.update_since(version)
    }

    /// Merges the revisions of readable and unreadable configurations.
    pub fn note_revisions(&mut self, revisions: ConfigurationRevisions) {
        self.revisions.merge(revisions);
    }

    /// Whether the source can confirm that the configuration is the newest. False until the era is settled or
    /// the operator has written in it, as a restored copy may hold keys revoked since.
    pub fn source_confirms(&self) -> bool {
        let read = self.revisions.read();
        let written = read.era() == self.source.era() && self.source.is_written_since_restore(read);
        (self.replicas_at.is_settled() || written) && self.incoming().announced().is_none()
    }

    /// Whether no unreadable configuration is newer than the one that was read.
    pub fn has_newest_configuration(&self) -> bool {
        self.revisions.newest_is_read()
    }

    /// Applies a change of one replica. Returns whether the view changed.
    pub fn apply(&mut self, change: ReplicaChange, revision: CatalogueRevision, now: Micros) -> bool {
        let settled = self.replicas_at.is_settled();
        match change {
            ReplicaChange::Written(replica) => self.write(replica, revision, settled, now),
            ReplicaChange::Removed(id) => self.remove(&id, revision, settled, now),
        }
    }

    /// Records that all changes up to `revision` were applied. The revision is of the known position's era,
    /// or of the first era.
    pub fn advance(&mut self, revision: CatalogueRevision) {
        let known = self.replicas_at;
        let settled = if known.is_nothing() { revision.era() == Era::UNNAMED } else { known.is_settled() };
        self.advance_to(CataloguePosition::new(revision, settled));
    }

    fn advance_to(&mut self, position: CataloguePosition) {
        self.replicas_at = self.replicas_at.max(position);
    }

    /// Applies a full listing. Older replicas and evacuations that it lacks are removed; after a restore of
    /// the source, only once the era is settled. Returns whether the view changed.
    pub fn replace(&mut self, listing: Listing, now: Micros) -> bool {
        let restored = !self.replicas_at.is_nothing() && listing.at.era() > self.replicas_at.era();
        if restored && self.catch_up.is_none() {
            self.begin_catch_up(now);
        }
        if listing.at.era() == Era::UNNAMED {
            // A source without eras is never restored from a copy, so its listing is complete.
            self.end_catch_up();
        }
        self.observe_source(listing.at, Micros(0), now);
        let settled = self.is_era_settled(now);
        self.skip_to(listing.at);
        let mut changed = self.replace_zones(&listing, settled, now);
        changed |= self.replace_replicas(listing.at, listing.replicas, HashSet::new(), settled, now);
        self.advance_to(CataloguePosition::new(listing.at, settled));
        changed
    }

    /// Advances to a revision without the individual changes before it.
    fn skip_to(&mut self, until: CatalogueRevision) {
        if until <= self.replicas_at.revision() {
            return;
        }
        self.gaps.push_back(Gap { after: self.replicas_at, until });
        if self.gaps.len() > MAXIMUM_GAPS
            && let Some(oldest) = self.gaps.pop_front()
        {
            self.forgotten_up_to = self.forgotten_up_to.max(oldest.until);
        }
    }

    fn replace_zones(&mut self, listing: &Listing, settled: bool, now: Micros) -> bool {
        // A listing that settles the era may hold settings that were not received in order.
        let settles = settled && !self.replicas_at.is_settled();
        let mut changed = false;
        for (zone, revision) in &listing.evacuated {
            let notice = ZoneNotice::new(zone.clone(), true, *revision);
            changed |= match settles {
                true => self.evacuations.apply(&notice, &self.source, settled, now),
                false => self.take_notice(&notice, settled, now),
            };
        }
        let listed = |zone: &ZoneName| listing.evacuated.iter().any(|(named, _)| named == zone);
        self.evacuations.lift_unlisted(listed, listing.at, &self.source, settled, now) || changed
    }

    /// Applies a full list of replicas. Older entries that are not mentioned are removed.
    fn replace_replicas(
        &mut self,
        at: CatalogueRevision,
        replicas: Vec<(Replica, CatalogueRevision)>,
        mut mentioned: HashSet<ReplicaId>,
        settled: bool,
        now: Micros,
    ) -> bool {
        let mut changed = false;
        mentioned.extend(replicas.iter().map(|(replica, _)| replica.id.without_incarnation()));
        for (replica, revision) in replicas {
            changed |= self.write(replica, revision, settled, now);
        }
        let missing = |(id, entry): &(&ReplicaId, &Entry)| entry.revision < at && !mentioned.contains(*id);
        let missing: Vec<ReplicaId> = self.entries.iter().filter(missing).map(|(id, _)| id.clone()).collect();
        for id in missing {
            changed |= self.remove_unlisted(&id, at, settled, now);
        }
        changed
    }

    /// Removes an entry that a listing lacks. An entry from before the source's restore is retained until the
    /// era is settled.
    fn remove_unlisted(&mut self, id: &ReplicaId, at: CatalogueRevision, settled: bool, now: Micros) -> bool {
        match self.entries.get_mut(id) {
            Some(entry) if entry.revision.era() != at.era() && !settled => {
                entry.retained = entry.removed_at.is_none();
                false
            }
            _ => self.remove(id, at, settled, now),
        }
    }

    fn write(&mut self, replica: Replica, revision: CatalogueRevision, settled: bool, now: Micros) -> bool {
        let id = replica.id.without_incarnation();
        if let Some(entry) = self.entries.get_mut(&id) {
            if entry.matches(&replica) && revision.era() > entry.revision.era() {
                entry.retained = false;
                // Peers with an older copy of the entry still need the rewrite.
                if self.source.is_written_since_restore(revision) {
                    entry.revision = revision;
                }
                return false;
            }
            if !entry.is_replaced_by(&replica, revision, &self.source, settled) {
                entry.retained |= revision.era() > entry.revision.era();
                return false;
            }
        }
        let warm_at = now.plus(Micros::from_millis(replica.warm_up_left_ms));
        let incarnation = replica.id.clone();
        let replica = Some(Arc::new(replica));
        let entry = Entry { incarnation, replica, revision, retained: false, warm_at, removed_at: None };
        self.entries.insert(id, entry);
        true
    }

    fn remove(&mut self, id: &ReplicaId, revision: CatalogueRevision, settled: bool, now: Micros) -> bool {
        let source = &self.source;
        let entry =
            self.entries.entry(id.without_incarnation()).or_insert_with(|| Entry::absent(id.clone(), now));
        if !entry.is_removed_by(id, revision, source, settled) {
            return false;
        }
        entry.revision = revision;
        entry.retained = false;
        let first = entry.removed_at.is_none();
        if first {
            entry.removed_at = Some(now);
        }
        first
    }

    /// Drops expired tombstones.
    pub fn expire(&mut self, now: Micros) {
        let mut forgotten = self.forgotten_up_to;
        self.entries.retain(|_, entry| {
            let kept = entry.removed_at.is_none_or(|removed_at| now.since(removed_at) < TOMBSTONE_LIFETIME);
            if !kept {
                forgotten = forgotten.max(entry.revision);
            }
            kept
        });
        self.forgotten_up_to = forgotten;
    }

    /// The replicas that may receive new requests, by service.
    pub fn routable(&self, now: Micros) -> HashMap<ServiceName, Vec<RoutableReplica>> {
        let mut services: HashMap<ServiceName, Vec<RoutableReplica>> = HashMap::new();
        for entry in self.entries.values() {
            let takes_work =
                |replica: &&Arc<Replica>| self.keeps_leaving || replica.phase == ReplicaPhase::Ready;
            let Some(replica) = entry.replica.as_ref().filter(takes_work) else {
                continue;
            };
            if self.is_evacuated(&replica.zone) {
                continue;
            }
            let absent_for = entry.removed_at.map(|removed_at| now.since(removed_at));
            if absent_for.is_some_and(|absence| absence >= ABSENCE_GRACE_PERIOD) {
                continue;
            }
            services.entry(replica.service.clone()).or_default().push(RoutableReplica {
                replica: replica.clone(),
                last_resort: absent_for.is_some(),
                beyond_share: false,
                warm_at: self.warm_at(entry, replica),
                cold_calls_per_s: None,
            });
        }
        for replicas in services.values_mut() {
            replicas.sort_by(|left, right| left.replica.id.cmp(&right.replica.id));
        }
        services
    }

    /// When a replica has warmed up: by its own entry, and after its zone's evacuation was lifted.
    fn warm_at(&self, entry: &Entry, replica: &Replica) -> Micros {
        let Some(lifted_at) = self.evacuations.lifted_at(&replica.zone) else {
            return entry.warm_at;
        };
        let service = self.routes().and_then(|routes| routes.service(&replica.service));
        let configured_ms = service.map_or(0, |service| service.warm_up.lasts_ms);
        let lasts = if configured_ms > 0 { Micros::from_millis(configured_ms) } else { ASSUMED_WARM_UP };
        entry.warm_at.max(lifted_at.plus(lasts))
    }

    /// When the result of [`CatalogueView::routable`] next changes without an update.
    pub fn next_expiry(&self, now: Micros) -> Option<Micros> {
        let expiries = self.entries.values().filter_map(|entry| entry.removed_at);
        expiries.map(|at| at.plus(ABSENCE_GRACE_PERIOD)).filter(|at| *at > now).min()
    }
}
