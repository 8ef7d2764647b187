//! Documents that this node serves to peers in chunks.
//!
//! Chunks are served as soon as they arrive, before the document is complete.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::watch;

use sablebay_catalogue::{CHUNK_BYTES, Distribution, DocumentDigest, FAN_OUT};
use sablebay_model::{Micros, ZoneName};

/// How long a document is kept after its last use.
/// The nodes of a zone request a document within a second or two of each other.
const RETENTION: Micros = Micros::from_secs(10);
/// Each document has some hundred kilobytes, and the smallest nodes have 112 MB.
const MAXIMUM_DOCUMENTS: usize = 8;
/// How long a request for a missing chunk waits; shorter than the requester's timeout for switching to another node.
const ARRIVAL_TIMEOUT: Duration = Duration::from_millis(250);
/// The largest document that is fetched, in bytes.
pub const MAXIMUM_DOCUMENT_BYTES: u64 = 4 << 20;

struct Document {
    chunks: Vec<Option<Bytes>>,
    used_at: Micros,
    /// Assignment of requesters to sources, by zone.
    distribution: HashMap<ZoneName, Distribution>,
}

impl Document {
    fn new(chunks: Vec<Option<Bytes>>, now: Micros) -> Self {
        Self { chunks, used_at: now, distribution: HashMap::new() }
    }
}

pub struct DocumentStore {
    documents: Mutex<HashMap<DocumentDigest, Document>>,
    /// Counts chunks that arrived.
    arrivals: watch::Sender<u64>,
}

impl Default for DocumentStore {
    fn default() -> Self {
        Self { documents: Mutex::default(), arrivals: watch::channel(0).0 }
    }
}

impl DocumentStore {
    /// Stores a complete document.
    pub fn insert(&self, content: Vec<u8>, now: Micros) -> DocumentDigest {
        let digest = DocumentDigest::of(&content);
        let content = Bytes::from(content);
        let slice = |from: usize| Some(content.slice(from..content.len().min(from + CHUNK_BYTES)));
        let chunks = (0..content.len()).step_by(CHUNK_BYTES).map(slice).collect();
        let mut documents = self.documents.lock();
        let kept = documents.entry(digest).or_insert_with(|| Document::new(Vec::new(), now));
        kept.chunks = chunks;
        kept.used_at = now;
        evict_oldest(&mut documents, digest);
        drop(documents);
        self.arrivals.send_modify(|count| *count += 1);
        digest
    }

    /// Prepares an entry for a document that is about to be fetched; chunks that already arrived are kept.
    pub fn begin_fetch(&self, digest: DocumentDigest, now: Micros) {
        let mut documents = self.documents.lock();
        let empty = || Document::new(vec![None; digest.chunks()], now);
        documents.entry(digest).or_insert_with(empty).used_at = now;
        evict_oldest(&mut documents, digest);
    }

    /// Numbers of the missing chunks.
    pub fn missing(&self, digest: DocumentDigest) -> Vec<usize> {
        let documents = self.documents.lock();
        let chunks = documents.get(&digest).map(|document| document.chunks.as_slice()).unwrap_or_default();
        let missing = chunks.iter().enumerate().filter(|(_, chunk)| chunk.is_none());
        missing.map(|(number, _)| number).collect()
    }

    /// Stores a chunk. Returns whether it was missing.
    pub fn insert_chunk(&self, digest: DocumentDigest, number: usize, content: Vec<u8>) -> bool {
        let mut documents = self.documents.lock();
        let chunk = documents.get_mut(&digest).and_then(|document| document.chunks.get_mut(number));
        let Some(chunk) = chunk.filter(|chunk| chunk.is_none()) else {
            return false;
        };
        *chunk = Some(Bytes::from(content));
        drop(documents);
        self.arrivals.send_modify(|count| *count += 1);
        true
    }

    /// Whether all chunks of a document are present; their content is not verified.
    pub fn is_complete(&self, digest: DocumentDigest) -> bool {
        let documents = self.documents.lock();
        documents.get(&digest).is_some_and(|document| document.chunks.iter().all(Option::is_some))
    }

    /// The content of a complete document. A document that does not match its digest is removed.
    pub fn content(&self, digest: DocumentDigest) -> Option<Vec<u8>> {
        let mut documents = self.documents.lock();
        let chunks: Option<Vec<Bytes>> = documents.get(&digest)?.chunks.iter().cloned().collect();
        let content = chunks?.concat();
        if DocumentDigest::of(&content) != digest {
            documents.remove(&digest);
            return None;
        }
        Some(content)
    }

    pub fn remove(&self, digest: DocumentDigest) {
        self.documents.lock().remove(&digest);
    }

    /// Returns a chunk, waiting up to `ARRIVAL_TIMEOUT` for it to arrive.
    pub async fn chunk(&self, digest: DocumentDigest, number: u64, now: Micros) -> Option<Bytes> {
        let number = usize::try_from(number).ok()?;
        let mut arrivals = self.arrivals.subscribe();
        let arrived = arrivals.wait_for(|_| self.available_chunk(digest, number, now).is_some());
        // The chunk is looked up again after a timeout.
        let _ = tokio::time::timeout(ARRIVAL_TIMEOUT, arrived).await;
        self.available_chunk(digest, number, now)
    }

    fn available_chunk(&self, digest: DocumentDigest, number: usize, now: Micros) -> Option<Bytes> {
        let mut documents = self.documents.lock();
        let document = documents.get_mut(&digest)?;
        document.used_at = document.used_at.max(now);
        document.chunks.get(number).cloned().flatten()
    }

    /// The peer from which `requester` should fetch a document; `None` means this node.
    pub fn source_for(
        &self,
        digest: DocumentDigest,
        requester: SocketAddr,
        zone: &ZoneName,
        is_own_zone: bool,
    ) -> Option<SocketAddr> {
        // A document is sent into another zone once and distributed within that zone.
        let roots = if is_own_zone { FAN_OUT } else { 1 };
        let mut documents = self.documents.lock();
        let document = documents.get_mut(&digest)?;
        let distribution = document.distribution.entry(zone.clone());
        distribution.or_insert_with(|| Distribution::new(roots)).source_for(requester)
    }

    /// Removes documents that were not used within `RETENTION`.
    pub fn expire(&self, now: Micros) {
        self.documents.lock().retain(|_, document| now.since(document.used_at) < RETENTION);
    }
}

/// Evicts the least recently used documents, except `newest`.
fn evict_oldest(documents: &mut HashMap<DocumentDigest, Document>, newest: DocumentDigest) {
    while documents.len() > MAXIMUM_DOCUMENTS {
        let others = documents.iter().filter(|(digest, _)| **digest != newest);
        let Some(oldest) = others.min_by_key(|(_, document)| document.used_at).map(|(digest, _)| *digest)
        else {
            return;
        };
        documents.remove(&oldest);
    }
}
