//! Keeps the catalogue up to date from peers. Most nodes never read the source.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::task::JoinSet;

use sablebay_catalogue::{DocumentOffer, LimitedAge};
use sablebay_fleet::{FleetPart, SETTLING_TIME};
use sablebay_model::Micros;
use sablebay_node::{Lane, PeerFailure};
use sablebay_protocol::peer::{PeerRequest, PeerResponse, RequesterPosition};

use crate::context::Context;
use crate::document_fetch::fetch_document;
use crate::edge::{BackendProtocol, CallerProtocol};
use crate::fleet_view::FleetPeer;
use crate::peer_rotation::PeerRotation;

/// How long a peer may hold a request until it has an update.
const UPDATE_WAIT: Duration = Duration::from_millis(700);
/// The same for requests of a relay: its wait adds to the age of what the nodes behind it receive.
const RELAY_WAIT: Duration = Duration::from_millis(350);
/// Catalogue age from which the next request bypasses the relays. The usual age is about half of this.
const STALE_AGE: Micros = Micros::from_millis(2_500);
/// Time allowed for the answer beyond the wait.
const RESPONSE_MARGIN: Duration = Duration::from_millis(350);
/// Pause while there is no peer to request updates from.
const NO_PEERS_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a failed request.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);
/// Pause after a peer that lags behind itself. Such peers answer at once, and all peers may lag at the same time.
const STALE_PEER_PAUSE: Duration = Duration::from_millis(200);

/// Pause after a peer that is still catching up.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(20);
/// Time after start within which a node discovers a running fleet, if its seeds are reachable. When the whole fleet
/// starts at once, discovery takes longer, but no node knows more than the source.
pub const DISCOVERY_TIME: Duration = Duration::from_millis(300);

/// How long a newer configuration may be announced but missing before this is logged. A large one takes some tenths of
/// a second to transfer.
const LOG_DELAY: Micros = Micros::from_millis(1_000);

/// Requests updates from peers until the node stops.
pub async fn follow_peers<C: CallerProtocol, B: BackendProtocol>(context: Arc<Context<C, B>>) {
    let mut rotation = PeerRotation::default();
    let mut fetches = JoinSet::new();
    let mut logged_version = 0;
    let mut peers_catching_up = 0;
    loop {
        update_node_count(&context);
        // Checked in every iteration, so that a suspension is logged even while the node is idle.
        context.check_suspension();
        context.record_ages();
        log_if_behind(&context, &mut logged_version);
        // Relays add their own wait to the age of a confirmation, which a revocation limit does not allow for.
        let through_relays = context.revocation_limit().is_none();
        let peer = context.fleet.lock().update_source(rotation, through_relays).cloned();
        let Some(peer) = peer else {
            tokio::time::sleep(NO_PEERS_PAUSE).await;
            continue;
        };
        let answered = match request_update(&context, &peer, rotation).await {
            Answer::None => false,
            Answer::CatchingUp => {
                peers_catching_up += 1;
                end_catch_up_if_all_wait(&context, peers_catching_up);
                rotation.failed();
                tokio::time::sleep(CATCH_UP_PAUSE).await;
                continue;
            }
            Answer::Behind => {
                tokio::time::sleep(STALE_PEER_PAUSE).await;
                true
            }
            Answer::Update => {
                peers_catching_up = 0;
                true
            }
            Answer::Offer(offer) => {
                // The result of the previous fetch determines the next offer, so fetches do not overlap. Without a list
                // of replicas the node can do nothing else.
                while fetches.join_next().await.is_some() {}
                context.node.catalogue.update(|view| {
                    view.incoming_mut().begin_fetch(offer.version);
                    false
                });
                fetches.spawn(fetch_document(context.clone(), offer, peer.address));
                if offer.lists_replicas {
                    while fetches.join_next().await.is_some() {}
                }
                true
            }
        };
        let is_urgent = is_near_limit(&context);
        if answered && !is_urgent {
            if context.catalogue_age() > STALE_AGE {
                rotation.answered_stale();
            } else {
                rotation.answered();
            }
            continue;
        }
        rotation.failed();
        tokio::time::sleep(if answered { STALE_PEER_PAUSE } else { FAILURE_PAUSE }).await;
    }
}

/// Ends catch-up when every peer is itself catching up: the whole fleet has just started, and no node knows more.
fn end_catch_up_if_all_wait<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    peers_catching_up: usize,
) {
    let has_discovered_peers = context.clock().running_for() >= DISCOVERY_TIME;
    if has_discovered_peers && peers_catching_up >= context.fleet.lock().ranked.len() {
        context.node.catalogue.update(|view| {
            view.end_catch_up();
            false
        });
    }
}

/// Logs, once for each version, that a newer configuration is announced but has not arrived.
fn log_if_behind<C: CallerProtocol, B: BackendProtocol>(context: &Context<C, B>, logged_version: &mut u64) {
    let (version, announced) =
        context.node.catalogue.read(|view| (view.version(), view.incoming().announced()));
    let Some(announced) = announced.filter(|announced| announced.version > *logged_version) else {
        return;
    };
    let behind = context.clock().now().since(announced.since);
    if behind >= LOG_DELAY {
        *logged_version = announced.version;
        log::warn!(version = version, heard = announced.version, behind_ms = behind.as_millis(), catalogue_age_ms = context.catalogue_age().as_millis(); "catalogue: a newer configuration was announced but has not arrived.");
    }
}

/// Updates the number of nodes that share budgets and connections. All nodes discovered in this incarnation count: a
/// node that loses contact with others must not use their share, since they may still be serving.
fn update_node_count<C: CallerProtocol, B: BackendProtocol>(context: &Context<C, B>) {
    let known = context.known_fleet();
    let mut fleet = context.fleet.lock();
    fleet.refresh(&context.node);
    let part = fleet.part(&known);
    let size_to_report = fleet.census.size_to_report(known.now);
    let (size, position) = fleet.size(Micros::from(context.clock().running_for()));
    drop(fleet);
    if size.running_for >= SETTLING_TIME {
        context.node.catalogue.set_nodes_met(size_to_report);
    }
    record_fleet_part(context, part);
    let shared = size.sharing(context.settings.load().assumed_nodes as usize);
    let before = context.nodes.swap(shared as u64, Ordering::Relaxed);
    let position_before = context.node_position.swap(position as u64, Ordering::Relaxed);
    if before != shared as u64 || position_before != position as u64 {
        log::info!(nodes = shared, before = before, met = size.discovered, position = position; "gateway: budgets and connections are shared by {shared} nodes.");
        // Recomputes the replica shares.
        context.node.catalogue.update(|_| true);
    }
}

/// Records the part of the fleet seen by this node, and logs it when it changed.
fn record_fleet_part<C: CallerProtocol, B: BackendProtocol>(context: &Context<C, B>, part: FleetPart) {
    context.metrics.fleet_share.set(part.share);
    *context.node.fleet_part.lock() = Some(part);
    if context.fleet.lock().should_log_part(part) {
        log::info!(fleet_share = part.share, nodes = part.nodes; "quota: the share of the fleet's limits that this part may use: {}.", part.basis);
    }
}

/// Whether the configuration age is close to the revocation limit.
fn is_near_limit<C: CallerProtocol, B: BackendProtocol>(context: &Context<C, B>) -> bool {
    context.limited_age().is_some_and(LimitedAge::is_near_limit)
}

/// How long a peer may hold the next request until it has an update.
fn update_wait<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    rotation: PeerRotation,
) -> Duration {
    if rotation.includes_all_peers() && is_near_limit(context) {
        return Duration::ZERO;
    }
    let relays = context.revocation_limit().is_none() && context.fleet.lock().is_relay();
    if relays { RELAY_WAIT } else { UPDATE_WAIT }
}

/// The answer of a peer.
enum Answer {
    /// No usable answer.
    None,
    /// An update, or the confirmation that there is none.
    Update,
    /// The contents of a peer that is still catching up, like this node.
    CatchingUp,
    /// The contents of a peer in an older era, or without support for eras.
    Behind,
    /// An offer of a document too large for one answer.
    Offer(DocumentOffer),
}

/// Requests updates from one peer.
async fn request_update<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    peer: &FleetPeer,
    rotation: PeerRotation,
) -> Answer {
    let asked_at = context.clock().now();
    let (version, position, catch_up_from) = context.node.catalogue.read(|view| {
        (view.incoming().request_from(view.version()), view.position(), view.catch_up_from(asked_at))
    });
    let replicas_at = position.at;
    let stage = replicas_at.stage();
    let requester = Some(RequesterPosition { stage, known_before: position.known_before, catch_up_from });
    // A peer that has caught up answers at once; one that has not cannot help.
    let wait = if catch_up_from.is_some() { Duration::ZERO } else { update_wait(context, rotation) };
    let request = PeerRequest::Catalogue {
        version,
        replicas_at: replicas_at.revision().number(),
        wait_ms: wait.as_millis() as u64,
        takes_documents: true,
        requester,
    };
    let until = tokio::time::Instant::now() + wait + RESPONSE_MARGIN;
    let answer = context.node.peers.request(peer.address, Lane::Control, request, until).await;
    let snapshot = match answer {
        Ok(PeerResponse::Catalogue(snapshot)) => snapshot,
        Ok(_) => {
            record_failed_request(context, peer, rotation, asked_at, "another_answer");
            return Answer::None;
        }
        Err(failure) => {
            record_failed_request(context, peer, rotation, asked_at, outcome_of(&failure));
            return Answer::None;
        }
    };
    context.metrics.peer_request("answered");
    let now = context.clock().now();
    let received = (snapshot.version(), snapshot.replicas_at());
    let offer = snapshot.offer;
    // Peers of earlier releases that do not report evacuations or eras, and peers in an older era, confirm nothing.
    let is_in_touch = received.1.era() >= replicas_at.era();
    let contact_ago = snapshot.heard_ms_ago.filter(|_| snapshot.zones.is_some() && is_in_touch);
    let confirmation = snapshot.confirmation.filter(|_| is_in_touch);
    let is_catching_up = catch_up_from.is_some() && !snapshot.caught_up && offer.is_none();
    context.fleet.lock().record_reported_size(snapshot.nodes_met, context.clock().now());
    if context.node.catalogue.update(|view| view.merge(*snapshot, now)) {
        log::info!(peer = peer.node.as_str(), version = received.0.unwrap_or(version), replicas_at = received.1.to_string().as_str(), had = replicas_at.to_string().as_str(), heard_ms_ago = contact_ago.unwrap_or(0), confirmed_ms_ago = confirmation.map_or(-1, |confirmation| confirmation.age.as_millis() as i64); "catalogue: update received from a peer.");
    }
    if let Some(offer) = offer {
        return Answer::Offer(offer);
    }
    if context.node.catalogue.read(|view| view.incoming().needs_full()) {
        log::warn!(peer = peer.node.as_str(), version = version, told = received.0.unwrap_or(0); "catalogue: the incremental update of a peer does not match the digest; requesting the full configuration.");
    }
    // The peer's confirmation covers its own contents. This node has merged them, unless it is still fetching the
    // announced configuration.
    if context.is_behind() {
        return if is_catching_up { Answer::CatchingUp } else { Answer::Update };
    }
    if let Some(ago) = contact_ago {
        context.record_contact(asked_at, now.since(Micros::from_millis(ago)));
    }
    if let Some(confirmation) = confirmation {
        context.confirm_configuration(asked_at, confirmation.bound(asked_at, now));
    }
    match (is_catching_up, is_in_touch) {
        (true, _) => Answer::CatchingUp,
        (false, true) => Answer::Update,
        (false, false) => Answer::Behind,
    }
}

fn outcome_of(failure: &PeerFailure) -> &'static str {
    match failure {
        PeerFailure::NotSent => "not_sent",
        PeerFailure::Broken => "broken",
        PeerFailure::TimedOut => "timed_out",
        PeerFailure::Refused(_) => "refused",
    }
}

/// Counts a failed request and logs the first of several in a row.
fn record_failed_request<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    peer: &FleetPeer,
    rotation: PeerRotation,
    asked_at: Micros,
    outcome: &'static str,
) {
    context.metrics.peer_request(outcome);
    if rotation.is_first_try() {
        let waited = context.clock().now().since(asked_at).as_millis();
        let age = context.catalogue_age().as_millis();
        log::warn!(peer = peer.node.as_str(), outcome = outcome, waited_ms = waited, catalogue_age_ms = age; "catalogue: no update from a peer.");
    }
}
