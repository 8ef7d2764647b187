//! The configuration age that a node reports to peers, also after a suspension of its machine.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use sablebay_catalogue::{
    CataloguePosition, CatalogueRevision, ConfigurationRevisions, Era, EraStage, PeerConfirmation,
};
use sablebay_model::Micros;
use sablebay_node::{CatalogueStore, Clock, ClockSource, Suspension};

/// A revision of a source without eras.
fn at(number: u64) -> CatalogueRevision {
    CatalogueRevision::new(Era::UNNAMED, number)
}

const fn seconds(seconds: u64) -> Micros {
    Micros::from_secs(seconds)
}

#[test]
fn a_sign_of_life_is_no_bound() {
    let store = CatalogueStore::default();
    store.record_contact(seconds(50));
    assert_eq!(store.contact_ago(seconds(52)), Some(seconds(2)));
    assert_eq!(store.confirmed_at(), None);
    assert_eq!(
        store.snapshot(0, CataloguePosition::NOTHING, seconds(0), seconds(52)).confirmation,
        None,
        "a contact must not be reported as a confirmation"
    );
}

#[test]
fn a_bound_never_goes_back() {
    let store = CatalogueStore::default();
    store.confirm(seconds(50));
    store.confirm(seconds(40));
    assert_eq!(store.confirmed_at(), Some(seconds(50)));
}

#[test]
fn a_peer_is_told_the_age_and_how_long_its_question_was_held_at_one_moment() {
    let store = CatalogueStore::default();
    store.confirm(Micros(50_000_999));
    let told =
        store.snapshot(0, CataloguePosition::NOTHING, Micros(700_123), Micros(52_000_000)).confirmation;
    assert_eq!(told, Some(PeerConfirmation { held: Micros(700_123), age: Micros(1_999_001) }));
}

#[test]
fn a_peer_is_told_of_a_configuration_that_could_not_be_read() {
    let (store, peer) = (CatalogueStore::default(), CatalogueStore::default());
    store.update(|view| {
        view.note_revisions(ConfigurationRevisions::new(at(4), at(9)));
        view.advance(at(12));
        true
    });
    let told = store.snapshot(0, EraStage::UNNAMED.at(3), seconds(0), seconds(52));
    peer.update(|view| view.merge(told, seconds(52)));
    // The peer continues from revision 12, after the unreadable item.
    assert!(
        peer.read(|view| view.replicas_at() == EraStage::UNNAMED.at(12) && !view.has_newest_configuration())
    );
}

/// Guards against a confirmation that does not age during a suspension, locally or in answers to peers.
#[test]
fn a_bound_ages_while_the_machine_is_suspended() {
    static SUSPENDED: AtomicU64 = AtomicU64::new(0);
    let source = ClockSource {
        running: || Duration::from_millis(5_000),
        elapsed: || Duration::from_millis(5_000 + SUSPENDED.load(Ordering::Relaxed)),
    };
    let clock = Clock::start_from(source);
    let (store, suspension) = (CatalogueStore::default(), Suspension::default());
    let asked_at = clock.now();
    store.confirm(asked_at);
    SUSPENDED.fetch_add(6_000, Ordering::Relaxed);
    assert_eq!(store.confirmed_ago(clock.now()), Some(seconds(6)));
    let held = clock.now().since(asked_at);
    let told = store.snapshot(0, CataloguePosition::NOTHING, held, clock.now()).confirmation;
    assert_eq!(told, Some(PeerConfirmation { held: seconds(6), age: seconds(6) }));
    suspension.detect(&clock);
    assert!(
        suspension.resumed_since(asked_at),
        "an answer to a request from before the suspension must not count"
    );
}
