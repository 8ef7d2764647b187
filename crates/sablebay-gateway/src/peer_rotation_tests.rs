//! Choice of the next peer while some peers do not answer.

use std::collections::BTreeSet;

use sablebay_catalogue::READERS;

use crate::peer_rotation::PeerRotation;

const PEERS: usize = 76;

/// Guards against requesting twice from the same failed reader, which would delay updates by another timeout.
#[test]
fn after_a_reader_that_fails_the_other_one_is_asked() {
    for before in 0..4 {
        let mut rotation = PeerRotation::default();
        (0..before).for_each(|_| rotation.answered());
        let failed = rotation.index(PEERS);
        rotation.failed();
        assert_ne!(rotation.index(PEERS), failed, "after {before} answers");
        assert!(rotation.index(PEERS) < READERS);
    }
}

#[test]
fn after_both_readers_everybody_is_asked_one_after_the_other() {
    let mut rotation = PeerRotation::default();
    let mut asked = BTreeSet::new();
    for _ in 0..READERS + PEERS {
        asked.insert(rotation.index(PEERS));
        rotation.failed();
    }
    assert_eq!(asked.len(), PEERS);
    rotation.answered();
    assert!(rotation.index(PEERS) < READERS);
}

#[test]
fn readers_that_answer_are_asked_in_turn() {
    let mut rotation = PeerRotation::default();
    let places: Vec<usize> = (0..4)
        .map(|_| {
            let place = rotation.index(PEERS);
            rotation.answered();
            place
        })
        .collect();
    assert_eq!(places, [0, 1, 0, 1]);
    assert_eq!(PeerRotation::default().index(1), 0);
}
