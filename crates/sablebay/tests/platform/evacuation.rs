//! Evacuated zones: no node sends new requests to their back ends until the evacuation is lifted.

use std::time::Duration;

use sablebay_catalogue::WarmUp;
use sablebay_model::ZoneName;
use sablebay_platform_standin::{CallerCall, LeafBehaviour, StoreMode};

use crate::support::{
    Deployment, GATHER_PATH, HOST, NodeProcess, SAFE_PATH, SHARDS, UNSAFE_PATH, check_gathered,
    configuration, eventually,
};

const EVACUATED: &str = "zone-a";

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name)
}

/// Sends ten requests of each kind through a node.
async fn send_requests(node: &NodeProcess, name: &str) {
    for number in 0..10 {
        let id = format!("{name}-{number}");
        assert_eq!(node.get(SAFE_PATH, &format!("{id}-one")).await.status.as_u16(), 200);
        assert_eq!(node.get(UNSAFE_PATH, &format!("{id}-once")).await.status.as_u16(), 200);
        let gathered = format!("{id}-all");
        check_gathered(&node.get(GATHER_PATH, &gathered).await, &gathered);
    }
}

/// Waits until requests through a node reach no back end of the evacuated zone.
async fn wait_until_empty(deployment: &Deployment, node: &NodeProcess, name: &str) {
    let round = std::sync::atomic::AtomicU32::new(0);
    eventually("the zone gets no new requests", || async {
        let before = deployment.arrivals_in(EVACUATED);
        let round = round.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        send_requests(node, &format!("{name}-{round}")).await;
        deployment.arrivals_in(EVACUATED) == before
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_new_reaches_an_evacuated_zone_until_the_evacuation_is_lifted() {
    let deployment = Deployment::start_in_zones([EVACUATED, "zone-b"]).await;
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    send_requests(&node, "before").await;
    assert!(deployment.arrivals_in(EVACUATED) > 0, "the node prefers back ends of its own zone");
    deployment.store.evacuate(&zone(EVACUATED));
    wait_until_empty(&deployment, &node, "during").await;
    let before = deployment.arrivals_in(EVACUATED);
    send_requests(&node, "empty").await;
    assert_eq!(deployment.arrivals_in(EVACUATED), before);
    eventually("all connections to the zone are closed", || async {
        let in_zone = deployment.leaves().filter(|leaf| leaf.replica.zone.as_str() == EVACUATED);
        in_zone.map(|leaf| leaf.record().open_connections).sum::<u64>() == 0
    })
    .await;
    deployment.store.lift_evacuation(&zone(EVACUATED));
    eventually("the zone gets requests again", || async {
        send_requests(&node, "after").await;
        deployment.arrivals_in(EVACUATED) > before
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_in_flight_is_finished_in_the_evacuated_zone() {
    let deployment = Deployment::start_in_zones([EVACUATED, "zone-b"]).await;
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    for leaf in deployment.leaves() {
        leaf.behave(LeafBehaviour::Slow(Duration::from_secs(3)));
    }
    let call = CallerCall { timeout: Duration::from_secs(60), ..CallerCall::get(HOST, UNSAFE_PATH, "slow") };
    let caller = node.caller;
    let pending_call = tokio::spawn(async move { caller.call(&call).await.expect("an answer") });
    eventually("the request runs", || async { deployment.runs_of("slow") == 1 }).await;
    deployment.store.evacuate(&zone(EVACUATED));
    deployment.store.evacuate(&zone("zone-b"));
    assert_eq!(pending_call.await.expect("the call ends").status.as_u16(), 200);
    assert_eq!(deployment.runs_of("slow"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn with_every_zone_evacuated_requests_are_refused_at_once_and_did_not_run() {
    let deployment = Deployment::start_in_zones([EVACUATED, "zone-b"]).await;
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    deployment.store.evacuate(&zone(EVACUATED));
    deployment.store.evacuate(&zone("zone-b"));
    eventually("requests are refused", || async {
        node.get(SAFE_PATH, "probe").await.status.as_u16() == 503
            && node.get(GATHER_PATH, "probe").await.status.as_u16() == 503
    })
    .await;
    for path in [SAFE_PATH, UNSAFE_PATH, GATHER_PATH] {
        let id = format!("refused{}", path.replace('/', "-"));
        let answer = node.get(path, &id).await;
        assert_eq!(answer.status.as_u16(), 503);
        assert!(answer.retry_after.is_some());
        assert_eq!(deployment.runs_of(&id), 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_and_its_end_are_learnt_although_history_was_lost_between() {
    let deployment = Deployment::start_in_zones([EVACUATED, "zone-b"]).await;
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    deployment.store.set_mode(StoreMode::Refusing);
    deployment.store.evacuate(&zone(EVACUATED));
    deployment.store.compact_history();
    deployment.store.set_mode(StoreMode::Serving);
    wait_until_empty(&deployment, &node, "during").await;
    let before = deployment.arrivals_in(EVACUATED);
    deployment.store.set_mode(StoreMode::Refusing);
    deployment.store.lift_evacuation(&zone(EVACUATED));
    deployment.store.compact_history();
    deployment.store.set_mode(StoreMode::Serving);
    eventually("the zone gets requests again", || async {
        send_requests(&node, "after").await;
        deployment.arrivals_in(EVACUATED) > before
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_while_the_store_is_down_knows_of_the_evacuation_from_a_peer() {
    let deployment = Deployment::start_in_zones([EVACUATED, "zone-b"]).await;
    let first = NodeProcess::start("node-1", deployment.store.address, &[]);
    first.wait_ready().await;
    deployment.store.evacuate(&zone(EVACUATED));
    wait_until_empty(&deployment, &first, "first").await;
    deployment.store.set_mode(StoreMode::Silent);
    let second = NodeProcess::start("node-2", deployment.store.address, &[first.peers]);
    second.wait_ready().await;
    let before = deployment.arrivals_in(EVACUATED);
    send_requests(&second, "second").await;
    assert_eq!(deployment.arrivals_in(EVACUATED), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn shards_that_another_node_gathers_pass_over_the_evacuated_zone() {
    let deployment = Deployment::start_in_zones([EVACUATED, "zone-b"]).await;
    let first = NodeProcess::start("node-1", deployment.store.address, &[]);
    let second = NodeProcess::start_in("zone-b", "node-2", deployment.store.address, &[first.peers]);
    // Its zone has no back ends, so it delegates gathering to other nodes.
    let root =
        NodeProcess::start_in("zone-c", "root", deployment.store.address, &[first.peers, second.peers]);
    for node in [&first, &second, &root] {
        node.wait_ready().await;
    }
    send_requests(&root, "before").await;
    deployment.store.evacuate(&zone(EVACUATED));
    wait_until_empty(&deployment, &root, "during").await;
    let before = deployment.arrivals_in(EVACUATED);
    for number in 0..20 {
        let id = format!("empty-{number}");
        let answer = root.get(GATHER_PATH, &id).await;
        check_gathered(&answer, &id);
        assert_eq!(answer.missing, 0);
        assert_eq!(deployment.runs_of(&id), u32::from(SHARDS));
    }
    assert_eq!(deployment.arrivals_in(EVACUATED), before);
}

/// The capacity of a cold back end, in requests per second.
const COLD_CAPACITY_PER_S: u32 = 6;

#[tokio::test(flavor = "multi_thread")]
async fn returning_cold_back_ends_get_no_more_than_their_capacity() {
    let deployment = Deployment::start_in_zones([EVACUATED, "zone-b"]).await;
    let mut bounded = configuration(2);
    for service in &mut bounded.services {
        service.warm_up = WarmUp { lasts_ms: 60_000, requests_per_s: f64::from(COLD_CAPACITY_PER_S) };
    }
    deployment.store.publish(&bounded);
    let mut nodes: Vec<NodeProcess> = Vec::new();
    for number in 0..3 {
        let seeds: Vec<_> = nodes.iter().map(|node| node.peers).collect();
        nodes.push(NodeProcess::start(&format!("node-{number}"), deployment.store.address, &seeds));
    }
    for node in &nodes {
        node.wait_ready().await;
    }
    deployment.store.evacuate(&zone(EVACUATED));
    for (number, node) in nodes.iter().enumerate() {
        wait_until_empty(&deployment, node, &format!("during-{number}")).await;
    }
    let returning = || deployment.leaves().filter(|leaf| leaf.replica.zone.as_str() == EVACUATED);
    for leaf in returning() {
        leaf.behave(LeafBehaviour::Cold(COLD_CAPACITY_PER_S));
    }
    let before = deployment.arrivals_in(EVACUATED);
    deployment.store.lift_evacuation(&zone(EVACUATED));
    // The nodes prefer back ends of their own zone, and the load far exceeds the cold capacity.
    eventually("the zone gets requests again", || async {
        tokio::join!(
            send_requests(&nodes[0], "after-0"),
            send_requests(&nodes[1], "after-1"),
            send_requests(&nodes[2], "after-2"),
        );
        deployment.arrivals_in(EVACUATED) >= before + 12
    })
    .await;
    for leaf in returning() {
        assert!(!leaf.record().overloaded, "{} got more requests than its cold capacity", leaf.replica.id);
    }
}
