//! Resolves a route to its shards, and chooses the nodes that gather them.

use sablebay_catalogue::{Destination, Route, ServiceName, WeightedService};
use sablebay_dispatch::{DelegatedShards, GathererInputs, ShardTargets, WeightedChoice, choose_gatherers};

use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol};
use crate::routing_view::RoutingView;

impl<C: CallerProtocol, B: BackendProtocol> Context<C, B> {
    /// The shards of a request: all shards of a gather route, or one service of a weighted split.
    pub fn targets_of(&self, view: &RoutingView, route: &Route) -> Vec<ShardTargets> {
        match &route.destination {
            Destination::Gather(gather) => {
                let mut targets: Vec<ShardTargets> =
                    gather.shards.iter().map(|shard| view.targets(shard)).collect();
                if !self.mechanisms.pinning {
                    self.mix_with_replaced(route, &mut targets);
                }
                targets
            }
            Destination::Services(parts) => {
                let chosen = self.choose_service(route, parts);
                chosen.iter().map(|service| view.targets(service)).collect()
            }
        }
    }

    /// Chooses the nodes that gather shards of a new request, and counts its arrival.
    pub fn delegations(&self, route: &Route, targets: &[ShardTargets]) -> Vec<DelegatedShards> {
        let (Destination::Gather(gather), true) = (&route.destination, self.mechanisms.gathering) else {
            return Vec::new();
        };
        let Some(first) = gather.shards.first() else {
            return Vec::new();
        };
        let gatherers = self.fleet.lock().gatherers();
        let now = self.clock().now();
        let mut dispatch = self.dispatch.lock();
        let own_rate = dispatch.arrivals.entry(first.clone()).or_default().note(now);
        let inputs = GathererInputs {
            own: &gatherers.own,
            others: &gatherers.others,
            shards: targets,
            own_rate,
            table: &dispatch.gatherers,
            now,
        };
        choose_gatherers(&inputs, &mut rand::rng())
    }

    /// Takes every other shard from the previous configuration. Used only while `pinning` is disabled for
    /// fault testing.
    fn mix_with_replaced(&self, route: &Route, targets: &mut [ShardTargets]) {
        let replaced = self.replaced.load();
        let Some(routes) = replaced.routes.as_ref() else {
            return;
        };
        let known = routes.configuration().routes.iter().find(|known| known.name == route.name);
        if let Some(Destination::Gather(gather)) = known.map(|known| &known.destination) {
            for (target, shard) in targets.iter_mut().zip(&gather.shards).step_by(2) {
                *target = replaced.targets(shard);
            }
        }
    }

    fn choose_service(&self, route: &Route, parts: &[WeightedService]) -> Option<ServiceName> {
        if let [only] = parts {
            return Some(only.service.clone());
        }
        let mut dispatch = self.dispatch.lock();
        let split = dispatch.splits.get_mut(&route.name).filter(|split| split.parts() == parts);
        if let Some(split) = split {
            return split.next();
        }
        let mut split = WeightedChoice::new(parts.to_vec(), rand::random());
        let chosen = split.next();
        dispatch.splits.insert(route.name.clone(), split);
        chosen
    }
}
