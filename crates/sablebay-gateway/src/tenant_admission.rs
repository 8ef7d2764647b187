//! Admission control: admits or refuses a request by the queues at its shards, its priority, and its tenant's share of
//! recent work.
//!
//! A node counts both the requests that it accepts and those that it gathers for other nodes: with many nodes, the
//! requests that one node accepts are too few to show which tenant sends the most.

use std::collections::HashMap;

use http::{HeaderMap, HeaderValue};

use sablebay_catalogue::{Route, ServiceName};
use sablebay_dispatch::{
    Admission, AdmissionInputs, TenantDemand, TenantShares, TypicalTimeout, admit, admit_fairly,
};
use sablebay_model::Micros;
use sablebay_tenants::TenantName;

use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol};
use crate::request_log::{Crowding, TenantPriority};

/// Recent work of each tenant by the first service of its routes: routes with the same first service share their
/// replicas.
#[derive(Debug, Default)]
pub struct TenantLoad {
    by_service: HashMap<ServiceName, TenantShares>,
}

impl TenantLoad {
    pub fn record(&mut self, route: &Route, tenant: &TenantName, now: Micros) {
        let mut services = route.destination.services();
        let Some(first) = services.next() else {
            return;
        };
        let shards = if route.destination.is_gather() { 1 + services.count() } else { 1 };
        match self.by_service.get_mut(first) {
            Some(shares) => shares.note(tenant, shards, now),
            None => self.by_service.entry(first.clone()).or_default().note(tenant, shards, now),
        }
    }

    /// The demand of a tenant on the replicas of a route, relative to other tenants.
    pub fn demand_of(&self, route: &Route, tenant: &TenantName) -> TenantDemand {
        let first = route.destination.services().next();
        let shares = first.and_then(|first| self.by_service.get(first));
        shares.map(|shares| shares.demand_of(tenant)).unwrap_or_default()
    }

    /// Removes services that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.by_service.retain(|service, _| keep(service));
    }
}

/// The tenant name in a header value, which need not be ASCII.
pub fn tenant_name(value: &HeaderValue) -> Option<TenantName> {
    std::str::from_utf8(value.as_bytes()).ok().map(TenantName::new)
}

/// A request to be admitted or refused.
pub struct AdmissionRequest<'a> {
    pub route: &'a Route,
    /// The tenant, if any.
    pub tenant: Option<&'a TenantName>,
    /// Priority rank relative to the most urgent route of the same services; 0 is the most urgent.
    pub rank: u32,
    pub crowding: Crowding,
    /// How long the caller waits.
    pub timeout: Micros,
}

impl<C: CallerProtocol, B: BackendProtocol> Context<C, B> {
    /// Decides whether a request is admitted, and returns its tenant's standing. Requests without a tenant are not
    /// compared with others.
    pub fn admission(&self, request: &AdmissionRequest<'_>) -> (Admission, TenantPriority) {
        let now = self.clock().now();
        let mut dispatch = self.dispatch.lock();
        if !dispatch.typical_timeouts.contains_key(&request.route.name) {
            dispatch.typical_timeouts.insert(request.route.name.clone(), TypicalTimeout::default());
        }
        let typical =
            dispatch.typical_timeouts.get_mut(&request.route.name).expect("an entry was just added");
        let inputs = AdmissionInputs {
            shards: request.crowding.shards,
            crowded: request.crowding.crowded,
            rank: request.rank,
            is_retry: typical.note(request.timeout),
            timeout: request.timeout,
        };
        if let Some(tenant) = request.tenant {
            dispatch.tenant_load.record(request.route, tenant, now);
        }
        if inputs.crowded == 0 {
            return (Admission::Admitted, TenantPriority { rank: request.rank, work_share: None });
        }
        let demand = request.tenant.map(|tenant| dispatch.tenant_load.demand_of(request.route, tenant));
        drop(dispatch);
        let admission = match &demand {
            Some(demand) => admit_fairly(&inputs, demand, rand::random(), rand::random()),
            None => admit(&inputs, rand::random(), rand::random()),
        };
        let priority =
            TenantPriority { rank: request.rank, work_share: demand.as_ref().map(TenantDemand::share) };
        if matches!(admission, Admission::Refused { .. }) {
            let beyond = demand.is_some_and(|demand| demand.exceeds_equal_share());
            self.metrics.refused_for_crowding(request.rank, beyond);
        }
        (admission, priority)
    }

    /// The tenant named in the header that the root node set.
    pub fn tenant_of(&self, headers: &HeaderMap) -> Option<TenantName> {
        headers.get(self.callers.identity_header()).and_then(tenant_name)
    }

    /// Counts a request that another node accepted and that this node gathers in part.
    pub fn record_gathered_request(&self, route_name: &str, tenant: &TenantName) {
        let view = self.view.load();
        let Some(routes) = view.routes.as_ref() else {
            return;
        };
        let known = routes.configuration().routes.iter().find(|known| known.name == route_name);
        if let Some(route) = known {
            let now = self.clock().now();
            self.dispatch.lock().tenant_load.record(route, tenant, now);
        }
    }
}
