//! What a node knows of the catalogue, and how news changes it.
//!
//! Invariants kept here:
//! - a configuration is replaced by one of a higher version alone (must-hold 8);
//! - an entry is replaced by one of a higher revision alone, so that news may come in any order and
//!   from several sources;
//! - a replica of an evacuated zone gets no new work: [`CatalogueView::routable`] leaves it out, so that
//!   nothing which is made from the view can send there;
//! - a replica that drains or whose entry is gone for [`ABSENCE_GRACE_PERIOD`] gets no new work
//!   (must-hold 6). An entry may also vanish while the source is in trouble and come back with the
//!   replica's next heartbeat, so that a vanished replica stays a last resort until then;
//! - a source that comes back from an older copy takes nothing back: what was known holds until its own writer has said
//!   otherwise, or has had the time to ([`crate::SETTLE_PERIOD`]).

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

/// How long a replica whose entry vanished is a last resort.
const ABSENCE_GRACE_PERIOD: Micros = Micros::from_millis(1_600);
/// How long the replicas of a zone that was taken back are taken for cold where their service does not
/// say how long that lasts: the three seconds that the users' sheets give for a started one.
const ASSUMED_WARM_UP: Micros = Micros::from_secs(3);
/// How long a node that has not learnt what the fleet knew waits for a peer that has: a node finds its first peer 0.1 s after
/// its start, a peer answers such a question at once, and two that are gone without a sign cost 0.35 s each.
const CATCH_UP_TIMEOUT: Micros = Micros::from_millis(1_000);
/// Spans of unheard changes that are kept: listings are seconds apart at the least, and a peer is behind by less.
const MAXIMUM_GAPS: usize = 4;
/// How long the revision of a vanished entry is remembered, against older news of it.
const TOMBSTONE_LIFETIME: Micros = Micros::from_secs(60);

/// News of one replica.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaChange {
    /// Its entry as written.
    Written(Replica),
    /// Its entry is gone, or names no replica: whichever life it was.
    Removed(ReplicaId),
}

/// Every replica that there was when a listing was taken.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// The revision that the listing was begun at.
    pub at: CatalogueRevision,
    /// The replicas with the revisions of their entries.
    pub replicas: Vec<(Replica, CatalogueRevision)>,
    /// The evacuated zones with the revisions at which that was said.
    pub evacuated: Vec<(ZoneName, CatalogueRevision)>,
}

/// A replica that may get new work.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutableReplica {
    /// The replica.
    pub replica: Arc<Replica>,
    /// Whether it is to be used only when nothing else is left.
    pub last_resort: bool,
    /// Whether this node keeps no connections to it, for want of room there: it is used when the
    /// others are in trouble. Set by whoever shares connections out.
    pub beyond_share: bool,
    /// Until when it is cold: slow from its start, or from its zone's return.
    pub warm_at: Micros,
    /// Requests that this node may send it in any second until then; nothing when that is not bounded.
    /// Set by whoever shares connections out.
    pub cold_calls_per_s: Option<u32>,
}

/// Changes that a node knows by what they led to alone: it knew the catalogue up to a moment, and next as a whole.
#[derive(Clone, Copy, Debug)]
struct Gap {
    after: CataloguePosition,
    until: CatalogueRevision,
}

/// What a node may still have to learn from its peers: what the fleet knew before it started, or before the source's last
/// return.
#[derive(Clone, Copy, Debug)]
struct CatchUp {
    /// Up to where it knew the catalogue then.
    from: CataloguePosition,
    since: Micros,
}

/// What a node knows of the catalogue.
#[derive(Debug, Default)]
pub struct CatalogueView {
    configuration: KnownConfiguration,
    /// By the name of the replica, which an entry lies under: a new life's takes the place of the one before.
    entries: HashMap<ReplicaId, Entry>,
    replicas_at: CataloguePosition,
    /// The highest revision of an entry that vanished and was forgotten.
    forgotten_up_to: CatalogueRevision,
    /// The last spans of changes that were not heard one by one: what came and went in them is not known here.
    gaps: VecDeque<Gap>,
    source: SourceEra,
    /// Up to where this node had heard everything before the source's era.
    received_before: CataloguePosition,
    /// Up to where this node, or who told it, knew something before the source's era: what is kept may be from there.
    known_before: CataloguePosition,
    catch_up: Option<CatchUp>,
    evacuations: Evacuations,
    revisions: ConfigurationRevisions,
    /// Whether leaving replicas get work; in the soak alone.
    keeps_leaving: bool,
    /// Whether replicas of evacuated zones get work; in the soak alone.
    keeps_evacuated: bool,
    /// Whether a copy's word is taken for the newest; in the soak alone.
    settles_at_once: bool,
}

impl CatalogueView {
    /// The routes in force.
    pub fn routes(&self) -> Option<&Arc<RouteTable>> {
        self.configuration.routes()
    }

    /// Up to where replicas and zones are known.
    pub fn replicas_at(&self) -> CataloguePosition {
        self.replicas_at
    }

    /// What is known of the source's era.
    pub fn source(&self) -> &SourceEra {
        &self.source
    }

    /// The number of replicas and evacuated zones that are kept by what was known before the source's return, which the
    /// source has not confirmed. Nothing once its era is settled.
    pub fn retained(&self) -> usize {
        if self.replicas_at.is_settled() || self.known_before.is_nothing() {
            return 0;
        }
        let kept = |entry: &&Entry| entry.retained;
        self.entries.values().filter(kept).count() + self.evacuations.known_before(self.source.era())
    }

    /// Whether everything is to be listed anew: the writers have had the time to write again what was lost with the
    /// source's return, and what is not there now is gone.
    pub fn must_settle(&self, now: Micros) -> bool {
        !self.replicas_at.is_nothing() && !self.replicas_at.is_settled() && self.is_era_settled(now)
    }

    /// Hears that the source is at a revision of an era that somebody has known for `age`.
    fn observe_source(&mut self, at: CatalogueRevision, age: Micros, now: Micros) {
        if self.source.observe(at, age, now) {
            self.received_before = self.replicas_at;
            // What is kept from before an era that never settled is kept on.
            if self.replicas_at.is_settled() || self.known_before.is_nothing() {
                self.known_before = self.replicas_at;
            }
            let kept = |entry: &mut Entry| entry.retained = false;
            self.entries.values_mut().for_each(kept);
        }
    }

    /// Gives leaving replicas work like others, which the soak must notice.
    pub fn keep_leaving(&mut self) {
        self.keeps_leaving = true;
    }

    /// Gives replicas of evacuated zones work like others, which the soak must notice.
    pub fn keep_evacuated(&mut self) {
        self.keeps_evacuated = true;
    }

    /// Takes a copy's word for the newest, which the soak must notice.
    pub fn settle_at_once(&mut self) {
        self.settles_at_once = true;
    }

    fn is_era_settled(&self, now: Micros) -> bool {
        self.settles_at_once || self.source.is_settled(now)
    }

    /// What operators said of zones.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Takes what the operator said of a zone. Returns whether it changed anything. Everything up to the
    /// revision that this node knows the catalogue at was heard: what else comes of before was overruled,
    /// also where this node never heard of it.
    pub fn apply_notice(&mut self, notice: &ZoneNotice, now: Micros) -> bool {
        self.take_notice(notice, self.replicas_at.is_settled(), now)
    }

    fn take_notice(&mut self, notice: &ZoneNotice, settled: bool, now: Micros) -> bool {
        // What a source says at first after its return was not heard in order.
        let received_up_to =
            if self.replicas_at.is_settled() || notice.revision().era() == self.replicas_at.era() {
                self.replicas_at
            } else {
                self.received_before
            };
        notice.revision() > received_up_to.revision()
            && self.evacuations.apply(notice, &self.source, settled, now)
    }

    /// Whether the operator lets no new work to a zone's replicas.
    pub fn is_evacuated(&self, zone: &ZoneName) -> bool {
        !self.keeps_evacuated && self.evacuations.is_evacuated(zone)
    }

    /// The version of the configuration in force; 0 when none is.
    pub fn version(&self) -> u64 {
        self.configuration.version()
    }

    /// What is known of newer configurations.
    pub fn incoming(&self) -> &IncomingConfiguration {
        self.configuration.incoming()
    }

    /// What is known of newer configurations, for whoever fetches them.
    pub fn incoming_mut(&mut self) -> &mut IncomingConfiguration {
        self.configuration.incoming_mut()
    }

    /// Notes that somebody has a version.
    pub fn note_version(&mut self, version: u64, now: Micros) {
        self.configuration.note_version(version, now);
    }

    /// Takes a configuration into force if it is newer. Returns whether it was.
    pub fn offer_configuration(&mut self, configuration: RoutingConfiguration) -> bool {
        self.configuration.offer(vec![configuration])
    }

    /// Takes the last of these configurations into force that is newer than all before it. Returns whether there was one.
    pub fn offer_configurations(&mut self, configurations: Vec<RoutingConfiguration>) -> bool {
        self.configuration.offer(configurations)
    }

    /// What a peer that has a version is missing of the configuration.
    pub fn configuration_update(&self, version: u64) -> ConfigurationUpdate {
        self.configuration.news_since(version)
    }

    /// Notes which configurations could be read, and could not.
    pub fn note_revisions(&mut self, revisions: ConfigurationRevisions) {
        self.revisions.merge(revisions);
    }

    /// Whether the source's word that there is nothing newer is one: not before its era is settled, unless the operator has
    /// written since. A key that was taken away just before the return lies in the copy.
    pub fn source_confirms(&self) -> bool {
        let read = self.revisions.read();
        let written = read.era() == self.source.era() && self.source.is_written_since_restore(read);
        (self.replicas_at.is_settled() || written) && self.incoming().announced().is_none()
    }

    /// Whether no configuration is known to be newer than the one that was read.
    pub fn has_newest_configuration(&self) -> bool {
        self.revisions.newest_is_read()
    }

    /// Takes news of one replica. Returns whether it changed anything.
    pub fn apply(&mut self, change: ReplicaChange, revision: CatalogueRevision, now: Micros) -> bool {
        let settled = self.replicas_at.is_settled();
        match change {
            ReplicaChange::Written(replica) => self.write(replica, revision, settled, now),
            ReplicaChange::Removed(id) => self.vanish(&id, revision, settled, now),
        }
    }

    /// Notes that all changes up to `revision` were applied, which is of the era that the replicas are known in, or of the
    /// first.
    pub fn advance(&mut self, revision: CatalogueRevision) {
        let known = self.replicas_at;
        let settled = if known.is_nothing() { revision.era() == Era::UNNAMED } else { known.is_settled() };
        self.advance_to(CataloguePosition::new(revision, settled));
    }

    fn advance_to(&mut self, position: CataloguePosition) {
        self.replicas_at = self.replicas_at.max(position);
    }

    /// Takes a listing of everything. Replicas that it leaves out, and that were written before it, are gone, and zones are
    /// taken back; after a return of the source, not before its era is settled. Returns whether it changed anything.
    pub fn replace(&mut self, listing: Listing, now: Micros) -> bool {
        let returned = !self.replicas_at.is_nothing() && listing.at.era() > self.replicas_at.era();
        if returned && self.catch_up.is_none() {
            self.begin_catch_up(now);
        }
        if listing.at.era() == Era::UNNAMED {
            // A source that never comes back from a copy says all that there is.
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

    /// Notes that all is known at a revision, and not what came and went before it.
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
        // What lies there now was not heard of in order: it may have been there all the time.
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
        self.evacuations.restore_unlisted(listed, listing.at, &self.source, settled, now) || changed
    }

    /// Takes a whole list of replicas. Those that it does not mention, and that were written before it, are gone.
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
            changed |= self.miss(&id, at, settled, now);
        }
        changed
    }

    /// Takes an entry for gone that a listing leaves out; one of before the source's return is kept until the era is
    /// settled.
    fn miss(&mut self, id: &ReplicaId, at: CatalogueRevision, settled: bool, now: Micros) -> bool {
        match self.entries.get_mut(id) {
            Some(entry) if entry.revision.era() != at.era() && !settled => {
                entry.retained = entry.vanished_at.is_none();
                false
            }
            _ => self.vanish(id, at, settled, now),
        }
    }

    fn write(&mut self, replica: Replica, revision: CatalogueRevision, settled: bool, now: Micros) -> bool {
        let id = replica.id.without_incarnation();
        if let Some(entry) = self.entries.get_mut(&id) {
            if entry.has(&replica) && revision.era() > entry.revision.era() {
                entry.retained = false;
                // Peers whose copy of it is older have yet to hear of what was written since.
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
        let entry = Entry { incarnation, replica, revision, retained: false, warm_at, vanished_at: None };
        self.entries.insert(id, entry);
        true
    }

    fn vanish(&mut self, id: &ReplicaId, revision: CatalogueRevision, settled: bool, now: Micros) -> bool {
        let source = &self.source;
        let entry =
            self.entries.entry(id.without_incarnation()).or_insert_with(|| Entry::absent(id.clone(), now));
        if !entry.is_removed_by(id, revision, source, settled) {
            return false;
        }
        entry.revision = revision;
        entry.retained = false;
        let first = entry.vanished_at.is_none();
        if first {
            entry.vanished_at = Some(now);
        }
        first
    }

    /// Forgets what vanished long ago.
    pub fn expire(&mut self, now: Micros) {
        let mut forgotten = self.forgotten_up_to;
        self.entries.retain(|_, entry| {
            let kept =
                entry.vanished_at.is_none_or(|vanished_at| now.since(vanished_at) < TOMBSTONE_LIFETIME);
            if !kept {
                forgotten = forgotten.max(entry.revision);
            }
            kept
        });
        self.forgotten_up_to = forgotten;
    }

    /// The replicas that may get new work, by service.
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
            let vanished_for = entry.vanished_at.map(|vanished_at| now.since(vanished_at));
            if vanished_for.is_some_and(|absence| absence >= ABSENCE_GRACE_PERIOD) {
                continue;
            }
            services.entry(replica.service.clone()).or_default().push(RoutableReplica {
                replica: replica.clone(),
                last_resort: vanished_for.is_some(),
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

    /// Until when a replica is cold: by its own word, and after its zone was taken back, when nothing was
    /// sent to it for long.
    fn warm_at(&self, entry: &Entry, replica: &Replica) -> Micros {
        let Some(returned_at) = self.evacuations.restored_at(&replica.zone) else {
            return entry.warm_at;
        };
        let service = self.routes().and_then(|routes| routes.service(&replica.service));
        let told = service.map_or(0, |service| service.warm_up.lasts_ms);
        let lasts = if told > 0 { Micros::from_millis(told) } else { ASSUMED_WARM_UP };
        entry.warm_at.max(returned_at.plus(lasts))
    }

    /// When [`CatalogueView::routable`] next changes by itself.
    pub fn next_expiry(&self, now: Micros) -> Option<Micros> {
        let expiries = self.entries.values().filter_map(|entry| entry.vanished_at);
        expiries.map(|at| at.plus(ABSENCE_GRACE_PERIOD)).filter(|at| *at > now).min()
    }
}
