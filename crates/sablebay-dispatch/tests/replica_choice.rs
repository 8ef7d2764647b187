//! Guards against calls to slow, silent, failed or overloaded replicas while better ones are available.

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use sablebay_catalogue::{Replica, ReplicaId, ReplicaPhase, RoutableReplica, ServiceName};
use sablebay_dispatch::{CallKey, LoadHint, ReplicaTable};
use sablebay_model::{Micros, ZoneName};

const START: Micros = Micros::from_secs(10);
const USUAL: Micros = Micros::from_millis(20);

fn replica(id: &str) -> RoutableReplica {
    RoutableReplica {
        replica: Arc::new(Replica {
            id: ReplicaId::new(id),
            service: ServiceName::new("s"),
            address: "127.0.0.1:1".parse().expect("an address"),
            zone: ZoneName::new("z"),
            slots: 2,
            phase: ReplicaPhase::Ready,
            warm_up_left_ms: 0,
            sequence: 0,
        }),
        last_resort: false,
        beyond_share: false,
        warm_at: Micros(0),
        cold_calls_per_s: None,
    }
}

fn table() -> ReplicaTable {
    ReplicaTable::new(ZoneName::new("z"))
}

/// Number of times each of two replicas is chosen in 100 draws.
fn draws(table: &ReplicaTable, candidates: &[RoutableReplica], now: Micros) -> (usize, usize) {
    let mut random = SmallRng::seed_from_u64(5);
    let first = (0..100).filter(|_| table.choose(candidates, &[], now, &mut random) == Some(0)).count();
    (first, 100 - first)
}

#[test]
fn a_replica_that_stands_still_is_avoided_at_once() {
    let candidates = [replica("a"), replica("b")];
    let mut table = table();
    table.sent(&candidates[0].replica.id, CallKey(1), USUAL, START);
    let silent = START.plus(Micros::from_millis(70));
    assert_eq!(draws(&table, &candidates, silent).0, 0);
    assert!(!table.has_fit(&candidates[..1], &[], silent));
    // The replica answers after the pause and is used again.
    table.answered(&candidates[0].replica.id, CallKey(1), None, silent);
    let later = silent.plus(Micros::from_secs(6));
    assert!(draws(&table, &candidates, later).0 > 20);
}

#[test]
fn a_slow_replica_gets_less_and_is_forgiven_in_time() {
    let candidates = [replica("a"), replica("b")];
    let mut table = table();
    let mut now = START;
    for call in 0..6 {
        for (candidate, latency) in candidates.iter().zip([7, 1]) {
            let key = CallKey(call * 2 + latency);
            table.sent(&candidate.replica.id, key, USUAL, now);
            table.answered(&candidate.replica.id, key, None, now.plus(Micros(USUAL.0 * latency)));
        }
        now = now.plus(Micros::from_millis(200));
    }
    assert_eq!(draws(&table, &candidates, now).0, 0);
    assert!(draws(&table, &candidates, now.plus(Micros::from_secs(30))).0 > 20);
}

#[test]
fn a_replica_that_fails_is_left_alone_for_a_while() {
    let candidates = [replica("a"), replica("b")];
    let mut table = table();
    for call in 0..2 {
        table.sent(&candidates[0].replica.id, CallKey(call), USUAL, START);
        table.failed(&candidates[0].replica.id, CallKey(call), START);
    }
    assert_eq!(draws(&table, &candidates, START).0, 0);
    let mut random = SmallRng::seed_from_u64(5);
    let only = table.choose(&candidates[..1], &[], START, &mut random);
    assert_eq!(only, Some(0), "a backed-off replica is better than none");
}

#[test]
fn a_replica_that_tells_of_a_queue_gets_less() {
    let candidates = [replica("a"), replica("b")];
    let mut table = table();
    for (candidate, waiting) in candidates.iter().zip([8, 0]) {
        table.sent(&candidate.replica.id, CallKey(1), USUAL, START);
        let hint = LoadHint { running: 2, waiting, slots: 2 };
        table.answered(&candidate.replica.id, CallKey(1), Some(hint), START.plus(USUAL));
    }
    assert_eq!(draws(&table, &candidates, START.plus(USUAL)).0, 0);
}

#[test]
fn a_load_hint_may_have_any_size() {
    let candidates = [replica("a"), replica("b")];
    let mut table = table();
    for (candidate, running) in candidates.iter().zip([u32::MAX, 1]) {
        table.sent(&candidate.replica.id, CallKey(1), USUAL, START);
        let hint = LoadHint { running, waiting: running, slots: 2 };
        table.answered(&candidate.replica.id, CallKey(1), Some(hint), START.plus(USUAL));
    }
    assert_eq!(draws(&table, &candidates, START.plus(USUAL)).0, 0);
}

#[test]
fn a_replica_beyond_the_share_is_used_when_the_own_ones_stand_still() {
    let mut distant = replica("c");
    distant.beyond_share = true;
    let candidates = [replica("a"), distant];
    let mut table = table();
    assert_eq!(draws(&table, &candidates, START).1, 0);
    table.sent(&candidates[0].replica.id, CallKey(1), USUAL, START);
    let silent = START.plus(Micros::from_millis(70));
    assert_eq!(draws(&table, &candidates, silent).0, 0);
    assert!(table.has_fit(&candidates, &[], silent));
}

#[test]
fn a_last_resort_is_used_when_nothing_else_is_left() {
    let mut vanished = replica("a");
    vanished.last_resort = true;
    let candidates = [vanished, replica("b")];
    let table = table();
    let mut random = SmallRng::seed_from_u64(5);
    assert_eq!(draws(&table, &candidates, START).0, 0);
    let tried = [ReplicaId::new("b")];
    assert_eq!(table.choose(&candidates, &tried, START, &mut random), Some(0));
}

#[test]
fn an_abandoned_call_goes_on_only_where_it_takes_nothing_from_others() {
    let candidate = replica("a");
    let id = &candidate.replica.id;
    let mut table = table();
    let told = |running, waiting| Some(LoadHint { running, waiting, slots: 2 });
    table.sent(id, CallKey(1), USUAL, START);
    table.answered(id, CallKey(1), told(1, 0), START);
    assert!(table.abandoned_call_grace(id, START) > Micros(0), "a slot is free");
    table.sent(id, CallKey(2), USUAL, START);
    table.answered(id, CallKey(2), told(2, 3), START);
    assert_eq!(table.abandoned_call_grace(id, START), Micros(0), "other calls are queued");
    let later = START.plus(Micros::from_secs(1));
    assert!(table.abandoned_call_grace(id, later) > Micros(0), "the load hint has expired");
    table.sent(id, CallKey(3), USUAL, later);
    let silent = later.plus(Micros::from_millis(90));
    assert_eq!(table.abandoned_call_grace(id, silent), Micros(0), "the replica is silent");
}

#[test]
fn a_shard_is_crowded_when_work_queues_at_all_its_replicas() {
    let candidates = [replica("a"), replica("b")];
    let mut table = table();
    let mut tell = |id: usize, waiting: u32, now: Micros| {
        let id = &candidates[id].replica.id;
        table.sent(id, CallKey(1), USUAL, now);
        table.answered(id, CallKey(1), Some(LoadHint { running: 2, waiting, slots: 2 }), now);
        table.is_crowded(&candidates, now)
    };
    assert!(!tell(0, 2, START), "nothing is known of the other replica");
    assert!(!tell(1, 1, START), "the queue of the other replica is short");
    assert!(tell(1, 2, START));
    assert!(!table.is_crowded(&candidates, START.plus(Micros::from_secs(1))), "the load hints have expired");
    assert!(!table.is_crowded(&[], START));
}

#[test]
fn a_replica_whose_process_has_ended_gets_nothing_more() {
    let candidates = [replica("a"), replica("b")];
    let mut table = table();
    table.note_ended([(candidates[0].replica.id.clone(), START)], START);
    assert_eq!(draws(&table, &candidates, START).0, 0);
    assert!(!table.takes_work(&candidates[0]));
    table.note_ended([(candidates[1].replica.id.clone(), START)], START);
    assert_eq!(table.choose(&candidates, &[], START, &mut SmallRng::seed_from_u64(5)), None);
    table.retain(|id| *id == candidates[1].replica.id);
    assert!(table.takes_work(&candidates[0]), "the record is removed with the catalogue entry");
    let later = START.plus(Micros::from_secs(10));
    table.expire_ended(later);
    assert!(table.takes_work(&candidates[1]), "the record expires while the entry is still listed");
    table.note_ended([(candidates[1].replica.id.clone(), START)], later);
    assert!(table.takes_work(&candidates[1]), "an expired report is ignored");
}
