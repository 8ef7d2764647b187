//! Whom a node asks for news next.

use sablebay_catalogue::READERS;

/// Where a node is among its peers, in an order that is the same on every node and begins with the readers.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerRotation {
    offset: usize,
    failures: usize,
}

impl PeerRotation {
    /// The index of the next peer among this many: the readers in turn, and after failures anybody in turn.
    pub fn index(self, peers: usize) -> usize {
        let among = if self.includes_all_peers() { peers } else { READERS.min(peers) };
        (self.offset + self.failures) % among.max(1)
    }

    /// Whether nobody has failed since the last answer.
    pub fn is_first_try(self) -> bool {
        self.failures == 0
    }

    /// Whether the readers failed one after the other.
    pub fn includes_all_peers(self) -> bool {
        self.failures >= READERS
    }

    /// The peer had news, or knew that there are none.
    pub fn answered(&mut self) {
        self.offset += 1;
        self.failures = 0;
    }

    /// The peer answered, and what it knows is old: a reader is asked next.
    pub fn answered_stale(&mut self) {
        self.offset += 1;
        self.failures = 1;
    }

    /// The peer said nothing, or is itself behind.
    pub fn failed(&mut self) {
        self.failures += 1;
    }
}
