//! Opens the first connection to each replica ahead of requests, one at a time: opening a connection takes time and
//! briefly occupies a slot of the replica.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;

use sablebay_catalogue::{ReplicaId, RoutableReplica};
use sablebay_model::Micros;

use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol};

/// Interval between two new connections. After an index is resharded, an owner may have hundreds to open.
const CONNECT_INTERVAL: Duration = Duration::from_millis(5);
/// How often the list of replicas is checked.
const POLL_PERIOD: Duration = Duration::from_millis(250);

/// Opens connections until the node stops.
pub async fn warm_up<C: CallerProtocol, B: BackendProtocol>(context: Arc<Context<C, B>>) {
    let mut warmed: HashSet<ReplicaId> = HashSet::new();
    loop {
        let running_for = Micros::from(context.clock().running_for());
        let (size, _) = context.fleet.lock().size(running_for);
        if !size.is_settled() {
            // The size of the fleet, and so the share of this node, is not known yet.
            tokio::time::sleep(POLL_PERIOD).await;
            continue;
        }
        let mut cold = cold_replicas(&context, &mut warmed);
        if !cold.is_empty() && context.ownership_is_outdated() {
            // A new view with another share of replicas is about to be installed.
            tokio::time::sleep(POLL_PERIOD).await;
            continue;
        }
        // Keeps nodes that start together from connecting to the same replica at the same time.
        cold.shuffle(&mut rand::rng());
        // Replicas of services that are not configured come last: their addresses may not answer. They are still
        // opened, since a later configuration may use them.
        let view = context.view.load_full();
        let is_configured = |replica: &RoutableReplica| {
            view.routes.as_ref().is_some_and(|routes| routes.service(&replica.replica.service).is_some())
        };
        cold.sort_by_key(|replica| !is_configured(replica));
        for replica in cold {
            if !context.keeps_connections_to(&replica) {
                continue;
            }
            let connections = context.connections_to(&replica);
            warmed.insert(replica.replica.id.clone());
            connections.open_first().await;
            tokio::time::sleep(CONNECT_INTERVAL).await;
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// The replicas in this node's share that have not been connected to yet.
fn cold_replicas<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    warmed: &mut HashSet<ReplicaId>,
) -> Vec<RoutableReplica> {
    let view = context.view.load();
    let all = view.replicas.values().flat_map(|replicas| replicas.iter());
    let own: Vec<&RoutableReplica> =
        all.filter(|replica| !replica.beyond_share && !replica.last_resort).collect();
    let kept: HashSet<&ReplicaId> = own.iter().map(|replica| &replica.replica.id).collect();
    // Connections outside the share are closed; a replica that returns to the share is warmed up again.
    warmed.retain(|id| kept.contains(id));
    own.into_iter().filter(|replica| !warmed.contains(&replica.replica.id)).cloned().collect()
}
