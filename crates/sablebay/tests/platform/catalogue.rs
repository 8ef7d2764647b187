//! Routes and replicas on a node while the store fails or holds invalid entries.

use std::time::Duration;

use sablebay_catalogue::{
    CallerLimits, Destination, ReplicaPhase, RoutingConfiguration, ServiceName, WarmUp, WeightedService,
};
use sablebay_platform_standin::{CallerCall, LeafBehaviour, LeafStandIn, StoreMode};

use crate::support::{
    Deployment, GATHER_PATH, HOST, NodeProcess, SAFE_PATH, UNSAFE_PATH, check_gathered, configuration,
    configuration_routed_to, eventually, single_service,
};

const FAILURE_MODES: [StoreMode; 5] = [
    StoreMode::Refusing,
    StoreMode::Throttling,
    StoreMode::Silent,
    StoreMode::Slow(Duration::from_millis(1_200)),
    StoreMode::Garbling,
];

#[tokio::test(flavor = "multi_thread")]
async fn without_a_configuration_a_node_is_not_ready_and_refuses_without_a_404() {
    let deployment = Deployment::start().await;
    deployment.store.set_mode(StoreMode::Refusing);
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    assert!(!node.is_ready().await);
    let answer = node.get(SAFE_PATH, "r-1").await;
    assert_eq!(answer.status.as_u16(), 503);
    assert!(answer.retry_after.is_some());
    deployment.store.set_mode(StoreMode::Serving);
    node.wait_ready().await;
    assert_eq!(node.get(SAFE_PATH, "r-2").await.status.as_u16(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_while_the_store_is_down_learns_from_a_peer() {
    let deployment = Deployment::start().await;
    let first = NodeProcess::start("node-1", deployment.store.address, &[]);
    first.wait_ready().await;
    deployment.store.set_mode(StoreMode::Silent);
    let second = NodeProcess::start("node-2", deployment.store.address, &[first.peers]);
    second.wait_ready().await;
    check_gathered(&second.get(GATHER_PATH, "r-1").await, "r-1");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_in_any_trouble_changes_nothing_and_is_followed_again_afterwards() {
    let deployment = Deployment::start().await;
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    let mut moved_to = Vec::new();
    for (number, failure) in FAILURE_MODES.into_iter().enumerate() {
        let service = ServiceName::new(format!("moved-{number}"));
        let leaf = LeafStandIn::start(&format!("i-moved-{number}"), &service, 100, "zone-a").await;
        let leaf = leaf.expect("a back end");
        deployment.store.set_mode(failure);
        assert_eq!(node.get(SAFE_PATH, &format!("before-{number}")).await.status.as_u16(), 200);
        deployment.store.announce(&leaf.replica);
        deployment.store.publish(&configuration_routed_to(10 + number as u64, &service));
        deployment.store.set_mode(StoreMode::Serving);
        eventually("the configuration is in force", || async {
            node.get(SAFE_PATH, &format!("after-{number}")).await;
            leaf.runs_of(&format!("after-{number}")) > 0
        })
        .await;
        // The back end must serve until the next configuration is in force.
        moved_to.push(leaf);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn after_lost_history_a_full_read_removes_draining_and_deleted_replicas() {
    let deployment = Deployment::start().await;
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    deployment.store.set_mode(StoreMode::Refusing);
    // During the outage one replica drains and another is removed.
    let mut draining = deployment.singles[0].replica.clone();
    draining.phase = ReplicaPhase::Draining;
    deployment.store.announce(&draining);
    deployment.store.remove(&deployment.shards[0].replica.id);
    deployment.store.compact_history();
    deployment.store.set_mode(StoreMode::Serving);
    let mut number = 0;
    eventually("the draining and the removed replica get no requests", || {
        number += 1;
        let before = (deployment.singles[0].record().arrivals, deployment.shards[0].record().arrivals);
        let (node, deployment) = (&node, &deployment);
        async move {
            for call in 0..10 {
                node.get(SAFE_PATH, &format!("one-{number}-{call}")).await;
                node.get(GATHER_PATH, &format!("all-{number}-{call}")).await;
            }
            before == (deployment.singles[0].record().arrivals, deployment.shards[0].record().arrivals)
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_older_configuration_is_never_taken() {
    let deployment = Deployment::start().await;
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    let service = ServiceName::new("moved");
    let leaf = LeafStandIn::start("i-moved", &service, 100, "zone-a").await.expect("a back end");
    deployment.store.announce(&leaf.replica);
    deployment.store.publish(&configuration_routed_to(20, &service));
    eventually("the newer configuration is in force", || async {
        node.get(SAFE_PATH, "probe").await;
        leaf.record().arrivals > 0
    })
    .await;
    let reads = deployment.store.reads();
    deployment.store.publish(&configuration(19));
    eventually("the older configuration was read", || async { deployment.store.reads() > reads + 2 }).await;
    assert_eq!(node.get(SAFE_PATH, "r-1").await.status.as_u16(), 200);
    assert_eq!(leaf.runs_of("r-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn unreadable_entries_do_not_block_other_updates() {
    let deployment = Deployment::start().await;
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    deployment.store.write_garbage("op/config");
    deployment.store.write_garbage("servers/i-odd");
    let mut draining = deployment.singles[0].replica.clone();
    draining.phase = ReplicaPhase::Draining;
    deployment.store.announce(&draining);
    let mut number = 0;
    eventually("the draining replica gets no requests", || {
        number += 1;
        let before = deployment.singles[0].record().arrivals;
        let (node, deployment) = (&node, &deployment);
        async move {
            for call in 0..10 {
                assert_eq!(node.get(SAFE_PATH, &format!("one-{number}-{call}")).await.status.as_u16(), 200);
            }
            before == deployment.singles[0].record().arrivals
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn another_replica_at_a_known_address_runs_no_misdirected_request() {
    let deployment = Deployment::start().await;
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    deployment.singles[0].behave(LeafBehaviour::Misdirected);
    for number in 0..10 {
        let answer = node.get(SAFE_PATH, &format!("r-{number}")).await;
        assert_eq!(answer.status.as_u16(), 200, "the other replica answers for {HOST}");
    }
    assert!(deployment.singles[0].record().runs.is_empty());
}

/// A configuration in which every number is the largest of its type.
fn extreme_configuration(version: u64) -> RoutingConfiguration {
    let mut configuration = configuration(version);
    for route in &mut configuration.routes {
        route.time_limit_ms = u64::MAX;
        route.target_latency_ms = u64::MAX;
        route.maximum_attempts = u32::MAX;
        route.priority = u32::MAX;
        if let Destination::Services(parts) = &mut route.destination {
            let part = |weight| WeightedService { service: single_service(), weight };
            *parts = [-1.0, f64::MAX, f64::MAX, 0.0].map(part).to_vec();
        }
    }
    for service in &mut configuration.services {
        service.maximum_connections = u32::MAX;
        service.warm_up = WarmUp { lasts_ms: u64::MAX, requests_per_s: f64::MAX };
    }
    configuration.limits = CallerLimits {
        header_bytes: usize::MAX,
        body_bytes: usize::MAX,
        header_timeout_ms: u64::MAX,
        idle_timeout_ms: u64::MAX,
    };
    configuration
}

#[tokio::test(flavor = "multi_thread")]
async fn the_largest_numbers_of_a_configuration_and_of_a_caller_are_served() {
    let deployment = Deployment::start().await;
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    deployment.store.publish(&extreme_configuration(20));
    eventually("the configuration is in force", || async {
        node.admin_text("/metrics").contains("configuration_version 20")
    })
    .await;
    for (number, timeout) in [5_000, u64::MAX].map(Duration::from_millis).into_iter().enumerate() {
        for path in [SAFE_PATH, UNSAFE_PATH, GATHER_PATH] {
            let call = CallerCall { timeout, ..CallerCall::get(HOST, path, &format!("r-{number}{path}")) };
            assert_eq!(node.call(&call).await.status.as_u16(), 200, "{path}, {timeout:?}");
        }
    }
}
