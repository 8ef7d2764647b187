//! Request ranks by tenant and route priority.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use sablebay_catalogue::{
    CallerLimits, Destination, Repeatability, Route, RouteTable, RoutingConfiguration, ServiceName,
    WeightedService,
};
use sablebay_tenants::{Quota, Tenant, TenantName};

fn route(name: &str, service: &str, priority: u32, public: bool) -> Route {
    let service = ServiceName::new(service);
    Route {
        name: name.to_string(),
        host: "a.example".to_string(),
        prefix: format!("/{name}/"),
        repeatability: Repeatability::Repeatable,
        time_limit_ms: 1_000,
        target_latency_ms: 100,
        maximum_attempts: 2,
        priority,
        destination: Destination::Services(vec![WeightedService { service, weight: 1.0 }]),
        public,
    }
}

fn tenant(name: &str, priority: Option<u32>) -> Tenant {
    Tenant { name: TenantName::new(name), keys: Vec::new(), priority, quota: Quota::default() }
}

fn table(routes: Vec<Route>, tenants: Option<Vec<Tenant>>) -> RouteTable {
    RouteTable::new(RoutingConfiguration {
        version: 1,
        routes,
        services: Vec::new(),
        limits: CallerLimits::default(),
        tenants,
    })
}

#[test]
fn without_tenants_a_rank_is_the_route_s() {
    let (urgent, other) = (route("urgent", "s", 1, false), route("other", "s", 3, false));
    let table = table(vec![urgent.clone(), other.clone()], None);
    assert_eq!(table.rank(&urgent, None), 0);
    assert_eq!(table.rank(&other, None), 2);
}

#[test]
fn a_tenant_s_priority_goes_before_its_route_s() {
    let (urgent, other) = (route("urgent", "s", 1, false), route("other", "s", 3, false));
    let (first, last, plain) = (tenant("first", Some(0)), tenant("last", Some(4)), tenant("plain", None));
    let tenants = vec![first.clone(), last.clone(), plain.clone()];
    let table = table(vec![urgent.clone(), other.clone()], Some(tenants));
    assert_eq!(table.rank(&other, Some(&first)), 0, "the tenant's priority overrides the route's");
    assert_eq!(table.rank(&urgent, Some(&last)), 4);
    assert_eq!(table.rank(&urgent, Some(&plain)), 1, "a tenant without a priority uses the route's");
    assert_eq!(table.rank(&other, Some(&plain)), 3);
}

#[test]
fn a_route_s_priority_does_not_count_where_every_tenant_has_its_own() {
    let urgent = route("urgent", "s", 0, false);
    let (second, third) = (tenant("second", Some(2)), tenant("third", Some(3)));
    let table = table(vec![urgent.clone()], Some(vec![second.clone(), third.clone()]));
    assert_eq!(table.rank(&urgent, Some(&second)), 0, "no tenant is more urgent");
    assert_eq!(table.rank(&urgent, Some(&third)), 1);
}

#[test]
fn a_public_route_keeps_its_priority() {
    let (public, keyed) = (route("public", "s", 2, true), route("keyed", "s", 5, false));
    let only = tenant("only", Some(1));
    let table = table(vec![public.clone(), keyed.clone()], Some(vec![only.clone()]));
    assert_eq!(
        table.rank(&public, None),
        1,
        "the tenant reaches the same service with a more urgent priority"
    );
    assert_eq!(table.rank(&keyed, Some(&only)), 0);
}

#[test]
fn tenants_do_not_outrank_routes_that_no_key_leads_to() {
    let (public, keyed) = (route("public", "open", 2, true), route("keyed", "closed", 5, false));
    let table = table(vec![public.clone(), keyed], Some(vec![tenant("only", Some(0))]));
    assert_eq!(table.rank(&public, None), 0);
}

fn priority() -> impl Strategy<Value = Option<u32>> {
    proptest::option::of(0u32..6)
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(11), ..Config::default() })]

    /// On a shared service, the most urgent request has rank 0, and ranks differ as the effective priorities
    /// do.
    #[test]
    fn ranks_are_distances_from_the_most_urgent(
        routes in proptest::collection::vec((0u32..6, any::<bool>()), 1..5),
        priorities in proptest::collection::vec(priority(), 1..5),
    ) {
        let numbered = routes.iter().enumerate();
        let routes: Vec<Route> =
            numbered.map(|(number, (priority, public))| route(&number.to_string(), "s", *priority, *public)).collect();
        let numbered = priorities.iter().enumerate();
        let tenants: Vec<Tenant> = numbered.map(|(number, priority)| tenant(&number.to_string(), *priority)).collect();
        let table = table(routes.clone(), Some(tenants.clone()));
        let mut seen = Vec::new();
        for route in &routes {
            if route.public {
                seen.push((route.priority, table.rank(route, None)));
                continue;
            }
            seen.extend(tenants.iter().map(|tenant| {
                (tenant.priority.unwrap_or(route.priority), table.rank(route, Some(tenant)))
            }));
        }
        let most_urgent = seen.iter().map(|(priority, _)| *priority).min().unwrap_or_default();
        for (priority, rank) in seen {
            prop_assert_eq!(rank, priority - most_urgent);
        }
    }
}
