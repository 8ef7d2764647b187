//! Fetches a large part of the catalogue in chunks, from whom the offer names or else from who made it.

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

/// Chunks that are asked for at one moment: one is on its way while the other is asked for.
const CHUNKS_AT_ONCE: usize = 2;
/// How long nothing may arrive before another source is asked: 40 times what a chunk needs on a link of 14 Mbit/s. What was
/// asked for before is still taken when it comes.
const STALL: Duration = Duration::from_millis(400);
/// How long nothing may arrive before the document is given up. A catalogue that old is read at its source.
const GIVE_UP: Duration = Duration::from_millis(1_500);
/// The pause after a source that has nothing.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// A chunk that was asked for.
struct ChunkAnswer {
    number: usize,
    source: SocketAddr,
    content: Option<Vec<u8>>,
}

/// Fetches what was offered, and takes it into the catalogue.
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
        log::info!(document = digest.to_string().as_str(), version = offer.version, bytes = bytes, source = source.to_string().as_str(), sources_left = fetch.sources_left, took_ms = took_ms; "catalogue: a document was fetched.");
    } else {
        log::warn!(document = digest.to_string().as_str(), version = offer.version, bytes = bytes, chunks_missing = missing, source = source.to_string().as_str(), sources_left = fetch.sources_left, took_ms = took_ms; "catalogue: a document was given up.");
    }
}

struct DocumentFetch<C, B> {
    context: Arc<Context<C, B>>,
    digest: DocumentDigest,
    /// Whom to ask, in turn.
    sources: Vec<SocketAddr>,
    source: usize,
    /// Chunks to ask for.
    wanted: BTreeSet<usize>,
    /// Chunks that the present source was asked for.
    asked: BTreeSet<usize>,
    calls: JoinSet<ChunkAnswer>,
    /// How often a source was left for the next.
    sources_left: u32,
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
        let wanted = documents.missing(digest).into_iter().collect();
        let sources = source.into_iter().chain([offerer]).collect();
        let (asked, calls) = (BTreeSet::new(), JoinSet::new());
        Self { context, digest, sources, source: 0, wanted, asked, calls, sources_left: 0 }
    }

    /// Whether all of it arrived.
    async fn run(&mut self) -> bool {
        let mut last_arrival = Instant::now();
        loop {
            self.ask();
            if self.calls.is_empty() {
                return self.context.node.catalogue.documents.is_complete(self.digest);
            }
            match tokio::time::timeout(STALL, self.calls.join_next()).await {
                Ok(Some(Ok(answer))) => {
                    if self.take(answer) {
                        last_arrival = Instant::now();
                    } else {
                        tokio::time::sleep(FAILURE_PAUSE).await;
                    }
                }
                // A call that ended without an answer, or none within the limit.
                Ok(_) | Err(_) => self.leave_source(),
            }
            if last_arrival.elapsed() >= GIVE_UP {
                return false;
            }
        }
    }

    /// Asks the present source for the next chunks.
    fn ask(&mut self) {
        while self.asked.len() < CHUNKS_AT_ONCE {
            let Some(number) = self.wanted.pop_first() else {
                return;
            };
            self.asked.insert(number);
            let (context, digest, source) = (self.context.clone(), self.digest, self.sources[self.source]);
            self.calls.spawn(async move {
                let request = PeerRequest::DocumentChunk { digest, number: number as u64 };
                let until = Instant::now() + GIVE_UP;
                let answer = context.node.peers.request(source, Lane::Control, request, until).await;
                let content = match answer {
                    Ok(PeerResponse::DocumentChunk { content }) => Some(content),
                    _ => None,
                };
                ChunkAnswer { number, source, content }
            });
        }
    }

    /// Takes an answer; false when it holds nothing new.
    fn take(&mut self, answer: ChunkAnswer) -> bool {
        let ChunkAnswer { number, source, content } = answer;
        let documents = &self.context.node.catalogue.documents;
        let Some(content) = content else {
            self.asked.remove(&number);
            if documents.missing(self.digest).contains(&number) {
                self.wanted.insert(number);
            }
            if source == self.sources[self.source] {
                self.leave_source();
            }
            return false;
        };
        self.asked.remove(&number);
        self.wanted.remove(&number);
        documents.insert_chunk(self.digest, number, content)
    }

    /// Turns to the next source, if there is one, for what the present one was asked for as well.
    fn leave_source(&mut self) {
        if self.sources.len() == 1 {
            return;
        }
        self.source = (self.source + 1) % self.sources.len();
        self.sources_left += 1;
        self.wanted.append(&mut self.asked);
    }
}
