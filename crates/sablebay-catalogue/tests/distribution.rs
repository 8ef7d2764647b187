//! Fetch trees of documents, and the time to reach all nodes of a zone in a model of their links.

use std::collections::HashMap;
use std::net::SocketAddr;

use sablebay_catalogue::{CHUNK_BYTES, Distribution, DocumentDigest, FAN_OUT};

/// Link bandwidth in bytes per second.
const LINK: f64 = 1_750_000.0;
/// One-way latency within a zone, in seconds.
const ONE_WAY_S: f64 = 0.001;

fn node(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 256) as u8, (number % 256) as u8], 7_000))
}

/// Index of the node that each asker fetches from, in order of request; `None` for the sender of the offer.
fn sources(roots: usize, askers: usize) -> Vec<Option<usize>> {
    let mut distribution = Distribution::new(roots);
    let places: HashMap<SocketAddr, usize> = (0..askers).map(|number| (node(number), number)).collect();
    (0..askers).map(|number| distribution.source_for(node(number)).map(|source| places[&source])).collect()
}

#[test]
fn no_node_gives_a_document_to_many() {
    for (roots, askers) in [(1, 35), (FAN_OUT, 35), (FAN_OUT, 75), (FAN_OUT, 675)] {
        let sources = sources(roots, askers);
        assert_eq!(sources.iter().filter(|source| source.is_none()).count(), roots);
        for place in 0..askers {
            let fetchers = sources.iter().filter(|source| **source == Some(place)).count();
            assert!(fetchers <= FAN_OUT, "{fetchers} nodes fetch from one node");
        }
    }
}

#[test]
fn everybody_fetches_from_one_that_asked_before() {
    for (number, source) in sources(FAN_OUT, 675).into_iter().enumerate() {
        assert!(source.is_none_or(|source| source < number));
    }
}

#[test]
fn who_asks_again_fetches_from_who_makes_the_offer() {
    let mut distribution = Distribution::new(1);
    assert_eq!(distribution.source_for(node(0)), None);
    assert_eq!(distribution.source_for(node(1)), Some(node(0)));
    assert_eq!(distribution.source_for(node(1)), None);
}

/// Time in seconds until the last node has all chunks. Nodes forward chunks as they arrive; `slowed` in ten
/// nodes have a quarter of the bandwidth.
fn last_arrival_s(askers: usize, bytes: usize, slowed: usize) -> f64 {
    let chunks = bytes.div_ceil(CHUNK_BYTES);
    let mut children: HashMap<Option<usize>, Vec<usize>> = HashMap::new();
    for (number, source) in sources(FAN_OUT, askers).into_iter().enumerate() {
        children.entry(source).or_default().push(number);
    }
    let mut arrivals = vec![vec![0.0; chunks]; askers];
    let mut last = 0.0_f64;
    // Sources precede the nodes that fetch from them.
    for sender in std::iter::once(None).chain((0..askers).map(Some)) {
        let is_slowed = sender.is_some_and(|sender| sender * 7 % 10 < slowed);
        let send_s = CHUNK_BYTES as f64 / LINK * if is_slowed { 4.0 } else { 1.0 };
        let mut free_at = 0.0_f64;
        let here_at = sender.map_or_else(|| vec![0.0; chunks], |sender| arrivals[sender].clone());
        for (chunk, here_at) in here_at.into_iter().enumerate() {
            for fetcher in children.get(&sender).map(Vec::as_slice).unwrap_or_default() {
                free_at = free_at.max(here_at) + send_s;
                arrivals[*fetcher][chunk] = free_at + ONE_WAY_S;
                last = last.max(free_at + ONE_WAY_S);
            }
        }
    }
    last
}

#[test]
fn the_last_of_a_zone_has_a_large_change_within_a_second() {
    // A quarter of fleets of 140, 300 and 2,700 nodes.
    for askers in [35, 75, 675] {
        let (sound, slowed) = (last_arrival_s(askers, 200_000, 0), last_arrival_s(askers, 200_000, 3));
        println!("{askers} nodes: 200 kB after {sound:.2} s, with three in ten slowed after {slowed:.2} s");
        assert!(sound < 1.0 && slowed < 3.0, "{askers} nodes: {sound} s, slowed {slowed} s");
    }
}

#[test]
fn chunks_cover_a_document() {
    for bytes in [0, 1, CHUNK_BYTES - 1, CHUNK_BYTES, CHUNK_BYTES + 1, 5 * CHUNK_BYTES] {
        let digest = DocumentDigest::of(&vec![7; bytes]);
        assert_eq!(digest.bytes, bytes as u64);
        assert_eq!(digest.chunks(), bytes.div_ceil(CHUNK_BYTES));
    }
    assert_ne!(DocumentDigest::of(b"one"), DocumentDigest::of(b"two"));
}
