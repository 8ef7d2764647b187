//! Tells other nodes of requests that back ends ended under, and compares what is known with theirs.
//!
//! Every node is told at once. Where back ends that ended together leave more requests with a first strike than
//! that is done for, only the few nodes that keep account of each are told. A node that was not reached, or
//! that has just started, learns of it by comparing. The first keeper that can be reached gives out the lease
//! of a suspect request: at most one run of it has that, over all nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use sablebay_catalogue::ServiceName;
use sablebay_dispatch::{Audience, LeaseRequest, QuarantineNotice, QuarantineStatus, RunId, RunPermit};
use sablebay_model::{Micros, RequestDigest};
use sablebay_node::Lane;
use sablebay_protocol::peer::{PeerRequest, PeerResponse};

use crate::call::ForwardedRequest;
use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol};

/// How often what is known is compared with one other node. A node that comes back after a cut knows what the others
/// know within about this time, well within the four seconds after which it must.
const COMPARE_PERIOD: Duration = Duration::from_secs(1);
/// How often a node that knows no other looks for one.
const LONELY_PERIOD: Duration = Duration::from_millis(100);
/// How long news are collected: back ends of one search end within some milliseconds of one another.
const COLLECT: Duration = Duration::from_millis(5);
/// How long the node that gives out the lease of a request may take to answer before the next is asked:
/// some ways there and back.
const KEEPER_PATIENCE: Duration = Duration::from_millis(60);
/// How long after a refusal the lease is asked for again. Runs end within some ten milliseconds.
const ASK_PAUSE: Duration = Duration::from_millis(10);
/// How long another node may take to answer.
const PATIENCE: Duration = Duration::from_millis(900);

impl<C: CallerProtocol, B: BackendProtocol> Context<C, B> {
    /// What names a request by what it asks for.
    pub fn digest_of(&self, request: &ForwardedRequest) -> RequestDigest {
        let digest = || {
            let settings = self.settings.load();
            let named = settings.caller_headers.iter().map(String::as_str);
            let identity = self.callers.identity_header();
            self.digest_key.digest(request, named.chain([identity.as_str()]))
        };
        *request.digest.get_or_init(digest)
    }

    /// When a request may come back that is held back; nothing when it may be tried.
    pub fn held_back(&self, request: &ForwardedRequest) -> Option<Micros> {
        if !self.is_suspect(request) {
            return None;
        }
        let now = self.clock().now();
        match self.node.quarantine.standing(&self.digest_of(request), now) {
            QuarantineStatus::Quarantined { until } => Some(until.since(now)),
            _ => None,
        }
    }

    /// What is known of back ends that ended under a request.
    pub fn quarantine_notice(&self, request: &ForwardedRequest, now: Micros) -> Option<QuarantineNotice> {
        if self.node.quarantine.is_empty() {
            return None;
        }
        self.node.quarantine.notice(&self.digest_of(request), now)
    }

    /// Whether back ends ended under requests that asked for the same.
    pub fn is_suspect(&self, request: &ForwardedRequest) -> bool {
        let quarantine = &self.node.quarantine;
        self.mechanisms.quarantine
            && !quarantine.is_empty()
            && quarantine.standing(&self.digest_of(request), self.clock().now()) != QuarantineStatus::Clear
    }

    /// Whether a run of a request may begin at a service. Every first call, hedge, retry and gathered part
    /// asks, before and after it waited for a connection.
    pub fn permit_run(&self, request: &ForwardedRequest, service: &ServiceName) -> RunPermit {
        if !self.is_suspect(request) {
            return RunPermit::Free;
        }
        self.node.quarantine.permit(&self.digest_of(request), service, self.clock().now())
    }
}

/// Tells and compares until the node ends.
pub async fn share_quarantine<C: CallerProtocol, B: BackendProtocol>(context: Arc<Context<C, B>>) {
    let mut changes = context.node.quarantine.subscribe();
    let mut compare_at = Instant::now();
    let mut turn = 0;
    loop {
        tokio::select! {
            changed = changes.changed() => {
                if changed.is_err() {
                    return;
                }
                let ended = context.node.quarantine.ended_replicas();
                context.dispatch.lock().table.note_ended(ended, context.clock().now());
                tokio::time::sleep(COLLECT).await;
                tell_news(&context);
            }
            () = tokio::time::sleep_until(compare_at) => {
                compare_at = Instant::now() + COMPARE_PERIOD;
                let now = context.clock().now();
                context.dispatch.lock().table.expire_ended(now);
                context.metrics.held_back.set(context.node.quarantine.held(now) as i64);
                tell_news(&context);
                let peer = {
                    let mut fleet = context.fleet.lock();
                    fleet.refresh(&context.node);
                    fleet.quarantine_peer(turn)
                };
                turn += 1;
                match peer {
                    Some(address) => drop(tokio::spawn(compare(context.clone(), address))),
                    // A node that has just started asks as soon as it has met another.
                    None => compare_at = Instant::now() + LONELY_PERIOD,
                }
            }
        }
    }
}

fn tell_news<C: CallerProtocol, B: BackendProtocol>(context: &Arc<Context<C, B>>) {
    let news = context.node.quarantine.take_news(context.clock().now());
    if news.is_empty() {
        return;
    }
    // Who has come since the fleet was last looked at must hear it too.
    context.fleet.lock().refresh(&context.node);
    let mut for_everyone = Vec::new();
    for (notice, audience) in news {
        match audience {
            Audience::AllNodes => for_everyone.push(notice),
            Audience::Owners => {
                let keepers = context.fleet.lock().keepers_of(&notice.digest);
                for address in keepers.into_iter().flatten() {
                    tell(context, address, vec![notice.clone()], false);
                }
            }
        }
    }
    if for_everyone.is_empty() {
        return;
    }
    let peers = context.fleet.lock().quarantine_peers();
    for address in peers {
        tell(context, address, for_everyone.clone(), true);
    }
}

/// Tells one node. One that cannot be reached learns of it by comparing.
fn tell<C: CallerProtocol, B: BackendProtocol>(
    context: &Arc<Context<C, B>>,
    address: SocketAddr,
    notices: Vec<QuarantineNotice>,
    to_all_nodes: bool,
) {
    let context = context.clone();
    let request = PeerRequest::Quarantine { notices, to_all_nodes, compare: false };
    tokio::spawn(async move {
        let until = Instant::now() + PATIENCE;
        if let Err(failure) = context.node.peers.request(address, Lane::Control, request, until).await {
            log::debug!("quarantine: {address} was not told: {failure:?}.");
        }
    });
}

async fn compare<C: CallerProtocol, B: BackendProtocol>(context: Arc<Context<C, B>>, address: SocketAddr) {
    let notices = context.node.quarantine.notices(context.clock().now());
    let request = PeerRequest::Quarantine { notices, to_all_nodes: false, compare: true };
    let until = Instant::now() + PATIENCE;
    let answer = context.node.peers.request(address, Lane::Control, request, until).await;
    if let Ok(PeerResponse::Quarantine(notices)) = answer {
        context.node.quarantine.hear("a peer", &notices, false, context.clock().now());
    }
}

/// A run of this node that asks for the lease of its request, until this is dropped.
struct Asking<C: CallerProtocol, B: BackendProtocol> {
    context: Arc<Context<C, B>>,
    digest: RequestDigest,
    run: RunId,
}

impl<C: CallerProtocol, B: BackendProtocol> Drop for Asking<C, B> {
    fn drop(&mut self) {
        self.context.node.quarantine.stop_asking(&self.digest, self.run);
    }
}

/// The lease of a suspect request, until this is dropped.
pub struct RunLease<C: CallerProtocol, B: BackendProtocol> {
    asking: Asking<C, B>,
    /// Who gave it; nothing when this node did.
    keeper: Option<SocketAddr>,
}

impl<C: CallerProtocol, B: BackendProtocol> Drop for RunLease<C, B> {
    fn drop(&mut self) {
        let Asking { context, digest, run } = &self.asking;
        let quarantine = &context.node.quarantine;
        let Some(address) = self.keeper else {
            quarantine.over(digest, *run);
            return;
        };
        let Some(notice) = quarantine.notice(digest, context.clock().now()) else {
            return;
        };
        let context = context.clone();
        let request = PeerRequest::QuarantineLeaseEnd { notice, run: *run };
        tokio::spawn(async move {
            let until = Instant::now() + PATIENCE;
            // A keeper that does not hear this gives the lease to another after a while.
            let _ = context.node.peers.request(address, Lane::Control, request, until).await;
        });
    }
}

/// What became of asking for the lease of a request.
pub enum LeaseAnswer<C: CallerProtocol, B: BackendProtocol> {
    /// It is this run's.
    Granted(RunLease<C, B>),
    /// Another run has it.
    Taken,
    /// Nobody who could give it was reached.
    Unreached,
}

/// Asks for the lease of a request: the first of its keepers that can be reached.
pub async fn acquire_lease<C: CallerProtocol, B: BackendProtocol>(
    context: &Arc<Context<C, B>>,
    digest: RequestDigest,
    wanted: LeaseRequest,
) -> LeaseAnswer<C, B> {
    if !context.node.quarantine.may_ask(&digest, wanted, context.clock().now()) {
        return LeaseAnswer::Taken;
    }
    let asking = Asking { context: context.clone(), digest, run: wanted.run };
    let keepers = context.fleet.lock().keepers_of(&digest);
    for keeper in keepers {
        let now = context.clock().now();
        let Some(address) = keeper else {
            let granted = context.node.quarantine.grant(&digest, wanted, now);
            return if granted {
                LeaseAnswer::Granted(RunLease { asking, keeper })
            } else {
                LeaseAnswer::Taken
            };
        };
        let Some(notice) = context.node.quarantine.notice(&digest, now) else {
            return LeaseAnswer::Taken;
        };
        let request = PeerRequest::QuarantineLease { notice, wanted };
        let until = Instant::now() + KEEPER_PATIENCE;
        let answer = context.node.peers.request(address, Lane::Control, request, until).await;
        if let Ok(PeerResponse::QuarantineLease { granted, notice }) = answer {
            let known: Vec<QuarantineNotice> = notice.into_iter().collect();
            context.node.quarantine.hear("a keeper", &known, false, context.clock().now());
            if granted {
                return LeaseAnswer::Granted(RunLease { asking, keeper });
            }
            // Other runs of this node do not ask meanwhile.
            tokio::time::sleep(ASK_PAUSE).await;
            return LeaseAnswer::Taken;
        }
    }
    LeaseAnswer::Unreached
}
