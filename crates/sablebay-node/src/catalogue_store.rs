//! Shared, thread-safe catalogue of this node, with its freshness and the documents sent to peers.

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

/// Number of replicas from which a full listing is sent as a document.
const LARGE_LISTING: usize = 100;
/// How long a full listing is reused for other peers, which fetch later changes separately.
const LISTING_LIFETIME: Micros = Micros::from_secs(1);
/// Maximum number of documents that are reused for peers with the same base version.
const MAXIMUM_CACHED_DOCUMENTS: usize = 8;

/// An update that is too large for one answer and is sent as a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LargeUpdate {
    /// Digest of the document.
    pub digest: DocumentDigest,
    /// Version of the configuration after the update.
    pub version: u64,
    /// Whether the document also lists all replicas.
    pub lists_replicas: bool,
}

/// A document that can be reused for other peers.
#[derive(Clone, Copy, Debug)]
struct CachedDocument {
    /// Configuration version that the document updates from.
    base: u64,
    update: LargeUpdate,
    created_at: Micros,
}

pub struct CatalogueStore {
    view: Mutex<CatalogueView>,
    changed: watch::Sender<u64>,
    /// In microseconds of the node's clock; 0 before the first contact.
    last_contact: AtomicU64,
    /// In microseconds of the node's clock; 0 before the first confirmation.
    confirmed_at: AtomicU64,
    /// Number of discovered nodes reported to peers; 0 while unknown.
    nodes_met: AtomicU64,
    /// Documents served to peers in chunks.
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

/// Reads a time stored in microseconds; `None` for 0.
fn load_time(stored: &AtomicU64) -> Option<Micros> {
    let at = Micros(stored.load(Ordering::Acquire));
    (at.0 > 0).then_some(at)
}

impl CatalogueStore {
    /// Calls `read` with the locked view.
    pub fn read<T>(&self, read: impl FnOnce(&CatalogueView) -> T) -> T {
        read(&self.view.lock())
    }

    /// Calls `change` with the locked view and notifies subscribers when it returns true.
    pub fn update(&self, change: impl FnOnce(&mut CatalogueView) -> bool) -> bool {
        let changed = change(&mut self.view.lock());
        if changed {
            self.changed.send_modify(|count| *count += 1);
        }
        changed
    }

    /// A receiver that is notified of changes.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Records that the source or a peer reported at `at` that nothing newer exists. The report may have been delayed, so
    /// a contact does not bound the age of the configuration; see [`Self::confirm`].
    pub fn record_contact(&self, at: Micros) {
        self.last_contact.fetch_max(at.0, Ordering::AcqRel);
    }

    /// Time of the last recorded contact.
    pub fn last_contact(&self) -> Option<Micros> {
        load_time(&self.last_contact)
    }

    pub fn contact_ago(&self, now: Micros) -> Option<Micros> {
        self.last_contact().map(|at| now.since(at))
    }

    /// Records that the known configuration was the newest at `at`. Must be called after the answer was merged into
    /// the view, so that a reader of the bound and then of the view finds a configuration at least as new.
    pub fn confirm(&self, at: Micros) {
        self.confirmed_at.fetch_max(at.0, Ordering::AcqRel);
    }

    /// Latest time at which the known configuration was confirmed to be the newest.
    pub fn confirmed_at(&self) -> Option<Micros> {
        load_time(&self.confirmed_at)
    }

    pub fn confirmed_ago(&self, now: Micros) -> Option<Micros> {
        self.confirmed_at().map(|at| now.since(at))
    }

    /// Sets the number of discovered nodes that is reported to peers.
    pub fn set_nodes_met(&self, nodes: Option<usize>) {
        self.nodes_met.store(nodes.unwrap_or(0) as u64, Ordering::Relaxed);
    }

    /// Records that a peer has a version of the configuration.
    pub fn note_version(&self, version: u64, now: Micros) {
        self.view.lock().note_version(version, now);
    }

    /// Waits until the view is newer than these revisions, at most for `wait`.
    pub async fn wait_for_newer(&self, version: u64, replicas_at: CataloguePosition, wait: Duration) {
        let mut changes = self.subscribe();
        let newer = changes.wait_for(|_| self.read(|view| view.is_newer_than(version, replicas_at)));
        // The caller answers with the current state in either case.
        let _ = tokio::time::timeout(wait, newer).await;
    }

    /// The update for a peer with these revisions, in one answer of any size. The request arrived `held` before `now`.
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

    /// The update for a peer with these revisions: the part that fits into one answer, and a document for the rest.
    /// The request arrived `held` before `now`.
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

    /// Splits an update into an inline answer and a document.
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
                // The document cannot be encoded.
                None => (CatalogueSnapshot::default(), None),
            },
        }
    }

    /// The document that updates a peer from `version`; reuses a cached document where possible.
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

    /// Adds the freshness of this node to the snapshot that `read` returns.
    fn with_confirmation(
        &self,
        held: Micros,
        now: Micros,
        read: impl FnOnce() -> CatalogueSnapshot,
    ) -> CatalogueSnapshot {
        // Read before the view, so that the snapshot is at least as new as the bound.
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
