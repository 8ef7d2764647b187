//! Route lookup by host and path.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use sablebay_catalogue::{
    CallerLimits, Destination, Gather, Repeatability, Route, RouteTable, RoutingConfiguration, ServiceName,
};

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: format!("{host}{prefix}"),
        host: host.to_string(),
        prefix: prefix.to_string(),
        repeatability: Repeatability::Repeatable,
        time_limit_ms: 1_000,
        target_latency_ms: 100,
        maximum_attempts: 2,
        priority: 1,
        destination: Destination::Services(Vec::new()),
        public: false,
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable::new(RoutingConfiguration {
        version: 1,
        routes,
        services: Vec::new(),
        limits: CallerLimits::default(),
        tenants: None,
    })
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table(vec![route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/")]);
    let found = |host: &str, path: &str| table.find(host, path).map(|route| route.name.clone());
    assert_eq!(found("a.example", "/x/y/z"), Some("a.example/x/y/".to_string()));
    assert_eq!(found("a.example", "/x/yy/z"), Some("a.example/x/".to_string()));
    assert_eq!(found("A.Example:8080", "/x/1"), Some("a.example/x/".to_string()));
    assert_eq!(found("a.example", "/x"), None, "a prefix ends with a slash");
    assert_eq!(found("b.example", "/anything"), Some("b.example/".to_string()));
    assert_eq!(found("c.example", "/x/"), None);
}

fn segment() -> impl Strategy<Value = String> {
    prop_oneof![Just("a".to_string()), Just("b".to_string()), Just("ab".to_string())]
}

fn prefix() -> impl Strategy<Value = String> {
    proptest::collection::vec(segment(), 0..4).prop_map(|segments| {
        segments.iter().fold("/".to_string(), |path, segment| format!("{path}{segment}/"))
    })
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(11), cases: 400, ..Config::default() })]

    /// The table agrees with a linear search.
    #[test]
    fn look_ups_agree_with_a_search(
        prefixes in proptest::collection::btree_set(prefix(), 0..6),
        rest in proptest::collection::vec(segment(), 0..5),
    ) {
        let routes: Vec<Route> = prefixes.iter().map(|prefix| route("h", prefix)).collect();
        let path = format!("/{}", rest.join("/"));
        let longest = routes.iter().filter(|route| path.starts_with(&route.prefix)).max_by_key(|route| route.prefix.len());
        let table = table(routes.clone());
        prop_assert_eq!(table.find("h", &path).map(|route| route.name.clone()), longest.map(|route| route.name.clone()));
    }

    /// The minimum is the smallest number of shards that reaches the minimum share.
    #[test]
    fn the_minimum_share_is_met_and_no_more(shards in 1usize..200, percent in 0u32..=100) {
        let minimum_share = f64::from(percent) / 100.0;
        let gather = Gather { shards: vec![ServiceName::new("s"); shards], top: 1, minimum_share };
        let minimum = gather.minimum_shards();
        prop_assert!(minimum as f64 / shards as f64 >= minimum_share - 1e-9);
        prop_assert!(minimum == 1 || ((minimum - 1) as f64 / shards as f64) < minimum_share);
    }
}

#[test]
fn urgency_is_compared_among_routes_that_share_a_service() {
    let to = |name: &str, priority: u32, shards: &[&str]| Route {
        priority,
        destination: Destination::Gather(Gather {
            shards: shards.iter().map(ServiceName::new).collect(),
            top: 5,
            minimum_share: 0.5,
        }),
        ..route("a.example", name)
    };
    let urgent = to("/urgent/", 1, &["s1", "s2"]);
    let patient = to("/patient/", 3, &["s2", "s3"]);
    let alone = to("/alone/", 4, &["s9"]);
    let table = table(vec![urgent.clone(), patient.clone(), alone.clone()]);
    assert_eq!(table.rank(&urgent, None), 0);
    assert_eq!(table.rank(&patient, None), 2);
    assert_eq!(table.rank(&alone, None), 0, "no other route uses the service");
}
