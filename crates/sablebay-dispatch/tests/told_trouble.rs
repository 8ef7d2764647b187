//! What other nodes tell of replicas in trouble: it moves calls elsewhere, it ages, and what a node's own
//! calls show outranks it.

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use sablebay_catalogue::{Replica, ReplicaId, ReplicaPhase, RoutableReplica, ServiceName};
use sablebay_dispatch::{CallKey, ReplicaTable};
use sablebay_model::{Micros, ZoneName};

const START: Micros = Micros::from_secs(10);
const USUAL: Micros = Micros::from_millis(15);

fn replica(name: &str, zone: &str) -> RoutableReplica {
    RoutableReplica {
        replica: Arc::new(Replica {
            id: ReplicaId::new(name),
            service: ServiceName::new("s"),
            address: "127.0.0.1:1".parse().expect("an address"),
            zone: ZoneName::new(zone),
            slots: 2,
            phase: ReplicaPhase::Ready,
            warm_up_left_ms: 0,
        }),
        last_resort: false,
        beyond_share: false,
        warm_at: Micros(0),
        cold_calls_per_s: None,
    }
}

fn after(milliseconds: u64) -> Micros {
    START.plus(Micros::from_millis(milliseconds))
}

/// How often the first candidate is chosen in a hundred draws.
fn first_of_hundred(table: &ReplicaTable, candidates: &[RoutableReplica], now: Micros) -> usize {
    let mut random = SmallRng::seed_from_u64(5);
    (0..100).filter(|_| table.choose(candidates, &[], now, &mut random) == Some(0)).count()
}

fn answer(table: &mut ReplicaTable, replica: &RoutableReplica, key: u64, latency_ms: u64, now: Micros) {
    let id = &replica.replica.id;
    table.sent(id, CallKey(key), USUAL, now);
    table.answered(id, CallKey(key), None, now.plus(Micros::from_millis(latency_ms)));
}

#[test]
fn a_replica_that_others_saw_in_trouble_gives_way_to_one_of_another_zone() {
    let candidates = [replica("own", "a"), replica("far", "b")];
    let mut table = ReplicaTable::new(ZoneName::new("a"));
    assert_eq!(first_of_hundred(&table, &candidates, START), 100, "its own zone goes first");
    table.told_of_trouble(&candidates[0].replica.id, Micros::from_millis(100), START);
    assert_eq!(first_of_hundred(&table, &candidates, START), 0);
    assert_eq!(first_of_hundred(&table, &candidates, after(1_800)), 0);
    assert_eq!(first_of_hundred(&table, &candidates, after(1_900)), 100, "two seconds after it was seen");
}

#[test]
fn an_answer_in_good_time_outranks_what_was_told() {
    let candidates = [replica("own", "a"), replica("far", "b")];
    let mut table = ReplicaTable::new(ZoneName::new("a"));
    table.told_of_trouble(&candidates[0].replica.id, Micros::from_millis(100), START);
    answer(&mut table, &candidates[0], 1, 15, START);
    assert_eq!(first_of_hundred(&table, &candidates, after(15)), 100);
    // Word of what was before that answer comes late.
    table.told_of_trouble(&candidates[0].replica.id, Micros::from_millis(100), after(50));
    assert_eq!(first_of_hundred(&table, &candidates, after(50)), 100);
    table.told_of_trouble(&candidates[0].replica.id, Micros::from_millis(10), after(50));
    assert_eq!(first_of_hundred(&table, &candidates, after(50)), 0, "this is newer");
}

#[test]
fn a_node_tells_what_its_own_calls_showed_and_with_its_age() {
    let candidates = [replica("own", "a"), replica("far", "b")];
    let mut table = ReplicaTable::new(ZoneName::new("a"));
    let told = |table: &ReplicaTable, told: bool, now: Micros| -> Vec<(String, u64)> {
        let troubled = table.troubled(&candidates, told, now);
        troubled.map(|(id, ago)| (id.to_string(), ago.as_millis())).collect()
    };
    table.told_of_trouble(&candidates[1].replica.id, Micros::from_millis(300), START);
    assert_eq!(told(&table, false, START), [], "what was told is not told on as seen");
    assert_eq!(told(&table, true, START), [("far".to_string(), 300)]);
    // A call that is not answered is a sign before anybody gives it up.
    table.sent(&candidates[0].replica.id, CallKey(1), USUAL, START);
    assert_eq!(told(&table, false, after(40)), []);
    assert_eq!(told(&table, false, after(60)), [("own".to_string(), 0)]);
    table.timed_out(&candidates[0].replica.id, CallKey(1), after(100));
    assert_eq!(told(&table, false, after(600)), [("own".to_string(), 500)]);
    assert_eq!(told(&table, false, after(2_100)), []);
    answer(&mut table, &candidates[0], 2, 15, after(600));
    assert_eq!(told(&table, false, after(620)), []);
}
