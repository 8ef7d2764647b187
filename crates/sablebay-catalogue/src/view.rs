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
//!   replica's next heartbeat, so that a vanished replica stays a last resort until then.

use std::collections::HashMap;
use std::sync::Arc;

use sablebay_model::{Micros, ZoneName};

use crate::configuration::RoutingConfiguration;
use crate::confirmation::ConfigurationRevisions;
use crate::evacuation::{Evacuations, ZoneNotice};
use crate::incoming_configuration::IncomingConfiguration;
use crate::known_configuration::{ConfigurationNews, KnownConfiguration};
use crate::replica::{Replica, ReplicaEntry, ReplicaId, ReplicaPhase, ServiceName};
use crate::route_table::RouteTable;
use crate::snapshot::CatalogueSnapshot;

/// How long a replica whose entry vanished is a last resort.
const ABSENCE_PATIENCE: Micros = Micros::from_millis(1_600);
/// How long the replicas of a zone that was taken back are taken for cold where their service does not
/// say how long that lasts: the three seconds that the users' sheets give for a started one.
const ASSUMED_WARM_UP: Micros = Micros::from_secs(3);
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
    pub at: u64,
    /// The replicas with the revisions of their entries.
    pub replicas: Vec<(Replica, u64)>,
    /// The evacuated zones with the revisions at which that was said.
    pub evacuated: Vec<(ZoneName, u64)>,
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
    replica: Option<Arc<Replica>>,
    revision: u64,
    warm_at: Micros,
    vanished_at: Option<Micros>,
}

/// What a node knows of the catalogue.
#[derive(Debug, Default)]
pub struct CatalogueView {
    configuration: KnownConfiguration,
    /// By the name of the replica, which an entry lies under: a new life's takes the place of the one before.
    entries: HashMap<ReplicaId, Entry>,
    replicas_at: u64,
    /// The highest revision of an entry that vanished and was forgotten.
    forgotten_up_to: u64,
    evacuations: Evacuations,
    revisions: ConfigurationRevisions,
    /// Whether leaving replicas get work; in the soak alone.
    keeps_leaving: bool,
    /// Whether replicas of evacuated zones get work; in the soak alone.
    keeps_evacuated: bool,
}

impl CatalogueView {
    /// The routes in force.
    pub fn routes(&self) -> Option<&Arc<RouteTable>> {
        self.configuration.routes()
    }

    /// The revision up to which replicas and zones are known; 0 when nothing is known.
    pub fn replicas_at(&self) -> u64 {
        self.replicas_at
    }

    /// Gives leaving replicas work like others, which the soak must notice.
    pub fn keep_leaving(&mut self) {
        self.keeps_leaving = true;
    }

    /// Gives replicas of evacuated zones work like others, which the soak must notice.
    pub fn keep_evacuated(&mut self) {
        self.keeps_evacuated = true;
    }

    /// What operators said of zones.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Takes what the operator said of a zone. Returns whether it changed anything. Everything up to the
    /// revision that this node knows the catalogue at was heard: what else comes of before was overruled,
    /// also where this node never heard of it.
    pub fn apply_notice(&mut self, notice: &ZoneNotice, now: Micros) -> bool {
        notice.revision > self.replicas_at && self.evacuations.apply(notice, now)
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

    /// Whether no configuration is known to be newer than the one that was read.
    pub fn has_newest_configuration(&self) -> bool {
        self.revisions.newest_is_read()
    }

    /// Takes news of one replica. Returns whether it changed anything.
    pub fn apply(&mut self, change: ReplicaChange, revision: u64, now: Micros) -> bool {
        match change {
            ReplicaChange::Written(replica) => self.write(replica, revision, now),
            ReplicaChange::Gone(id) => self.vanish(&id, revision, now),
        }
    }

    /// Notes that all changes up to `revision` were applied.
    pub fn advance(&mut self, revision: u64) {
        self.replicas_at = self.replicas_at.max(revision);
    }

    /// Takes a listing of everything: replicas that it leaves out, and that were written before it, are
    /// gone, and zones are taken back. Returns whether it changed anything.
    pub fn replace(&mut self, listing: Listing, now: Micros) -> bool {
        let mut changed = self.replace_zones(&listing, now);
        changed |= self.replace_replicas(listing.at, listing.replicas, now);
        self.advance(listing.at);
        changed
    }

    fn replace_zones(&mut self, listing: &Listing, now: Micros) -> bool {
        let mut changed = false;
        for (zone, revision) in &listing.evacuated {
            let notice = ZoneNotice { zone: zone.clone(), evacuated: true, revision: *revision };
            changed |= self.apply_notice(&notice, now);
        }
        let listed = |zone: &ZoneName| listing.evacuated.iter().any(|(named, _)| named == zone);
        self.evacuations.take_back_others(listed, listing.at, now) || changed
    }

    fn replace_replicas(&mut self, at: u64, replicas: Vec<(Replica, u64)>, now: Micros) -> bool {
        let mut changed = false;
        let listed: std::collections::HashSet<ReplicaId> =
            replicas.iter().map(|(replica, _)| replica.id.any_life()).collect();
        for (replica, revision) in replicas {
            changed |= self.write(replica, revision, now);
        }
        let missing: Vec<ReplicaId> = self
            .entries
            .iter()
            .filter(|(id, entry)| entry.revision < at && !listed.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            changed |= self.vanish(&id, at, now);
        }
        changed
    }

    fn write(&mut self, replica: Replica, revision: u64, now: Micros) -> bool {
        let id = replica.id.any_life();
        if self.entries.get(&id).is_some_and(|entry| entry.revision >= revision) {
            return false;
        }
        let warm_at = now.plus(Micros::from_millis(replica.warm_up_left_ms));
        let entry = Entry { replica: Some(Arc::new(replica)), revision, warm_at, vanished_at: None };
        self.entries.insert(id, entry);
        true
    }

    fn vanish(&mut self, id: &ReplicaId, revision: u64, now: Micros) -> bool {
        let absent = || Entry { replica: None, revision: 0, warm_at: Micros(0), vanished_at: Some(now) };
        let entry = self.entries.entry(id.any_life()).or_insert_with(absent);
        if entry.revision >= revision {
            return false;
        }
        entry.revision = revision;
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

    /// Whether a peer that has these revisions is missing something.
    pub fn is_newer_than(&self, version: u64, replicas_at: u64) -> bool {
        self.version() > version || self.replicas_at > replicas_at
    }

    /// Whether a peer that knows the replicas up to a revision is told of all of them: the catalogue's vanished entries
    /// may be forgotten here since.
    pub fn lists_all_replicas(&self, replicas_at: u64) -> bool {
        self.replicas_at > replicas_at && (replicas_at == 0 || replicas_at < self.forgotten_up_to)
    }

    /// The number of replicas that are known, those that went lately among them.
    pub fn known_replicas(&self) -> usize {
        self.entries.len()
    }

    /// The whole configuration, and the replicas that a peer is missing that knows them up to a revision.
    pub fn snapshot(&self, version: u64, replicas_at: u64) -> CatalogueSnapshot {
        let routes = self.routes().filter(|routes| routes.version() > version);
        let configuration = routes.map(|routes| routes.configuration().clone());
        CatalogueSnapshot { configuration, ..self.replica_news(replicas_at) }
    }

    /// What a peer that knows the replicas up to a revision is missing of them. One that knew the catalogue at a moment
    /// whose vanished entries are forgotten here is told everything.
    pub fn replica_news(&self, replicas_at: u64) -> CatalogueSnapshot {
        let whole = replicas_at == 0 || replicas_at < self.forgotten_up_to;
        let known_from = if whole { 0 } else { replicas_at };
        let mut snapshot = CatalogueSnapshot {
            replicas_at: self.replicas_at,
            whole,
            zones: Some(self.evacuations.notices()),
            revisions: self.revisions,
            ..CatalogueSnapshot::default()
        };
        if self.replicas_at <= replicas_at {
            return snapshot;
        }
        for (id, entry) in self.entries.iter().filter(|(_, entry)| entry.revision > known_from) {
            match (&entry.replica, entry.vanished_at) {
                (Some(replica), None) => {
                    snapshot.replicas.push((ReplicaEntry::from(&**replica), entry.revision))
                }
                _ => snapshot.gone.push((id.clone(), entry.revision)),
            }
        }
        snapshot
    }

    /// Takes what a peer knows. Returns whether it changed anything.
    ///
    /// A peer's list stands for the revision that it is at; an older one than this node's says
    /// nothing new and is left. One that does not tell of zones is left as well: this node would not ask
    /// for them any more.
    pub fn merge(&mut self, snapshot: CatalogueSnapshot, now: Micros) -> bool {
        self.revisions.merge(snapshot.revisions);
        if let Some(version) = snapshot.version().max(snapshot.offer.map(|offer| offer.version)) {
            self.hear_of(version, now);
        }
        let mut changed = self.configuration.take_steps(snapshot.steps);
        if let Some(configuration) = snapshot.configuration {
            changed |= self.configuration.take_whole(configuration);
        }
        let Some(zones) = snapshot.zones else {
            return changed;
        };
        for notice in &zones {
            changed |= self.apply_notice(notice, now);
        }
        if snapshot.replicas_at <= self.replicas_at {
            return changed;
        }
        for (id, revision) in snapshot.gone {
            changed |= self.vanish(&id, revision, now);
        }
        if snapshot.whole {
            let replicas = snapshot.replicas.into_iter().map(|(entry, revision)| (entry.into(), revision));
            changed |= self.replace_replicas(snapshot.replicas_at, replicas.collect(), now);
        } else {
            for (entry, revision) in snapshot.replicas {
                changed |= self.write(entry.into(), revision, now);
            }
        }
        self.advance(snapshot.replicas_at);
        changed
    }
}
