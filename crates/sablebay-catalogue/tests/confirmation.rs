//! Confirmation bounds are never later than the true time, over any number of hops with arbitrary delays.
//!
//! Clocks of nodes differ by any offset but run at the same rate.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use sablebay_catalogue::{
    CatalogueRevision, ConfigurationRevisions, Era, PeerConfirmation, WATCH_SILENCE, bound_of_listing,
    bound_of_wait,
};
use sablebay_model::Micros;

fn cases() -> Config {
    Config { cases: 2_000, rng_seed: RngSeed::Fixed(16), failure_persistence: None, ..Config::default() }
}

/// A node with its bound by its own clock and the true time up to which its configuration is the newest.
#[derive(Clone, Copy, Debug)]
struct Node {
    clock_ahead: u64,
    bound: Micros,
    newest_up_to: u64,
}

impl Node {
    fn clock(&self, at: u64) -> Micros {
        Micros(at + self.clock_ahead)
    }

    fn bound_in_true_time(&self) -> u64 {
        self.bound.0.saturating_sub(self.clock_ahead)
    }

    fn is_valid(&self) -> bool {
        self.bound_in_true_time() <= self.newest_up_to
    }
}

/// Delays of one request and its response, in microseconds.
#[derive(Clone, Copy, Debug)]
struct Delays {
    before: u64,
    request_delay: u64,
    held: u64,
    response_delay: u64,
}

fn delays() -> impl Strategy<Value = Delays> {
    let way = || prop_oneof![0..2_000_u64, 0..4_000_000_u64];
    (way(), way(), 0..900_000_u64, way()).prop_map(|(before, request_delay, held, response_delay)| Delays {
        before,
        request_delay,
        held,
        response_delay,
    })
}

/// The source evaluates the request between sending and response; a watch may have missed changes before.
fn read_source(at: u64, delays: Delays, clock_ahead: u64, waits: bool) -> (Node, u64) {
    let asked_at = at + delays.before;
    let answered = asked_at + delays.request_delay + delays.held;
    let silence = if waits { WATCH_SILENCE.0 } else { 0 };
    let asked = Micros(asked_at + clock_ahead);
    let bound = if waits { bound_of_wait(asked) } else { bound_of_listing(asked) };
    let node = Node { clock_ahead, bound, newest_up_to: answered - silence };
    (node, answered + delays.response_delay)
}

fn ask_peer(at: u64, delays: Delays, clock_ahead: u64, peer: &Node) -> (Node, u64) {
    let asked_at = at + delays.before;
    let received = asked_at + delays.request_delay;
    let responded_at = received + delays.held;
    let arrived = responded_at + delays.response_delay;
    let confirmation =
        PeerConfirmation { held: Micros(delays.held), age: peer.clock(responded_at).since(peer.bound) };
    let bound = confirmation.bound(Micros(asked_at + clock_ahead), Micros(arrived + clock_ahead));
    (Node { clock_ahead, bound, newest_up_to: peer.newest_up_to }, arrived)
}

/// Start of each case, later than any age, so that clocks do not underflow.
const START: u64 = 3_600_000_000;

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn a_bound_is_never_later_than_the_truth(
        waits in any::<bool>(),
        first in delays(),
        hops in prop::collection::vec((delays(), 0..10_000_000_u64), 0..6),
        clock_ahead in 0..10_000_000_u64,
    ) {
        let (mut node, mut at) = read_source(START, first, clock_ahead, waits);
        prop_assert!(node.is_valid(), "bound from the source: {node:?}");
        for (delays, clock_ahead) in hops {
            (node, at) = ask_peer(at, delays, clock_ahead, &node);
            prop_assert!(node.is_valid(), "bound from a peer: {node:?}");
        }
    }

    /// Guards against two stale nodes confirming each other: the bound ages with time.
    #[test]
    fn nodes_that_agree_in_being_old_do_not_keep_each_other_fresh(
        exchanges in prop::collection::vec(delays(), 1..20),
    ) {
        let (mut peer, mut at) = read_source(START, exchanges[0], 5_000_000, false);
        let first = peer.newest_up_to;
        for (turn, delays) in exchanges.iter().enumerate() {
            let (asker, arrived) = ask_peer(at, *delays, turn as u64 % 2 * 7_000_000, &peer);
            prop_assert!(asker.bound_in_true_time() <= first);
            (peer, at) = (asker, arrived);
        }
        prop_assert!(peer.clock(at).since(peer.bound).0 >= at - first);
    }

    /// With short delays the bound stays close to the true time.
    #[test]
    fn a_bound_loses_no_more_than_the_way_there(held in 0..900_000_u64, way in 0..50_000_u64) {
        let (reader, at) = read_source(START, Delays { before: 0, request_delay: 0, held: 0, response_delay: 0 }, 0, false);
        let delays = Delays { before: 0, request_delay: way, held, response_delay: way };
        let (node, _) = ask_peer(at, delays, 0, &reader);
        prop_assert!(node.newest_up_to - node.bound_in_true_time() <= way);
    }
}

fn revisions(read: u64, unreadable: u64) -> ConfigurationRevisions {
    let at = |number| CatalogueRevision::new(Era::UNNAMED, number);
    ConfigurationRevisions::new(at(read), at(unreadable))
}

/// A peer with a fast clock or invalid values cannot move the bound past the present minus its age.
#[test]
fn a_peer_cannot_have_held_a_question_for_longer_than_the_answer_took() {
    let confirmation = PeerConfirmation { held: Micros::from_secs(60), age: Micros::from_secs(2) };
    let (asked_at, now) = (Micros::from_secs(100), Micros::from_secs(101));
    assert_eq!(confirmation.bound(asked_at, now), Micros::from_secs(99));
}

#[test]
fn a_configuration_that_was_not_read_stays_unread_until_a_newer_one_is() {
    let mut known = ConfigurationRevisions::default();
    assert!(known.newest_is_read());
    known.merge(revisions(4, 0));
    known.merge(revisions(0, 9));
    assert!(!known.newest_is_read());
    // Neither an empty update nor the older revision clears the unreadable one.
    known.merge(ConfigurationRevisions::default());
    known.merge(revisions(4, 0));
    assert!(!known.newest_is_read());
    known.merge(revisions(12, 9));
    assert!(known.newest_is_read());
}
