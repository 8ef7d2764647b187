//! Polls leaves for their load, the versions that they hold and whether they are draining. Polling
//! also keeps a connection to each leaf warm.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;

use sablebay_model::{LeafId, Micros, PartitionSet};
use sablebay_protocol::backend::LeafLoad;
use sablebay_protocol::peer::{PeerRequest, PeerResponse};
use sablebay_query::{LoadReport, Target};

use crate::fleet_task::note_leaf;
use crate::leaf_client::load_report;
use crate::peers::Lane;
use crate::service_state::ServiceState;
use crate::shared::Shared;

/// Polling interval for leaves without a recent report.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Age above which a report is stale and its leaf is polled.
const MAXIMUM_REPORT_AGE: Micros = Micros::from_millis(900);
/// How long a query waits for replicas to report their versions.
const VERSIONS_TIMEOUT: Micros = Micros::from_millis(1_000);
const MAXIMUM_CONCURRENT_POLLS: usize = 64;

/// Polls the leaves of every service in use on this node, until the node stops.
pub async fn run_load_polls(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(POLL_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        for state in shared.service_states() {
            if !state.uses_peers() {
                poll_leaves(&shared, &state, shared.clock.now()).await;
            }
        }
    }
}

/// Polls the leaves of a service whose reports are stale.
async fn poll_leaves(shared: &Arc<Shared>, state: &Arc<ServiceState>, now: Micros) {
    let stale: Vec<LeafId> = {
        let routing = state.direct.lock();
        let old = |at: Micros| now.since(at) >= MAXIMUM_REPORT_AGE;
        let replicas = routing.balancer.replicas();
        replicas
            .filter(|replica| replica.report.as_ref().is_none_or(|(_, at)| old(*at)))
            .filter_map(|replica| match &replica.target {
                Target::Leaf(leaf) => Some(leaf.clone()),
                Target::Peer(_) => None,
            })
            .collect()
    };
    let mut requests = JoinSet::new();
    for leaf in stale {
        if requests.len() >= MAXIMUM_CONCURRENT_POLLS {
            requests.join_next().await;
        }
        let (shared, state) = (shared.clone(), state.clone());
        requests.spawn(async move { poll_leaf(&shared, &state, leaf).await });
    }
    requests.join_all().await;
}

async fn poll_leaf(shared: &Arc<Shared>, state: &Arc<ServiceState>, leaf: LeafId) {
    let Some(client) = shared.known_leaf_client(&leaf) else {
        return;
    };
    let Some(load) = client.load().await else {
        return;
    };
    apply_load(shared, state, &leaf, load);
}

fn apply_load(shared: &Arc<Shared>, state: &Arc<ServiceState>, leaf: &LeafId, load: LeafLoad) {
    let draining = load.draining;
    {
        let mut routing = state.direct.lock();
        let target = Target::Leaf(leaf.clone());
        if let Some(index) = routing.balancer.position(&target) {
            routing.balancer.reported(index, load_report(load), shared.clock.now());
        }
    }
    if draining || shared.listed_leaving.lock().contains(leaf) {
        shared.seen_leaving.lock().insert(leaf.clone());
        note_leaf(shared, leaf, true);
    } else if shared.seen_leaving.lock().remove(leaf) {
        note_leaf(shared, leaf, false);
    }
}

/// Polls the leaves of a service if their versions are unknown, waiting for at most
/// [`VERSIONS_TIMEOUT`].
pub async fn ensure_versions(shared: &Arc<Shared>, state: &Arc<ServiceState>, deadline: Micros) {
    if state.direct.lock().knows_versions() {
        return;
    }
    let now = shared.clock.now();
    let until = now.plus(VERSIONS_TIMEOUT).min(deadline);
    let polling = poll_leaves(shared, state, Micros::MAX);
    // On a timeout the search proceeds with the versions known so far.
    let _ = tokio::time::timeout_at(shared.clock.instant(until), polling).await;
}

/// Requests the versions that aggregators can serve if they are unknown, waiting for at most
/// [`VERSIONS_TIMEOUT`].
pub async fn ensure_peer_versions(shared: &Arc<Shared>, state: &Arc<ServiceState>, deadline: Micros) {
    if state.through_peers.lock().knows_versions() {
        return;
    }
    let plan = state.through_peers.lock().plan.clone();
    let mut requests = JoinSet::new();
    for shard in &plan.shards {
        let (shared, state) = (shared.clone(), state.clone());
        let (partitions, replicas) = ((*shard.partitions).clone(), shard.replicas.clone());
        requests.spawn(async move {
            for replica in replicas {
                if request_versions(&shared, &state, replica, partitions.clone(), deadline).await {
                    return;
                }
            }
        });
    }
    let until = shared.clock.now().plus(VERSIONS_TIMEOUT).min(deadline);
    // On a timeout the search proceeds with the versions known so far.
    let _ = tokio::time::timeout_at(shared.clock.instant(until), requests.join_all()).await;
}

async fn request_versions(
    shared: &Arc<Shared>,
    state: &Arc<ServiceState>,
    replica: sablebay_query::ReplicaIndex,
    partitions: PartitionSet,
    deadline: Micros,
) -> bool {
    let target = state.through_peers.lock().balancer.replica(replica).target.clone();
    let Target::Peer(node) = target else {
        return false;
    };
    let service = state.service_id();
    let versions = if node == shared.settings.node {
        Some(local_versions(shared, &service, &partitions, deadline).await)
    } else {
        let address = shared.view.load().peer(&node).map(|peer| peer.address);
        let Some(address) = address else {
            return false;
        };
        let request = PeerRequest::Versions { service, partitions };
        let until = shared.clock.instant(deadline);
        match shared.peers.request(address, Lane::Data, request, until).await {
            Ok(PeerResponse::Versions(versions)) => Some(versions),
            _ => None,
        }
    };
    let Some(versions) = versions else {
        return false;
    };
    let report = LoadReport { versions, ..LoadReport::default() };
    state.through_peers.lock().balancer.reported(replica, report, shared.clock.now());
    true
}

/// The versions at which this node can search the given partitions of a service.
pub async fn local_versions(
    shared: &Arc<Shared>,
    service: &sablebay_model::ServiceId,
    partitions: &PartitionSet,
    deadline: Micros,
) -> Vec<sablebay_model::SnapshotVersion> {
    let Some(state) = shared.service_with_leaves(service) else {
        return Vec::new();
    };
    ensure_versions(shared, &state, deadline).await;
    let routing = state.direct.lock();
    routing.versions_for(partitions)
}
