//! What all parts of a node share.

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
use crate::service_state::{PlanNeed, ServiceState};
use crate::suspension::Suspension;

/// Gathers shards for other nodes.
pub trait PartialGatherer: Send + Sync {
    /// Gathers; dropped when the asker no longer wants it.
    fn gather(
        &self,
        from: InstanceKey,
        partial: PartialGather,
        progress: ProgressSender,
    ) -> Pin<Box<dyn Future<Output = PeerResponse> + Send>>;
}

/// Keeps accounts of tenants' quotas.
pub trait AccountOwner: Send + Sync {
    /// Answers another node that asks for tokens.
    fn answer(&self, question: &QuotaRequest) -> PeerResponse;
}

/// What all parts of a node share.
pub struct Shared {
    /// The settings.
    pub settings: NodeSettings,
    /// This node as others know it.
    pub info: MemberInfo,
    /// The clocks.
    pub clock: Clock,
    /// Whether the machine was suspended.
    pub suspension: Suspension,
    /// Membership and configuration.
    pub fleet: Mutex<FleetNode>,
    /// Whether the configuration is confirmed; kept beside the lock for the query path.
    pub freshness: Freshness,
    /// The configuration and members that plans are made from.
    pub view: ArcSwap<ClusterView>,
    /// Connections to peers.
    pub peers: Arc<PeerTransport>,
    /// State of each service that was asked for.
    pub services: Mutex<HashMap<ServiceId, Arc<ServiceState>>>,
    /// Clients of each leaf that was called.
    pub leaves: Mutex<HashMap<LeafId, Arc<LeafClient>>>,
    /// Claims that this node holds.
    pub claims: Mutex<ClaimHolder>,
    /// Leaves that the platform's list names as leaving.
    pub listed_leaving: Mutex<HashSet<LeafId>>,
    /// Leaves that this node itself saw leaving, by their own word or by the list: only of these can it say
    /// that they are back. The lists of other nodes may be newer than its own.
    pub seen_leaving: Mutex<HashSet<LeafId>>,
    /// Metrics.
    pub metrics: Metrics,
    /// The catalogue of routes and replicas, for a node with a gateway.
    pub catalogue: CatalogueStore,
    /// Counts of requests by their callers, for a node with a gateway.
    pub callers: CallerCounts,
    /// Requests that back ends ended under, for a node with a gateway.
    pub quarantine: QuarantineStore,
    /// Gathers shards for other nodes; set by the gateway.
    pub gatherer: OnceLock<Arc<dyn PartialGatherer>>,
    /// The part of the fleet that this node sees; set by the gateway.
    pub fleet_part: Mutex<Option<FleetPart>>,
    /// Keeps accounts of tenants' quotas; set by the gateway.
    pub account_owner: OnceLock<Arc<dyn AccountOwner>>,
    /// Where the node is in its life.
    pub lifecycle: Lifecycle,
    /// Requests that the node runs at once, over all services.
    pub slots: Semaphore,
    /// Numbers calls to leaves.
    pub next_call: Arc<AtomicU64>,
    /// Numbers claims.
    pub next_claim: AtomicU64,
    /// What leaf clients discarded.
    pub client_counters: Arc<ClientCounters>,
    /// Changes the log level, when the process has a log of its own.
    pub log_control: Option<LogControl>,
    /// Mechanisms that are on.
    pub mechanisms: NodeMechanisms,
}

impl Shared {
    /// Name and life of this node.
    pub fn key(&self) -> &InstanceKey {
        &self.info.key
    }

    /// A place among the requests that the node runs at once; there is no queue for these.
    ///
    /// # Errors
    /// A refusal that says when to come back.
    pub fn take_slot(&self) -> Result<SemaphorePermit<'_>, Refusal> {
        const RETRY_MS: u64 = 100;
        self.slots.try_acquire().map_err(|_| {
            Refusal::not_run(Reason::Overloaded, "the node has no free slot").retry_after(RETRY_MS)
        })
    }

    /// What is in force.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.view.load().configuration.clone()
    }

    /// The client of a leaf; made at its first use, and made anew when the leaf's settings changed.
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

    /// The client of a leaf that a plan of this node names.
    pub fn known_leaf_client(&self, leaf: &LeafId) -> Option<Arc<LeafClient>> {
        self.leaves.lock().get(leaf).cloned()
    }

    /// The state of a service in force; made at its first use.
    pub fn service(&self, service: &ServiceId) -> Option<Arc<ServiceState>> {
        self.service_with(service, PlanNeed::Callers)
    }

    /// The state of a service in force, with a plan over its leaves.
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
            // A view that was replaced meanwhile is loaded again.
            if state.refresh(self, &view, &settings, need) {
                return Some(state);
            }
        }
    }

    /// Every service state there is.
    pub fn service_states(&self) -> Vec<Arc<ServiceState>> {
        self.services.lock().values().cloned().collect()
    }

    /// Takes a new configuration or member list into use.
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
