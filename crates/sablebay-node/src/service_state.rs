//! The state of one service on one node.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use sablebay_config::{FanOut, IndexMap, Priority, ServiceSettings};
use sablebay_model::{LeafId, Micros, NodeId, PartitionSet, ServiceId};
use sablebay_query::{
    Admission, Arrival, PlannedShard, ReplicaState, RoutingSettings, ServiceRouting, ShardPlan, Target,
    WaiterId,
};

use crate::cluster_view::ClusterView;
use crate::leaf_client::LeafClient;
use crate::node::NodeMechanisms;
use crate::report::ServiceCounts;
use crate::shared::Shared;

/// Shards above which an index is searched through aggregators.
const WIDE_INDEX_SHARDS: usize = 64;

/// The state of one service.
pub struct ServiceState {
    service: ServiceId,
    /// Calls to leaves.
    pub direct: Mutex<ServiceRouting>,
    /// Calls to aggregators, when this node does not call the leaves itself.
    pub through_peers: Mutex<ServiceRouting>,
    /// What was counted.
    pub counts: Mutex<ServiceCounts>,
    admission: Mutex<AdmissionQueue>,
    built: Mutex<Built>,
    direct_targets: ArcSwap<Vec<CallTarget>>,
    peer_targets: ArcSwap<Vec<CallTarget>>,
}

/// Who takes the calls to a replica, by the replica's position in the service's table.
#[derive(Clone)]
pub enum CallTarget {
    /// A leaf, through its client.
    Leaf(Arc<LeafClient>),
    /// An aggregator.
    Peer(NodeId),
    /// A replica that is configured no more.
    Gone,
}

/// The replicas of a service that a search sends its calls to.
#[derive(Clone, Copy)]
pub struct Route<'a> {
    /// The decision logic's state.
    pub routing: &'a Mutex<ServiceRouting>,
    /// Who takes the calls.
    pub targets: &'a ArcSwap<Vec<CallTarget>>,
}

#[derive(Default)]
struct Built {
    epoch: u64,
    settings: Option<Arc<ServiceSettings>>,
    uses_peers: bool,
}

struct AdmissionQueue {
    machine: Admission,
    waiting: HashMap<WaiterId, oneshot::Sender<()>>,
}

/// A place in the service; given up when dropped.
pub struct AdmissionPermit {
    state: Arc<ServiceState>,
    clock: crate::clock::Clock,
    started: Micros,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let now = self.clock.now();
        let mut queue = self.state.admission.lock();
        queue.release(now, now.since(self.started));
    }
}

impl AdmissionQueue {
    /// Frees a place and starts the next waiter that is still there.
    fn release(&mut self, now: Micros, duration: Micros) {
        let mut next = self.machine.leave(now, duration);
        while let Some(id) = next {
            let told = self.waiting.remove(&id).is_some_and(|sender| sender.send(()).is_ok());
            if told {
                return;
            }
            next = self.machine.leave(now, duration);
        }
    }
}

fn routing_settings(settings: &ServiceSettings, mechanisms: &NodeMechanisms) -> RoutingSettings {
    RoutingSettings {
        hedge: settings.hedge,
        hedge_quantile: settings.hedge_quantile,
        extra_load_percent: settings.extra_load_percent,
        retry: settings.retry_queries,
        coverage_first: settings.priority == Priority::Coverage,
        mechanisms: mechanisms.routing,
    }
}

impl ServiceState {
    /// The state of a service that was not used before.
    pub fn new(settings: &ServiceSettings, mechanisms: &NodeMechanisms, now: Micros) -> Self {
        let routing = routing_settings(settings, mechanisms);
        Self {
            service: settings.service.clone(),
            direct: Mutex::new(ServiceRouting::new(routing.clone(), now)),
            through_peers: Mutex::new(ServiceRouting::new(routing, now)),
            counts: Mutex::default(),
            admission: Mutex::new(AdmissionQueue {
                machine: Admission::new(settings.concurrency, settings.queue),
                waiting: HashMap::new(),
            }),
            built: Mutex::default(),
            direct_targets: ArcSwap::default(),
            peer_targets: ArcSwap::default(),
        }
    }

    /// The service.
    pub fn service_id(&self) -> ServiceId {
        self.service.clone()
    }

    /// Records that a leaf could not be reached.
    pub fn fail_leaf(&self, leaf: &LeafId, now: Micros) {
        let mut routing = self.direct.lock();
        if let Some(index) = routing.balancer.position(&Target::Leaf(leaf.clone())) {
            routing.balancer.failed(index, now);
        }
    }

    /// The way to the leaves.
    pub fn direct_route(&self) -> Route<'_> {
        Route { routing: &self.direct, targets: &self.direct_targets }
    }

    /// The way to the aggregators.
    pub fn peer_route(&self) -> Route<'_> {
        Route { routing: &self.through_peers, targets: &self.peer_targets }
    }

    /// Whether queries go through aggregators.
    pub fn uses_peers(&self) -> bool {
        self.built.lock().uses_peers
    }

    /// Makes the plans anew when the configuration or the members changed since the last time.
    pub fn refresh(&self, shared: &Shared, view: &ClusterView, settings: &Arc<ServiceSettings>) {
        let mut built = self.built.lock();
        if built.epoch == view.epoch && built.settings.is_some() {
            return;
        }
        let Some(configuration) = &view.configuration else {
            return;
        };
        let Some(index) = configuration.indexes.get(&settings.index) else {
            return;
        };
        let now = shared.clock.now();
        let routing = routing_settings(settings, &shared.mechanisms);
        self.admission.lock().machine.set_limits(settings.concurrency, settings.queue);
        {
            let mut direct = self.direct.lock();
            direct.reconfigure(routing.clone());
            let plan = direct_plan(&mut direct, shared, view, index, settings, now);
            self.direct_targets.store(Arc::new(call_targets(&direct, shared)));
            direct.plan = Arc::new(plan);
        }
        let aggregators = view.aggregators(&settings.service, &shared.settings);
        built.uses_peers = uses_peers(settings, index, &aggregators, shared);
        if built.uses_peers {
            let mut peers = self.through_peers.lock();
            peers.reconfigure(routing);
            let plan = peer_plan(&mut peers, shared, view, index, settings, &aggregators, now);
            self.peer_targets.store(Arc::new(call_targets(&peers, shared)));
            peers.plan = Arc::new(plan);
        }
        built.epoch = view.epoch;
        built.settings = Some(settings.clone());
    }

    /// Takes a place in the service, or waits for one until `deadline`.
    ///
    /// # Errors
    /// Milliseconds after which to come back.
    pub async fn admit(
        self: &Arc<Self>,
        clock: crate::clock::Clock,
        deadline: Micros,
    ) -> Result<AdmissionPermit, u64> {
        let now = clock.now();
        let (id, mut receiver) = {
            let mut queue = self.admission.lock();
            match queue.machine.arrive(now, deadline) {
                Arrival::Run => return Ok(AdmissionPermit { state: self.clone(), clock, started: now }),
                Arrival::Refuse { retry_after_ms } => return Err(retry_after_ms),
                Arrival::Wait(id) => {
                    let (sender, receiver) = oneshot::channel();
                    queue.waiting.insert(id, sender);
                    (id, receiver)
                }
            }
        };
        let mut ticket = Waiting { state: self.clone(), id, started: false };
        let started = tokio::time::timeout_at(clock.instant(deadline), &mut receiver).await;
        let won = matches!(started, Ok(Ok(()))) || receiver.try_recv().is_ok();
        if won {
            ticket.started = true;
            return Ok(AdmissionPermit { state: self.clone(), clock, started: clock.now() });
        }
        const LATE_RETRY_MS: u64 = 50;
        Err(LATE_RETRY_MS)
    }

    /// Requests running and waiting.
    pub fn load(&self) -> (u32, usize) {
        let queue = self.admission.lock();
        (queue.machine.running(), queue.machine.waiting())
    }
}

/// A waiter; leaves the queue when dropped, also when its caller goes away.
struct Waiting {
    state: Arc<ServiceState>,
    id: WaiterId,
    started: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.started {
            return;
        }
        let mut queue = self.state.admission.lock();
        queue.waiting.remove(&self.id);
        queue.machine.give_up(self.id);
    }
}

/// The targets of every replica, so that a call finds its client without a lock or a look-up.
fn call_targets(routing: &ServiceRouting, shared: &Shared) -> Vec<CallTarget> {
    let target = |replica: &ReplicaState| match &replica.target {
        Target::Leaf(leaf) => shared.leaf_client(leaf).map_or(CallTarget::Gone, CallTarget::Leaf),
        Target::Peer(node) => CallTarget::Peer(node.clone()),
    };
    routing.balancer.replicas().map(target).collect()
}

fn uses_peers(settings: &ServiceSettings, index: &IndexMap, aggregators: &[NodeId], shared: &Shared) -> bool {
    let alone = aggregators.len() <= 1 && aggregators.contains(&shared.settings.node);
    if alone {
        return false;
    }
    match settings.fan_out {
        FanOut::Direct => false,
        FanOut::Tree => true,
        FanOut::Auto => {
            !aggregators.contains(&shared.settings.node) || index.shards.len() > WIDE_INDEX_SHARDS
        }
    }
}

/// The shards that a service searches: those of its index, cut to its partitions.
fn wanted_shards<'a>(
    index: &'a IndexMap,
    settings: &'a ServiceSettings,
) -> impl Iterator<Item = (PartitionSet, &'a sablebay_config::Shard)> {
    index.shards.iter().filter_map(move |shard| {
        let partitions = match &settings.partitions {
            None => shard.partitions.clone(),
            Some(wanted) => shard.partitions.iter().filter(|p| wanted.contains(*p)).collect(),
        };
        (!partitions.is_empty()).then_some((partitions, shard))
    })
}

fn direct_plan(
    routing: &mut ServiceRouting,
    shared: &Shared,
    view: &ClusterView,
    index: &IndexMap,
    settings: &ServiceSettings,
    now: Micros,
) -> ShardPlan {
    let configuration = view.configuration.as_ref().expect("checked by the caller");
    let fleet = shared.fleet.lock();
    let mut shards = Vec::with_capacity(index.shards.len());
    for (partitions, shard) in wanted_shards(index, settings) {
        let mut replicas = Vec::with_capacity(settings.replicas as usize);
        for leaf in shard.leaves.iter().take(settings.replicas as usize) {
            let zone = &configuration.leaves[leaf].zone;
            let target = Target::Leaf(leaf.clone());
            replicas.push(routing.balancer.intern(&target, zone, now));
            if fleet.leaving_leaves().is_leaving(leaf) {
                routing.balancer.set_leaving(&target, true);
            }
        }
        shards.push(PlannedShard { partitions: Arc::new(partitions), replicas });
    }
    ShardPlan { revision: configuration.version.revision, shards, through_peers: false }
}

/// Shards of about equal size, one for each aggregator; each can be answered by any of them.
fn peer_plan(
    routing: &mut ServiceRouting,
    shared: &Shared,
    view: &ClusterView,
    index: &IndexMap,
    settings: &ServiceSettings,
    aggregators: &[NodeId],
    now: Micros,
) -> ShardPlan {
    let configuration = view.configuration.as_ref().expect("checked by the caller");
    let all: Vec<PartitionSet> = wanted_shards(index, settings).map(|(set, _)| set).collect();
    let wide = all.len() > WIDE_INDEX_SHARDS || settings.fan_out == FanOut::Tree;
    let groups = if wide { aggregators.len() } else { 1 }.clamp(1, all.len().max(1));
    let indexes: Vec<_> = aggregators
        .iter()
        .map(|node| {
            let zone = view.peer(node).map_or(&shared.settings.zone, |peer| &peer.zone);
            routing.balancer.intern(&Target::Peer(node.clone()), zone, now)
        })
        .collect();
    let per_group = all.len().div_ceil(groups).max(1);
    let shards = all
        .chunks(per_group)
        .enumerate()
        .map(|(group, sets)| {
            let partitions = Arc::new(sets.iter().flat_map(PartitionSet::iter).collect());
            let mut replicas = indexes.clone();
            replicas.rotate_left(group % indexes.len().max(1));
            PlannedShard { partitions, replicas }
        })
        .collect();
    ShardPlan { revision: configuration.version.revision, shards, through_peers: true }
}
