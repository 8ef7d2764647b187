//! A node's view never regresses, whatever the order of updates.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use sablebay_catalogue::{
    CallerLimits, CataloguePosition, CatalogueRevision, CatalogueView, Era, EraStage, Listing, Replica,
    ReplicaChange, ReplicaId, ReplicaPhase, RoutingConfiguration, ServiceName,
};
use sablebay_model::{Micros, ZoneName};

const START: Micros = Micros::from_secs(10);

/// A revision of a source without eras.
fn at(number: u64) -> CatalogueRevision {
    CatalogueRevision::new(Era::UNNAMED, number)
}

/// A position at a source without eras.
fn up_to(number: u64) -> CataloguePosition {
    EraStage::UNNAMED.at(number)
}

fn replica(id: &str, phase: ReplicaPhase) -> Replica {
    Replica {
        id: ReplicaId::new(id),
        service: ServiceName::new("s"),
        address: "127.0.0.1:1".parse().expect("valid address"),
        zone: ZoneName::new("z"),
        slots: 2,
        phase,
        warm_up_left_ms: 0,
        sequence: 0,
    }
}

fn configuration(version: u64) -> RoutingConfiguration {
    RoutingConfiguration {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits::default(),
        tenants: None,
    }
}

fn routable(view: &CatalogueView, now: Micros) -> Vec<(String, bool)> {
    let services = view.routable(now);
    let replicas = services.get(&ServiceName::new("s")).map(Vec::as_slice).unwrap_or_default();
    replicas.iter().map(|known| (known.replica.id.to_string(), known.last_resort)).collect()
}

#[test]
fn a_draining_replica_gets_no_work() {
    let mut view = CatalogueView::default();
    view.apply(ReplicaChange::Written(replica("a", ReplicaPhase::Ready)), at(1), START);
    view.apply(ReplicaChange::Written(replica("b", ReplicaPhase::Ready)), at(2), START);
    view.apply(ReplicaChange::Written(replica("a", ReplicaPhase::Draining)), at(3), START);
    assert_eq!(routable(&view, START), [("b".to_string(), false)]);
    // An older update does not bring the replica back.
    view.apply(ReplicaChange::Written(replica("a", ReplicaPhase::Ready)), at(1), START);
    assert_eq!(routable(&view, START), [("b".to_string(), false)]);
}

#[test]
fn a_vanished_replica_is_a_last_resort_and_then_nothing() {
    let mut view = CatalogueView::default();
    view.apply(ReplicaChange::Written(replica("a", ReplicaPhase::Ready)), at(1), START);
    view.apply(ReplicaChange::Removed(ReplicaId::new("a")), at(2), START);
    assert_eq!(routable(&view, START), [("a".to_string(), true)]);
    let expiry = view.next_expiry(START).expect("the absence expires");
    assert!(expiry.since(START) < Micros::from_secs(3), "within the bound for removed replicas");
    assert!(routable(&view, expiry).is_empty());
    // The next heartbeat brings the replica back.
    view.apply(ReplicaChange::Written(replica("a", ReplicaPhase::Ready)), at(3), expiry);
    assert_eq!(routable(&view, expiry), [("a".to_string(), false)]);
}

#[test]
fn a_listing_leaves_alone_what_is_newer_than_it() {
    let mut view = CatalogueView::default();
    view.apply(ReplicaChange::Written(replica("old", ReplicaPhase::Ready)), at(1), START);
    view.apply(ReplicaChange::Written(replica("new", ReplicaPhase::Ready)), at(9), START);
    view.replace(
        Listing {
            at: at(5),
            replicas: vec![(replica("kept", ReplicaPhase::Ready), at(4))],
            evacuated: Vec::new(),
        },
        START,
    );
    let known = routable(&view, START);
    assert_eq!(known, [("kept".to_string(), false), ("new".to_string(), false), ("old".to_string(), true)]);
}

#[test]
fn a_configuration_is_replaced_by_a_newer_one_alone() {
    let mut view = CatalogueView::default();
    assert!(view.offer_configuration(configuration(7)));
    assert!(!view.offer_configuration(configuration(7)));
    assert!(!view.offer_configuration(configuration(3)));
    assert!(view.offer_configuration(configuration(8)));
    assert_eq!(view.routes().map(|routes| routes.version()), Some(8));
}

#[test]
fn a_peer_that_knows_less_changes_nothing() {
    let mut newer = CatalogueView::default();
    newer.offer_configuration(configuration(4));
    newer.replace(
        Listing {
            at: at(20),
            replicas: vec![(replica("a", ReplicaPhase::Draining), at(18))],
            evacuated: Vec::new(),
        },
        START,
    );
    let mut older = CatalogueView::default();
    older.offer_configuration(configuration(3));
    older.replace(
        Listing {
            at: at(10),
            replicas: vec![(replica("a", ReplicaPhase::Ready), at(5))],
            evacuated: Vec::new(),
        },
        START,
    );
    assert!(!newer.merge(older.snapshot(0, up_to(0), START), START));
    assert!(older.merge(newer.snapshot(3, up_to(10), START), START));
    assert!(routable(&older, START).is_empty());
    assert_eq!(older.routes().map(|routes| routes.version()), Some(4));
}

/// Guards against sending the full list of replicas for each change.
#[test]
fn a_peer_is_told_what_changed_and_no_more() {
    let mut view = CatalogueView::default();
    for number in 0..50u64 {
        let written = ReplicaChange::Written(replica(&format!("r{number}"), ReplicaPhase::Ready));
        view.apply(written, at(number + 1), START);
    }
    view.advance(at(50));
    view.apply(ReplicaChange::Written(replica("r7", ReplicaPhase::Draining)), at(51), START);
    view.apply(ReplicaChange::Removed(ReplicaId::new("r8")), at(52), START);
    view.advance(at(52));
    let snapshot = view.snapshot(0, up_to(50), START);
    assert_eq!((snapshot.replicas.len(), snapshot.removed.len(), snapshot.full), (1, 1, false));
    assert_eq!(view.snapshot(0, up_to(0), START).replicas.len(), 49, "an empty peer gets all replicas");
    view.expire(START.plus(Micros::from_secs(120)));
    assert!(
        view.snapshot(0, up_to(50), START).full,
        "the tombstone has expired, so the peer needs the full list"
    );
    assert!(!view.snapshot(0, up_to(52), START).full);
}

/// Guards against a replica that is never removed because the peer started after its removal and does not
/// know of it.
#[test]
fn a_peer_that_listed_later_tells_all_to_whom_it_may_have_missed_something() {
    let mut view = CatalogueView::default();
    view.apply(ReplicaChange::Written(replica("a", ReplicaPhase::Ready)), at(1), START);
    view.apply(ReplicaChange::Written(replica("b", ReplicaPhase::Ready)), at(2), START);
    view.advance(at(2));
    let mut started = CatalogueView::default();
    let listing = Listing {
        at: at(3),
        replicas: vec![(replica("a", ReplicaPhase::Ready), at(1))],
        evacuated: Vec::new(),
    };
    started.replace(listing, START);
    let snapshot = started.snapshot(0, view.replicas_at(), START);
    assert!(snapshot.full);
    view.merge(snapshot, START);
    let later = START.plus(Micros::from_secs(2));
    assert_eq!(routable(&view, later), [("a".to_string(), false)]);
    assert!(
        !started.snapshot(0, view.replicas_at(), START).full,
        "a peer at the same position needs no full list"
    );
}

#[derive(Clone, Debug)]
enum Step {
    Write(u8, bool),
    Remove(u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u8..4, any::<bool>()).prop_map(|(id, draining)| Step::Write(id, draining)),
        (0u8..4).prop_map(Step::Remove),
    ]
}

fn change(step: &Step) -> ReplicaChange {
    match step {
        Step::Write(id, draining) => {
            let phase = if *draining { ReplicaPhase::Draining } else { ReplicaPhase::Ready };
            ReplicaChange::Written(replica(&format!("r{id}"), phase))
        }
        Step::Remove(id) => ReplicaChange::Removed(ReplicaId::new(format!("r{id}"))),
    }
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(12), cases: 300, ..Config::default() })]

    /// Changes applied in any order, with duplicates, give the same state as in their own order.
    #[test]
    fn the_order_of_arrival_does_not_matter(
        steps in proptest::collection::vec(step(), 1..20),
        order in proptest::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let mut ordered = CatalogueView::default();
        for (revision, step) in steps.iter().enumerate() {
            ordered.apply(change(step), at(revision as u64 + 1), START);
        }
        let mut shuffled = CatalogueView::default();
        let arrivals = order.iter().map(|index| index.index(steps.len())).chain((0..steps.len()).rev());
        for position in arrivals {
            shuffled.apply(change(&steps[position]), at(position as u64 + 1), START);
        }
        let later = START.plus(Micros::from_secs(2));
        prop_assert_eq!(routable(&ordered, later), routable(&shuffled, later));
    }

    /// A peer that requests updates at any time ends in the same state, even if tombstones expire in between.
    #[test]
    fn a_peer_that_follows_ends_with_the_same(
        steps in proptest::collection::vec((step(), any::<bool>(), any::<bool>()), 1..30),
    ) {
        let mut source = CatalogueView::default();
        let mut follower = CatalogueView::default();
        let mut now = START;
        for (revision, (step, asks, forgets)) in steps.iter().enumerate() {
            now = now.plus(Micros::from_millis(10));
            source.apply(change(step), at(revision as u64 + 1), now);
            source.advance(at(revision as u64 + 1));
            if *forgets {
                now = now.plus(Micros::from_secs(100));
                source.expire(now);
            }
            if *asks {
                follower.merge(source.snapshot(0, follower.replicas_at(), now), now);
            }
        }
        follower.merge(source.snapshot(0, follower.replicas_at(), now), now);
        let later = now.plus(Micros::from_secs(2));
        prop_assert_eq!(routable(&source, later), routable(&follower, later));
        prop_assert_eq!(source.replicas_at(), follower.replicas_at());
    }
}
