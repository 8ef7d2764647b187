//! Whether a request is run or refused at once: the queues at its shards, how urgent it is, and how much of what
//! lately came in is its tenant's.
//!
//! A node counts by tenant the requests that it takes, and those that it gathers a part of for others: many nodes
//! take a small part of the callers each, and what one of them takes alone hardly shows who sends the most.

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
use crate::request_log::{Crowding, TenantStanding};

/// What tenants lately asked for, by the first service of the routes: routes that share it share their back ends.
#[derive(Debug, Default)]
pub struct TenantLoad {
    by_service: HashMap<ServiceName, TenantShares>,
}

impl TenantLoad {
    /// Counts a request.
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

    /// What a tenant asked of the back ends of a route, beside the others.
    pub fn demand_of(&self, route: &Route, tenant: &TenantName) -> TenantDemand {
        let first = route.destination.services().next();
        let shares = first.and_then(|first| self.by_service.get(first));
        shares.map(|shares| shares.demand_of(tenant)).unwrap_or_default()
    }

    /// Forgets services that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.by_service.retain(|service, _| keep(service));
    }
}

/// The tenant that a header names. Names need not be ASCII.
pub fn tenant_name(value: &HeaderValue) -> Option<TenantName> {
    std::str::from_utf8(value.as_bytes()).ok().map(TenantName::new)
}

/// One request that asks to be let in.
pub struct AdmissionRequest<'a> {
    /// Its route.
    pub route: &'a Route,
    /// Its tenant, where there is one.
    pub tenant: Option<&'a TenantName>,
    /// How much less urgent it is than the most urgent one for the same services.
    pub rank: u32,
    /// The queues at its shards.
    pub crowding: Crowding,
    /// How long its caller will wait.
    pub timeout: Micros,
}

impl<C: CallerProtocol, B: BackendProtocol> Context<C, B> {
    /// Whether a request is run, or refused at once, and how its tenant stood. Requests without a tenant are not
    /// weighed against anybody's.
    pub fn admission(&self, request: &AdmissionRequest<'_>) -> (Admission, TenantStanding) {
        let now = self.clock().now();
        let mut dispatch = self.dispatch.lock();
        if !dispatch.patience.contains_key(&request.route.name) {
            dispatch.patience.insert(request.route.name.clone(), TypicalTimeout::default());
        }
        let usual = dispatch.patience.get_mut(&request.route.name).expect("an entry was just added");
        let inputs = AdmissionInputs {
            shards: request.crowding.shards,
            crowded: request.crowding.crowded,
            rank: request.rank,
            is_retry: usual.note(request.timeout),
            timeout: request.timeout,
        };
        if let Some(tenant) = request.tenant {
            dispatch.tenant_load.record(request.route, tenant, now);
        }
        if inputs.crowded == 0 {
            return (Admission::Admitted, TenantStanding { rank: request.rank, work_share: None });
        }
        let demand = request.tenant.map(|tenant| dispatch.tenant_load.demand_of(request.route, tenant));
        drop(dispatch);
        let admission = match &demand {
            Some(demand) => admit_fairly(&inputs, demand, rand::random(), rand::random()),
            None => admit(&inputs, rand::random(), rand::random()),
        };
        let standing =
            TenantStanding { rank: request.rank, work_share: demand.as_ref().map(TenantDemand::share) };
        if matches!(admission, Admission::Refused { .. }) {
            let beyond = demand.is_some_and(|demand| demand.exceeds_equal_share());
            self.metrics.refused_for_crowding(request.rank, beyond);
        }
        (admission, standing)
    }

    /// The tenant that a root wrote into the head of a request.
    pub fn tenant_of(&self, headers: &HeaderMap) -> Option<TenantName> {
        headers.get(self.callers.identity_header()).and_then(tenant_name)
    }

    /// Counts a request that another node took, and of which this one gathers a part.
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
