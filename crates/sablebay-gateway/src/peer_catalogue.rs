//! Learns the catalogue from peers, all the time: most nodes never read its source.

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
use crate::peer_turn::PeerTurn;

/// How long a peer may wait until it has news.
const WAIT: Duration = Duration::from_millis(700);
/// How long one may wait that a relay of a zone asks: what the relay says is as much older for those who ask it.
const RELAY_WAIT: Duration = Duration::from_millis(350);
/// The age of a confirmation from which on another is asked than a relay: nodes in touch have one of about half
/// of this.
const BEHIND: Micros = Micros::from_millis(2_500);
/// How much longer its answer may take.
const PATIENCE: Duration = Duration::from_millis(350);
/// How often the members are looked at while nobody can be asked.
const LONELY_PERIOD: Duration = Duration::from_millis(100);
/// The pause after a peer that did not answer.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);
/// The pause after a peer that answered and is itself behind. All nodes may be so at one time, and their answers come at
/// once then.
const BEHIND_PAUSE: Duration = Duration::from_millis(200);

/// The pause after a peer that has yet to learn what the fleet knew.
const UNLEARNT_PAUSE: Duration = Duration::from_millis(20);
/// How long after its start a node has met one of its fleet, where its seeds are there. A fleet that starts anew as a whole meets
/// after 0.7 to 0.9 s: none of it knows more than the source says.
pub const MEETING_TIME: Duration = Duration::from_millis(300);

/// How long a newer configuration than the one in force may be heard of before the log says so: a large one needs some
/// tenths of a second to get here.
const WORTH_A_LINE: Micros = Micros::from_millis(1_000);

/// Asks peers until the node ends.
pub async fn follow_peers<C: CallerProtocol, B: BackendProtocol>(context: Arc<Context<C, B>>) {
    let mut turn = PeerTurn::default();
    let mut fetches = JoinSet::new();
    let mut told_of = 0;
    let mut unlearnt_peers = 0;
    loop {
        note_nodes(&context);
        // Also where nothing is asked for: the line says when the machine was suspended.
        context.look_for_suspension();
        context.note_ages();
        note_behind(&context, &mut told_of);
        // A relay's word is older by what it waits itself, which a limited age has no room for.
        let through_relays = context.revocation_limit().is_none();
        let peer = context.fleet.lock().source_of_news(turn, through_relays).cloned();
        let Some(peer) = peer else {
            tokio::time::sleep(LONELY_PERIOD).await;
            continue;
        };
        let answered = match ask(&context, &peer, turn).await {
            Answer::None => false,
            Answer::Unlearnt => {
                unlearnt_peers += 1;
                end_learning_of_all(&context, unlearnt_peers);
                turn.failed();
                tokio::time::sleep(UNLEARNT_PAUSE).await;
                continue;
            }
            Answer::Behind => {
                tokio::time::sleep(BEHIND_PAUSE).await;
                true
            }
            Answer::News => {
                unlearnt_peers = 0;
                true
            }
            Answer::Offer(offer) => {
                // What was fetched decides what is offered next; without a list of replicas nothing else helps.
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
        let hurried = is_near_limit(&context);
        if answered && !hurried {
            if context.catalogue_age() > BEHIND {
                turn.answered_late();
            } else {
                turn.answered();
            }
            continue;
        }
        turn.failed();
        tokio::time::sleep(if answered { BEHIND_PAUSE } else { FAILURE_PAUSE }).await;
    }
}

/// Nodes of a fleet that all start at one moment need not wait for one that knows more, once all have said that they do not.
fn end_learning_of_all<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    unlearnt_peers: usize,
) {
    let has_met_others = context.clock().running_for() >= MEETING_TIME;
    if has_met_others && unlearnt_peers >= context.fleet.lock().ranked.len() {
        context.node.catalogue.update(|view| {
            view.end_catch_up();
            false
        });
    }
}

/// Says once a version that this node knows itself behind it.
fn note_behind<C: CallerProtocol, B: BackendProtocol>(context: &Context<C, B>, told_of: &mut u64) {
    let (version, heard) = context.node.catalogue.read(|view| (view.version(), view.incoming().announced()));
    let Some(heard) = heard.filter(|heard| heard.version > *told_of) else {
        return;
    };
    let behind = context.clock().now().since(heard.since);
    if behind >= WORTH_A_LINE {
        *told_of = heard.version;
        log::warn!(version = version, heard = heard.version, behind_ms = behind.as_millis(), catalogue_age_ms = context.catalogue_age().as_millis(); "catalogue: a newer configuration was heard of and is not here yet.");
    }
}

/// Budgets and connections are shared by the nodes met in this life: a node that loses sight of
/// others must not take their part, since they may be there for everybody else.
fn note_nodes<C: CallerProtocol, B: BackendProtocol>(context: &Context<C, B>) {
    let known = context.known_fleet();
    let mut fleet = context.fleet.lock();
    fleet.refresh(&context.node);
    let part = fleet.part(&known);
    let number_to_tell = fleet.census.size_to_report(known.now);
    let (size, position) = fleet.size(Micros::from(context.clock().running_for()));
    drop(fleet);
    if size.running_for >= SETTLING_TIME {
        context.node.catalogue.tell_nodes_met(number_to_tell);
    }
    note_fleet_part(context, part);
    let shared = size.sharing(context.settings.load().assumed_nodes as usize);
    let before = context.nodes.swap(shared as u64, Ordering::Relaxed);
    let position_before = context.node_position.swap(position as u64, Ordering::Relaxed);
    if before != shared as u64 || position_before != position as u64 {
        log::info!(nodes = shared, before = before, met = size.discovered, position = position; "gateway: budgets and connections are shared by {shared} nodes.");
        // The replicas are shared out anew.
        context.node.catalogue.update(|_| true);
    }
}

/// Notes the part of the fleet that this node sees, and says it where it is another one than was said last.
fn note_fleet_part<C: CallerProtocol, B: BackendProtocol>(context: &Context<C, B>, part: FleetPart) {
    context.metrics.fleet_share.set(part.share);
    *context.node.fleet_part.lock() = Some(part);
    if context.fleet.lock().say_part(part) {
        log::info!(fleet_share = part.share, nodes = part.nodes; "quota: the share of the fleet's limits that this part may use: {}.", part.basis);
    }
}

/// Whether the configuration is close to its limit.
fn is_near_limit<C: CallerProtocol, B: BackendProtocol>(context: &Context<C, B>) -> bool {
    context.limited_age().is_some_and(LimitedAge::is_near_limit)
}

/// How long a peer may hold the question until it has news.
fn wait_for_news<C: CallerProtocol, B: BackendProtocol>(context: &Context<C, B>, turn: PeerTurn) -> Duration {
    if turn.asks_anybody() && is_near_limit(context) {
        return Duration::ZERO;
    }
    let relays = context.revocation_limit().is_none() && context.fleet.lock().is_relay();
    if relays { RELAY_WAIT } else { WAIT }
}

/// What a peer said.
enum Answer {
    /// Nothing.
    None,
    /// What is new, or that nothing is.
    News,
    /// What one knows that has yet to learn what the fleet knew, as this node.
    Unlearnt,
    /// What one knows that has not heard of the source's last return, or knows no eras.
    Behind,
    /// Where there is more than one answer holds.
    Offer(DocumentOffer),
}

/// Asks one peer.
async fn ask<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    peer: &FleetPeer,
    turn: PeerTurn,
) -> Answer {
    let asked_at = context.clock().now();
    let (version, position, catch_up_from) = context.node.catalogue.read(|view| {
        (view.incoming().request_from(view.version()), view.position(), view.catch_up_from(asked_at))
    });
    let replicas_at = position.at;
    let stage = replicas_at.stage();
    let requester = Some(RequesterPosition { stage, known_before: position.known_before, catch_up_from });
    // Whoever has learnt answers at once, and whoever has not is of no use.
    let wait = if catch_up_from.is_some() { Duration::ZERO } else { wait_for_news(context, turn) };
    let request = PeerRequest::Catalogue {
        version,
        replicas_at: replicas_at.revision().number(),
        wait_ms: wait.as_millis() as u64,
        takes_documents: true,
        requester,
    };
    let until = tokio::time::Instant::now() + wait + PATIENCE;
    let answer = context.node.peers.request(peer.address, Lane::Control, request, until).await;
    let snapshot = match answer {
        Ok(PeerResponse::Catalogue(snapshot)) => snapshot,
        Ok(_) => {
            note_no_news(context, peer, turn, asked_at, "another_answer");
            return Answer::None;
        }
        Err(failure) => {
            note_no_news(context, peer, turn, asked_at, outcome_of(&failure));
            return Answer::None;
        }
    };
    context.metrics.peer_question("answered");
    let now = context.clock().now();
    let told = (snapshot.version(), snapshot.replicas_at());
    let offer = snapshot.offer;
    // A node of an earlier release does not know which zones are evacuated, or no eras; and one that has not heard of the
    // source's return does not know what was said since: they confirm nothing.
    let is_in_touch = told.1.era() >= replicas_at.era();
    let contact_ago = snapshot.heard_ms_ago.filter(|_| snapshot.zones.is_some() && is_in_touch);
    let confirmation = snapshot.confirmation.filter(|_| is_in_touch);
    let is_unlearnt = catch_up_from.is_some() && !snapshot.caught_up && offer.is_none();
    context.fleet.lock().note_told(snapshot.nodes_met, context.clock().now());
    if context.node.catalogue.update(|view| view.merge(*snapshot, now)) {
        log::info!(peer = peer.node.as_str(), version = told.0.unwrap_or(version), replicas_at = told.1.to_string().as_str(), had = replicas_at.to_string().as_str(), heard_ms_ago = contact_ago.unwrap_or(0), confirmed_ms_ago = confirmation.map_or(-1, |said| said.age.as_millis() as i64); "catalogue: news from a peer.");
    }
    if let Some(offer) = offer {
        return Answer::Offer(offer);
    }
    if context.node.catalogue.read(|view| view.incoming().needs_full()) {
        log::warn!(peer = peer.node.as_str(), version = version, told = told.0.unwrap_or(0); "catalogue: steps of a peer lead to other contents; the whole configuration is asked for.");
    }
    // The peer's word holds for what it knows; this node knows as much by now, or more: unless it is still fetching it.
    if context.is_behind() {
        return if is_unlearnt { Answer::Unlearnt } else { Answer::News };
    }
    if let Some(ago) = contact_ago {
        context.note_contact(asked_at, now.since(Micros::from_millis(ago)));
    }
    if let Some(said) = confirmation {
        context.confirm_configuration(asked_at, said.bound(asked_at, now));
    }
    match (is_unlearnt, is_in_touch) {
        (true, _) => Answer::Unlearnt,
        (false, true) => Answer::News,
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

/// Counts a question without an answer; the first of several in a row has a line in the log.
fn note_no_news<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    peer: &FleetPeer,
    turn: PeerTurn,
    asked_at: Micros,
    outcome: &'static str,
) {
    context.metrics.peer_question(outcome);
    if turn.is_first_try() {
        let waited = context.clock().now().since(asked_at).as_millis();
        let age = context.catalogue_age().as_millis();
        log::warn!(peer = peer.node.as_str(), outcome = outcome, waited_ms = waited, catalogue_age_ms = age; "catalogue: no news from a peer.");
    }
}
