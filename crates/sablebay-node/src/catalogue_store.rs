//! The catalogue as this node knows it, shared by whoever reads it, serves by it, and answers peers.

use parking_lot::Mutex;
use tokio::sync::watch;

use sablebay_catalogue::{CatalogueSnapshot, CatalogueView};

/// The catalogue as this node knows it.
pub struct CatalogueStore {
    view: Mutex<CatalogueView>,
    changed: watch::Sender<u64>,
}

impl Default for CatalogueStore {
    fn default() -> Self {
        Self { view: Mutex::default(), changed: watch::channel(0).0 }
    }
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

    /// What a peer that has these revisions is missing.
    pub fn snapshot(&self, version: u64, replicas_at: u64) -> CatalogueSnapshot {
        self.view.lock().snapshot(version, replicas_at)
    }
}
