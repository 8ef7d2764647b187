//! Fetches a large catalogue document in chunks, from the source that the offer names or else from the peer that made
//! the offer.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use sablebay_catalogue::{CatalogueSnapshot, DocumentDigest, DocumentOffer};
use sablebay_node::{Lane, MAXIMUM_DOCUMENT_BYTES};
use sablebay_protocol::peer::{PeerRequest, PeerResponse};

use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol};

/// Number of chunks requested concurrently.
/// One is in transit while the other is requested.
const CHUNKS_AT_ONCE: usize = 2;
/// Time without an answer after which the next source is used. Late answers of the previous source are still accepted.
const STALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without a new chunk after which the fetch is abandoned.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a source that lacks the chunk.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// The answer to a request for a chunk.
struct ChunkAnswer {
    number: usize,
    source: SocketAddr,
    content: Option<Vec<u8>>,
}

/// Fetches an offered document and merges it into the catalogue.
pub async fn fetch_document<C: CallerProtocol, B: BackendProtocol>(
    context: Arc<Context<C, B>>,
    offer: DocumentOffer,
    offerer: SocketAddr,
) {
    let began_at = context.clock().now();
    let digest = offer.digest;
    let mut fetch = DocumentFetch::new(context.clone(), digest, offer.source, offerer);
    let arrived = digest.bytes <= MAXIMUM_DOCUMENT_BYTES && fetch.run().await;
    let snapshot = arrived.then(|| context.node.catalogue.documents.content(digest)).flatten();
    let snapshot = snapshot.and_then(|content| CatalogueSnapshot::from_document(&content));
    let now = context.clock().now();
    let took_ms = now.since(began_at).as_millis();
    let taken = snapshot.is_some();
    context.node.catalogue.update(|view| {
        let changed = snapshot.is_some_and(|snapshot| view.merge(snapshot, now));
        view.incoming_mut().end_fetch();
        changed
    });
    context.metrics.document(if taken { "taken" } else { "given_up" });
    let (bytes, missing) = (digest.bytes, context.node.catalogue.documents.missing(digest).len());
    let source = offer.source.unwrap_or(offerer);
    if taken {
        log::info!(document = digest.to_string().as_str(), version = offer.version, bytes = bytes, source = source.to_string().as_str(), sources_left = fetch.source_switches, took_ms = took_ms; "catalogue: a document was fetched.");
    } else {
        log::warn!(document = digest.to_string().as_str(), version = offer.version, bytes = bytes, chunks_missing = missing, source = source.to_string().as_str(), sources_left = fetch.source_switches, took_ms = took_ms; "catalogue: the fetch of a document was abandoned.");
    }
}

struct DocumentFetch<C, B> {
    context: Arc<Context<C, B>>,
    digest: DocumentDigest,
    /// Sources, used in rotation.
    sources: Vec<SocketAddr>,
    source: usize,
    /// Chunks to request.
    pending: BTreeSet<usize>,
    /// Chunks requested from the current source.
    requested: BTreeSet<usize>,
    calls: JoinSet<ChunkAnswer>,
    /// Number of times that the fetch moved to another source.
    source_switches: u32,
}

impl<C: CallerProtocol, B: BackendProtocol> DocumentFetch<C, B> {
    fn new(
        context: Arc<Context<C, B>>,
        digest: DocumentDigest,
        source: Option<SocketAddr>,
        offerer: SocketAddr,
    ) -> Self {
        let now = context.clock().now();
        let documents = &context.node.catalogue.documents;
        documents.expire(now);
        documents.begin_fetch(digest, now);
        let pending = documents.missing(digest).into_iter().collect();
        let sources = source.into_iter().chain([offerer]).collect();
        let (requested, calls) = (BTreeSet::new(), JoinSet::new());
        Self { context, digest, sources, source: 0, pending, requested, calls, source_switches: 0 }
    }

    /// Runs the fetch; returns whether the document is complete.
    async fn run(&mut self) -> bool {
        let mut last_arrival = Instant::now();
        loop {
            self.request_chunks();
            if self.calls.is_empty() {
                return self.context.node.catalogue.documents.is_complete(self.digest);
            }
            match tokio::time::timeout(STALL_TIMEOUT, self.calls.join_next()).await {
                Ok(Some(Ok(answer))) => {
                    if self.accept(answer) {
                        last_arrival = Instant::now();
                    } else {
                        tokio::time::sleep(FAILURE_PAUSE).await;
                    }
                }
                // The request failed, or the source did not answer in time.
                Ok(_) | Err(_) => self.switch_source(),
            }
            if last_arrival.elapsed() >= FETCH_TIMEOUT {
                return false;
            }
        }
    }

    /// Requests the next chunks from the current source.
    fn request_chunks(&mut self) {
        while self.requested.len() < CHUNKS_AT_ONCE {
            let Some(number) = self.pending.pop_first() else {
                return;
            };
            self.requested.insert(number);
            let (context, digest, source) = (self.context.clone(), self.digest, self.sources[self.source]);
            self.calls.spawn(async move {
                let request = PeerRequest::DocumentChunk { digest, number: number as u64 };
                let until = Instant::now() + FETCH_TIMEOUT;
                let answer = context.node.peers.request(source, Lane::Control, request, until).await;
                let content = match answer {
                    Ok(PeerResponse::DocumentChunk { content }) => Some(content),
                    _ => None,
                };
                ChunkAnswer { number, source, content }
            });
        }
    }

    /// Handles an answer; returns whether it held a new chunk.
    fn accept(&mut self, answer: ChunkAnswer) -> bool {
        let ChunkAnswer { number, source, content } = answer;
        let documents = &self.context.node.catalogue.documents;
        let Some(content) = content else {
            self.requested.remove(&number);
            if documents.missing(self.digest).contains(&number) {
                self.pending.insert(number);
            }
            if source == self.sources[self.source] {
                self.switch_source();
            }
            return false;
        };
        self.requested.remove(&number);
        self.pending.remove(&number);
        documents.insert_chunk(self.digest, number, content)
    }

    /// Switches to the next source, if there is one, and requests outstanding chunks again.
    fn switch_source(&mut self) {
        if self.sources.len() == 1 {
            return;
        }
        self.source = (self.source + 1) % self.sources.len();
        self.source_switches += 1;
        self.pending.append(&mut self.requested);
    }
}
