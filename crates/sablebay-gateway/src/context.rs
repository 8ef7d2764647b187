//! What the requests of a gateway share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arc_swap::ArcSwap;
use parking_lot::Mutex;
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

/// A life of a node as a witness.
fn observer_of(info: &MemberInfo) -> ObserverId {
    ObserverId(xxh3_64(info.key.to_string().as_bytes()))
}

/// The machines of `sablebay-dispatch`, behind one lock.
pub struct Dispatch {
    /// What is known of the replicas.
    pub table: ReplicaTable,
    /// The budgets for extra calls.
    pub budgets: RetryBudgets,
    /// Latencies by route.
    pub latencies: HashMap<String, RouteLatency>,
    /// Splits by route.
    pub splits: HashMap<String, WeightedChoice>,
    /// What is known of the nodes that gather for this one.
    pub gatherers: GathererTable,
    /// How often requests come in, by the first of their shards.
    pub arrivals: HashMap<ServiceName, ArrivalRate>,
    /// How much later than planned answers get ready.
    pub answer_lag: AnswerLag,
    /// How long callers usually wait, by route.
    pub typical_timeouts: HashMap<String, TypicalTimeout>,
    /// What tenants lately asked for.
    pub tenant_load: TenantLoad,
}

/// What the requests of a gateway share.
pub struct Context<C, B> {
    /// The node that the gateway is a part of.
    pub node: Arc<Shared>,
    /// What callers speak.
    pub callers: C,
    /// What back ends speak.
    pub back_ends: B,
    /// The settings.
    pub settings: ArcSwap<GatewaySettings>,
    /// Mechanisms that are on.
    pub mechanisms: GatewayMechanisms,
    /// Routes and replicas.
    pub view: ArcSwap<RoutingView>,
    /// The view whose configuration was replaced last, for the soak that mixes them.
    pub replaced: ArcSwap<RoutingView>,
    /// Decisions.
    pub dispatch: Mutex<Dispatch>,
    /// Connections by replica.
    pub connections: Mutex<HashMap<ReplicaId, Arc<ReplicaConnections>>>,
    /// The other nodes.
    pub fleet: Mutex<FleetView>,
    /// The shards that this node gathers for others.
    pub ownership: ArcSwap<Ownership>,
    /// Nodes that share budgets and connections.
    pub nodes: AtomicU64,
    /// This node's position among them.
    pub node_position: AtomicU64,
    /// Whether the last read of the source failed.
    pub source_fails: AtomicBool,
    /// Counts and latencies.
    pub metrics: GatewayMetrics,
    next_call: AtomicU64,
    /// What requests are named under.
    pub digest_key: DigestKey,
    /// What callers' keys are known by.
    pub keys: KeyDigester,
    observer: ObserverId,
    /// The requests of tenants that ask for tokens here, and the accounts that this node keeps.
    pub quota: Mutex<QuotaState>,
}

impl<C: CallerProtocol, B: BackendProtocol> Context<C, B> {
    /// A context without routes.
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
            replaced: ArcSwap::from_pointee(RoutingView::default()),
            dispatch: Mutex::new(dispatch),
            connections: Mutex::default(),
            metrics: GatewayMetrics::default(),
            next_call: AtomicU64::new(0),
        }
    }

    /// This node as a witness of back ends that end.
    pub fn observer(&self) -> ObserverId {
        self.observer
    }

    /// The node's clock.
    pub fn clock(&self) -> Clock {
        self.node.clock
    }

    /// A number for one more call.
    pub fn next_call(&self) -> CallKey {
        CallKey(self.next_call.fetch_add(1, Ordering::Relaxed))
    }

    /// What the fleet may send beyond first calls.
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
