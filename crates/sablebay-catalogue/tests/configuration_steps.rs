//! Configuration steps yield exactly the target configuration or an error, and their size depends on the
//! change.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use sablebay_catalogue::{
    BackendService, CallerLimits, ConfigurationHistory, ConfigurationStep, Destination, Repeatability, Route,
    RoutingConfiguration, ServiceName, StepError, WarmUp, WeightedService,
};
use sablebay_tenants::{Quota, Tenant, TenantName};

fn route(name: u32, time_limit_ms: u64) -> Route {
    let service = ServiceName::new(format!("service-{}", name % 3));
    Route {
        name: format!("route-{name}"),
        host: format!("host-{name}.example"),
        prefix: format!("/path-{name}/"),
        repeatability: Repeatability::Repeatable,
        time_limit_ms,
        target_latency_ms: 100,
        maximum_attempts: 2,
        priority: 1,
        destination: Destination::Services(vec![WeightedService { service, weight: 1.0 }]),
        public: false,
    }
}

fn service(name: u32) -> BackendService {
    let name = ServiceName::new(format!("service-{name}"));
    BackendService { name, maximum_connections: 10, warm_up: WarmUp::default() }
}

fn tenant(name: u32, rate_per_s: f64) -> Tenant {
    let name = TenantName::new(format!("tenant-{name}"));
    Tenant { name, keys: Vec::new(), priority: None, quota: Quota { rate_per_s, burst: 1.0 } }
}

fn configuration(version: u64, routes: Vec<Route>) -> RoutingConfiguration {
    let services = (0..3).map(service).collect();
    RoutingConfiguration { version, routes, services, limits: CallerLimits::default(), tenants: None }
}

fn large(version: u64, routes: u32) -> RoutingConfiguration {
    configuration(version, (0..routes).map(|name| route(name, 1_000)).collect())
}

/// Any configuration over a few names, with duplicates and in any order.
fn any_configuration(version: u64) -> impl Strategy<Value = RoutingConfiguration> {
    let routes = prop::collection::vec((0..12u32, 1..3u64), 0..16);
    let services = prop::collection::vec(0..5u32, 0..5);
    let tenants = prop::option::of(prop::collection::vec((0..5u32, 0..3u32), 0..5));
    (routes, services, tenants).prop_map(move |(routes, services, tenants)| RoutingConfiguration {
        version,
        routes: routes.into_iter().map(|(name, limit)| route(name, limit)).collect(),
        services: services.into_iter().map(service).collect(),
        limits: CallerLimits::default(),
        tenants: tenants
            .map(|tenants| tenants.into_iter().map(|(name, rate)| tenant(name, f64::from(rate))).collect()),
    })
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(41), cases: 400, failure_persistence: None, ..Config::default() })]

    #[test]
    fn a_step_leads_to_what_it_was_made_for(base in any_configuration(3), next in any_configuration(5)) {
        let step = ConfigurationStep::between(&base, &next);
        prop_assert_eq!(ConfigurationStep::apply_all(&[step], &base), Ok(next));
    }

    #[test]
    fn steps_in_a_row_lead_to_the_last(
        first in any_configuration(3), second in any_configuration(5), third in any_configuration(8),
    ) {
        let mut history = ConfigurationHistory::default();
        history.keep(ConfigurationStep::between(&first, &second));
        history.keep(ConfigurationStep::between(&second, &third));
        for base in [&first, &second] {
            let (steps, _) = history.since(base.version).expect("the history starts at this version");
            let steps: Vec<ConfigurationStep> = steps.into_iter().cloned().collect();
            prop_assert_eq!(ConfigurationStep::apply_all(&steps, base), Ok(third.clone()));
        }
        prop_assert!(history.since(4).is_none());
    }

    #[test]
    fn a_step_leads_nowhere_from_other_contents(
        base in any_configuration(3), other in any_configuration(3), next in any_configuration(5),
    ) {
        let step = ConfigurationStep::between(&base, &next);
        if let Ok(reached) = ConfigurationStep::apply_all(&[step], &other) {
            prop_assert_eq!(reached, next);
        }
    }
}

#[test]
fn a_step_from_another_version_leads_nowhere() {
    let step = ConfigurationStep::between(&large(3, 2), &large(5, 3));
    assert_eq!(ConfigurationStep::apply_all(&[step], &large(4, 2)), Err(StepError::BaseMismatch));
}

#[test]
fn a_step_costs_what_changed() {
    let whole = musli::wire::to_vec(&large(1, 1_400)).expect("the value is encodable").len();
    let one_more = ConfigurationStep::between(&large(1, 1_400), &large(2, 1_401)).encoded_bytes();
    assert!(one_more < 300, "{one_more} bytes for one route; the full configuration has {whole}");
    let mut changed = large(3, 1_401);
    changed.routes[700].time_limit_ms = 2_000;
    changed.routes.remove(100);
    let step = ConfigurationStep::between(&large(2, 1_401), &changed).encoded_bytes();
    assert!(step < 400, "{step} bytes for two routes");
}

#[test]
fn what_is_kept_is_bounded() {
    let mut history = ConfigurationHistory::default();
    for version in 0..200 {
        history.keep(ConfigurationStep::between(&large(version, 1), &large(version + 1, 1)));
    }
    assert!(history.since(100).is_none());
    assert!(history.since(150).is_some());
    // The newest step is kept regardless of its size; older ones are dropped.
    history.keep(ConfigurationStep::between(&large(200, 1), &large(201, 8_000)));
    assert!(history.since(199).is_none());
    assert!(history.since(200).is_some());
    // After a gap in versions, earlier steps are dropped.
    history.keep(ConfigurationStep::between(&large(300, 1), &large(301, 2)));
    assert!(history.since(200).is_none());
}
