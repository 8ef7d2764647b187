//! The routing configuration of a soak and the expected answers.

use sablebay_catalogue::{
    BackendService, CallerLimits, Destination, Gather, Repeatability, Route, RoutingConfiguration,
    ServiceName, WarmUp, WeightedService,
};
use sablebay_platform_standin::part_records;

/// Number of shards per set.
pub const SHARDS: u8 = 4;
/// Number of records in a gathered answer.
pub const TOP_RECORDS: usize = 12;
/// The host of every route.
pub const HOST: &str = "soak.example";
/// Number of shard sets; a configuration uses one of them.
pub const SETS: u8 = 2;
/// Maximum connections of a back end.
const MAXIMUM_CONNECTIONS: u32 = 40;

/// The shard of a back end, from its id `SET-SHARD-COPY-INCARNATION`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardIdentity {
    pub set: u8,
    /// The shard within the set.
    pub shard: u8,
}

impl ShardIdentity {
    /// Parses the id of a back end.
    pub fn parse(id: &str) -> Option<Self> {
        let mut parts = id.split('-');
        let set = parts.next()?.parse().ok()?;
        let shard = parts.next()?.parse().ok()?;
        Some(Self { set, shard })
    }

    /// Seed of the shard's records.
    pub fn seed(self) -> u8 {
        self.set * SHARDS + self.shard
    }
}

/// Returns the expected records of an answer from these shards.
pub fn expected_records(shards: impl IntoIterator<Item = (u8, u8)>) -> Vec<u8> {
    let seeds = shards.into_iter().map(|(set, shard)| ShardIdentity { set, shard }.seed());
    let mut records: Vec<[u8; 16]> = seeds.flat_map(part_records).collect();
    records.sort_by(|left, right| right.cmp(left));
    records.truncate(TOP_RECORDS);
    records.concat()
}

pub fn shard_service(set: u8, shard: u8) -> ServiceName {
    ServiceName::new(format!("set-{set}-shard-{shard}"))
}

/// The service of requests to a single back end.
pub fn single_service() -> ServiceName {
    ServiceName::new("single")
}

/// The service whose back ends crash on the fatal request.
pub fn fragile_service() -> ServiceName {
    ServiceName::new("fragile")
}

/// Path of the request that crashes each back end that runs it.
pub const FATAL_PATH: &str = "/fragile/fatal";
/// Path of a harmless request to the same back ends.
pub const HARMLESS_PATH: &str = "/fragile/harmless";

/// A path of the at-most-once route whose time limit is longer than a planned stop.
pub const LONG_PATH: &str = "/long/1";
/// Time limit of the route of [`LONG_PATH`], in milliseconds.
const LONG_TIME_LIMIT_MS: u64 = 20_000;

/// Path of the route that requires no key.
pub const PUBLIC_PATH: &str = "/open/1";

/// Path of the route that exists only in one version.
pub fn marker_path(version: u64) -> String {
    format!("/version-{version}/")
}

fn route(name: &str, prefix: &str, repeatability: Repeatability, destination: Destination) -> Route {
    Route {
        name: name.to_string(),
        host: HOST.to_string(),
        prefix: prefix.to_string(),
        repeatability,
        time_limit_ms: 2_000,
        target_latency_ms: 400,
        maximum_attempts: 2,
        priority: 1,
        destination,
        public: false,
    }
}

/// Returns the configuration of a version with a shard set.
pub fn configuration(version: u64, set: u8) -> RoutingConfiguration {
    let single = || Destination::Services(vec![WeightedService { service: single_service(), weight: 1.0 }]);
    let fragile = || Destination::Services(vec![WeightedService { service: fragile_service(), weight: 1.0 }]);
    let gather = Gather {
        shards: (0..SHARDS).map(|shard| shard_service(set, shard)).collect(),
        top: TOP_RECORDS,
        minimum_share: 0.5,
    };
    let all_services = (0..SETS).flat_map(|set| (0..SHARDS).map(move |shard| shard_service(set, shard)));
    let service =
        |name| BackendService { name, maximum_connections: MAXIMUM_CONNECTIONS, warm_up: WarmUp::default() };
    RoutingConfiguration {
        version,
        routes: vec![
            route("all", "/all/", Repeatability::Repeatable, Destination::Gather(gather)),
            route("one", "/one/", Repeatability::Repeatable, single()),
            route("once", "/once/", Repeatability::AtMostOnce, single()),
            Route {
                time_limit_ms: LONG_TIME_LIMIT_MS,
                ..route("long", "/long/", Repeatability::AtMostOnce, single())
            },
            Route { public: true, ..route("open", "/open/", Repeatability::Repeatable, single()) },
            route("fragile", "/fragile/", Repeatability::Repeatable, fragile()),
            route("marker", &marker_path(version), Repeatability::Repeatable, single()),
        ],
        services: all_services.chain([single_service(), fragile_service()]).map(service).collect(),
        limits: CallerLimits::default(),
        tenants: None,
    }
}
