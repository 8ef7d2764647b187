//! Answers that are too large to be given to everybody at one moment.
//!
//! Who asks is told what such a document is called and where it is, and fetches it in chunks. What one node sends at one
//! moment is then a few chunks, however many ask and however large the document is; nothing that has arrived is thrown
//! away when the node that sends it falls silent, since every holder's chunks are the same.

use std::fmt;
use std::net::SocketAddr;

use musli::{Decode, Encode};
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of a chunk: 9 ms of a link of 14 Mbit/s. A probe waits no longer behind one.
pub const CHUNK_BYTES: usize = 16 * 1024;
/// The largest answer that is given at once, in bytes: that of one chunk.
pub const INLINE_BYTES: usize = CHUNK_BYTES;
/// Nodes that fetch from one: each gives the document away three times, so that the 35 nodes of a zone have it after
/// four hops, and a link of 14 Mbit/s needs half a second for three times 300 kB.
pub const FAN_OUT: usize = 3;

/// What a document is called: by what it holds. No proof against anybody: nodes that send it are authenticated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct DocumentDigest {
    hash: u64,
    /// Its size.
    pub bytes: u64,
}

impl DocumentDigest {
    /// Of a document.
    pub fn of(content: &[u8]) -> Self {
        Self { hash: xxh3_64(content), bytes: content.len() as u64 }
    }

    /// The number of its chunks.
    pub fn chunks(self) -> usize {
        usize::try_from(self.bytes).unwrap_or(usize::MAX).div_ceil(CHUNK_BYTES)
    }
}

impl fmt::Display for DocumentDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.hash)
    }
}

/// Tells who asked for news that they are in a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DocumentOffer {
    /// The document.
    pub digest: DocumentDigest,
    /// The version of the configuration that it leads to.
    pub version: u64,
    /// Whether it also lists all replicas.
    pub lists_replicas: bool,
    /// A peer that has it, or is fetching it, and is to be asked first; nothing: who makes the offer.
    pub source: Option<SocketAddr>,
}

/// Who fetches a document from whom, in one zone: a tree in the order in which its nodes ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Distribution {
    roots: usize,
    askers: Vec<SocketAddr>,
}

impl Distribution {
    /// One whose first `roots` askers (one at the least) fetch from who makes the offers.
    pub fn new(roots: usize) -> Self {
        Self { roots: roots.max(1), askers: Vec::new() }
    }

    /// From whom one fetches; nothing: from who makes the offers. That is also for who asks again: its source failed.
    pub fn source_for(&mut self, asker: SocketAddr) -> Option<SocketAddr> {
        if self.askers.contains(&asker) {
            return None;
        }
        let place = self.askers.len();
        self.askers.push(asker);
        let behind = place.checked_sub(self.roots)?;
        Some(self.askers[behind / FAN_OUT])
    }
}
