//! Request priorities; a tenant's priority overrides that of the route.

use std::collections::HashMap;

use sablebay_tenants::Tenant;

use crate::configuration::{Route, RoutingConfiguration};
use crate::replica::ServiceName;

/// Priority of a tenant's request on a route; 0 is the most urgent.
pub(crate) fn priority(route: &Route, tenant: Option<&Tenant>) -> u32 {
    tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority)
}

/// The most urgent priority that may reach each service.
#[derive(Debug)]
pub(crate) struct MostUrgent {
    by_service: HashMap<ServiceName, u32>,
}

impl MostUrgent {
    pub(crate) fn new(configuration: &RoutingConfiguration) -> Self {
        let tenants = TenantPriorities::new(configuration.tenants.as_deref());
        let mut by_service: HashMap<ServiceName, u32> = HashMap::new();
        for route in &configuration.routes {
            let most_urgent = tenants.most_urgent(route);
            for service in route.destination.services() {
                let known = by_service.entry(service.clone()).or_insert(most_urgent);
                *known = most_urgent.min(*known);
            }
        }
        Self { by_service }
    }

    /// The most urgent priority that may reach any service of the route.
    pub(crate) fn for_route(&self, route: &Route) -> Option<u32> {
        route.destination.services().filter_map(|service| self.by_service.get(service)).min().copied()
    }
}

/// Priorities of tenants on routes that require a key.
struct TenantPriorities {
    /// The most urgent priority set on a tenant.
    own: Option<u32>,
    /// Whether some callers have no priority of their own and use the route's.
    inherits_route: bool,
}

impl TenantPriorities {
    fn new(tenants: Option<&[Tenant]>) -> Self {
        let known = tenants.unwrap_or_default();
        let own = known.iter().filter_map(|tenant| tenant.priority).min();
        let inherits_route = known.is_empty() || known.iter().any(|tenant| tenant.priority.is_none());
        Self { own, inherits_route }
    }

    /// The most urgent priority of requests on a route.
    fn most_urgent(&self, route: &Route) -> u32 {
        match self.own {
            Some(own) if !route.public && self.inherits_route => own.min(route.priority),
            Some(own) if !route.public => own,
            _ => route.priority,
        }
    }
}
