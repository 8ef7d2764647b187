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

/// The pause between two connections.
const PAUSE: Duration = Duration::from_millis(20);
/// How often the replicas are looked at while nothing changes.
const LOOK_PERIOD: Duration = Duration::from_millis(250);

/// Opens connections until the node ends.
pub async fn warm_up<C: CallerProtocol, B: BackendProtocol>(context: Arc<Context<C, B>>) {
    let mut warmed: HashSet<ReplicaId> = HashSet::new();
    loop {
        let running_for = Micros::from(context.clock().running_for());
        let (size, _) = context.fleet.lock().size(running_for);
        if !size.is_settled() {
            // Which replicas are this node's own is not known yet.
            tokio::time::sleep(LOOK_PERIOD).await;
            continue;
        }
        let mut cold = cold_replicas(&context, &mut warmed);
        // Nodes that start together do not open connections to one replica at one moment.
        cold.shuffle(&mut rand::rng());
        for replica in cold {
            let connections = context.connections_to(&replica);
            warmed.insert(replica.replica.id.clone());
            connections.open_first().await;
            tokio::time::sleep(PAUSE).await;
        }
        tokio::time::sleep(LOOK_PERIOD).await;
    }
}

/// The replicas that this node keeps connections to, and has not opened one to yet.
fn cold_replicas<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    warmed: &mut HashSet<ReplicaId>,
) -> Vec<RoutableReplica> {
    let view = context.view.load();
    let present: HashSet<&ReplicaId> =
        view.replicas.values().flat_map(|r| r.iter()).map(|r| &r.replica.id).collect();
    warmed.retain(|id| present.contains(id));
    let own = view.replicas.values().flat_map(|replicas| replicas.iter());
    let own = own.filter(|replica| !replica.beyond_share && !replica.last_resort);
    own.filter(|replica| !warmed.contains(&replica.replica.id)).cloned().collect()
}
