//! The share of a node: which replicas it connects to, with how many connections, and the call rate to cold replicas.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sablebay_catalogue::{Destination, RoutableReplica, RouteTable, ServiceName};
use sablebay_dispatch::{
    Callers, ColdCapacity, ReplicaShareInputs, cold_share, connection_share, has_room_for_all, own_replicas,
    shard_owners,
};
use sablebay_model::{Micros, NodeId};
use sablebay_node::TrafficSpan;

use crate::connections::ReplicaConnections;
use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol};
use crate::ownership::{ConnectionOwners, Ownership};
use crate::routing_view::RoutingView;

/// Maximum connections to one replica of a service from all nodes together.
pub fn maximum_connections(routes: Option<&RouteTable>, service: &ServiceName) -> u32 {
    /// For services that are not configured.
    const UNKNOWN_MAXIMUM: u32 = 16;
    let known = routes.and_then(|routes| routes.service(service));
    known.map_or(UNKNOWN_MAXIMUM, |service| service.maximum_connections)
}

impl<C: CallerProtocol, B: BackendProtocol> Context<C, B> {
    /// The connection pool of a replica, created at its first use.
    pub fn connections_to(&self, replica: &RoutableReplica) -> Arc<ReplicaConnections> {
        let mut connections = self.connections.lock();
        // A replica that reports no incarnation may have restarted at another address.
        let at_address = |known: &&Arc<ReplicaConnections>| known.address() == replica.replica.address;
        if let Some(known) = connections.get(&replica.replica.id).filter(at_address) {
            return known.clone();
        }
        let limit = self.connection_limit(&replica.replica.service);
        let opened = self.metrics.connections_opened.clone();
        let span = TrafficSpan::between(&self.node.settings.zone, &replica.replica.zone);
        let ledger = self.node.peers.traffic().clone();
        let timeout = Duration::from_millis(self.settings.load().connect_timeout_ms);
        let address = replica.replica.address;
        let made = Arc::new(ReplicaConnections::new(address, limit, timeout, opened, ledger, span));
        connections.insert(replica.replica.id.clone(), made.clone());
        made
    }

    pub fn connection_limit(&self, service: &ServiceName) -> usize {
        let maximum = maximum_connections(self.view.load().routes.as_deref(), service);
        let owners = self.ownership.load().owners_of(service);
        connection_share(maximum, owners.unwrap_or(self.nodes.load(Ordering::Relaxed) as usize))
    }

    /// Computes which shards this node owns, and which nodes keep connections to each service.
    pub fn ownership(&self, view: &RoutingView) -> Ownership {
        if !self.mechanisms.gathering {
            return Ownership::default();
        }
        let running_for = Micros::from(self.clock().running_for());
        let now = self.clock().now();
        let fleet = self.fleet.lock();
        let settled = fleet.size(running_for).0.is_settled();
        let gatherers = fleet.gatherers();
        drop(fleet);
        if !settled {
            return Ownership::default();
        }
        let dispatch = self.dispatch.lock();
        let rate = |first: &ServiceName| dispatch.arrivals.get(first).map_or(0.0, |known| known.rate(now));
        let mut ownership = Ownership::of_known_fleet();
        for route in view.routes.iter().flat_map(|routes| &routes.configuration().routes) {
            ownership.add(&gatherers, route, rate);
        }
        ownership
    }

    /// Whether shard ownership has changed since the view was installed. Membership and request rates change
    /// independently of the catalogue.
    pub fn ownership_is_outdated(&self) -> bool {
        self.ownership(&self.view.load()) != **self.ownership.load()
    }

    /// Marks the replicas that are outside this node's share of connections.
    pub fn mark_beyond_share(
        &self,
        maximum: u32,
        ownership: &Ownership,
        replicas: &mut Arc<[RoutableReplica]>,
    ) {
        let nodes = self.nodes.load(Ordering::Relaxed) as usize;
        let Some(first) = replicas.first().filter(|_| !has_room_for_all(maximum, nodes)) else {
            return;
        };
        let own = match ownership.connection_owners(&first.replica.service) {
            ConnectionOwners::Owners(owner) => vec![owner; replicas.len()],
            ConnectionOwners::NoNode => vec![false; replicas.len()],
            ConnectionOwners::ByPosition => self.own_by_position(maximum, nodes, replicas),
        };
        let marked = replicas
            .iter()
            .zip(own)
            .map(|(replica, own)| RoutableReplica { beyond_share: !own, ..replica.clone() });
        *replicas = marked.collect();
    }

    /// Splits the capacity of a service's cold replicas among the nodes that may call them.
    pub fn limit_cold_calls(
        &self,
        routes: &RouteTable,
        ownership: &Ownership,
        service: &ServiceName,
        replicas: &mut Arc<[RoutableReplica]>,
    ) {
        let now = self.clock().now();
        let requests_per_s = routes.service(service).map_or(0.0, |known| known.warm_up.requests_per_s);
        if requests_per_s <= 0.0 || replicas.iter().all(|replica| replica.warm_at <= now) {
            return;
        }
        let settings = self.settings.load();
        let (overage, slack) = (settings.warm_up_overage, settings.warm_up_slack);
        let capacity = ColdCapacity { requests_per_s, overage, slack };
        let (known, at_least) = match ownership.connection_owners(service) {
            ConnectionOwners::Owners(false) | ConnectionOwners::NoNode => (Vec::new(), usize::MAX),
            ConnectionOwners::Owners(true) => (self.owners_of(routes, service), 0),
            ConnectionOwners::ByPosition => {
                (self.fleet.lock().names(), self.nodes.load(Ordering::Relaxed) as usize)
            }
        };
        let callers = Callers { own: &self.node.info.key.node, known: &known, at_least };
        let bounded = |replica: &RoutableReplica| RoutableReplica {
            cold_calls_per_s: Some(cold_share(&replica.replica.id, &capacity, &callers)),
            ..replica.clone()
        };
        *replicas = replicas.iter().map(bounded).collect();
    }

    /// The owners of a shard in all zones.
    fn owners_of(&self, routes: &RouteTable, shard: &ServiceName) -> Vec<NodeId> {
        let gatherers = self.fleet.lock().gatherers();
        let now = self.clock().now();
        let dispatch = self.dispatch.lock();
        let rate = |first: &ServiceName| dispatch.arrivals.get(first).map_or(0.0, |known| known.rate(now));
        let gathers = routes.configuration().routes.iter().filter_map(|route| match &route.destination {
            Destination::Gather(gather) => Some(gather),
            Destination::Services(_) => None,
        });
        let mut owners = gathers.filter_map(|gather| {
            let position = gather.shards.iter().position(|known| known == shard)?;
            let rate = gather.shards.first().map_or(0.0, rate);
            shard_owners(&gatherers.own, &gatherers.others, &gather.shards, position, rate)
        });
        owners.next().unwrap_or_default()
    }

    /// Which replicas of a service are in this node's share by its position among all nodes.
    fn own_by_position(&self, maximum: u32, nodes: usize, replicas: &[RoutableReplica]) -> Vec<bool> {
        let own_zone = &self.node.settings.zone;
        let local: Vec<bool> = replicas.iter().map(|known| known.replica.zone == *own_zone).collect();
        let (own_zone_nodes, other_zones) = self.fleet.lock().zones(own_zone, replicas);
        own_replicas(&ReplicaShareInputs {
            maximum,
            nodes,
            position: self.node_position.load(Ordering::Relaxed) as usize,
            local: &local,
            own_zone_nodes,
            other_zones: &other_zones,
        })
    }
}
