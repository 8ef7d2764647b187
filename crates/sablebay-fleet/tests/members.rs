//! Guards against member tables that diverge between nodes, and service assignments that move without need.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use sablebay_fleet::{MemberClaim, MemberInfo, MemberStatus, MemberTable, aggregators_of};
use sablebay_model::{Incarnation, InstanceKey, Micros, NodeId, RegionName, ServiceId, ZoneName};

fn settings() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn claim(incarnation: u64, refutation: u32, status: MemberStatus) -> MemberClaim {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let info = MemberInfo {
        key: InstanceKey { node: NodeId::new("n"), incarnation: Incarnation(incarnation) },
        zone: ZoneName::new("z"),
        region: RegionName::new("r"),
        peer_address: address,
        caller_address: address,
        admin_address: address,
        gathers: false,
        takes_over: false,
        shares_quarantine: false,
        keeps_accounts: false,
        core_percent: 0,
    };
    MemberClaim { info: Arc::new(info), status, refutation }
}

fn any_claim() -> impl Strategy<Value = MemberClaim> {
    let status = prop_oneof![
        Just(MemberStatus::Alive),
        Just(MemberStatus::Suspect),
        Just(MemberStatus::Leaving),
        Just(MemberStatus::Dead),
    ];
    (1u64..4, 0u32..4, status)
        .prop_map(|(incarnation, refutation, status)| claim(incarnation, refutation, status))
}

fn believed(table: &MemberTable) -> Option<(Incarnation, u32, MemberStatus)> {
    let member = table.get(&NodeId::new("n"))?;
    Some((member.info.key.incarnation, member.refutation(), member.status()))
}

proptest! {
    #![proptest_config(settings())]

    /// Nodes that receive the same claims in any order end in the same state.
    #[test]
    fn belief_does_not_depend_on_the_order(claims in proptest::collection::vec(any_claim(), 1..12), seed in any::<u64>()) {
        let mut shuffled = claims.clone();
        let mut state = seed;
        for position in (1..shuffled.len()).rev() {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            shuffled.swap(position, (state >> 33) as usize % (position + 1));
        }
        let (mut first, mut second) = (MemberTable::default(), MemberTable::default());
        for claim in &claims {
            first.merge(claim, Micros(1));
        }
        for claim in &shuffled {
            second.merge(claim, Micros(1));
        }
        prop_assert_eq!(believed(&first), believed(&second));
        prop_assert_eq!(first.present_count(), first.present().count());
    }
}

#[test]
fn only_the_member_itself_takes_a_suspicion_back() {
    let mut table = MemberTable::default();
    table.merge(&claim(1, 0, MemberStatus::Alive), Micros(1));
    table.merge(&claim(1, 0, MemberStatus::Suspect), Micros(2));
    table.merge(&claim(1, 0, MemberStatus::Alive), Micros(3));
    assert_eq!(believed(&table).unwrap().2, MemberStatus::Suspect);
    table.merge(&claim(1, 1, MemberStatus::Alive), Micros(4));
    assert_eq!(believed(&table).unwrap().2, MemberStatus::Alive);
}

#[test]
fn a_node_that_comes_back_is_a_new_life() {
    let mut table = MemberTable::default();
    table.merge(&claim(1, 3, MemberStatus::Dead), Micros(1));
    table.merge(&claim(2, 0, MemberStatus::Alive), Micros(2));
    assert_eq!(believed(&table), Some((Incarnation(2), 0, MemberStatus::Alive)));
    assert!(!table.merge(&claim(1, 9, MemberStatus::Dead), Micros(3)));
}

#[test]
fn the_loss_of_a_node_moves_only_its_own_services() {
    let nodes: Vec<(NodeId, ZoneName)> = (0..40)
        .map(|number| (NodeId::new(format!("n{number}")), ZoneName::new(format!("z{}", number % 4))))
        .collect();
    let choose = |service: usize, without: Option<usize>| {
        let present = nodes.iter().enumerate().filter(|(at, _)| Some(*at) != without);
        let pairs: Vec<(&NodeId, &ZoneName)> = present.map(|(_, (node, zone))| (node, zone)).collect();
        aggregators_of(&ServiceId::new(format!("s{service}")), pairs, 8)
    };
    let mut held: HashMap<NodeId, usize> = HashMap::new();
    for service in 0..200 {
        let before = choose(service, None);
        let after = choose(service, Some(0));
        for node in &before {
            *held.entry(node.clone()).or_default() += 1;
        }
        if !before.contains(&nodes[0].0) {
            assert_eq!(before, after, "service {service} moved");
        }
        let zones: std::collections::HashSet<&ZoneName> =
            before.iter().map(|node| &nodes.iter().find(|(name, _)| name == node).unwrap().1).collect();
        assert_eq!(zones.len(), 4, "the aggregators of service {service} are not in all zones");
    }
    let most = held.values().max().unwrap();
    assert!(*most < 90, "a node holds {most} of 200 services, expected about 40");
}
