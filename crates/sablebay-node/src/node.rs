//! A node: opens its listeners, starts its tasks, and stops gracefully.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use rand::RngExt;
use rustix::process::{Resource, getrlimit};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::task::JoinHandle;

use sablebay_config::NodeSettings;
use sablebay_fleet::{ClaimHolder, FleetNode, FleetSettings, MemberInfo};
use sablebay_model::{Incarnation, InstanceKey, Micros, Reason, Refusal};
use sablebay_protocol::peer::{PeerRequest, PeerResponse};

use crate::admin_api::{admin_routes, start_draining};
use crate::caller_api::caller_routes;
use crate::caller_counts::CallerCounts;
use crate::catalogue_answer::{CatalogueRequest, answer_catalogue};
use crate::catalogue_store::CatalogueStore;
use crate::clock::Clock;
use crate::cluster_view::ClusterView;
use crate::connection_limits::ConnectionLimits;
use crate::error::NodeError;
use crate::fleet_task::run_fleet;
use crate::freshness::Freshness;
use crate::http_listener::{ListenerPhase, serve_callers};
use crate::lifecycle::{Lifecycle, StopTimes};
use crate::load_poll::{local_versions, run_load_polls};
use crate::logging::LogControl;
use crate::mechanisms::NodeMechanisms;
use crate::metrics::Metrics;
use crate::partial_search::partial_search;
use crate::peers::{
    PeerContext, PeerCounters, PeerTransport, ProgressSender, RequestHandler, large_answer_permits,
    run_listener,
};
use crate::platform::run_platform_reader;
use crate::quarantine_store::QuarantineStore;
use crate::report::short_report;
use crate::resources::{ResourceLimits, Resources};
use crate::shared::Shared;
use crate::suspension::Suspension;
use crate::traffic::TrafficLedger;
use crate::traffic_log::{log_traffic, run_traffic_log};

/// The bound addresses of a node's listeners.
#[derive(Clone, Debug, Serialize)]
pub struct BoundAddresses {
    pub node: String,
    pub caller_address: SocketAddr,
    pub admin_address: SocketAddr,
    pub peer_address: SocketAddr,
}

/// Maximum number of queued incoming fleet messages.
const FLEET_QUEUE: usize = 65_536;
/// How long the listeners stay open after the last request, for callers that do not yet know that the node stops.
const LINGER: Duration = Duration::from_millis(300);
/// How long idle connections are kept after that, so that further requests on them are answered with a notice to
/// use another node.
const IDLE_GRACE: Duration = Duration::from_millis(500);
/// How long the remaining connections may take to close after that.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A running node. Dropping it aborts its tasks; [`Node::stop`] stops gracefully.
pub struct Node {
    pub addresses: BoundAddresses,
    pub shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
    servers: Vec<JoinHandle<()>>,
    listeners: watch::Sender<ListenerPhase>,
}

impl Drop for Node {
    fn drop(&mut self) {
        for task in self.tasks.iter().chain(&self.servers) {
            task.abort();
        }
    }
}

async fn listen(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, NodeError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| NodeError::Listen { address, purpose, source })
}

fn bound(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("a bound listener has an address")
}

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    /// When a listener cannot be opened, or the peer address is not loopback and no fleet key is set.
    pub async fn start(
        settings: NodeSettings,
        mechanisms: NodeMechanisms,
        log_control: Option<LogControl>,
    ) -> Result<Node, NodeError> {
        if settings.fleet_key.is_none() && !settings.peer_address.ip().is_loopback() {
            return Err(NodeError::KeyRequired { address: settings.peer_address });
        }
        let callers = listen(settings.caller_address, "callers").await?;
        let admin = listen(settings.admin_address, "operators").await?;
        let peers = listen(settings.peer_address, "peers").await?;
        let addresses = BoundAddresses {
            node: settings.node.to_string(),
            caller_address: bound(&callers),
            admin_address: bound(&admin),
            peer_address: bound(&peers),
        };
        let (incoming, fleet_messages) = mpsc::channel(FLEET_QUEUE);
        let (shared, peer_context) = build(settings, mechanisms, log_control, &addresses, incoming);
        let (listeners, phase) = watch::channel(ListenerPhase::Open);
        let tasks = vec![
            tokio::spawn(run_fleet(shared.clone(), fleet_messages)),
            tokio::spawn(run_listener(peer_context, peers, Arc::new(Handler(shared.clone())))),
            tokio::spawn(run_platform_reader(shared.clone())),
            tokio::spawn(run_load_polls(shared.clone())),
            tokio::spawn(run_traffic_log(shared.clone())),
        ];
        let limits = ConnectionLimits::default;
        let servers = vec![
            tokio::spawn(serve_callers(
                callers,
                caller_routes(shared.clone()),
                phase.clone(),
                limits,
                shared.resources.clone(),
            )),
            tokio::spawn(serve_callers(
                admin,
                admin_routes(shared.clone()),
                phase,
                limits,
                shared.resources.for_operators(),
            )),
        ];
        log::info!(
            "node: {} listens for callers on {}, operators on {}, peers on {}.",
            addresses.node,
            addresses.caller_address,
            addresses.admin_address,
            addresses.peer_address
        );
        Ok(Node { addresses, shared, tasks, servers, listeners })
    }

    /// Begins the planned stop: new work is refused, the leave is announced, and every request in flight is told when
    /// its answer is due. Returns the times of the stop, which bound it together with that of the gateway.
    pub fn begin_stop(&self) -> StopTimes {
        start_draining(&self.shared);
        let settings = &self.shared.settings;
        let gateway_ms = settings.gateway.as_ref().map(|gateway| gateway.stop_timeout_ms);
        let limit_ms =
            gateway_ms.map_or(settings.stop_timeout_ms, |limit| limit.min(settings.stop_timeout_ms));
        let times = StopTimes::new(self.shared.clock.now(), Micros::from_millis(limit_ms));
        self.shared.lifecycle.begin_stop(times)
    }

    /// Stops gracefully within a bounded time: refuses new work, announces the leave, and finishes requests in
    /// flight. Returns whether all of them finished.
    pub async fn stop(mut self) -> bool {
        let times = self.begin_stop();
        if self.shared.mechanisms.wait_at_stop {
            self.finish_requests(times).await;
        }
        let cut = self.shared.lifecycle.in_flight();
        let servers = std::mem::take(&mut self.servers);
        if self.shared.mechanisms.wait_at_stop {
            self.close_listeners(servers, times).await;
        }
        log_traffic(&self.shared);
        log::info!("stop: the node stops; {cut} requests were in flight.");
        self.shared.mechanisms.wait_at_stop && cut == 0
    }

    /// Waits until no request has been in flight for [`LINGER`]. Leaves half of the time after the answers are due for
    /// closing the listeners.
    async fn finish_requests(&self, times: StopTimes) {
        let Shared { lifecycle, clock, .. } = &*self.shared;
        let finishing = async {
            lifecycle.wait_idle().await;
            tokio::time::sleep(LINGER).await;
            lifecycle.wait_idle().await;
        };
        let until = times.answer_by.plus(Micros(times.end_at.since(times.answer_by).0 / 2));
        // At the limit, the requests that are still in flight are counted.
        let _ = tokio::time::timeout_at(clock.instant(until), finishing).await;
    }

    /// Closes the listeners, then their connections. See [`ListenerPhase`].
    async fn close_listeners(&self, servers: Vec<JoinHandle<()>>, times: StopTimes) {
        let closing = async {
            for server in servers {
                // A server that failed has nothing left to close.
                let _ = server.await;
            }
        };
        let mut closing = std::pin::pin!(closing);
        let clock = self.shared.clock;
        let left = times.end_at.since(clock.now()).as_duration();
        let idle_grace = IDLE_GRACE.min(left / 2);
        let close_timeout = CLOSE_TIMEOUT.min(left - idle_grace);
        for (phase, limit) in [(ListenerPhase::Closed, idle_grace), (ListenerPhase::Ended, close_timeout)] {
            self.listeners.send_replace(phase);
            if tokio::time::timeout(limit, closing.as_mut()).await.is_ok() {
                return;
            }
        }
    }
}

fn build(
    settings: NodeSettings,
    mechanisms: NodeMechanisms,
    log_control: Option<LogControl>,
    addresses: &BoundAddresses,
    incoming: mpsc::Sender<crate::peers::Incoming>,
) -> (Arc<Shared>, Arc<PeerContext>) {
    let clock = Clock::start();
    let incarnation = Incarnation::from_start(clock.wall().0, rand::rng().random());
    let info = MemberInfo {
        key: InstanceKey { node: settings.node.clone(), incarnation },
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        peer_address: settings.advertised_peer_address.unwrap_or(addresses.peer_address),
        caller_address: addresses.caller_address,
        admin_address: addresses.admin_address,
        gathers: settings.gateway.is_some(),
        takes_over: settings.gateway.is_some(),
        shares_quarantine: settings.gateway.is_some(),
        keeps_accounts: settings.gateway.is_some(),
        core_percent: (settings.core_share * 100.0).round().max(1.0) as u32,
    };
    let peer_context = Arc::new(PeerContext {
        fleet: settings.fleet.clone(),
        secret: settings.fleet_key.clone().unwrap_or_default(),
        info: info.clone(),
        incoming,
        counters: PeerCounters::default(),
        traffic: TrafficLedger::default(),
        large_answers: large_answer_permits(),
    });
    let mut fleet_settings = FleetSettings::with_probe_period(Micros::from_millis(settings.probe_period_ms));
    fleet_settings.mechanisms = mechanisms.fleet;
    let seeds = settings.peers.clone();
    let fleet = FleetNode::new(info.clone(), fleet_settings, seeds, rand::rng().random(), clock.now());
    let mut claims = ClaimHolder::new(info.key.clone());
    if !mechanisms.claims {
        claims.turn_off_write_once();
    }
    let shared = Arc::new(Shared {
        slots: Semaphore::new(settings.concurrency as usize),
        resources: Resources::new(resource_limits(&settings), clock),
        candidate_turn: tokio::sync::Mutex::default(),
        settings,
        info,
        clock,
        suspension: Suspension::default(),
        fleet: Mutex::new(fleet),
        freshness: Freshness::default(),
        view: ArcSwap::from_pointee(ClusterView::default()),
        peers: Arc::new(PeerTransport::new(peer_context.clone())),
        services: Mutex::default(),
        leaves: Mutex::default(),
        claims: Mutex::new(claims),
        listed_leaving: Mutex::default(),
        seen_leaving: Mutex::default(),
        metrics: Metrics::new(),
        lifecycle: Lifecycle::default(),
        catalogue: CatalogueStore::default(),
        callers: CallerCounts::default(),
        quarantine: QuarantineStore::default(),
        gatherer: OnceLock::new(),
        fleet_part: Mutex::new(None),
        account_owner: OnceLock::new(),
        next_call: Arc::new(AtomicU64::new(1)),
        next_claim: AtomicU64::new(1),
        client_counters: Arc::default(),
        log_control,
        mechanisms,
    });
    (shared, peer_context)
}

/// What the node may spend on its callers, from the size of its machine.
fn resource_limits(settings: &NodeSettings) -> ResourceLimits {
    let allowed = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let descriptors = settings.descriptors.map_or(allowed, |descriptors| descriptors.min(allowed));
    ResourceLimits::of_machine(settings.memory_mb, descriptors)
}

struct Handler(Arc<Shared>);

impl RequestHandler for Handler {
    async fn handle(
        self: Arc<Self>,
        from: InstanceKey,
        request: PeerRequest,
        progress: ProgressSender,
    ) -> PeerResponse {
        let shared = &self.0;
        match request {
            PeerRequest::PartialSearch(partial) => partial_search(shared, partial).await,
            PeerRequest::PartialGather(partial) => match shared.gatherer.get() {
                Some(gatherer) => gatherer.gather(from, *partial, progress).await,
                None => PeerResponse::Refused(Refusal::not_run(
                    Reason::UnknownService,
                    "no gateway runs on this node",
                )),
            },
            PeerRequest::Versions { service, partitions } => {
                const TIMEOUT: Micros = Micros::from_secs(1);
                let deadline = shared.clock.now().plus(TIMEOUT);
                PeerResponse::Versions(local_versions(shared, &service, &partitions, deadline).await)
            }
            PeerRequest::Claim(request) => {
                let answer = shared.claims.lock().claim(&request, shared.clock.wall());
                PeerResponse::Claim(answer)
            }
            PeerRequest::RecordOutcome { ticket, claimant, state } => {
                PeerResponse::Recorded(shared.claims.lock().record(ticket, &claimant, state))
            }
            PeerRequest::LookupTicket { ticket } => {
                let answer = shared.claims.lock().lookup(&ticket, shared.clock.wall());
                PeerResponse::Claim(answer)
            }
            PeerRequest::Catalogue { version, replicas_at, wait_ms, takes_documents, requester } => {
                let catalogue_request = CatalogueRequest {
                    version,
                    number: replicas_at,
                    requester,
                    wait: Duration::from_millis(wait_ms),
                    takes_documents,
                };
                PeerResponse::Catalogue(Box::new(answer_catalogue(shared, &from, catalogue_request).await))
            }
            PeerRequest::DocumentChunk { digest, number } => {
                match shared.catalogue.documents.chunk(digest, number, shared.clock.now()).await {
                    Some(content) => PeerResponse::DocumentChunk { content: content.to_vec() },
                    None => PeerResponse::NoDocumentChunk,
                }
            }
            PeerRequest::Quarantine { notices, to_all_nodes, compare } => {
                let now = shared.clock.now();
                shared.quarantine.merge_notices(from.node.as_str(), &notices, to_all_nodes, now);
                let known = if compare { shared.quarantine.notices(now) } else { Vec::new() };
                PeerResponse::Quarantine(known)
            }
            PeerRequest::QuarantineLease { notice, wanted } => {
                let now = shared.clock.now();
                let quarantine = &shared.quarantine;
                quarantine.merge_notices(from.node.as_str(), std::slice::from_ref(&notice), false, now);
                let granted = quarantine.grant(&notice.digest, wanted, now);
                PeerResponse::QuarantineLease { granted, notice: quarantine.notice(&notice.digest, now) }
            }
            PeerRequest::QuarantineLeaseEnd { notice, run } => {
                let now = shared.clock.now();
                shared.quarantine.merge_notices(
                    from.node.as_str(),
                    std::slice::from_ref(&notice),
                    false,
                    now,
                );
                shared.quarantine.release_lease(&notice.digest, run);
                PeerResponse::Quarantine(Vec::new())
            }
            PeerRequest::Quota(quota_request) => match shared.account_owner.get() {
                Some(owner) => owner.answer(&quota_request),
                None => PeerResponse::Refused(Refusal::not_run(
                    Reason::UnknownService,
                    "no gateway runs on this node",
                )),
            },
            PeerRequest::Report => match serde_json::to_string(&short_report(shared)) {
                Ok(text) => PeerResponse::Report(text),
                Err(error) => PeerResponse::Refused(Refusal::not_run(Reason::PeerFailed, error.to_string())),
            },
        }
    }
}
