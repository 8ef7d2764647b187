//! Shares quarantine state with other nodes.
//!
//! A crash of a replica during a request is announced to all nodes. When crashes at the same time give too many
//! requests a first strike, only the owners of each request are notified. Nodes that were not reached or have just
//! started synchronize by periodic comparison. The first reachable owner grants the lease of a suspect request, so that
//! at most one run holds it in the fleet.

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

/// Interval between comparisons with a peer, which bounds how long a node needs to synchronize after a network
/// partition.
const COMPARE_PERIOD: Duration = Duration::from_secs(1);
/// Interval between comparisons while there is no peer.
const NO_PEERS_PAUSE: Duration = Duration::from_millis(100);
/// How long updates are collected before they are sent: replicas that one search crashes exit within milliseconds of
/// each other.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// How long an owner may take to answer a lease request before the next owner is asked.
const OWNER_TIMEOUT: Duration = Duration::from_millis(60);
/// Pause after a refused lease request. Most runs end within some ten milliseconds.
const LEASE_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Timeout of other requests to peers.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);

impl<C: CallerProtocol, B: BackendProtocol> Context<C, B> {
    /// The digest that identifies a request by its contents.
    pub fn digest_of(&self, request: &ForwardedRequest) -> RequestDigest {
        let digest = || {
            let settings = self.settings.load();
            let named = settings.caller_headers.iter().map(String::as_str);
            let identity = self.callers.identity_header();
            self.digest_key.digest(request, named.chain([identity.as_str()]))
        };
        *request.digest.get_or_init(digest)
    }

    /// How long a quarantined request is still refused; `None` when it may run.
    pub fn held_back(&self, request: &ForwardedRequest) -> Option<Micros> {
        if !self.is_suspect(request) {
            return None;
        }
        let now = self.clock().now();
        match self.node.quarantine.status(&self.digest_of(request), now) {
            QuarantineStatus::Quarantined { until } => Some(until.since(now)),
            _ => None,
        }
    }

    /// The quarantine notice for a request, if there is one.
    pub fn quarantine_notice(&self, request: &ForwardedRequest, now: Micros) -> Option<QuarantineNotice> {
        if self.node.quarantine.is_empty() {
            return None;
        }
        self.node.quarantine.notice(&self.digest_of(request), now)
    }

    /// Whether replicas crashed during requests with the same contents.
    pub fn is_suspect(&self, request: &ForwardedRequest) -> bool {
        let quarantine = &self.node.quarantine;
        self.mechanisms.quarantine
            && !quarantine.is_empty()
            && quarantine.status(&self.digest_of(request), self.clock().now()) != QuarantineStatus::Clear
    }

    /// Whether a run of a request may begin at a service. Checked for every first call, hedge, retry and gathered part,
    /// before and after the wait for a connection.
    pub fn permit_run(&self, request: &ForwardedRequest, service: &ServiceName) -> RunPermit {
        if !self.is_suspect(request) {
            return RunPermit::Free;
        }
        self.node.quarantine.permit(&self.digest_of(request), service, self.clock().now())
    }
}

/// Sends updates and compares state with peers until the node stops.
pub async fn share_quarantine<C: CallerProtocol, B: BackendProtocol>(context: Arc<Context<C, B>>) {
    let mut changes = context.node.quarantine.subscribe();
    let mut compare_at = Instant::now();
    let mut round = 0;
    loop {
        tokio::select! { changed = changes.changed() => { if changed.is_err() { return; } let ended = context.node.quarantine.ended_replicas(); context.dispatch.lock().table.note_ended(ended, context.clock().now()); tokio::time::sleep(BATCH_DELAY).await; send_updates(&context); } () = tokio::time::sleep_until(compare_at) => { compare_at = Instant::now() + COMPARE_PERIOD; let now = context.clock().now(); context.dispatch.lock().table.expire_ended(now); context.metrics.held_back.set(context.node.quarantine.quarantined_count(now) as i64); send_updates(&context); let peer = { let mut fleet = context.fleet.lock(); fleet.refresh(&context.node); fleet.quarantine_peer(round) }; round += 1; match peer { Some(address) => drop(tokio::spawn(compare(context.clone(), address))),
        // A node that has just started compares as soon as it has a peer.
        None => compare_at = Instant::now() + NO_PEERS_PAUSE, } } }
    }
}

fn send_updates<C: CallerProtocol, B: BackendProtocol>(context: &Arc<Context<C, B>>) {
    let updates = context.node.quarantine.take_updates(context.clock().now());
    if updates.is_empty() {
        return;
    }
    // Includes nodes that joined since the last refresh.
    context.fleet.lock().refresh(&context.node);
    let mut for_everyone = Vec::new();
    for (notice, audience) in updates {
        match audience {
            Audience::AllNodes => for_everyone.push(notice),
            Audience::Owners => {
                let owners = context.fleet.lock().quarantine_owners(&notice.digest);
                for address in owners.into_iter().flatten() {
                    send_notices(context, address, vec![notice.clone()], false);
                }
            }
        }
    }
    if for_everyone.is_empty() {
        return;
    }
    let peers = context.fleet.lock().quarantine_peers();
    for address in peers {
        send_notices(context, address, for_everyone.clone(), true);
    }
}

/// Sends notices to one node. A node that cannot be reached receives them by comparison.
fn send_notices<C: CallerProtocol, B: BackendProtocol>(
    context: &Arc<Context<C, B>>,
    address: SocketAddr,
    notices: Vec<QuarantineNotice>,
    to_all_nodes: bool,
) {
    let context = context.clone();
    let request = PeerRequest::Quarantine { notices, to_all_nodes, compare: false };
    tokio::spawn(async move {
        let until = Instant::now() + REQUEST_TIMEOUT;
        if let Err(failure) = context.node.peers.request(address, Lane::Control, request, until).await {
            log::debug!("quarantine: a notice to {address} failed: {failure:?}.");
        }
    });
}

async fn compare<C: CallerProtocol, B: BackendProtocol>(context: Arc<Context<C, B>>, address: SocketAddr) {
    let notices = context.node.quarantine.notices(context.clock().now());
    let request = PeerRequest::Quarantine { notices, to_all_nodes: false, compare: true };
    let until = Instant::now() + REQUEST_TIMEOUT;
    let answer = context.node.peers.request(address, Lane::Control, request, until).await;
    if let Ok(PeerResponse::Quarantine(notices)) = answer {
        context.node.quarantine.merge_notices("a peer", &notices, false, context.clock().now());
    }
}

/// A pending lease request of a local run; ends when dropped.
struct LeaseAttempt<C: CallerProtocol, B: BackendProtocol> {
    context: Arc<Context<C, B>>,
    digest: RequestDigest,
    run: RunId,
}

impl<C: CallerProtocol, B: BackendProtocol> Drop for LeaseAttempt<C, B> {
    fn drop(&mut self) {
        self.context.node.quarantine.end_lease_request(&self.digest, self.run);
    }
}

/// The lease of a suspect request; released when dropped.
pub struct RunLease<C: CallerProtocol, B: BackendProtocol> {
    attempt: LeaseAttempt<C, B>,
    /// The owner that granted the lease; `None` for this node.
    owner: Option<SocketAddr>,
}

impl<C: CallerProtocol, B: BackendProtocol> Drop for RunLease<C, B> {
    fn drop(&mut self) {
        let LeaseAttempt { context, digest, run } = &self.attempt;
        let quarantine = &context.node.quarantine;
        let Some(address) = self.owner else {
            quarantine.release_lease(digest, *run);
            return;
        };
        let Some(notice) = quarantine.notice(digest, context.clock().now()) else {
            return;
        };
        let context = context.clone();
        let request = PeerRequest::QuarantineLeaseEnd { notice, run: *run };
        tokio::spawn(async move {
            let until = Instant::now() + REQUEST_TIMEOUT;
            // If this message is lost, the lease expires at the owner.
            let _ = context.node.peers.request(address, Lane::Control, request, until).await;
        });
    }
}

/// The outcome of a lease request.
pub enum LeaseAnswer<C: CallerProtocol, B: BackendProtocol> {
    /// This run holds the lease.
    Granted(RunLease<C, B>),
    /// Another run holds the lease.
    Taken,
    /// No owner could be reached.
    Unreachable,
}

/// Requests the lease of a request from its first reachable owner.
pub async fn acquire_lease<C: CallerProtocol, B: BackendProtocol>(
    context: &Arc<Context<C, B>>,
    digest: RequestDigest,
    wanted: LeaseRequest,
) -> LeaseAnswer<C, B> {
    if !context.node.quarantine.begin_lease_request(&digest, wanted, context.clock().now()) {
        return LeaseAnswer::Taken;
    }
    let attempt = LeaseAttempt { context: context.clone(), digest, run: wanted.run };
    let owners = context.fleet.lock().quarantine_owners(&digest);
    for owner in owners {
        let now = context.clock().now();
        let Some(address) = owner else {
            let granted = context.node.quarantine.grant(&digest, wanted, now);
            return if granted {
                LeaseAnswer::Granted(RunLease { attempt, owner })
            } else {
                LeaseAnswer::Taken
            };
        };
        let Some(notice) = context.node.quarantine.notice(&digest, now) else {
            return LeaseAnswer::Taken;
        };
        let request = PeerRequest::QuarantineLease { notice, wanted };
        let until = Instant::now() + OWNER_TIMEOUT;
        let answer = context.node.peers.request(address, Lane::Control, request, until).await;
        if let Ok(PeerResponse::QuarantineLease { granted, notice }) = answer {
            let known: Vec<QuarantineNotice> = notice.into_iter().collect();
            context.node.quarantine.merge_notices("a keeper", &known, false, context.clock().now());
            if granted {
                return LeaseAnswer::Granted(RunLease { attempt, owner });
            }
            // Keeps other runs of this node from requesting the lease in the meantime.
            tokio::time::sleep(LEASE_RETRY_PAUSE).await;
            return LeaseAnswer::Taken;
        }
    }
    LeaseAnswer::Unreachable
}
