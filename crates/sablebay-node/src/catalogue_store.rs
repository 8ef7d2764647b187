//! The catalogue as this node knows it, shared by whoever reads it, serves by it, and answers peers.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;

use sablebay_catalogue::{
    CataloguePosition, CatalogueSnapshot, CatalogueView, ConfigurationUpdate, DocumentDigest, INLINE_BYTES,
    PeerConfirmation, PeerPosition,
};
use sablebay_model::Micros;

use crate::document_store::DocumentStore;

/// Replicas from which on a list of all of them is a document: a hundred entries of some 90 bytes are 9 kB.
const LARGE_LISTING: usize = 100;
/// How long a list of all replicas is given to further askers: many nodes may start at one moment, and what changed
/// since is a small answer afterwards.
const LISTING_LIFETIME: Micros = Micros::from_secs(1);
/// Documents whose names are remembered at the most, for askers that need the same.
const MAXIMUM_CACHED_DOCUMENTS: usize = 8;

/// What is too much for one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LargeUpdate {
    /// The document that holds it.
    pub digest: DocumentDigest,
    /// The version of the configuration that it leads to.
    pub version: u64,
    /// Whether it also lists all replicas.
    pub lists_replicas: bool,
}

/// A document that was made for an asker.
#[derive(Clone, Copy, Debug)]
struct CachedDocument {
    /// The version that it leads on from.
    base: u64,
    update: LargeUpdate,
    created_at: Micros,
}

/// The catalogue as this node knows it.
pub struct CatalogueStore {
    view: Mutex<CatalogueView>,
    changed: watch::Sender<u64>,
    /// In microseconds of the node's clock; 0 when it never did.
    last_contact: AtomicU64,
    /// In microseconds of the node's clock; 0 when it never was.
    confirmed_at: AtomicU64,
    /// The number of nodes met, once it can be told to others; 0 before.
    nodes_met: AtomicU64,
    /// What is passed on in chunks.
    pub documents: DocumentStore,
    cached: Mutex<Vec<CachedDocument>>,
}

impl Default for CatalogueStore {
    fn default() -> Self {
        Self {
            view: Mutex::default(),
            changed: watch::channel(0).0,
            last_contact: AtomicU64::new(0),
            confirmed_at: AtomicU64::new(0),
            nodes_met: AtomicU64::new(0),
            documents: DocumentStore::default(),
            cached: Mutex::default(),
        }
    }
}

/// A moment that is kept as a number.
fn load_time(stored: &AtomicU64) -> Option<Micros> {
    let at = Micros(stored.load(Ordering::Acquire));
    (at.0 > 0).then_some(at)
}

impl CatalogueStore {
    /// Reads something out of the view.
    pub fn read<T>(&self, read: impl FnOnce(&CatalogueView) -> T) -> T {
        read(&self.view.lock())
    }

    /// Changes the view; `change` says whether it did. Whoever waits for changes is told.
    pub fn update(&self, change: impl FnOnce(&mut CatalogueView) -> bool) -> bool {
        let changed = change(&mut self.view.lock());
        if changed {
            self.changed.send_modify(|count| *count += 1);
        }
        changed
    }

    /// Tells of changes.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Notes that somebody said at `at` that there is nothing newer. Whoever reads the source goes by this, and so does
    /// a node that was suspended: an answer that was on its way for long is a sign of life all the same. It bounds
    /// nothing.
    pub fn record_contact(&self, at: Micros) {
        self.last_contact.fetch_max(at.0, Ordering::AcqRel);
    }

    /// When somebody last said that there is nothing newer; nothing when nobody did.
    pub fn last_contact(&self) -> Option<Micros> {
        load_time(&self.last_contact)
    }

    /// How long ago that was.
    pub fn contact_ago(&self, now: Micros) -> Option<Micros> {
        self.last_contact().map(|at| now.since(at))
    }

    /// Notes that the configuration known here is the newest up to `at` at the least. Called after what the answer
    /// holds was taken into the view: who reads the bound before the view finds a configuration that is as new.
    pub fn confirm(&self, at: Micros) {
        self.confirmed_at.fetch_max(at.0, Ordering::AcqRel);
    }

    /// A moment up to which the configuration known here is the newest; nothing when none is known.
    pub fn confirmed_at(&self) -> Option<Micros> {
        load_time(&self.confirmed_at)
    }

    /// How long ago that was.
    pub fn confirmed_ago(&self, now: Micros) -> Option<Micros> {
        self.confirmed_at().map(|at| now.since(at))
    }

    /// Sets the number of nodes that peers are told of.
    pub fn set_nodes_met(&self, nodes: Option<usize>) {
        self.nodes_met.store(nodes.unwrap_or(0) as u64, Ordering::Relaxed);
    }

    /// Notes that a peer has a version of the configuration.
    pub fn note_version(&self, version: u64, now: Micros) {
        self.view.lock().note_version(version, now);
    }

    /// Waits until there is something that a peer with these revisions is missing.
    pub async fn wait_for_newer(&self, version: u64, replicas_at: CataloguePosition, wait: Duration) {
        let mut changes = self.subscribe();
        let newer = changes.wait_for(|_| self.read(|view| view.is_newer_than(version, replicas_at)));
        // What there is after the time is over is told all the same.
        let _ = tokio::time::timeout(wait, newer).await;
    }

    /// What a peer that has these revisions is missing, in one answer however large. It asked `held` before `now`.
    pub fn snapshot(
        &self,
        version: u64,
        peer: impl Into<PeerPosition>,
        held: Micros,
        now: Micros,
    ) -> CatalogueSnapshot {
        let peer: PeerPosition = peer.into();
        self.with_confirmation(held, now, || self.view.lock().snapshot(version, peer, now))
    }

    /// What a peer that has these revisions is missing, as far as it is little, and where there is more. It asked `held`
    /// before `now`.
    pub fn snapshot_or_document(
        &self,
        version: u64,
        peer: PeerPosition,
        held: Micros,
        now: Micros,
    ) -> (CatalogueSnapshot, Option<LargeUpdate>) {
        let mut large = None;
        let answer = self.with_confirmation(held, now, || {
            let view = self.view.lock();
            let (small, cached) = self.split(&view, version, peer, now);
            large = cached;
            small
        });
        (answer, large)
    }

    /// Splits what a peer is missing into what one answer holds and a document.
    fn split(
        &self,
        view: &CatalogueView,
        version: u64,
        peer: PeerPosition,
        now: Micros,
    ) -> (CatalogueSnapshot, Option<LargeUpdate>) {
        let lists_replicas = view.lists_all_replicas(peer) && view.known_replicas() >= LARGE_LISTING;
        match view.configuration_update(version) {
            ConfigurationUpdate::None if !lists_replicas => (view.replica_update(peer, now), None),
            ConfigurationUpdate::Steps(steps, bytes) if bytes <= INLINE_BYTES && !lists_replicas => {
                (CatalogueSnapshot { steps, ..view.replica_update(peer, now) }, None)
            }
            update => match self.document(view, version, update, lists_replicas, now) {
                Some(large) if lists_replicas => (CatalogueSnapshot::default(), Some(large)),
                Some(large) => (view.replica_update(peer, now), Some(large)),
                // It cannot be encoded, and no other answer can.
                None => (CatalogueSnapshot::default(), None),
            },
        }
    }

    /// The document of what a peer that has `version` is missing.
    fn document(
        &self,
        view: &CatalogueView,
        version: u64,
        update: ConfigurationUpdate,
        lists_replicas: bool,
        now: Micros,
    ) -> Option<LargeUpdate> {
        let is_reusable = |cached: &&CachedDocument| {
            let same = cached.base == version && cached.update.lists_replicas == lists_replicas;
            let fresh = !lists_replicas || now.since(cached.created_at) < LISTING_LIFETIME;
            same && fresh
                && cached.update.version == view.version()
                && self.documents.is_complete(cached.update.digest)
        };
        let mut cached = self.cached.lock();
        if let Some(cached) = cached.iter().find(is_reusable) {
            return Some(cached.update);
        }
        let listing = if lists_replicas {
            view.replica_update(PeerPosition::default(), now)
        } else {
            CatalogueSnapshot::default()
        };
        let content = match update {
            ConfigurationUpdate::None => listing,
            ConfigurationUpdate::Steps(steps, _) => CatalogueSnapshot { steps, ..listing },
            ConfigurationUpdate::Full => {
                let configuration = view.routes().map(|routes| routes.configuration().clone());
                CatalogueSnapshot { configuration, ..listing }
            }
        };
        let digest = self.documents.insert(content.to_document()?, now);
        let update = LargeUpdate { digest, version: view.version(), lists_replicas };
        cached.push(CachedDocument { base: version, update, created_at: now });
        if cached.len() > MAXIMUM_CACHED_DOCUMENTS {
            cached.remove(0);
        }
        Some(update)
    }

    /// What `read` gives, with how old it is.
    fn with_confirmation(
        &self,
        held: Micros,
        now: Micros,
        read: impl FnOnce() -> CatalogueSnapshot,
    ) -> CatalogueSnapshot {
        // Before the view is looked at: what is told is as new as the bound, or newer.
        let confirmation = self.confirmed_ago(now).map(|age| PeerConfirmation { held, age });
        let snapshot = read();
        let nodes_met = self.nodes_met.load(Ordering::Relaxed);
        CatalogueSnapshot {
            heard_ms_ago: self.contact_ago(now).map(Micros::as_millis),
            confirmation,
            nodes_met: (nodes_met > 0).then_some(nodes_met),
            ..snapshot
        }
    }
}
