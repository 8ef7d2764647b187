//! The routing configuration that operators publish, versioned as a whole; versions only increase.

use musli::{Decode, Encode};

use sablebay_tenants::Tenant;

use crate::replica::ServiceName;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Repeatability {
    /// Idempotent: may run on several replicas.
    Repeatable,
    /// Runs at most once per caller attempt.
    AtMostOnce,
}

/// One target of a weighted split.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct WeightedService {
    pub service: ServiceName,
    /// Relative to the other weights of the split.
    pub weight: f64,
}

/// A query over shards; each shard is a service.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Gather {
    pub shards: Vec<ServiceName>,
    /// Maximum number of records in the result.
    pub top: usize,
    /// Share of the shards (0 to 1) below which the query fails.
    pub minimum_share: f64,
}

impl Gather {
    /// Number of shards below which the query fails; at least one.
    pub fn minimum_shards(&self) -> usize {
        /// Tolerance for floating-point error, so that a product such as 0.95 x 20 is not rounded up.
        const ROUNDING: f64 = 1e-9;
        let exact = self.minimum_share * self.shards.len() as f64;
        ((exact - ROUNDING).ceil().max(1.0)) as usize
    }
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Destination {
    /// One replica of one of these services.
    Services(Vec<WeightedService>),
    /// One replica of every shard.
    Gather(Gather),
}

impl Destination {
    pub fn is_gather(&self) -> bool {
        matches!(self, Destination::Gather(_))
    }

    /// All services that requests of the route may reach.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let (weighted, shards): (&[WeightedService], &[ServiceName]) = match self {
            Destination::Services(parts) => (parts, &[]),
            Destination::Gather(gather) => (&[], &gather.shards),
        };
        weighted.iter().map(|part| &part.service).chain(shards)
    }
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Route {
    /// Unique within a configuration.
    pub name: String,
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    pub repeatability: Repeatability,
    /// Maximum time that a request is held, in milliseconds.
    pub time_limit_ms: u64,
    /// Latency target of a response, in milliseconds; 0 for none.
    pub target_latency_ms: u64,
    /// Maximum number of replicas tried per request and shard.
    pub maximum_attempts: u32,
    /// 0 is the most urgent.
    pub priority: u32,
    pub destination: Destination,
    /// Whether callers need no key.
    #[musli(default)]
    pub public: bool,
}

/// A service as operators configure it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct BackendService {
    pub name: ServiceName,
    /// Maximum connections to one replica from all callers together.
    pub maximum_connections: u32,
    /// Load limit of replicas after a start.
    #[musli(default)]
    pub warm_up: WarmUp,
}

/// Load limit of a service's replicas while they are cold, after a start or the end of an evacuation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Encode, Decode)]
pub struct WarmUp {
    /// Time a replica stays cold after its start, in milliseconds; 0 if unspecified.
    pub lasts_ms: u64,
    /// Requests per second that a cold replica accepts from all callers together; 0 for no limit.
    pub requests_per_s: f64,
}

/// Limits on requests and connections of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum idle time of a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self { header_bytes: 16_384, body_bytes: 262_144, header_timeout_ms: 5_000, idle_timeout_ms: 60_000 }
    }
}

/// Routes, services, limits and tenants under one version.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RoutingConfiguration {
    /// Increases with each change, not necessarily by one.
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: Vec<BackendService>,
    pub limits: CallerLimits,
    /// Tenants whose keys are accepted; `None` if callers need no key.
    #[musli(default)]
    pub tenants: Option<Vec<Tenant>>,
}
