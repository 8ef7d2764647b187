//! Operations that must run once at most: tickets, claims, the one dispatch, and the outcome.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use rand::RngExt;
use serde_json::value::RawValue;
use tokio::sync::mpsc;

use sablebay_config::ServiceSettings;
use sablebay_fleet::{
    CLAIM_HOLDERS, ClaimAnswer, ClaimRequest, Claimant, HolderReply, Submission, SubmissionStep, Ticket,
    TicketId, TicketState,
};
use sablebay_model::{InstanceKey, LeafId, Micros, Outcome, Reason, Refusal, ServiceId};
use sablebay_protocol::backend::LeafRefusal;
use sablebay_protocol::peer::{PeerRequest, PeerResponse};
use sablebay_query::Target;

use crate::leaf_client::OperationFailure;
use crate::peers::{Lane, PeerFailure};
use crate::root_search::{confirm, find_service, stopping};
use crate::service_state::ServiceState;
use crate::shared::Shared;

/// How long a holder may take to answer before it counts as lost.
const HOLDER_PATIENCE: Micros = Micros::from_millis(400);
/// When to ask for a ticket whose outcome is not known yet, in milliseconds.
const OUTCOME_RETRY_MS: u64 = 100;
/// How long telling the holders of an outcome may take.
const RECORD_PATIENCE: Micros = Micros::from_millis(1_000);

/// An operation as it came in.
#[derive(Debug)]
pub struct OperationInput {
    /// Passed to the back end as it is.
    pub operation: Box<RawValue>,
    /// The ticket, when the caller has one.
    pub ticket: Option<String>,
    /// The caller's deadline; the service's own when absent.
    pub deadline_ms: Option<u64>,
}

/// Mints a ticket for a service: this node and two others, in other zones where there are any.
pub fn mint_ticket(shared: &Shared, settings: &ServiceSettings) -> Ticket {
    let mut holders = vec![shared.key().clone()];
    let mut zones = vec![shared.settings.zone.clone()];
    let fleet = shared.fleet.lock();
    let mut candidates: Vec<_> = fleet.members().present().map(|member| member.info.clone()).collect();
    drop(fleet);
    let mut random = rand::rng();
    while holders.len() < CLAIM_HOLDERS && !candidates.is_empty() {
        let elsewhere: Vec<usize> =
            (0..candidates.len()).filter(|at| !zones.contains(&candidates[*at].zone)).collect();
        let position = match elsewhere.len() {
            0 => random.random_range(0..candidates.len()),
            count => elsewhere[random.random_range(0..count)],
        };
        let chosen = candidates.swap_remove(position);
        zones.push(chosen.zone.clone());
        holders.push(chosen.key.clone());
    }
    Ticket {
        id: TicketId(random.random()),
        minted_at: shared.clock.wall(),
        lifetime_ms: settings.ticket_lifetime_ms,
        service: settings.service.clone(),
        holders,
    }
}

/// Runs an operation once at most, and returns its ticket and result.
///
/// # Errors
/// The refusal to give to the caller.
pub async fn run_operation(
    shared: &Arc<Shared>,
    service_id: &ServiceId,
    input: OperationInput,
) -> Result<(Ticket, Box<RawValue>), Refusal> {
    let given = input.ticket.as_deref().map(|text| read_ticket(text, service_id)).transpose()?;
    let elsewhere = |refusal| match &given {
        None => refusal,
        Some(ticket) => not_claimed(refusal, false, ticket),
    };
    let in_flight = shared.lifecycle.enter().ok_or_else(|| stopping(shared));
    let _in_flight = in_flight.map_err(&elsewhere)?;
    let _slot = shared.take_slot().map_err(&elsewhere)?;
    let arrived = shared.clock.now();
    let (_, settings) = find_service(shared, service_id).map_err(&elsewhere)?;
    let limit_ms = input.deadline_ms.unwrap_or(settings.deadline_ms);
    let deadline = arrived.plus(Micros::from_millis(limit_ms));
    confirm(shared, &settings, deadline).await.map_err(&elsewhere)?;
    // Looked up again: a node that woke from a pause may have adopted a configuration just now.
    let (state, settings) = find_service(shared, service_id).map_err(&elsewhere)?;
    // An operation goes to a leaf from here, also where queries go through aggregators.
    let state = shared.service_with_leaves(service_id).unwrap_or(state);
    let (ticket, fresh) = match given {
        None => (mint_ticket(shared, &settings), true),
        Some(ticket) => (ticket, false),
    };
    let permit = state.admit(shared.clock, deadline).await;
    let _permit = permit.map_err(|retry_after_ms| {
        let refusal = Refusal::not_run(Reason::Overloaded, "the service has no free slot");
        not_claimed(refusal.retry_after(retry_after_ms), fresh, &ticket)
    })?;
    let claimant = claim(shared, &ticket, fresh, deadline).await?;
    let outcome = dispatch_once(shared, &state, &ticket, input.operation, deadline).await;
    record_everywhere(shared, &ticket, &claimant, &outcome).await;
    outcome.map(|result| (ticket.clone(), result)).map_err(|refusal| refusal.with_ticket(ticket.to_string()))
}

fn read_ticket(text: &str, service: &ServiceId) -> Result<Ticket, Refusal> {
    let ticket: Ticket = text.parse().map_err(|error: sablebay_fleet::FleetError| {
        Refusal::not_run(Reason::BadTicket, error.to_string())
    })?;
    if ticket.service != *service {
        let message = format!("the ticket is for the service `{}`", ticket.service);
        return Err(Refusal::not_run(Reason::BadTicket, message));
    }
    Ok(ticket)
}

/// A refusal before any claim: this submission did not run. Of a ticket that others may have
/// submitted too, no more can be said than that the outcome is not known here.
fn not_claimed(refusal: Refusal, fresh: bool, ticket: &Ticket) -> Refusal {
    if fresh {
        return refusal;
    }
    Refusal { outcome: Outcome::Unknown, ..refusal }.with_ticket(ticket.to_string())
}

/// Claims a ticket. Returns only when this node may dispatch.
async fn claim(
    shared: &Arc<Shared>,
    ticket: &Ticket,
    fresh: bool,
    deadline: Micros,
) -> Result<Claimant, Refusal> {
    let attempt = shared.next_claim.fetch_add(1, Ordering::Relaxed);
    let claimant = Claimant { key: shared.key().clone(), attempt };
    let mut submission = Submission::new(ticket, claimant.clone());
    let (replies, mut receiver) = mpsc::unbounded_channel();
    let mut step = submission.start();
    loop {
        match step {
            SubmissionStep::Ask(positions) => {
                for position in positions {
                    ask_holder(shared, ticket, &claimant, position, deadline, replies.clone());
                }
            }
            SubmissionStep::Wait => {}
            SubmissionStep::Dispatch => return Ok(claimant),
            decision => return Err(refusal_for(decision, fresh, ticket)),
        }
        let reply = receiver.recv().await;
        let (position, reply) = reply.expect("a sender is kept here");
        step = submission.on_reply(position, reply);
    }
}

fn refusal_for(decision: SubmissionStep, fresh: bool, ticket: &Ticket) -> Refusal {
    let text = ticket.to_string();
    match decision {
        SubmissionStep::ClaimedElsewhere(TicketState::NotRun { reason }) => {
            Refusal::not_run(reason, "the ticket was used, and the operation did not run").with_ticket(text)
        }
        SubmissionStep::ClaimedElsewhere(TicketState::Done { .. }) => {
            Refusal::unknown(Reason::ClaimedElsewhere, "the operation ran; ask for the ticket's result")
                .retry_after(0)
                .with_ticket(text)
        }
        SubmissionStep::ClaimedElsewhere(_) => {
            Refusal::unknown(Reason::ClaimedElsewhere, "another submission of this ticket is first")
                .retry_after(OUTCOME_RETRY_MS)
                .with_ticket(text)
        }
        SubmissionStep::NeverRuns => {
            let message = "submissions of this ticket met, and none got a majority; use a new ticket";
            Refusal::not_run(Reason::HoldersLost, message).with_ticket(text)
        }
        SubmissionStep::ExpiredNotRun => {
            Refusal::not_run(Reason::TicketExpired, "the ticket expired unused").with_ticket(text)
        }
        SubmissionStep::ExpiredUnknown => {
            Refusal::unknown(Reason::TicketExpired, "the ticket expired").with_ticket(text)
        }
        _ => {
            let message = "too few of the ticket's holders answered";
            let refusal = Refusal::not_run(Reason::HoldersLost, message).retry_after(OUTCOME_RETRY_MS);
            not_claimed(refusal, fresh, ticket)
        }
    }
}

fn ask_holder(
    shared: &Arc<Shared>,
    ticket: &Ticket,
    claimant: &Claimant,
    position: usize,
    deadline: Micros,
    replies: mpsc::UnboundedSender<(usize, HolderReply)>,
) {
    let request = ClaimRequest { ticket: ticket.clone(), claimant: claimant.clone() };
    let holder = ticket.holders[position].clone();
    let shared = shared.clone();
    tokio::spawn(async move {
        let until = shared.clock.now().plus(HOLDER_PATIENCE).min(deadline);
        let reply = if holder == *shared.key() {
            HolderReply::Answer(shared.claims.lock().claim(&request, shared.clock.wall()))
        } else {
            match ask(&shared, &holder, PeerRequest::Claim(request), until).await {
                Some(PeerResponse::Claim(answer)) => HolderReply::Answer(answer),
                _ => HolderReply::Lost,
            }
        };
        // A submission that is decided wants no more replies.
        let _ = replies.send((position, reply));
    });
}

/// Sends a request to one life of a node; nothing when that life is over or does not answer.
async fn ask(
    shared: &Arc<Shared>,
    holder: &InstanceKey,
    request: PeerRequest,
    until: Micros,
) -> Option<PeerResponse> {
    let address = {
        let fleet = shared.fleet.lock();
        let member = fleet.members().get(&holder.node)?;
        (member.info.key == *holder).then_some(member.info.peer_address)?
    };
    let until = shared.clock.instant(until);
    match shared.peers.request(address, Lane::Control, request, until).await {
        Ok(response) => Some(response),
        Err(PeerFailure::NotSent | PeerFailure::Broken | PeerFailure::TimedOut) => None,
        Err(PeerFailure::Refused(_)) => None,
    }
}

/// Sends the operation to one back end, once. Another back end is tried only when the one before
/// cannot have run it.
async fn dispatch_once(
    shared: &Arc<Shared>,
    state: &Arc<ServiceState>,
    ticket: &Ticket,
    operation: Box<RawValue>,
    deadline: Micros,
) -> Result<Box<RawValue>, Refusal> {
    let mut last = Refusal::not_run(Reason::NoReplica, "no back end takes operations");
    for leaf in operation_leaves(shared, state) {
        let now = shared.clock.now();
        if now >= deadline {
            return Err(Refusal::not_run(Reason::DeadlineExceeded, "the deadline passed before dispatch"));
        }
        let Some(client) = shared.known_leaf_client(&leaf) else {
            continue;
        };
        let id = ticket.id.to_string();
        match client.operation(&ticket.service, &id, operation.clone(), deadline).await {
            Ok(result) => return Ok(result),
            Err(OperationFailure::NotSent) => {
                state.fail_leaf(&leaf, shared.clock.now());
                last = Refusal::not_run(Reason::BackEndFailed, format!("{leaf} could not be reached"));
            }
            Err(OperationFailure::Refused(refusal)) => {
                if refusal == LeafRefusal::Draining {
                    crate::fleet_task::note_leaf(shared, &leaf, true);
                }
                last = Refusal::not_run(Reason::BackEndRefused, format!("{leaf} refused: {refusal:?}"));
            }
            Err(OperationFailure::NoWord) if !shared.mechanisms.unknown_outcomes => {
                last = Refusal::not_run(Reason::BackEndFailed, format!("{leaf} gave no word"));
            }
            Err(OperationFailure::NoWord) => {
                let message = format!("{leaf} was sent the operation and gave no word of it");
                return Err(Refusal::unknown(Reason::BackEndFailed, message));
            }
        }
    }
    Err(last.retry_after(OUTCOME_RETRY_MS))
}

/// The leaves that can take an operation, best first: those of the first shard.
fn operation_leaves(shared: &Shared, state: &ServiceState) -> Vec<LeafId> {
    let now = shared.clock.now();
    let routing = state.direct.lock();
    let Some(shard) = routing.plan.shards.first() else {
        return Vec::new();
    };
    let mut replicas = shard.replicas.clone();
    replicas.retain(|index| !routing.balancer.replica(*index).leaving);
    let rank = |index: &sablebay_query::ReplicaIndex| {
        let usable = routing.balancer.replica(*index).is_usable(now);
        (!usable, (routing.balancer.cost(*index, now) as u64))
    };
    replicas.sort_by_key(rank);
    let targets = replicas.iter().map(|index| &routing.balancer.replica(*index).target);
    let leaves = targets.filter_map(|target| match target {
        Target::Leaf(leaf) => Some(leaf.clone()),
        Target::Peer(_) => None,
    });
    leaves.collect()
}

/// Tells the holders what became of the operation, so that any node can answer for the ticket.
async fn record_everywhere(
    shared: &Arc<Shared>,
    ticket: &Ticket,
    claimant: &Claimant,
    outcome: &Result<Box<RawValue>, Refusal>,
) {
    let state = match outcome {
        Ok(result) => TicketState::Done { result: result.get().to_string() },
        Err(refusal) if refusal.outcome == Outcome::NotRun => TicketState::NotRun { reason: refusal.reason },
        Err(refusal) => TicketState::Unknown { reason: refusal.reason },
    };
    let until = shared.clock.now().plus(RECORD_PATIENCE);
    let mut telling = tokio::task::JoinSet::new();
    for holder in &ticket.holders {
        if holder == shared.key() {
            shared.claims.lock().record(ticket.id, claimant, state.clone());
            continue;
        }
        let (shared, holder) = (shared.clone(), holder.clone());
        let request = PeerRequest::RecordOutcome {
            ticket: ticket.id,
            claimant: claimant.clone(),
            state: state.clone(),
        };
        telling.spawn(async move { ask(&shared, &holder, request, until).await });
    }
    // The caller's answer does not wait for holders: one of them is enough, and this node is
    // often one. The rest goes on by itself, and a planned stop waits for it.
    let in_flight = shared.lifecycle.hold();
    tokio::spawn(async move {
        telling.join_all().await;
        drop(in_flight);
    });
}

/// What became of a ticket, by the word of its holders.
pub async fn ticket_state(shared: &Arc<Shared>, ticket: &Ticket) -> Result<Option<TicketState>, Refusal> {
    let now = shared.clock.now();
    let mut asking = tokio::task::JoinSet::new();
    for holder in ticket.holders.clone() {
        let (shared, ticket) = (shared.clone(), ticket.clone());
        asking.spawn(async move {
            if holder == *shared.key() {
                return Some(shared.claims.lock().lookup(&ticket, shared.clock.wall()));
            }
            let request = PeerRequest::LookupTicket { ticket };
            match ask(&shared, &holder, request, now.plus(HOLDER_PATIENCE)).await {
                Some(PeerResponse::Claim(answer)) => Some(answer),
                _ => None,
            }
        });
    }
    let answers: Vec<ClaimAnswer> = asking.join_all().await.into_iter().flatten().collect();
    combine(ticket, &answers)
}

/// One word out of the holders' answers. `Ok(None)`: nobody has claimed it yet.
fn combine(ticket: &Ticket, answers: &[ClaimAnswer]) -> Result<Option<TicketState>, Refusal> {
    let states = answers.iter().filter_map(|answer| match answer {
        ClaimAnswer::HeldBy { state, .. } => Some(state),
        _ => None,
    });
    let rank = |state: &&TicketState| match state {
        TicketState::Done { .. } => 3,
        TicketState::NotRun { .. } => 2,
        TicketState::Unknown { .. } => 1,
        TicketState::Claimed => 0,
    };
    if let Some(state) = states.max_by_key(rank) {
        return Ok(Some(state.clone()));
    }
    let count = |wanted: &ClaimAnswer| answers.iter().filter(|answer| *answer == wanted).count();
    if count(&ClaimAnswer::ExpiredUnclaimed) >= ticket.quorum() {
        return Ok(Some(TicketState::NotRun { reason: Reason::TicketExpired }));
    }
    if count(&ClaimAnswer::Unclaimed) + count(&ClaimAnswer::ExpiredUnclaimed) >= ticket.quorum() {
        return Ok(None);
    }
    let message = "too few of the ticket's holders answered";
    let refusal = Refusal::unknown(Reason::HoldersLost, message).retry_after(OUTCOME_RETRY_MS);
    Err(refusal.with_ticket(ticket.to_string()))
}
