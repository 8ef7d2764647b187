//! State shared by all requests of a gateway.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use sablebay_catalogue::{ReplicaId, ServiceName};
use sablebay_config::GatewaySettings;
use sablebay_dispatch::{
    AnswerLag, ArrivalRate, CallKey, GathererTable, ObserverId, ReplicaTable, RetryAllowance, RetryBudgets,
    RouteLatency, TypicalTimeout, WeightedChoice,
};
use sablebay_fleet::MemberInfo;
use sablebay_model::Micros;
use sablebay_node::{Clock, Shared};
use sablebay_tenants::KeyDigester;

use crate::authentication::key_digester;
use crate::connections::ReplicaConnections;
use crate::edge::{BackendProtocol, CallerProtocol};
use crate::fleet_view::FleetView;
use crate::mechanisms::GatewayMechanisms;
use crate::metrics::GatewayMetrics;
use crate::ownership::Ownership;
use crate::quota_state::QuotaState;
use crate::request_digest::DigestKey;
use crate::routing_view::RoutingView;
use crate::tenant_admission::TenantLoad;

/// Identifies an incarnation of a node as an observer of back-end crashes.
fn observer_of(info: &MemberInfo) -> ObserverId {
    ObserverId(xxh3_64(info.key.to_string().as_bytes()))
}

/// The state of `sablebay-dispatch`, behind one lock.
pub struct Dispatch {
    pub table: ReplicaTable,
    /// Budgets for hedges and retries.
    pub budgets: RetryBudgets,
    pub latencies: HashMap<String, RouteLatency>,
    /// Weighted service selection by route.
    pub splits: HashMap<String, WeightedChoice>,
    /// State of the nodes that gather shards for this node.
    pub gatherers: GathererTable,
    /// Request rates, by the first shard of the request.
    pub arrivals: HashMap<ServiceName, ArrivalRate>,
    /// Delay between the planned and the actual time of partial answers.
    pub answer_lag: AnswerLag,
    /// Typical caller timeouts by route.
    pub typical_timeouts: HashMap<String, TypicalTimeout>,
    /// Recent load by tenant.
    pub tenant_load: TenantLoad,
}

/// State shared by all requests of a gateway.
pub struct Context<C, B> {
    /// The node that runs the gateway.
    pub node: Arc<Shared>,
    pub callers: C,
    pub back_ends: B,
    pub settings: ArcSwap<GatewaySettings>,
    pub mechanisms: GatewayMechanisms,
    /// The current routes and replicas.
    pub view: ArcSwap<RoutingView>,
    /// Notifies of each newly installed view.
    pub view_installs: watch::Sender<()>,
    /// The previous view. Used only while `pinning` is disabled for fault testing.
    pub replaced: ArcSwap<RoutingView>,
    pub dispatch: Mutex<Dispatch>,
    pub connections: Mutex<HashMap<ReplicaId, Arc<ReplicaConnections>>>,
    pub fleet: Mutex<FleetView>,
    /// The shards that this node gathers for other nodes.
    pub ownership: ArcSwap<Ownership>,
    /// Number of nodes that share retry budgets and connections.
    pub nodes: AtomicU64,
    /// This node's position among these nodes.
    pub node_position: AtomicU64,
    /// Whether the last read of the catalogue source failed.
    pub source_fails: AtomicBool,
    pub metrics: GatewayMetrics,
    next_call: AtomicU64,
    /// The key for request digests.
    pub digest_key: DigestKey,
    /// Digests callers' API keys.
    pub keys: KeyDigester,
    observer: ObserverId,
    /// Pending quota requests, and the accounts that this node owns.
    pub quota: Mutex<QuotaState>,
}

impl<C: CallerProtocol, B: BackendProtocol> Context<C, B> {
    /// Creates a context without routes.
    pub fn new(
        node: Arc<Shared>,
        callers: C,
        back_ends: B,
        settings: GatewaySettings,
        mechanisms: GatewayMechanisms,
    ) -> Self {
        let dispatch = Dispatch {
            table: ReplicaTable::new(node.settings.zone.clone()),
            budgets: RetryBudgets::default(),
            latencies: HashMap::new(),
            splits: HashMap::new(),
            typical_timeouts: HashMap::new(),
            tenant_load: TenantLoad::default(),
            gatherers: GathererTable::default(),
            arrivals: HashMap::new(),
            answer_lag: AnswerLag::default(),
        };
        Self {
            fleet: Mutex::new(FleetView::new(&node.info, node.settings.peers.iter().copied())),
            observer: observer_of(&node.info),
            quota: Mutex::new(QuotaState::new(rand::random(), node.clock.now())),
            keys: key_digester(&node.settings),
            digest_key: DigestKey::new(&node.settings.fleet, node.settings.fleet_key.as_deref()),
            node,
            callers,
            back_ends,
            nodes: AtomicU64::new(u64::from(settings.assumed_nodes)),
            node_position: AtomicU64::new(0),
            source_fails: AtomicBool::new(false),
            settings: ArcSwap::from_pointee(settings),
            ownership: ArcSwap::from_pointee(Ownership::default()),
            mechanisms,
            view: ArcSwap::from_pointee(RoutingView::default()),
            view_installs: watch::Sender::default(),
            replaced: ArcSwap::from_pointee(RoutingView::default()),
            dispatch: Mutex::new(dispatch),
            connections: Mutex::default(),
            metrics: GatewayMetrics::default(),
            next_call: AtomicU64::new(0),
        }
    }

    /// This node's identity as an observer of back-end crashes.
    pub fn observer(&self) -> ObserverId {
        self.observer
    }

    pub fn clock(&self) -> Clock {
        self.node.clock
    }

    /// Allocates a key for a call, unique within this node.
    pub fn next_call(&self) -> CallKey {
        CallKey(self.next_call.fetch_add(1, Ordering::Relaxed))
    }

    /// The fleet's allowance for hedges and retries.
    pub fn allowance(&self) -> RetryAllowance {
        let settings = self.settings.load();
        RetryAllowance {
            ratio: settings.retry_ratio,
            fixed: settings.retry_fixed,
            window: Micros::from_millis(settings.retry_window_ms),
            nodes: self.nodes.load(Ordering::Relaxed) as usize,
        }
    }
}
