//! Measures the CPU time that a node spends on one gathered request.

use std::path::PathBuf;
use std::time::Duration;

use serde::Serialize;

use sablebay_catalogue::{
    BackendService, CallerLimits, Destination, Gather, Repeatability, Route, RoutingConfiguration,
    ServiceName, WarmUp,
};
use sablebay_platform_standin::{CallerCall, CallerStandIn, LeafStandIn, StoreStandIn};

use crate::error::BenchError;
use crate::processes::NodeCommand;
use crate::soak::{NodePlan, SoakNode};

const HOST: &str = "cost.example";
/// Number of unmeasured requests before the measurement.
const WARM_UP: usize = 50;
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Cost of gathered requests.
#[derive(Debug, Serialize)]
pub struct GatewayCost {
    /// Shards per request.
    pub shards: usize,
    /// Number of measured requests.
    pub requests: usize,
    /// CPU time of the node per request, in microseconds.
    pub request_us: f64,
    /// CPU time of the node per shard call, in microseconds.
    pub call_us: f64,
    /// Resident memory of the node after the measurement, in MB.
    pub resident_mb: f64,
}

fn configuration(shards: usize) -> RoutingConfiguration {
    let service = |shard: usize| ServiceName::new(format!("shard-{shard}"));
    let gather = Gather { shards: (0..shards).map(service).collect(), top: 50, minimum_share: 0.5 };
    let route = Route {
        name: "all".to_string(),
        host: HOST.to_string(),
        prefix: "/all/".to_string(),
        repeatability: Repeatability::Repeatable,
        time_limit_ms: 5_000,
        target_latency_ms: 4_000,
        maximum_attempts: 2,
        priority: 1,
        destination: Destination::Gather(gather),
        public: false,
    };
    let services = (0..shards).map(|shard| BackendService {
        name: service(shard),
        maximum_connections: 64,
        warm_up: WarmUp::default(),
    });
    RoutingConfiguration {
        version: 1,
        routes: vec![route],
        services: services.collect(),
        limits: CallerLimits::default(),
        tenants: None,
    }
}

/// Sends `requests` sequential requests over `shards` shards and measures their cost.
///
/// # Errors
/// When a stand-in or the node does not start, or a request fails.
pub async fn measure_gateway_cost(shards: usize, requests: usize) -> Result<GatewayCost, BenchError> {
    let store = StoreStandIn::start().await?;
    let mut leaves = Vec::with_capacity(shards);
    for shard in 0..shards {
        let service = ServiceName::new(format!("shard-{shard}"));
        let leaf = LeafStandIn::start(&format!("i-{shard}"), &service, shard as u8, "zone-a").await?;
        store.announce(&leaf.replica);
        leaves.push(leaf);
    }
    store.publish(&configuration(shards));
    let folder = folder()?;
    let free = "127.0.0.1:0".parse().expect("an address");
    let plan = NodePlan {
        name: "node".to_string(),
        advertised: free,
        store: store.address,
        peers: Vec::new(),
        folder,
    };
    let node = SoakNode::start(&NodeCommand::with_break(None)?, &plan)?;
    wait_ready(&node).await?;
    let caller = CallerStandIn { address: node.callers };
    send(&caller, "warm", WARM_UP).await?;
    let before = node.process.cpu_time();
    send(&caller, "measured", requests).await?;
    let used = (node.process.cpu_time() - before).as_secs_f64() * 1e6;
    Ok(GatewayCost {
        shards,
        requests,
        request_us: used / requests as f64,
        call_us: used / (requests * shards) as f64,
        resident_mb: node.process.resident_bytes() as f64 / 1e6,
    })
}

fn folder() -> Result<PathBuf, BenchError> {
    let folder = std::env::temp_dir().join(format!("sablebay-gateway-cost-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

async fn wait_ready(node: &SoakNode) -> Result<(), BenchError> {
    let waiting = async {
        let call = CallerCall { id: None, ..CallerCall::get("readiness", "/ready", "") };
        let readiness = CallerStandIn { address: node.readiness };
        while !readiness.call(&call).await.is_ok_and(|answer| answer.status.is_success()) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let timed_out = |_| BenchError::NotInTime {
        what: "the node to become ready".to_string(),
        seconds: READY_TIMEOUT.as_secs(),
    };
    tokio::time::timeout(READY_TIMEOUT, waiting).await.map_err(timed_out)
}

async fn send(caller: &CallerStandIn, name: &str, requests: usize) -> Result<(), BenchError> {
    for number in 0..requests {
        let call = CallerCall::get(HOST, "/all/1", &format!("{name}-{number}"));
        let answer = caller.call(&call).await?;
        if !answer.status.is_success() {
            return Err(std::io::Error::other(format!("request failed with status {}", answer.status)).into());
        }
    }
    Ok(())
}
