//! Tenant work is counted by the replicas that serve it.

use http::HeaderValue;

use sablebay_catalogue::{Destination, Gather, Repeatability, Route, ServiceName, WeightedService};
use sablebay_model::Micros;
use sablebay_tenants::TenantName;

use crate::tenant_admission::{TenantLoad, tenant_name};

const NOW: Micros = Micros::from_secs(1);

fn route(name: &str, destination: Destination) -> Route {
    Route {
        name: name.to_string(),
        host: "a.example".to_string(),
        prefix: "/".to_string(),
        repeatability: Repeatability::Repeatable,
        time_limit_ms: 1_000,
        target_latency_ms: 100,
        maximum_attempts: 2,
        priority: 1,
        destination,
        public: false,
    }
}

fn gather(name: &str, shards: &[&str]) -> Route {
    let shards = shards.iter().map(ServiceName::new).collect();
    route(name, Destination::Gather(Gather { shards, top: 1, minimum_share: 1.0 }))
}

fn split(name: &str, services: &[&str]) -> Route {
    let part = |service: &&str| WeightedService { service: ServiceName::new(service), weight: 1.0 };
    route(name, Destination::Services(services.iter().map(part).collect()))
}

#[test]
fn routes_to_the_same_back_ends_count_together_and_others_apart() {
    let (urgent, patient) = (gather("urgent", &["a-1", "a-2"]), gather("patient", &["a-1", "a-2"]));
    let other = gather("other", &["b-1", "b-2"]);
    let (one, two) = (TenantName::new("one"), TenantName::new("two"));
    let mut load = TenantLoad::default();
    load.record(&urgent, &one, NOW);
    load.record(&patient, &one, NOW);
    load.record(&patient, &two, NOW);
    load.record(&other, &two, NOW);
    assert!(load.demand_of(&urgent, &one).exceeds_equal_share());
    assert!(!load.demand_of(&urgent, &two).exceeds_equal_share());
    assert_eq!(load.demand_of(&other, &two).share(), 1.0);
    assert_eq!(load.demand_of(&other, &one).share(), 0.0);
}

#[test]
fn a_request_over_shards_counts_by_its_shards_and_one_to_a_split_counts_once() {
    let (whole, part) = (gather("whole", &["a-1", "a-2", "a-3"]), split("part", &["a-1", "a-2", "a-3"]));
    let (one, two) = (TenantName::new("one"), TenantName::new("two"));
    let mut load = TenantLoad::default();
    load.record(&whole, &one, NOW);
    load.record(&part, &two, NOW);
    assert_eq!(load.demand_of(&whole, &one).share(), 0.75);
    assert_eq!(load.demand_of(&part, &two).share(), 0.25);
}

#[test]
fn what_was_asked_of_services_that_are_gone_is_forgotten() {
    let old = gather("old", &["a-1", "a-2"]);
    let one = TenantName::new("one");
    let mut load = TenantLoad::default();
    load.record(&old, &one, NOW);
    load.retain(|service| service != &ServiceName::new("a-1"));
    assert_eq!(load.demand_of(&old, &one).share(), 0.0);
}

#[test]
fn gatherers_read_names_that_are_not_ascii() {
    let value = HeaderValue::from_bytes("Müller".as_bytes()).expect("a header carries it");
    assert_eq!(tenant_name(&value), Some(TenantName::new("Müller")));
    let no_text = HeaderValue::from_bytes(b"\xff").expect("a header carries it");
    assert_eq!(tenant_name(&no_text), None);
}
