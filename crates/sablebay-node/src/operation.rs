//! At-most-once operations: mints and claims tickets, dispatches the operation, records the outcome.

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
use crate::root_search::{before_stop, confirm, find_service, stopping};
use crate::service_state::ServiceState;
use crate::shared::Shared;

/// How long a claim holder may take to answer before it counts as lost.
const HOLDER_TIMEOUT: Micros = Micros::from_millis(400);
/// Retry delay for tickets whose outcome is not known yet.
const OUTCOME_RETRY_MS: u64 = 100;
/// How long recording an outcome with the claim holders may take.
const RECORD_TIMEOUT: Micros = Micros::from_millis(1_000);

/// An operation as received.
#[derive(Debug)]
pub struct OperationInput {
    /// Passed to the back end unchanged.
    pub operation: Box<RawValue>,
    /// The ticket sent by the caller; if absent, one is minted.
    pub ticket: Option<String>,
    /// The caller's deadline; if absent, the deadline of the service applies.
    pub deadline_ms: Option<u64>,
}

/// Mints a ticket for a service. Its claim holders are this node and randomly chosen members,
/// preferably in other zones.
pub fn mint_ticket(shared: &Shared, settings: &ServiceSettings) -> Ticket {
    let mut holders = vec![shared.key().clone()];
    let mut zones = vec![shared.settings.zone.clone()];
    let fleet = shared.fleet.lock();
    let mut candidates: Vec<_> = fleet.members().present().map(|member| member.info.clone()).collect();
    drop(fleet);
    let mut random = rand::rng();
    while holders.len() < CLAIM_HOLDERS && !candidates.is_empty() {
        let other_zones: Vec<usize> =
            (0..candidates.len()).filter(|at| !zones.contains(&candidates[*at].zone)).collect();
        let position = match other_zones.len() {
            0 => random.random_range(0..candidates.len()),
            count => other_zones[random.random_range(0..count)],
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

/// Runs an operation at most once and returns its ticket and result.
///
/// # Errors
/// The refusal to return to the caller.
pub async fn run_operation(
    shared: &Arc<Shared>,
    service_id: &ServiceId,
    input: OperationInput,
) -> Result<(Ticket, Box<RawValue>), Refusal> {
    let submitted = input.ticket.as_deref().map(|text| read_ticket(text, service_id)).transpose()?;
    let before_claim = |refusal| match &submitted {
        None => refusal,
        Some(ticket) => not_claimed(refusal, false, ticket),
    };
    let in_flight = shared.lifecycle.enter().ok_or_else(|| stopping(shared));
    let _in_flight = in_flight.map_err(&before_claim)?;
    let _slot = shared.take_slot().map_err(&before_claim)?;
    let arrived = shared.clock.now();
    let (_, settings) = find_service(shared, service_id).map_err(&before_claim)?;
    let limit_ms = input.deadline_ms.unwrap_or(settings.deadline_ms);
    let deadline = arrived.plus(Micros::from_millis(limit_ms));
    confirm(shared, &settings, deadline).await.map_err(&before_claim)?;
    // Looked up again: a newer configuration may have been adopted while waiting for confirmation.
    let (state, settings) = find_service(shared, service_id).map_err(&before_claim)?;
    // Operations are sent directly to a leaf, even if queries go through aggregators.
    let state = shared.service_with_leaves(service_id).unwrap_or(state);
    let (ticket, minted_here) = match submitted {
        None => (mint_ticket(shared, &settings), true),
        Some(ticket) => (ticket, false),
    };
    let admitting = before_stop(shared, state.admit(shared.clock, deadline)).await;
    let permit = admitting.map_err(|refusal| not_claimed(refusal, minted_here, &ticket))?;
    let _permit = permit.map_err(|retry_after_ms| {
        let refusal = Refusal::not_run(Reason::Overloaded, "the service has no free slot");
        not_claimed(refusal.retry_after(retry_after_ms), minted_here, &ticket)
    })?;
    let claimant = claim(shared, &ticket, minted_here, deadline).await?;
    let outcome = dispatch_once(shared, &state, &ticket, input.operation, deadline).await;
    record_outcome(shared, &ticket, &claimant, &outcome).await;
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

/// The refusal of a submission that claimed nothing and thus did not run. If the caller supplied the
/// ticket, another submission of it may have run, so the outcome is unknown.
fn not_claimed(refusal: Refusal, minted_here: bool, ticket: &Ticket) -> Refusal {
    if minted_here {
        return refusal;
    }
    Refusal { outcome: Outcome::Unknown, ..refusal }.with_ticket(ticket.to_string())
}

/// Claims a ticket. On success this node alone may dispatch the operation.
async fn claim(
    shared: &Arc<Shared>,
    ticket: &Ticket,
    minted_here: bool,
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
                    send_claim(shared, ticket, &claimant, position, deadline, replies.clone());
                }
            }
            SubmissionStep::Wait => {}
            SubmissionStep::Dispatch => return Ok(claimant),
            decision => return Err(refusal_for(decision, minted_here, ticket)),
        }
        let reply = receiver.recv().await;
        let (position, reply) = reply.expect("the channel is open while `replies` is in scope");
        step = submission.on_reply(position, reply);
    }
}

fn refusal_for(decision: SubmissionStep, minted_here: bool, ticket: &Ticket) -> Refusal {
    let text = ticket.to_string();
    match decision {
        SubmissionStep::ClaimedElsewhere(TicketState::NotRun { reason }) => {
            Refusal::not_run(reason, "the ticket was already used and the operation did not run")
                .with_ticket(text)
        }
        SubmissionStep::ClaimedElsewhere(TicketState::Done { .. }) => Refusal::unknown(
            Reason::ClaimedElsewhere,
            "the operation already ran; request the result of the ticket",
        )
        .retry_after(0)
        .with_ticket(text),
        SubmissionStep::ClaimedElsewhere(_) => {
            Refusal::unknown(Reason::ClaimedElsewhere, "another submission of this ticket holds the claim")
                .retry_after(OUTCOME_RETRY_MS)
                .with_ticket(text)
        }
        SubmissionStep::NeverRuns => {
            let message = "concurrent submissions of this ticket left none with a majority; use a new ticket";
            Refusal::not_run(Reason::HoldersLost, message).with_ticket(text)
        }
        SubmissionStep::ExpiredNotRun => {
            Refusal::not_run(Reason::TicketExpired, "the ticket expired before it was used").with_ticket(text)
        }
        SubmissionStep::ExpiredUnknown => {
            Refusal::unknown(Reason::TicketExpired, "the ticket expired").with_ticket(text)
        }
        _ => {
            let message = "too few of the ticket's holders answered";
            let refusal = Refusal::not_run(Reason::HoldersLost, message).retry_after(OUTCOME_RETRY_MS);
            not_claimed(refusal, minted_here, ticket)
        }
    }
}

fn send_claim(
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
        let until = shared.clock.now().plus(HOLDER_TIMEOUT).min(deadline);
        let reply = if holder == *shared.key() {
            HolderReply::Answer(shared.claims.lock().claim(&request, shared.clock.wall()))
        } else {
            match request_holder(&shared, &holder, PeerRequest::Claim(request), until).await {
                Some(PeerResponse::Claim(answer)) => HolderReply::Answer(answer),
                _ => HolderReply::Lost,
            }
        };
        // The receiver is dropped once the submission is decided.
        let _ = replies.send((position, reply));
    });
}

/// Sends a request to one incarnation of a node; `None` if that incarnation has ended or does not
/// answer.
async fn request_holder(
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

/// Sends the operation to one back end. Another back end is tried only if the previous one cannot
/// have run the operation.
async fn dispatch_once(
    shared: &Arc<Shared>,
    state: &Arc<ServiceState>,
    ticket: &Ticket,
    operation: Box<RawValue>,
    deadline: Micros,
) -> Result<Box<RawValue>, Refusal> {
    let mut last = Refusal::not_run(Reason::NoReplica, "no back end accepts operations");
    for leaf in operation_leaves(shared, state) {
        let now = shared.clock.now();
        if now >= deadline {
            return Err(Refusal::not_run(
                Reason::DeadlineExceeded,
                "the deadline passed before the operation was dispatched",
            ));
        }
        if shared.lifecycle.stop_times().is_some_and(|times| now >= times.answer_by) {
            return Err(stopping(shared));
        }
        let Some(client) = shared.known_leaf_client(&leaf) else {
            continue;
        };
        let id = ticket.id.to_string();
        let lifecycle = &shared.lifecycle;
        match client.operation(&ticket.service, &id, operation.clone(), deadline, lifecycle).await {
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
            Err(OperationFailure::NoResponse) if !shared.mechanisms.unknown_outcomes => {
                last = Refusal::not_run(Reason::BackEndFailed, format!("{leaf} did not respond"));
            }
            Err(OperationFailure::NoResponse) => {
                let message = format!("{leaf} was sent the operation but did not report an outcome");
                return Err(Refusal::unknown(Reason::BackEndFailed, message));
            }
        }
    }
    Err(last.retry_after(OUTCOME_RETRY_MS))
}

/// The leaves of the first shard that are not leaving: usable ones first, then by cost.
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

/// Records the outcome with the claim holders, so that any node can report the state of the ticket.
async fn record_outcome(
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
    let until = shared.clock.now().plus(RECORD_TIMEOUT);
    let mut recording = tokio::task::JoinSet::new();
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
        recording.spawn(async move { request_holder(&shared, &holder, request, until).await });
    }
    // Remote holders are updated in the background, without delaying the answer; a planned stop
    // waits for the updates.
    let in_flight = shared.lifecycle.track();
    tokio::spawn(async move {
        recording.join_all().await;
        drop(in_flight);
    });
}

/// Determines the state of a ticket from the answers of its claim holders.
pub async fn ticket_state(shared: &Arc<Shared>, ticket: &Ticket) -> Result<Option<TicketState>, Refusal> {
    let now = shared.clock.now();
    let mut requests = tokio::task::JoinSet::new();
    for holder in ticket.holders.clone() {
        let (shared, ticket) = (shared.clone(), ticket.clone());
        requests.spawn(async move {
            if holder == *shared.key() {
                return Some(shared.claims.lock().lookup(&ticket, shared.clock.wall()));
            }
            let request = PeerRequest::LookupTicket { ticket };
            match request_holder(&shared, &holder, request, now.plus(HOLDER_TIMEOUT)).await {
                Some(PeerResponse::Claim(answer)) => Some(answer),
                _ => None,
            }
        });
    }
    let answers: Vec<ClaimAnswer> = requests.join_all().await.into_iter().flatten().collect();
    combine_answers(ticket, &answers)
}

/// Merges the holders' answers into one state; `Ok(None)` if the ticket is unclaimed.
fn combine_answers(ticket: &Ticket, answers: &[ClaimAnswer]) -> Result<Option<TicketState>, Refusal> {
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
