//! Route lookup by host and longest matching path prefix.

use std::collections::HashMap;
use std::sync::Arc;

use sablebay_tenants::{Tenant, TenantDirectory};

use crate::configuration::{BackendService, Route, RoutingConfiguration};
use crate::replica::ServiceName;
use crate::urgency::{MostUrgent, priority};

/// Lookup tables for the routes and services of one configuration.
#[derive(Debug)]
pub struct RouteTable {
    configuration: RoutingConfiguration,
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
    services: HashMap<ServiceName, BackendService>,
    most_urgent: MostUrgent,
    tenants: Option<TenantDirectory>,
}

impl RouteTable {
    pub fn new(configuration: RoutingConfiguration) -> Self {
        let mut hosts: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route.clone()));
        }
        let services = configuration.services.iter().map(|service| (service.name.clone(), service.clone()));
        let tenants = configuration.tenants.as_deref().map(TenantDirectory::new);
        let most_urgent = MostUrgent::new(&configuration);
        Self { services: services.collect(), hosts, most_urgent, tenants, configuration }
    }

    pub fn configuration(&self) -> &RoutingConfiguration {
        &self.configuration
    }

    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Finds the route of a request; `host` may include a port.
    ///
    /// Prefixes end with a slash, so only the parts of the path that end at a slash are looked up, longest
    /// first.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self.hosts.get(&name.to_ascii_lowercase())?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// Priority distance between a request and the most urgent request that may reach a service of its route;
    /// 0 is the most urgent.
    pub fn rank(&self, route: &Route, tenant: Option<&Tenant>) -> u32 {
        let most_urgent = self.most_urgent.for_route(route);
        most_urgent.map_or(0, |most_urgent| priority(route, tenant).saturating_sub(most_urgent))
    }

    /// `None` if callers need no key.
    pub fn tenants(&self) -> Option<&TenantDirectory> {
        self.tenants.as_ref()
    }

    pub fn service(&self, name: &ServiceName) -> Option<&BackendService> {
        self.services.get(name)
    }
}
