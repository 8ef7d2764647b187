//! Documents in chunks: served while they arrive, verified by digest, and evicted.

use std::net::SocketAddr;

use sablebay_catalogue::{CHUNK_BYTES, DocumentDigest};
use sablebay_model::{Micros, ZoneName};
use sablebay_node::DocumentStore;

const NOW: Micros = Micros::from_secs(10);

fn content(seed: usize, chunks: usize) -> Vec<u8> {
    (0..chunks * CHUNK_BYTES - 5).map(|place| (place * 31 + seed * 7 + place / 977) as u8).collect()
}

async fn chunk(store: &DocumentStore, digest: DocumentDigest, number: u64) -> Option<Vec<u8>> {
    store.chunk(digest, number, NOW).await.map(|chunk| chunk.to_vec())
}

#[tokio::test]
async fn a_document_comes_out_of_its_chunks() {
    let (first, second) = (DocumentStore::default(), DocumentStore::default());
    let document = content(1, 4);
    let digest = first.insert(document.clone(), NOW);
    second.begin_fetch(digest, NOW);
    assert_eq!(second.missing(digest), [0, 1, 2, 3]);
    for number in [2, 0, 3, 1] {
        assert_eq!(second.content(digest), None);
        let chunk = chunk(&first, digest, number as u64).await.expect("the chunk is present");
        assert!(second.insert_chunk(digest, number, chunk.clone()));
        assert!(!second.insert_chunk(digest, number, chunk), "a chunk is stored once");
    }
    assert!(second.is_complete(digest));
    assert_eq!(second.content(digest), Some(document));
}

#[tokio::test]
async fn a_chunk_is_waited_for_while_it_is_on_its_way() {
    let store = std::sync::Arc::new(DocumentStore::default());
    let document = content(2, 2);
    let digest = DocumentDigest::of(&document);
    let request = {
        let store = store.clone();
        // Requested before the fetch has begun.
        tokio::spawn(async move { chunk(&store, digest, 1).await })
    };
    tokio::task::yield_now().await;
    store.begin_fetch(digest, NOW);
    store.insert_chunk(digest, 1, document[CHUNK_BYTES..].to_vec());
    assert_eq!(request.await.expect("the request ends"), Some(document[CHUNK_BYTES..].to_vec()));
    assert_eq!(chunk(&store, digest, 0).await, None, "the chunk did not arrive");
    assert_eq!(chunk(&store, digest, 9).await, None, "the chunk number is out of range");
}

#[tokio::test]
async fn other_bytes_are_not_taken_for_a_document() {
    let store = DocumentStore::default();
    let document = content(3, 2);
    let digest = DocumentDigest::of(&document);
    store.begin_fetch(digest, NOW);
    store.insert_chunk(digest, 0, document[..CHUNK_BYTES].to_vec());
    store.insert_chunk(digest, 1, content(4, 1));
    assert!(store.is_complete(digest));
    assert_eq!(store.content(digest), None);
    assert!(store.missing(digest).is_empty() && !store.is_complete(digest), "the document is removed");
}

#[test]
fn few_documents_are_kept_and_not_for_long() {
    let store = DocumentStore::default();
    let digests: Vec<DocumentDigest> = (0..12u64)
        .map(|number| store.insert(content(number as usize, 1), NOW.plus(Micros::from_millis(number))))
        .collect();
    assert!(!store.is_complete(digests[0]), "the oldest document is evicted");
    assert!(store.is_complete(digests[11]));
    store.expire(NOW.plus(Micros::from_secs(9)));
    assert!(store.is_complete(digests[11]));
    store.expire(NOW.plus(Micros::from_secs(11)));
    assert!(!store.is_complete(digests[11]));
}

#[test]
fn a_document_crosses_the_border_of_a_zone_once() {
    let store = DocumentStore::default();
    let digest = store.insert(content(5, 2), NOW);
    let address = |last: u8| SocketAddr::from(([10, 0, 0, last], 7_000));
    let (own, other) = (ZoneName::new("own"), ZoneName::new("other"));
    let from_here = |zone: &ZoneName, own_zone: bool, askers: std::ops::Range<u8>| {
        let sources = askers.map(|last| store.source_for(digest, address(last), zone, own_zone));
        sources.filter(Option::is_none).count()
    };
    assert_eq!(from_here(&other, false, 0..20), 1);
    assert_eq!(from_here(&own, true, 20..40), 3);
}
