//! The state of one service on one node.

mod plan;

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use sablebay_config::{Entry, IndexLayout, Priority, ServiceSettings};
use sablebay_model::{LeafId, Micros, NodeId, ServiceId};
use sablebay_query::{Admission, Arrival, RoutingSettings, ServiceRouting, Target, WaiterId};

use crate::cluster_view::ClusterView;
use crate::leaf_client::LeafClient;
use crate::mechanisms::NodeMechanisms;
use crate::service_counts::ServiceCounts;
use crate::shared::Shared;

use plan::{PlanInputs, call_targets, direct_plan, peer_plan, uses_peers};

pub struct ServiceState {
    service: ServiceId,
    /// Routing of calls to leaves.
    pub direct: Mutex<ServiceRouting>,
    /// Routing of calls to aggregators, if this node does not call the leaves itself.
    pub through_peers: Mutex<ServiceRouting>,
    pub counts: Mutex<ServiceCounts>,
    admission: Mutex<AdmissionQueue>,
    built: Mutex<BuiltPlans>,
    direct_targets: ArcSwap<Vec<CallTarget>>,
    peer_targets: ArcSwap<Vec<CallTarget>>,
}

/// The destination of calls to a replica.
#[derive(Clone)]
pub enum CallTarget {
    /// A leaf.
    Leaf(Arc<LeafClient>),
    /// An aggregator.
    Peer(NodeId),
    /// A replica that is no longer configured.
    Removed,
}

/// The routing state and call targets that a search uses.
#[derive(Clone, Copy)]
pub struct Route<'a> {
    pub routing: &'a Mutex<ServiceRouting>,
    /// Call targets, indexed by replica.
    pub targets: &'a ArcSwap<Vec<CallTarget>>,
}

/// The plan that a caller of [`ServiceState::refresh`] needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanNeed {
    /// The plan for callers' queries, over leaves or aggregators.
    Callers,
    /// The plan over the leaves, even if callers' queries go through aggregators.
    Leaves,
}

/// The view epochs and inputs from which the current plans were built.
#[derive(Default)]
struct BuiltPlans {
    epoch: Option<u64>,
    direct_epoch: Option<u64>,
    callers: Option<CallerPlanKey>,
    layout: Option<Arc<IndexLayout>>,
    uses_peers: bool,
}

/// The inputs of the plan for callers; the plan is rebuilt only if they change.
struct CallerPlanKey {
    settings: Arc<ServiceSettings>,
    index: Option<Entry>,
    aggregators: Vec<NodeId>,
}

impl CallerPlanKey {
    fn new(inputs: &PlanInputs<'_>, aggregators: Vec<NodeId>) -> Self {
        Self { settings: inputs.settings.clone(), index: inputs.index_entry().cloned(), aggregators }
    }

    fn is_current(&self, inputs: &PlanInputs<'_>, aggregators: &[NodeId]) -> bool {
        Arc::ptr_eq(&self.settings, inputs.settings)
            && self.index.as_ref() == inputs.index_entry()
            && self.aggregators == aggregators
    }
}

/// The index layout of the configuration in force; read again only if the cached one is outdated.
fn current_layout(built: &BuiltPlans, inputs: &PlanInputs<'_>) -> Option<Arc<IndexLayout>> {
    let document = &inputs.configuration.document;
    if let Some(layout) = built.layout.as_ref().filter(|layout| layout.is_current(document)) {
        return Some(layout.clone());
    }
    match inputs.configuration.index_layout(&inputs.settings.index) {
        Ok(layout) => Some(Arc::new(layout)),
        Err(error) => {
            log::error!("configuration: cannot read an index of the configuration in force: {error}.");
            None
        }
    }
}

struct AdmissionQueue {
    machine: Admission,
    waiting: HashMap<WaiterId, oneshot::Sender<()>>,
}

/// Permission to run one request of the service; released when dropped.
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
    /// Releases a slot and admits the next waiter that has not been cancelled.
    fn release(&mut self, now: Micros, duration: Micros) {
        let mut next = self.machine.leave(now, duration);
        while let Some(id) = next {
            let notified = self.waiting.remove(&id).is_some_and(|sender| sender.send(()).is_ok());
            if notified {
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

    /// The route over the leaves.
    pub fn direct_route(&self) -> Route<'_> {
        Route { routing: &self.direct, targets: &self.direct_targets }
    }

    /// The route over the aggregators.
    pub fn peer_route(&self) -> Route<'_> {
        Route { routing: &self.through_peers, targets: &self.peer_targets }
    }

    /// Whether queries go through aggregators.
    pub fn uses_peers(&self) -> bool {
        self.built.lock().uses_peers
    }

    /// Rebuilds the needed plans if the configuration or the members have changed.
    ///
    /// Returns false, and changes nothing, if the plans were built from a view newer than `view`:
    /// queries must not be planned under a superseded configuration.
    pub fn refresh(
        &self,
        shared: &Shared,
        view: &ClusterView,
        settings: &Arc<ServiceSettings>,
        need: PlanNeed,
    ) -> bool {
        let Some(configuration) = &view.configuration else {
            return true;
        };
        let mut built = self.built.lock();
        if built.epoch.is_some_and(|epoch| epoch > view.epoch) {
            return false;
        }
        let inputs = PlanInputs { shared, view, configuration, settings };
        if built.epoch != Some(view.epoch) {
            self.refresh_for_callers(&mut built, &inputs);
            built.epoch = Some(view.epoch);
        }
        let leaves_needed = need == PlanNeed::Leaves || !built.uses_peers;
        if leaves_needed && built.direct_epoch != Some(view.epoch) {
            self.refresh_direct(&mut built, &inputs);
            built.direct_epoch = Some(view.epoch);
        }
        true
    }

    /// Updates the admission limits, and the plan over aggregators if the service uses them.
    fn refresh_for_callers(&self, built: &mut BuiltPlans, inputs: &PlanInputs<'_>) {
        let settings = inputs.settings;
        self.admission.lock().machine.set_limits(settings.concurrency, settings.queue);
        let aggregators = inputs.view.aggregators(&settings.service, &inputs.shared.settings);
        let unchanged =
            built.callers.as_ref().is_some_and(|callers| callers.is_current(inputs, &aggregators));
        if unchanged {
            let mut peers = self.through_peers.lock();
            peers.plan = Arc::new(peers.plan.at_revision(inputs.configuration.version.revision));
            return;
        }
        let Some(layout) = current_layout(built, inputs) else {
            return;
        };
        built.uses_peers = uses_peers(settings, &layout.map, &aggregators, inputs.shared);
        if built.uses_peers {
            let mut peers = self.through_peers.lock();
            peers.reconfigure(routing_settings(settings, &inputs.shared.mechanisms));
            let plan = peer_plan(&mut peers, inputs, &layout.map, &aggregators);
            self.peer_targets.store(Arc::new(call_targets(&peers, inputs, &layout)));
            peers.plan = Arc::new(plan);
        }
        built.callers = Some(CallerPlanKey::new(inputs, aggregators));
    }

    /// Rebuilds the plan over the leaves.
    fn refresh_direct(&self, built: &mut BuiltPlans, inputs: &PlanInputs<'_>) {
        let Some(layout) = current_layout(built, inputs) else {
            return;
        };
        let mut direct = self.direct.lock();
        direct.reconfigure(routing_settings(inputs.settings, &inputs.shared.mechanisms));
        let plan = direct_plan(&mut direct, inputs, &layout);
        self.direct_targets.store(Arc::new(call_targets(&direct, inputs, &layout)));
        direct.plan = Arc::new(plan);
        // Cached only on nodes that call leaves directly, to save memory on the others.
        built.layout = Some(layout);
    }

    /// Acquires a slot of the service, waiting until `deadline` if none is free.
    ///
    /// # Errors
    /// The delay in milliseconds after which the caller may retry.
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
        let mut waiter = QueuedWaiter { state: self.clone(), id, started: false };
        let started = tokio::time::timeout_at(clock.instant(deadline), &mut receiver).await;
        let admitted = matches!(started, Ok(Ok(()))) || receiver.try_recv().is_ok();
        if admitted {
            waiter.started = true;
            return Ok(AdmissionPermit { state: self.clone(), clock, started: clock.now() });
        }
        const LATE_RETRY_MS: u64 = 50;
        Err(LATE_RETRY_MS)
    }

    /// The numbers of running and waiting requests.
    pub fn load(&self) -> (u32, usize) {
        let queue = self.admission.lock();
        (queue.machine.running(), queue.machine.waiting())
    }
}

/// A queued request; removed from the queue when dropped, unless it was admitted.
struct QueuedWaiter {
    state: Arc<ServiceState>,
    id: WaiterId,
    started: bool,
}

impl Drop for QueuedWaiter {
    fn drop(&mut self) {
        if self.started {
            return;
        }
        let mut queue = self.state.admission.lock();
        queue.waiting.remove(&self.id);
        queue.machine.cancel(self.id);
    }
}
