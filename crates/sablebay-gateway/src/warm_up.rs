//! Opens the first connection to each replica before a request needs it, one after the other: a new
//! connection takes time, and holds a slot of the replica for a moment.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;

use sablebay_catalogue::{ReplicaId, RoutableReplica};
use sablebay_model::Micros;

use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol};

/// The pause between two connections. Each holds a slot of its replica for some milliseconds, and an owner of
/// a few chunks of an index that was cut anew has hundreds to open before requests need them.
const CONNECT_INTERVAL: Duration = Duration::from_millis(5);
/// How often the replicas are looked at while nothing changes.
const POLL_PERIOD: Duration = Duration::from_millis(250);

/// Opens connections until the node ends.
pub async fn warm_up<C: CallerProtocol, B: BackendProtocol>(context: Arc<Context<C, B>>) {
    let mut warmed: HashSet<ReplicaId> = HashSet::new();
    loop {
        let running_for = Micros::from(context.clock().running_for());
        let (size, _) = context.fleet.lock().size(running_for);
        if !size.is_settled() {
            // Which replicas are this node's own is not known yet.
            tokio::time::sleep(POLL_PERIOD).await;
            continue;
        }
        let mut cold = cold_replicas(&context, &mut warmed);
        if !cold.is_empty() && context.ownership_is_outdated() {
            // The view is about to be installed anew, with other replicas marked as this node's own.
            tokio::time::sleep(POLL_PERIOD).await;
            continue;
        }
        // Nodes that start together do not open connections to one replica at one moment.
        cold.shuffle(&mut rand::rng());
        // Entries by strangers name services that no configuration has, and addresses where nobody answers: these
        // come last, and replicas of an index that is about to be used before they are needed all the same.
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

/// The replicas that this node keeps connections to, and has not opened one to yet.
fn cold_replicas<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    warmed: &mut HashSet<ReplicaId>,
) -> Vec<RoutableReplica> {
    let view = context.view.load();
    let all = view.replicas.values().flat_map(|replicas| replicas.iter());
    let own: Vec<&RoutableReplica> =
        all.filter(|replica| !replica.beyond_share && !replica.last_resort).collect();
    let kept: HashSet<&ReplicaId> = own.iter().map(|replica| &replica.replica.id).collect();
    // Connections to others are closed; one that becomes this node's own again is opened anew.
    warmed.retain(|id| kept.contains(id));
    own.into_iter().filter(|replica| !warmed.contains(&replica.replica.id)).cloned().collect()
}
