//! Installs a new view of routes and replicas.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use sablebay_catalogue::ReplicaId;

use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol};
use crate::replica_shares::maximum_connections;
use crate::routing_view::RoutingView;

impl<C: CallerProtocol, B: BackendProtocol> Context<C, B> {
    /// Installs a new view of routes and replicas.
    pub fn install(&self, mut view: RoutingView) {
        let ownership = self.ownership(&view);
        let routes = view.routes.clone();
        for (service, replicas) in &mut view.replicas {
            let maximum = maximum_connections(routes.as_deref(), service);
            self.mark_beyond_share(maximum, &ownership, replicas);
            if let Some(routes) = &routes {
                self.limit_cold_calls(routes, &ownership, service, replicas);
            }
        }
        let budget_shares = ownership.budget_shares();
        self.ownership.store(Arc::new(ownership));
        let before = self.view.swap(Arc::new(view));
        let version = |view: &RoutingView| view.routes.as_ref().map_or(0, |routes| routes.version());
        if version(&before) != version(&self.view.load()) {
            self.replaced.store(before);
        }
        self.refresh_connections();
        self.view_installs.send_replace(());
        let view = self.view.load();
        let replicas = view.replicas.values().flat_map(|replicas| replicas.iter());
        let known: HashSet<&ReplicaId> = replicas.map(|known| &known.replica.id).collect();
        let mut dispatch = self.dispatch.lock();
        dispatch.table.retain(|id| known.contains(id));
        dispatch.table.set_evacuated(view.evacuated.clone());
        dispatch.budgets.set_shares(budget_shares);
        if let Some(routes) = view.routes.as_ref() {
            let named = |name: &str| routes.configuration().routes.iter().any(|route| route.name == name);
            dispatch.latencies.retain(|name, _| named(name));
            dispatch.splits.retain(|name, _| named(name));
            dispatch.typical_timeouts.retain(|name, _| named(name));
            dispatch.budgets.retain(|service| routes.service(service).is_some());
            dispatch.arrivals.retain(|service, _| routes.service(service).is_some());
            dispatch.tenant_load.retain(|service| routes.service(service).is_some());
        }
    }

    /// Updates the limits of all connection pools, and drops the pools of replicas that are no longer routable. Calls
    /// in progress keep their connections until they end.
    pub fn refresh_connections(&self) {
        let view = self.view.load();
        let mut connections = self.connections.lock();
        let mut limits: HashMap<&ReplicaId, (usize, bool)> = HashMap::new();
        for (service, replicas) in &view.replicas {
            let limit = self.connection_limit(service);
            limits
                .extend(replicas.iter().map(|replica| (&replica.replica.id, (limit, replica.beyond_share))));
        }
        connections.retain(|id, known| {
            let Some((limit, beyond_share)) = limits.get(id) else {
                return false;
            };
            known.set_limit(*limit);
            if *beyond_share {
                known.close_idle();
            }
            true
        });
    }
}
