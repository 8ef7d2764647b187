//! Delegates shards to another node, and passes its merged parts on to the request.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::{mpsc, oneshot};

use sablebay_catalogue::{Gather, ReplicaId, ServiceName, ZoneNotice};
use sablebay_dispatch::{CallFailure, CallKey, CallNumber, DelegatedShards, GatheredShards, RECORD_BYTES};
use sablebay_model::Micros;
use sablebay_node::{Lane, PeerFailure, PeerReply, PendingAnswer};
use sablebay_protocol::peer::{GatheredPart, PartialGather, PeerRequest, PeerResponse};

use crate::answer::PartReceipt;
use crate::back_end_answer::NoAnswer;
use crate::call::{CallEvent, CallUpdate, ForwardedRequest};
use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol};
use crate::merge::MergedPart;

/// Time reserved for sending a part back between zones, reading and merging it.
const RETURN_LATENCY: Micros = Micros::from_millis(3);

/// The time limits of a delegation.
#[derive(Clone, Copy, Debug)]
pub struct DelegationTimes {
    /// The route's target latency; 0 if it has none.
    pub target: Micros,
    /// The delay after which a gatherer that has not responded is replaced.
    pub gatherer_timeout: Micros,
    /// When the gatherer reports the shards answered so far.
    pub report_at: Micros,
    /// The deadline of the request.
    pub deadline: Micros,
}

/// A delegation of shards to one node.
pub struct OutgoingDelegation {
    /// Identifies the call within its request.
    pub number: CallNumber,
    /// Identifies the call within this node.
    pub key: CallKey,
    /// The gatherer and its shards.
    pub delegated: DelegatedShards,
    /// The gatherer's peer address; none if it has left the fleet.
    pub address: Option<SocketAddr>,
    /// The services of the shards.
    pub shards: Vec<ServiceName>,
    /// The spare replica of each shard, if any.
    pub spares: Vec<Option<ReplicaId>>,
    /// Maximum number of records.
    pub top: usize,
    /// Maximum number of calls per shard.
    pub maximum_attempts: u32,
    pub request: Arc<ForwardedRequest>,
    pub times: DelegationTimes,
    /// Resolves when the delegation is abandoned; also when its sender is dropped.
    pub abandoned: oneshot::Receiver<()>,
    /// Receives the parts, or the failure.
    pub events: mpsc::UnboundedSender<CallEvent>,
}

/// Makes a delegation, and records its result.
pub async fn run_delegation<C: CallerProtocol, B: BackendProtocol>(
    context: Arc<Context<C, B>>,
    mut delegation: OutgoingDelegation,
) {
    let (_keep, never) = oneshot::channel();
    let mut abandoned = std::mem::replace(&mut delegation.abandoned, never);
    let ended = tokio::select! { ended = receive_parts(&context, &delegation) => ended, _ = &mut abandoned => { let now = context.clock().now(); context.dispatch.lock().gatherers.abandoned(&delegation.delegated.gatherer, delegation.key, now); context.metrics.delegated("given_up"); return; } };
    let Err(failure) = ended else {
        context.metrics.delegated("answered");
        return;
    };
    let now = context.clock().now();
    context.dispatch.lock().gatherers.failed(&delegation.delegated.gatherer, delegation.key, now);
    context.metrics.delegated("failed");
    // Fails if the request has already ended.
    let _ = delegation
        .events
        .send(CallEvent { call: delegation.number, update: CallUpdate::GathererFailed(failure) });
}

/// Sends the delegation and forwards its parts until the last one.
async fn receive_parts<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    delegation: &OutgoingDelegation,
) -> Result<(), CallFailure> {
    let mut answer = send_request(context, delegation).await?;
    loop {
        let until = context.clock().instant(delegation.times.deadline);
        let received = tokio::time::timeout_at(until, answer.next()).await;
        let (response, last) = match received {
            Ok(Some(PeerReply::Progress(response))) => (response, false),
            Ok(Some(PeerReply::Answer(response))) => (response, true),
            Ok(None) => return Err(CallFailure::Broken),
            Err(_) => return Err(CallFailure::TimedOut),
        };
        let part = match response {
            PeerResponse::Gathered(part) => *part,
            PeerResponse::Refused(_) => return Err(CallFailure::Rejected),
            _ => return Err(CallFailure::Mismatched),
        };
        record_report(context, delegation, &part);
        if let Some(notice) = &part.quarantine {
            let gatherer = delegation.delegated.gatherer.as_str();
            context.node.quarantine.merge_notices(
                gatherer,
                std::slice::from_ref(notice),
                false,
                context.clock().now(),
            );
        }
        let decoded = decode(part, &delegation.delegated.shards, last).ok_or(CallFailure::Mismatched)?;
        if decoded.is_unsigned {
            let gatherer = delegation.delegated.gatherer.as_str();
            let now = context.clock().now();
            NoAnswer::Unsigned.record(&context.metrics, &delegation.request.id, gatherer, now);
        }
        let update = CallUpdate::Gathered(decoded.shards, decoded.merged);
        let _ = delegation.events.send(CallEvent { call: delegation.number, update });
        if last {
            return Ok(());
        }
    }
}

async fn send_request<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    delegation: &OutgoingDelegation,
) -> Result<PendingAnswer, CallFailure> {
    let address = delegation.address.ok_or(CallFailure::NoConnection)?;
    let zones = context.node.catalogue.read(|view| view.evacuations().notices());
    let now = context.clock().now();
    let quarantine = context.quarantine_notice(&delegation.request, now);
    let partial = PartialGather { quarantine, ..partial_gather(delegation, zones, now) };
    let request = PeerRequest::PartialGather(Box::new(partial));
    let until = context.clock().instant(delegation.times.deadline);
    let opened = context.node.peers.open_request(address, Lane::Data, request, until).await;
    opened.map_err(|failure| match failure {
        PeerFailure::NotSent => CallFailure::NoConnection,
        PeerFailure::Refused(_) => CallFailure::Rejected,
        PeerFailure::Broken | PeerFailure::TimedOut => CallFailure::Broken,
    })
}

fn partial_gather(delegation: &OutgoingDelegation, zones: Vec<ZoneNotice>, now: Micros) -> PartialGather {
    let OutgoingDelegation { request, times, .. } = delegation;
    let headers = request.headers.iter();
    let headers = headers.map(|(name, value)| (name.as_str().to_string(), value.as_bytes().to_vec()));
    PartialGather {
        request: request.id.as_bytes().to_vec(),
        method: request.method.as_str().to_string(),
        uri: request.uri.to_string(),
        headers: headers.collect(),
        body: request.body.to_vec(),
        route: request.route.clone(),
        shards: delegation.shards.clone(),
        spares: delegation.spares.iter().map(spare_text).collect(),
        top: u32::try_from(delegation.top).unwrap_or(u32::MAX),
        maximum_attempts: delegation.maximum_attempts,
        target_us: times.target.0,
        progress_us: 0,
        wanted_us: times.report_at.since(now).since(RETURN_LATENCY).0,
        limit_us: times.deadline.since(now).0,
        remaining_us: request.caller_deadline.since(now).0,
        continued: delegation.delegated.continued,
        zones,
        quarantine: None,
    }
}

/// The replica's name without its incarnation, which nodes of earlier releases don't know.
fn spare_text(spare: &Option<ReplicaId>) -> String {
    spare.as_ref().map_or_else(String::new, |spare| spare.name().to_string())
}

fn record_report<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    delegation: &OutgoingDelegation,
    part: &GatheredPart,
) {
    let now = context.clock().now();
    let crowded = f64::from(part.crowded) / delegation.shards.len().max(1) as f64;
    let gatherer = &delegation.delegated.gatherer;
    context.dispatch.lock().gatherers.reported(gatherer, delegation.key, crowded, now);
}

/// A gatherer's part, by shard positions of the request.
#[derive(Debug)]
pub struct DecodedPart {
    pub shards: GatheredShards,
    pub merged: MergedPart,
    /// Whether it was refused because callers could not take one of its receipts for one. Its shards count as closed.
    pub is_unsigned: bool,
}

/// Converts a part to shard positions of the request; `None` if the part is inconsistent.
pub fn decode(part: GatheredPart, shards: &[usize], last: bool) -> Option<DecodedPart> {
    let positions = |indices: &[u32]| -> Option<Vec<usize>> {
        indices.iter().map(|index| shards.get(*index as usize).copied()).collect()
    };
    if part.receipts.len() != part.answered.len() || !part.records.len().is_multiple_of(RECORD_BYTES) {
        return None;
    }
    let mut shards = GatheredShards {
        answered: positions(&part.answered)?,
        closed: positions(&part.closed)?,
        retried: positions(&part.retried)?,
        last,
    };
    let receipts: Option<Vec<PartReceipt>> =
        part.receipts.iter().map(|receipt| PartReceipt::from_bytes(receipt)).collect();
    let is_unsigned = receipts.is_none();
    let merged = match receipts {
        Some(receipts) => MergedPart { receipts, records: part.records.into() },
        // The records of one shard can't be told from those of the others.
        None => {
            shards.closed.append(&mut shards.answered);
            MergedPart::default()
        }
    };
    Some(DecodedPart { shards, merged, is_unsigned })
}

/// The services of delegated shards.
pub fn names_of(gather: &Gather, delegated: &DelegatedShards) -> Vec<ServiceName> {
    delegated.shards.iter().map(|shard| gather.shards[*shard].clone()).collect()
}
