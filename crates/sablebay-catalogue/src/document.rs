//! Chunked distribution of payloads that are too large for a single response.
//!
//! A node offers a document by its digest and peers fetch it in chunks, which bounds what one node sends at a
//! time. Chunks are identical at all holders, so a fetch can resume at another node.

use std::fmt;
use std::net::SocketAddr;

use musli::{Decode, Encode};
use xxhash_rust::xxh3::xxh3_64;

/// Chunk size; small enough not to delay probes that share the link.
pub const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum size of a payload that is sent inline.
pub const INLINE_BYTES: usize = CHUNK_BYTES;
/// Maximum number of peers that fetch a document from one node.
/// The 35 nodes of a zone have a document after four hops, and three copies of 300 kB take half a second on a link of
/// 14 Mbit/s.
pub const FAN_OUT: usize = 3;

/// Content digest of a document. Not cryptographic: peers are authenticated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct DocumentDigest {
    hash: u64,
    /// Size of the document.
    pub bytes: u64,
}

impl DocumentDigest {
    pub fn of(content: &[u8]) -> Self {
        Self { hash: xxh3_64(content), bytes: content.len() as u64 }
    }

    pub fn chunks(self) -> usize {
        usize::try_from(self.bytes).unwrap_or(usize::MAX).div_ceil(CHUNK_BYTES)
    }
}

impl fmt::Display for DocumentDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.hash)
    }
}

/// Response that refers to a document instead of carrying the payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DocumentOffer {
    pub digest: DocumentDigest,
    /// Version of the configuration that the document leads to.
    pub version: u64,
    /// Whether the document also lists all replicas.
    pub lists_replicas: bool,
    /// Peer to fetch from first, which has or is fetching the document; `None` for the sender of the offer.
    pub source: Option<SocketAddr>,
}

/// Fetch tree of a document within a zone, in order of request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Distribution {
    roots: usize,
    askers: Vec<SocketAddr>,
}

impl Distribution {
    /// The first `roots` nodes (at least one) fetch from the sender of the offer.
    pub fn new(roots: usize) -> Self {
        Self { roots: roots.max(1), askers: Vec::new() }
    }

    /// Returns the peer that `asker` fetches from, or `None` for the sender of the offer. A repeated request
    /// means that the assigned source failed, so it also gets `None`.
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
