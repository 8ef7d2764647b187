//! Replicas that restart under the same name, and removals that name no incarnation.

use musli::{Decode, Encode};

use sablebay_catalogue::{
    CataloguePosition, CatalogueRevision, CatalogueView, Era, EraStage, Replica, ReplicaChange, ReplicaEntry,
    ReplicaId, ReplicaPhase, ServiceName,
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

fn replica(started_ms: u64, phase: ReplicaPhase) -> Replica {
    Replica {
        id: ReplicaId::with_incarnation("a", started_ms),
        service: ServiceName::new("s"),
        address: "127.0.0.1:1".parse().expect("valid address"),
        zone: ZoneName::new("z"),
        slots: 2,
        phase,
        warm_up_left_ms: 0,
        sequence: 0,
    }
}

fn written(started_ms: u64, phase: ReplicaPhase) -> ReplicaChange {
    ReplicaChange::Written(replica(started_ms, phase))
}

/// Start times of routable incarnations, and whether each is a last resort.
fn incarnations(view: &CatalogueView) -> Vec<(u64, bool)> {
    let services = view.routable(START);
    let replicas = services.get(&ServiceName::new("s")).map(Vec::as_slice).unwrap_or_default();
    replicas.iter().map(|known| (known.replica.id.started_ms(), known.last_resort)).collect()
}

#[test]
fn lives_of_one_name_are_told_apart() {
    let (first, second) = (ReplicaId::with_incarnation("a", 5), ReplicaId::with_incarnation("a", 6));
    assert_ne!(first, second);
    assert_eq!((first.name(), first.started_ms(), first.to_string().as_str()), ("a", 5, "a@5"));
    assert_eq!(first.without_incarnation(), second.without_incarnation());
    assert_eq!(ReplicaId::with_incarnation("a", 0), ReplicaId::new("a"));
    assert!(ReplicaId::is_name("i-7f3a91c2"));
    for name in ["", "a@5", "two words", "line\nbreak", "caf\u{e9}"] {
        assert!(!ReplicaId::is_name(name), "{name:?}");
    }
}

#[test]
fn a_new_life_takes_the_place_of_the_one_before() {
    let mut view = CatalogueView::default();
    view.apply(written(5, ReplicaPhase::Ready), at(1), START);
    view.apply(written(5, ReplicaPhase::Draining), at(2), START);
    assert_eq!(incarnations(&view), []);
    // The new incarnation is ready although the previous one was draining; its clock may be behind.
    view.apply(written(4, ReplicaPhase::Ready), at(3), START);
    assert_eq!(incarnations(&view), [(4, false)]);
    // Late updates of the previous incarnation are ignored.
    view.apply(written(5, ReplicaPhase::Draining), at(2), START);
    view.apply(written(5, ReplicaPhase::Ready), at(1), START);
    assert_eq!(incarnations(&view), [(4, false)]);
}

#[test]
fn an_entry_that_went_names_no_life() {
    let mut view = CatalogueView::default();
    view.apply(written(5, ReplicaPhase::Ready), at(1), START);
    view.apply(ReplicaChange::Removed(ReplicaId::new("a")), at(2), START);
    assert_eq!(incarnations(&view), [(5, true)]);
    view.apply(written(6, ReplicaPhase::Ready), at(3), START);
    assert_eq!(incarnations(&view), [(6, false)]);
}

#[test]
fn peers_tell_each_other_of_lives() {
    let (mut sender, mut receiver) = (CatalogueView::default(), CatalogueView::default());
    for view in [&mut sender, &mut receiver] {
        view.apply(written(5, ReplicaPhase::Draining), at(1), START);
        view.advance(at(1));
    }
    sender.apply(written(6, ReplicaPhase::Ready), at(2), START);
    sender.advance(at(2));
    assert!(receiver.merge(sender.snapshot(0, up_to(1), START), START));
    assert_eq!(incarnations(&receiver), [(6, false)]);
    sender.apply(ReplicaChange::Removed(ReplicaId::new("a")), at(3), START);
    sender.advance(at(3));
    assert!(receiver.merge(sender.snapshot(0, up_to(2), START), START));
    assert_eq!(incarnations(&receiver), [(6, true)]);
    let mut starting = CatalogueView::default();
    sender.apply(written(7, ReplicaPhase::Ready), at(4), START);
    sender.advance(at(4));
    assert!(starting.merge(sender.snapshot(0, up_to(0), START), START));
    assert_eq!(incarnations(&starting), [(7, false)]);
}

/// Wire format of a replica in releases without incarnations.
#[derive(Debug, PartialEq, Encode, Decode)]
struct LegacyReplica {
    id: ReplicaId,
    service: ServiceName,
    address: std::net::SocketAddr,
    zone: ZoneName,
    slots: u32,
    phase: ReplicaPhase,
    warm_up_left_ms: u64,
}

#[test]
fn nodes_that_know_no_lives_are_told_names() {
    let encoded = musli::wire::to_vec(&ReplicaEntry::from(&replica(5, ReplicaPhase::Ready)))
        .expect("the value is encodable");
    let decoded: LegacyReplica = musli::wire::from_slice(&encoded).expect("an earlier release decodes it");
    assert_eq!(decoded.id, ReplicaId::new("a"));
    let encoded = musli::wire::to_vec(&decoded).expect("the value is encodable");
    let entry: ReplicaEntry = musli::wire::from_slice(&encoded).expect("a node decodes it");
    assert_eq!(Replica::from(entry), replica(0, ReplicaPhase::Ready));
}
