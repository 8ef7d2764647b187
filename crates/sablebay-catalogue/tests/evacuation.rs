//! Replicas of an evacuated zone get no requests, whatever the source and order of updates.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use sablebay_catalogue::{
    BackendService, CallerLimits, CataloguePosition, CatalogueRevision, CatalogueView, Era, Listing, Replica,
    ReplicaChange, ReplicaId, ReplicaPhase, RoutingConfiguration, ServiceName, WarmUp, ZoneNotice,
};
use sablebay_model::{Micros, ZoneName};

const START: Micros = Micros::from_secs(10);
const ZONES: [&str; 3] = ["a", "b", "c"];

/// A revision of a source without eras.
fn at(number: u64) -> CatalogueRevision {
    CatalogueRevision::new(Era::UNNAMED, number)
}

fn replica(zone: &str) -> Replica {
    Replica {
        id: ReplicaId::new(format!("r-{zone}")),
        service: ServiceName::new("s"),
        address: "127.0.0.1:1".parse().expect("valid address"),
        zone: ZoneName::new(zone),
        slots: 2,
        phase: ReplicaPhase::Ready,
        warm_up_left_ms: 0,
        sequence: 0,
    }
}

fn notice(zone: &str, evacuated: bool, revision: u64) -> ZoneNotice {
    ZoneNotice::new(ZoneName::new(zone), evacuated, at(revision))
}

fn view_of_three_zones() -> CatalogueView {
    let mut view = CatalogueView::default();
    for (revision, zone) in ZONES.iter().enumerate() {
        view.apply(ReplicaChange::Written(replica(zone)), at(revision as u64 + 1), START);
    }
    view.advance(at(3));
    view
}

fn zones_in_use(view: &CatalogueView, now: Micros) -> Vec<String> {
    let services = view.routable(now);
    let replicas = services.get(&ServiceName::new("s")).map(Vec::as_slice).unwrap_or_default();
    replicas.iter().map(|known| known.replica.zone.to_string()).collect()
}

#[test]
fn replicas_of_an_evacuated_zone_get_no_work_until_it_is_taken_back() {
    let mut view = view_of_three_zones();
    assert!(view.apply_notice(&notice("b", true, 4), START));
    assert_eq!(zones_in_use(&view, START), ["a", "c"]);
    // A write of a replica's entry does not lift the evacuation.
    view.apply(ReplicaChange::Written(replica("b")), at(5), START);
    assert_eq!(zones_in_use(&view, START), ["a", "c"]);
    assert!(view.apply_notice(&notice("b", false, 6), START));
    assert_eq!(zones_in_use(&view, START), ["a", "b", "c"]);
    assert!(!view.apply_notice(&notice("b", true, 4), START), "an older update is ignored");
    assert_eq!(zones_in_use(&view, START), ["a", "b", "c"]);
}

#[test]
fn a_listing_takes_back_what_it_does_not_name_and_nothing_newer() {
    let mut view = view_of_three_zones();
    view.apply_notice(&notice("a", true, 4), START);
    view.apply_notice(&notice("b", true, 9), START);
    let replicas = ZONES.iter().zip(1..).map(|(zone, revision)| (replica(zone), at(revision)));
    view.replace(Listing { at: at(8), replicas: replicas.collect(), evacuated: Vec::new() }, START);
    assert_eq!(zones_in_use(&view, START), ["a", "c"], "b was evacuated after the listing");
}

#[test]
fn a_node_that_starts_learns_of_evacuations_from_a_peer() {
    let mut peer = view_of_three_zones();
    peer.apply_notice(&notice("c", true, 4), START);
    peer.advance(at(4));
    let mut started = CatalogueView::default();
    assert!(started.merge(peer.snapshot(0, CataloguePosition::NOTHING, START), START));
    assert_eq!(zones_in_use(&started, START), ["a", "b"]);
    // A peer that is behind does not lift the evacuation.
    started.merge(view_of_three_zones().snapshot(0, CataloguePosition::NOTHING, START), START);
    assert_eq!(zones_in_use(&started, START), ["a", "b"]);
}

/// Guards against an evacuation that is never lifted because the peer started after it was and does not
/// mention the zone.
#[test]
fn a_peer_that_never_heard_of_a_zone_takes_it_back() {
    let mut view = view_of_three_zones();
    view.apply_notice(&notice("b", true, 4), START);
    view.advance(at(4));
    let mut started = CatalogueView::default();
    let replicas = ZONES.iter().zip(1..).map(|(zone, revision)| (replica(zone), at(revision)));
    started.replace(Listing { at: at(5), replicas: replicas.collect(), evacuated: Vec::new() }, START);
    assert!(view.merge(started.snapshot(0, view.replicas_at(), START), START));
    assert_eq!(zones_in_use(&view, START), ["a", "b", "c"]);
    // A peer that is behind lifts nothing.
    view.apply_notice(&notice("c", true, 6), START);
    view.advance(at(6));
    view.merge(started.snapshot(0, view.replicas_at(), START), START);
    assert_eq!(zones_in_use(&view, START), ["a", "b"]);
}

#[test]
fn a_peer_of_an_earlier_release_does_not_stand_for_what_it_cannot_tell() {
    let mut peer = view_of_three_zones();
    peer.advance(at(20));
    let mut snapshot = peer.snapshot(0, CataloguePosition::NOTHING, START);
    snapshot.zones = None;
    let mut view = CatalogueView::default();
    view.merge(snapshot, START);
    assert!(view.replicas_at().is_nothing(), "a full listing is still due");
}

#[test]
fn replicas_of_a_zone_that_was_taken_back_count_as_cold_for_as_long_as_their_service_says() {
    let mut view = view_of_three_zones();
    let warm_up = WarmUp { lasts_ms: 7_000, requests_per_s: 0.0 };
    view.offer_configuration(RoutingConfiguration {
        version: 1,
        routes: Vec::new(),
        services: vec![BackendService { name: ServiceName::new("s"), maximum_connections: 4, warm_up }],
        limits: CallerLimits::default(),
        tenants: None,
    });
    view.apply_notice(&notice("b", true, 4), START);
    let lifted_at = START.plus(Micros::from_secs(30));
    view.apply_notice(&notice("b", false, 5), lifted_at);
    let services = view.routable(lifted_at);
    let warm_at: Vec<Micros> = services[&ServiceName::new("s")].iter().map(|known| known.warm_at).collect();
    assert_eq!(warm_at, [START, lifted_at.plus(Micros::from_millis(7_000)), START]);
}

/// An update that a node receives.
#[derive(Clone, Debug)]
enum Event {
    /// The change with this number.
    Change(usize),
    /// The state after the change with this number.
    Listing(usize),
}

fn history() -> impl Strategy<Value = Vec<(usize, bool)>> {
    prop::collection::vec((0..ZONES.len(), any::<bool>()), 1..12)
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(14), cases: 512, ..Config::default() })]

    /// The latest received setting of a zone applies, even if updates are duplicated, delayed or lost.
    #[test]
    fn the_last_word_that_was_heard_stands(
        notices in history(),
        received in prop::collection::vec((any::<bool>(), any::<prop::sample::Index>()), 1..30),
    ) {
        let mut view = view_of_three_zones();
        let mut newest = [0u64; ZONES.len()];
        for (by_listing, index) in received {
            let number = index.index(notices.len());
            let event = if by_listing { Event::Listing(number) } else { Event::Change(number) };
            match event {
                Event::Change(number) => {
                    let (zone, evacuated) = notices[number];
                    let revision = 10 + number as u64;
                    view.apply_notice(&notice(ZONES[zone], evacuated, revision), START);
                    newest[zone] = newest[zone].max(revision);
                }
                Event::Listing(number) => {
                    let listed_at = 10 + number as u64;
                    let mut evacuated = Vec::new();
                    for (zone, name) in ZONES.iter().enumerate() {
                        let last = (0..=number).rev().find(|change| notices[*change].0 == zone);
                        if let Some(last) = last.filter(|change| notices[*change].1) {
                            evacuated.push((ZoneName::new(name), at(10 + last as u64)));
                        }
                    }
                    let replicas = ZONES.iter().zip(1..).map(|(zone, revision)| (replica(zone), at(revision)));
                    view.replace(Listing { at: at(listed_at), replicas: replicas.collect(), evacuated }, START);
                    for known in &mut newest {
                        *known = (*known).max(listed_at);
                    }
                }
            }
            for (zone, name) in ZONES.iter().enumerate() {
                let last = notices.iter().enumerate().rev()
                    .find(|(number, (notice_zone, _))| *notice_zone == zone && 10 + *number as u64 <= newest[zone]);
                let expected = last.is_some_and(|(_, (_, evacuated))| *evacuated);
                prop_assert_eq!(view.is_evacuated(&ZoneName::new(name)), expected);
                prop_assert_eq!(zones_in_use(&view, START).contains(&name.to_string()), !expected);
            }
        }
    }
}
