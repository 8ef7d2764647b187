//! What a node knows of the catalogue, and how news changes it.
//!
//! Invariants kept here:
//! - a configuration is replaced by one of a higher version alone (must-hold 8);
//! - an entry is replaced by one of a higher revision alone, so that news may come in any order and
//!   from several sources;
//! - a replica of an evacuated zone gets no new work: [`CatalogueView::routable`] leaves it out, so that
//!   nothing which is made from the view can send there;
//! - a replica that drains or whose entry is gone for [`ABSENCE_PATIENCE`] gets no new work
//!   (must-hold 6). An entry may also vanish while the source is in trouble and come back with the
//!   replica's next heartbeat, so that a vanished replica stays a last resort until then;
//! - a source that comes back from an older copy takes nothing back: what was known holds until its own writer has said
//!   otherwise, or has had the time to ([`crate::SETTLING`]).

use std::cmp::Ordering;
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use sablebay_model::{Micros, ZoneName};

use crate::configuration::RoutingConfiguration;
use crate::confirmation::ConfigurationRevisions;
use crate::evacuation::{Evacuations, ZoneNotice};
use crate::incoming_configuration::IncomingConfiguration;
use crate::known_configuration::{ConfigurationNews, KnownConfiguration};
use crate::replica::{Replica, ReplicaId, ReplicaPhase, ServiceName};
use crate::revision::{CataloguePosition, CatalogueRevision, Era, PeerPosition};
use crate::route_table::RouteTable;
use crate::snapshot::CatalogueSnapshot;
use crate::source_return::SourceEra;

/// How long a replica whose entry vanished is a last resort.
const ABSENCE_PATIENCE: Micros = Micros::from_millis(1_600);
/// How long the replicas of a zone that was taken back are taken for cold where their service does not
/// say how long that lasts: the three seconds that the users' sheets give for a started one.
const ASSUMED_WARM_UP: Micros = Micros::from_secs(3);
/// How long a node that has not learnt what the fleet knew waits for a peer that has: a node finds its first peer 0.1 s after
/// its start, a peer answers such a question at once, and two that are gone without a sign cost 0.35 s each.
const LEARNING_PATIENCE: Micros = Micros::from_millis(1_000);
/// Spans of unheard changes that are kept: listings are seconds apart at the least, and a peer is behind by less.
const MAXIMUM_UNHEARD: usize = 4;
/// How long the revision of a vanished entry is remembered, against older news of it.
const TOMBSTONE_LIFETIME: Micros = Micros::from_secs(60);

/// News of one replica.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaChange {
    /// Its entry as written.
    Written(Replica),
    /// Its entry is gone, or names no replica: whichever life it was.
    Gone(ReplicaId),
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

#[derive(Debug)]
struct Entry {
    /// The life that it is or was of.
    life: ReplicaId,
    /// Nothing where it was only heard that the entry went.
    replica: Option<Arc<Replica>>,
    revision: CatalogueRevision,
    /// Whether the source has said something else since its return, or nothing, and this is kept by what was known before.
    kept: bool,
    warm_at: Micros,
    vanished_at: Option<Micros>,
}

impl Entry {
    /// That of a replica of which nothing was heard but that it went.
    fn absent(life: ReplicaId, now: Micros) -> Self {
        let revision = CatalogueRevision::NOTHING;
        Self { life, replica: None, revision, kept: false, warm_at: Micros(0), vanished_at: Some(now) }
    }

    /// Whether it says what a replica says.
    fn has(&self, replica: &Replica) -> bool {
        self.vanished_at.is_none() && self.replica.as_deref() == Some(replica)
    }

    /// Whether a word of the replica takes its place.
    ///
    /// Within an era the source's numbers order them. Between eras the copy's word may be the older one under the newer era:
    /// there the replica's own count goes first, and where that does not tell, a word that was surely written since.
    fn is_replaced_by(
        &self,
        replica: &Replica,
        told: CatalogueRevision,
        source: &SourceEra,
        settled: bool,
    ) -> bool {
        if told.era() == self.revision.era() {
            return told > self.revision;
        }
        let later = told > self.revision;
        let same_life = self.life == replica.id;
        let order = match &self.replica {
            Some(known) => known.own_order(replica),
            None => self.life.order_of_lives(&replica.id).filter(|order| order.is_ne()),
        };
        match order {
            Some(Ordering::Greater) => later || same_life || !source.is_written(self.revision),
            Some(Ordering::Less) if same_life => false,
            _ => later && (settled || source.is_written(told)),
        }
    }

    /// Whether the word that the entry went, or is not there, takes its place. It names the life that there was, where that is
    /// known.
    fn is_ended_by(
        &self,
        life: &ReplicaId,
        told: CatalogueRevision,
        source: &SourceEra,
        settled: bool,
    ) -> bool {
        if told.era() == self.revision.era() {
            return told > self.revision;
        }
        if told > self.revision {
            return settled || source.is_written(told);
        }
        // What is known may be the copy's: then it is older than what went after it. A later life is not.
        let is_later_life = life.order_of_lives(&self.life) == Some(Ordering::Greater);
        !source.is_written(self.revision) && told > self.revision.in_era(told.era()) && !is_later_life
    }

    /// Whether a peer that knows the catalogue up to a position has yet to hear of it from a node that is at another. To one that
    /// knew an era before it was settled all of that era is said again: it may have kept something else by what it knew before.
    fn is_news_to(&self, peer: CataloguePosition, teller: CataloguePosition) -> bool {
        let settled_since = teller.is_settled() && !peer.is_settled() && self.revision.era() == peer.era();
        self.revision > peer.revision() || settled_since
    }
}

/// Changes that a node knows by what they led to alone: it knew the catalogue up to a moment, and next as a whole.
#[derive(Clone, Copy, Debug)]
struct Unheard {
    after: CataloguePosition,
    until: CatalogueRevision,
}

/// What a node may still have to learn from its peers: what the fleet knew before it started, or before the source's last
/// return.
#[derive(Clone, Copy, Debug)]
struct Learning {
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
    unheard: VecDeque<Unheard>,
    source: SourceEra,
    /// Up to where this node had heard everything before the source's era.
    heard_before: CataloguePosition,
    /// Up to where this node, or who told it, knew something before the source's era: what is kept may be from there.
    known_before: CataloguePosition,
    learning: Option<Learning>,
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
    pub fn kept(&self) -> usize {
        if self.replicas_at.is_settled() || self.known_before.is_nothing() {
            return 0;
        }
        let kept = |entry: &&Entry| entry.kept;
        self.entries.values().filter(kept).count() + self.evacuations.known_before(self.source.era())
    }

    /// Whether everything is to be listed anew: the writers have had the time to write again what was lost with the
    /// source's return, and what is not there now is gone.
    pub fn must_settle(&self, now: Micros) -> bool {
        !self.replicas_at.is_nothing() && !self.replicas_at.is_settled() && self.is_era_settled(now)
    }

    /// Where this node stands, for a peer that it asks.
    pub fn position(&self) -> PeerPosition {
        PeerPosition { at: self.replicas_at, known_before: self.known_before }
    }

    /// Notes that the node starts, and that others may know more than the source says.
    pub fn begin_learning(&mut self, now: Micros) {
        self.learning = Some(Learning { from: self.replicas_at, since: now });
    }

    /// Notes that no peer knows more than this node does.
    pub fn end_learning(&mut self) {
        self.learning = None;
    }

    /// Whether the node knows what the fleet knew before it started, or has waited for a peer that does for long enough.
    pub fn has_learnt(&self, now: Micros) -> bool {
        self.learning.is_none_or(|learning| now.since(learning.since) >= LEARNING_PATIENCE)
    }

    /// From where on a peer that has learnt is to tell what it knows; nothing where that is no matter.
    pub fn learns_from(&self, now: Micros) -> Option<CataloguePosition> {
        self.learning.filter(|_| !self.has_learnt(now)).map(|learning| learning.from)
    }

    /// Hears that the source is at a revision of an era that somebody has known for `age`.
    fn hear_of_source(&mut self, at: CatalogueRevision, age: Micros, now: Micros) {
        if self.source.hear(at, age, now) {
            self.heard_before = self.replicas_at;
            // What is kept from before an era that never settled is kept on.
            if self.replicas_at.is_settled() || self.known_before.is_nothing() {
                self.known_before = self.replicas_at;
            }
            let kept = |entry: &mut Entry| entry.kept = false;
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
        let heard_up_to =
            if self.replicas_at.is_settled() || notice.revision().era() == self.replicas_at.era() {
                self.replicas_at
            } else {
                self.heard_before
            };
        notice.revision() > heard_up_to.revision()
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
    pub fn hear_of(&mut self, version: u64, now: Micros) {
        self.configuration.hear_of(version, now);
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
    pub fn configuration_news(&self, version: u64) -> ConfigurationNews {
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
        let written = read.era() == self.source.era() && self.source.is_written(read);
        (self.replicas_at.is_settled() || written) && self.incoming().heard().is_none()
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
            ReplicaChange::Gone(id) => self.vanish(&id, revision, settled, now),
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
        if returned && self.learning.is_none() {
            self.begin_learning(now);
        }
        self.hear_of_source(listing.at, Micros(0), now);
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
        self.unheard.push_back(Unheard { after: self.replicas_at, until });
        if self.unheard.len() > MAXIMUM_UNHEARD
            && let Some(oldest) = self.unheard.pop_front()
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
        self.evacuations.take_back_others(listed, listing.at, &self.source, settled, now) || changed
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
        mentioned.extend(replicas.iter().map(|(replica, _)| replica.id.any_life()));
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
                entry.kept = entry.vanished_at.is_none();
                false
            }
            _ => self.vanish(id, at, settled, now),
        }
    }

    fn write(&mut self, replica: Replica, revision: CatalogueRevision, settled: bool, now: Micros) -> bool {
        let id = replica.id.any_life();
        if let Some(entry) = self.entries.get_mut(&id) {
            if entry.has(&replica) && revision.era() > entry.revision.era() {
                entry.kept = false;
                // Peers whose copy of it is older have yet to hear of what was written since.
                if self.source.is_written(revision) {
                    entry.revision = revision;
                }
                return false;
            }
            if !entry.is_replaced_by(&replica, revision, &self.source, settled) {
                entry.kept |= revision.era() > entry.revision.era();
                return false;
            }
        }
        let warm_at = now.plus(Micros::from_millis(replica.warm_up_left_ms));
        let life = replica.id.clone();
        let replica = Some(Arc::new(replica));
        let entry = Entry { life, replica, revision, kept: false, warm_at, vanished_at: None };
        self.entries.insert(id, entry);
        true
    }

    fn vanish(&mut self, id: &ReplicaId, revision: CatalogueRevision, settled: bool, now: Micros) -> bool {
        let source = &self.source;
        let entry = self.entries.entry(id.any_life()).or_insert_with(|| Entry::absent(id.clone(), now));
        if !entry.is_ended_by(id, revision, source, settled) {
            return false;
        }
        entry.revision = revision;
        entry.kept = false;
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
            if vanished_for.is_some_and(|absence| absence >= ABSENCE_PATIENCE) {
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
        let Some(returned_at) = self.evacuations.taken_back_at(&replica.zone) else {
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
        expiries.map(|at| at.plus(ABSENCE_PATIENCE)).filter(|at| *at > now).min()
    }

    /// Whether a peer that has a version, and knows the replicas up to a position, is missing something.
    pub fn is_newer_than(&self, version: u64, replicas_at: CataloguePosition) -> bool {
        self.version() > version || self.replicas_at > replicas_at
    }

    /// Whether a peer is told of all replicas: the catalogue's vanished entries may be forgotten here since, or never have been
    /// known.
    pub fn lists_all_replicas(&self, peer: PeerPosition) -> bool {
        self.replicas_at > peer.at && self.tells_all(peer)
    }

    fn tells_all(&self, peer: PeerPosition) -> bool {
        peer.at.is_nothing() || self.has_missed(peer.at) || self.settles_more_than_known(peer)
    }

    /// Whether something may have come and gone since a position of which nothing is known here, or no more.
    fn has_missed(&self, position: CataloguePosition) -> bool {
        let known = position.revision();
        let is_within = |unheard: &Unheard| unheard.after < position && known < unheard.until;
        known < self.forgotten_up_to || self.unheard.iter().any(is_within)
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
        CatalogueSnapshot { configuration, ..self.replica_news(peer.into(), now) }
    }

    /// What a peer is missing of the replicas. One that knew the catalogue at a moment
    /// whose vanished entries are forgotten here is told everything.
    pub fn replica_news(&self, peer: PeerPosition, now: Micros) -> CatalogueSnapshot {
        let whole = self.tells_all(peer);
        let mut snapshot = CatalogueSnapshot {
            whole,
            zones: Some(self.evacuations.notices()),
            revisions: self.revisions,
            first_number: self.source.first_number(),
            era_age: Some(self.source.age(now)),
            learnt: self.has_learnt(now),
            known_before: self.known_before,
            ..CatalogueSnapshot::at(self.replicas_at)
        };
        if self.replicas_at <= peer.at {
            return snapshot;
        }
        for entry in
            self.entries.values().filter(|entry| whole || entry.is_news_to(peer.at, self.replicas_at))
        {
            match (&entry.replica, entry.vanished_at) {
                (Some(replica), None) => snapshot.tell(replica, entry.revision),
                _ => snapshot.tell_gone(entry.life.clone(), entry.revision),
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
            self.hear_of(version, now);
        }
        let mut changed = self.configuration.take_steps(std::mem::take(&mut snapshot.steps));
        if let Some(configuration) = snapshot.configuration.take() {
            changed |= self.configuration.take_whole(configuration);
        }
        let Some(zones) = snapshot.zones.take() else {
            return changed;
        };
        let told_up_to = snapshot.replicas_at();
        let first = CatalogueRevision::new(told_up_to.era(), snapshot.first_number);
        self.hear_of_source(first, snapshot.era_age.unwrap_or_default(), now);
        if !told_up_to.is_settled() {
            // What the peer keeps by what it knew before is kept here from now on.
            self.known_before = self.known_before.max(snapshot.known_before);
        }
        let settles = told_up_to.is_settled() && !self.replicas_at.is_settled();
        for notice in &zones {
            changed |= match settles {
                true => self.evacuations.apply(notice, &self.source, true, now),
                false => self.take_notice(notice, told_up_to.is_settled(), now),
            };
        }
        if told_up_to > self.replicas_at && told_up_to.is_settled() {
            // The peer may never have heard of a zone that was taken back before it started. Until the era is settled it may not
            // have heard of one that is evacuated either.
            let named = |zone: &ZoneName| zones.iter().any(|notice| notice.evacuated && notice.zone == *zone);
            changed |=
                self.evacuations.take_back_others(named, told_up_to.revision(), &self.source, true, now);
        }
        // A peer that knows less may bring back what went so long ago that it is forgotten here; unless this node is itself to
        // learn what was before.
        let says_more = told_up_to > self.replicas_at || self.learning.is_some();
        if snapshot.learnt {
            self.learning = None;
        }
        (says_more && self.merge_replicas(snapshot, now)) || changed
    }

    fn merge_replicas(&mut self, mut snapshot: CatalogueSnapshot, now: Micros) -> bool {
        let told_up_to = snapshot.replicas_at();
        let settled = told_up_to.is_settled();
        let mut changed = false;
        // What the peer says of this node's own era is old, where it knows less.
        let (known, says_less) = (self.replicas_at.revision(), told_up_to <= self.replicas_at);
        let is_old =
            |revision: CatalogueRevision| says_less && revision.era() == known.era() && revision <= known;
        let mut gone = HashSet::new();
        for (id, revision) in snapshot.take_gone() {
            gone.insert(id.any_life());
            changed |= self.vanish(&id, revision, settled, now);
        }
        let replicas = snapshot.take_replicas();
        if snapshot.whole && told_up_to > self.replicas_at {
            self.skip_to(told_up_to.revision());
            changed |= self.replace_replicas(told_up_to.revision(), replicas, gone, settled, now);
        } else {
            for (replica, revision) in replicas {
                changed |= !is_old(revision) && self.write(replica, revision, settled, now);
            }
        }
        self.advance_to(told_up_to);
        changed
    }
}
