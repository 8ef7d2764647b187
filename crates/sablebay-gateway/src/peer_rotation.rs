//! Chooses the peer that a node requests catalogue updates from.

use sablebay_catalogue::READERS;

/// Rotation over the ranked peers; the ranking is the same on every node and begins with the readers.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerRotation {
    offset: usize,
    failures: usize,
}

impl PeerRotation {
    /// Index of the next peer: rotates over the readers, and after repeated failures over all peers.
    pub fn index(self, peers: usize) -> usize {
        let among = if self.includes_all_peers() { peers } else { READERS.min(peers) };
        (self.offset + self.failures) % among.max(1)
    }

    /// Whether no request has failed since the last answer.
    pub fn is_first_try(self) -> bool {
        self.failures == 0
    }

    /// Whether enough requests failed in a row that all peers are used.
    pub fn includes_all_peers(self) -> bool {
        self.failures >= READERS
    }

    /// Records an answer with an update, or with the confirmation that there is none.
    pub fn answered(&mut self) {
        self.offset += 1;
        self.failures = 0;
    }

    /// Records an answer with outdated contents; the next request goes to a reader.
    pub fn answered_stale(&mut self) {
        self.offset += 1;
        self.failures = 1;
    }

    /// Records a request that failed, or a peer that lags behind.
    pub fn failed(&mut self) {
        self.failures += 1;
    }
}
