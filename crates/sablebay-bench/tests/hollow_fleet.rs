//! Properties of membership and configuration in a fleet of hollow nodes in virtual time, with message
//! loss, reordering, network partitions, pauses, replaced nodes and a platform with stale reads.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use sablebay_bench::{HollowFleet, HollowOptions, RunOptions, run_experiment};
use sablebay_fleet::{FleetMechanisms, MemberStatus};
use sablebay_model::Micros;

const NODES: usize = 120;

fn settings(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(21),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn fleet(seed: u64) -> HollowFleet {
    HollowFleet::new(HollowOptions {
        nodes: NODES,
        regions: 2,
        zones: 4,
        loss: 0.02,
        probe_period: Micros::from_secs(1),
        mechanisms: FleetMechanisms::default(),
        seed,
    })
}

fn advance(fleet: &mut HollowFleet, seconds: u64) {
    fleet.run_until(fleet.now().plus(Micros::from_secs(seconds)));
}

/// Counts running nodes that a member table does not list as alive, and surplus members that it lists as
/// present, over the whole fleet.
fn incorrect_views(fleet: &HollowFleet) -> usize {
    let running = fleet.running();
    let key = |position: usize| fleet.machine(position).info().key.clone();
    let mut wrong = 0;
    for observer in &running {
        let members = fleet.machine(*observer).members();
        let alive_there = |position: &usize| {
            let member = members.get(&key(*position).node);
            member.is_some_and(|member| member.status() == MemberStatus::Alive)
        };
        let others = running.iter().filter(|position| *position != observer);
        wrong += others.filter(|position| !alive_there(position)).count();
        wrong += members.present_count().saturating_sub(running.len() - 1);
    }
    wrong
}

proptest! {
    #![proptest_config(settings(4))]

    /// Guards against member tables that do not converge to the running nodes after faults end.
    #[test]
    fn every_node_ends_up_seeing_exactly_who_runs(
        seed in any::<u64>(),
        replaced in proptest::collection::vec(0usize..NODES, 1..6),
        paused in proptest::collection::vec(0usize..NODES, 0..4),
        cut_seconds in 0u64..40,
    ) {
        let mut fleet = fleet(seed);
        advance(&mut fleet, 5);
        for position in paused {
            fleet.pause(position, Micros::from_secs(20));
        }
        fleet.set_cut((cut_seconds > 0).then_some((0, 1)));
        for position in replaced {
            if fleet.running().contains(&position) {
                fleet.replace(position);
            }
            advance(&mut fleet, 3);
        }
        advance(&mut fleet, cut_seconds);
        fleet.set_cut(None);
        // Enough time for suspicions to expire, dead members to be probed and member lists to be exchanged.
        advance(&mut fleet, 240);
        prop_assert_eq!(incorrect_views(&fleet), 0);
    }

}

/// Guards against a node returning to an older configuration.
#[tokio::test]
async fn the_configuration_never_reverts() {
    for seed in 1..=5 {
        let options = RunOptions { seed, ..RunOptions::default() };
        let result = run_experiment("never-reverts", &options).await.unwrap();
        assert_eq!(result.violations, 0, "seed {seed}: {:?}", result.figures);
    }
}

/// Guards against a message storm after a network partition heals.
#[test]
fn a_cut_heals_without_a_storm() {
    let mut fleet = fleet(7);
    advance(&mut fleet, 10);
    fleet.report = Default::default();
    advance(&mut fleet, 60);
    let usual = fleet.report.messages;
    fleet.set_cut(Some((0, 1)));
    advance(&mut fleet, 60);
    fleet.set_cut(None);
    fleet.report = Default::default();
    advance(&mut fleet, 60);
    let healing = fleet.report.messages;
    assert!(
        healing < usual * 3,
        "{healing} messages in the minute after the partition healed, {usual} in a usual minute"
    );
}

/// Guards against declaring a running member dead because of message loss, before it can refute the
/// suspicion.
#[test]
fn lost_messages_alone_make_nobody_dead() {
    for seed in 1..=3 {
        let mut fleet = HollowFleet::new(HollowOptions {
            nodes: 400,
            regions: 2,
            zones: 4,
            loss: 0.04,
            probe_period: Micros::from_secs(1),
            mechanisms: FleetMechanisms::default(),
            seed,
        });
        advance(&mut fleet, 120);
        assert_eq!(fleet.report.false_deaths, 0, "seed {seed}: {:?}", fleet.report);
    }
}
