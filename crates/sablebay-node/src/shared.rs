//! State shared by all parts of a node.

use std::collections::{HashMap, HashSet};
use std::pin::Pin;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, OnceLock};

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tokio::sync::{Semaphore, SemaphorePermit};

use sablebay_config::{Configuration, EntryKind, LeafSettings, NodeSettings};
use sablebay_fleet::{ClaimHolder, FleetNode, FleetPart, MemberInfo};
use sablebay_model::{InstanceKey, LeafId, Reason, Refusal, ServiceId};
use sablebay_protocol::peer::{PartialGather, PeerResponse};
use sablebay_tenants::quota::QuotaRequest;

use crate::caller_counts::CallerCounts;
use crate::catalogue_store::CatalogueStore;
use crate::clock::Clock;
use crate::cluster_view::ClusterView;
use crate::freshness::Freshness;
use crate::leaf_client::{ClientCounters, LeafClient};
use crate::lifecycle::Lifecycle;
use crate::logging::LogControl;
use crate::mechanisms::NodeMechanisms;
use crate::metrics::Metrics;
use crate::peers::{PeerTransport, ProgressSender};
use crate::quarantine_store::QuarantineStore;
use crate::resources::Resources;
use crate::service_state::{PlanNeed, ServiceState};
use crate::suspension::Suspension;

/// Gathers results of shards on behalf of other nodes.
pub trait PartialGatherer: Send + Sync {
    /// Gathers shards for `from`. The future is dropped when the request is cancelled.
    fn gather(
        &self,
        from: InstanceKey,
        partial: PartialGather,
        progress: ProgressSender,
    ) -> Pin<Box<dyn Future<Output = PeerResponse> + Send>>;
}

/// Owns quota accounts of tenants.
pub trait AccountOwner: Send + Sync {
    /// Answers a token request of another node.
    fn answer(&self, request: &QuotaRequest) -> PeerResponse;
}

/// State shared by all parts of a node.
pub struct Shared {
    pub settings: NodeSettings,
    /// This node as announced to the fleet.
    pub info: MemberInfo,
    pub clock: Clock,
    /// Detects suspensions of the machine.
    pub suspension: Suspension,
    /// Membership and configuration.
    pub fleet: Mutex<FleetNode>,
    /// Freshness of the configuration; outside the fleet lock for the query path.
    pub freshness: Freshness,
    /// Configuration and members, the input of plans.
    pub view: ArcSwap<ClusterView>,
    pub peers: Arc<PeerTransport>,
    /// State of each requested service.
    pub services: Mutex<HashMap<ServiceId, Arc<ServiceState>>>,
    /// Clients of the leaves called so far.
    pub leaves: Mutex<HashMap<LeafId, Arc<LeafClient>>>,
    /// Claims that this node holds.
    pub claims: Mutex<ClaimHolder>,
    /// Leaves that the platform's list names as leaving.
    pub listed_leaving: Mutex<HashSet<LeafId>>,
    /// Leaves whose leaving this node saw itself, from the leaf or the platform's list. Only for these may it announce
    /// a return, since other nodes may have newer lists.
    pub seen_leaving: Mutex<HashSet<LeafId>>,
    pub metrics: Metrics,
    /// The catalogue of routes and replicas, for a node with a gateway.
    pub catalogue: CatalogueStore,
    /// Counts of requests by their callers, for a node with a gateway.
    pub callers: CallerCounts,
    /// Requests that crashed back ends, for a node with a gateway.
    pub quarantine: QuarantineStore,
    /// Set by the gateway.
    pub gatherer: OnceLock<Arc<dyn PartialGatherer>>,
    /// The reachable part of the fleet; set by the gateway.
    pub fleet_part: Mutex<Option<FleetPart>>,
    /// Owner of quota accounts; set by the gateway.
    pub account_owner: OnceLock<Arc<dyn AccountOwner>>,
    /// Draining state and requests in flight.
    pub lifecycle: Lifecycle,
    /// Limits concurrent requests over all services.
    pub slots: Semaphore,
    /// The connections and the memory of callers.
    pub resources: Resources,
    /// Held while a candidate configuration is received and checked.
    pub candidate_turn: tokio::sync::Mutex<()>,
    /// Next number of a leaf call.
    pub next_call: Arc<AtomicU64>,
    /// Next number of a claim.
    pub next_claim: AtomicU64,
    /// Counts of answers that leaf clients discarded.
    pub client_counters: Arc<ClientCounters>,
    /// Changes the log level; absent when this process did not start logging.
    pub log_control: Option<LogControl>,
    /// Enabled mechanisms.
    pub mechanisms: NodeMechanisms,
}

impl Shared {
    /// Name and incarnation of this node.
    pub fn key(&self) -> &InstanceKey {
        &self.info.key
    }

    /// Takes one of the node's concurrent request slots without waiting.
    ///
    /// # Errors
    /// A refusal with a retry delay when no slot is free.
    pub fn take_slot(&self) -> Result<SemaphorePermit<'_>, Refusal> {
        const RETRY_MS: u64 = 100;
        self.slots.try_acquire().map_err(|_| {
            Refusal::not_run(Reason::Overloaded, "the node has no free slot").retry_after(RETRY_MS)
        })
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.view.load().configuration.clone()
    }

    /// The client of a leaf; created on first use and replaced when the leaf's settings change.
    pub fn leaf_client(&self, settings: &Arc<LeafSettings>) -> Arc<LeafClient> {
        let connections = self.view.load().connections_for(settings, &self.settings);
        let mut leaves = self.leaves.lock();
        if let Some(client) = leaves.get(&settings.leaf).filter(|client| client.settings() == &**settings) {
            return client.clone();
        }
        let client = Arc::new(LeafClient::new(
            settings.clone(),
            connections,
            self.key(),
            self.clock,
            self.next_call.clone(),
            self.client_counters.clone(),
            self.mechanisms.correlation,
        ));
        leaves.insert(settings.leaf.clone(), client.clone());
        client
    }

    /// The client of a leaf, if it was created before.
    pub fn known_leaf_client(&self, leaf: &LeafId) -> Option<Arc<LeafClient>> {
        self.leaves.lock().get(leaf).cloned()
    }

    /// The state of a configured service; created on first use.
    pub fn service(&self, service: &ServiceId) -> Option<Arc<ServiceState>> {
        self.service_with(service, PlanNeed::Callers)
    }

    /// The state of a configured service, with a plan over its leaves.
    pub fn service_with_leaves(&self, service: &ServiceId) -> Option<Arc<ServiceState>> {
        self.service_with(service, PlanNeed::Leaves)
    }

    fn service_with(&self, service: &ServiceId, need: PlanNeed) -> Option<Arc<ServiceState>> {
        loop {
            let view = self.view.load_full();
            let settings = view.configuration.as_ref()?.services.get(service)?.clone();
            let state = {
                let mut services = self.services.lock();
                let fresh = || Arc::new(ServiceState::new(&settings, &self.mechanisms, self.clock.now()));
                services.entry(service.clone()).or_insert_with(fresh).clone()
            };
            // Retry if the view was replaced meanwhile.
            if state.refresh(self, &view, &settings, need) {
                return Some(state);
            }
        }
    }

    pub fn service_states(&self) -> Vec<Arc<ServiceState>> {
        self.services.lock().values().cloned().collect()
    }

    /// Replaces the view and drops the state of removed services and leaves.
    pub fn update_view(&self, update: impl Fn(&ClusterView) -> ClusterView) {
        self.view.rcu(|view| Arc::new(update(view)));
        let view = self.view.load();
        let Some(configuration) = view.configuration.as_ref() else {
            return;
        };
        self.services.lock().retain(|service, _| configuration.services.contains_key(service));
        let document = &configuration.document;
        self.leaves.lock().retain(|leaf, client| {
            client.set_connections(view.connections_for(client.settings(), &self.settings));
            document.entry(EntryKind::Leaf, leaf.as_str()).is_some()
        });
    }
}
