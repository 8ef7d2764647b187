//! Has another node gather shards: sends it what it needs, and hands its parts on.

use std::net::SocketAddr;
use std::sync::Arc;

use http::HeaderValue;
use tokio::sync::{mpsc, oneshot};

use sablebay_catalogue::{Gather, ReplicaId, ServiceName, ZoneNotice};
use sablebay_dispatch::{CallFailure, CallKey, CallNumber, DelegatedShards, GatheredShards, RECORD_BYTES};
use sablebay_model::Micros;
use sablebay_node::{Lane, PeerFailure, PeerReply, PendingAnswer};
use sablebay_protocol::peer::{GatheredPart, PartialGather, PeerRequest, PeerResponse};

use crate::call::{CallEvent, CallNews, ForwardedRequest};
use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol};
use crate::merge::MergedPart;

/// The way of a part back to the root: a link between two zones, reading and merging. From the
/// bench's sites, whose zones are 0.5 to 0.9 ms apart.
const WAY_BACK: Micros = Micros::from_millis(3);

/// When a delegation has to do what.
#[derive(Clone, Copy, Debug)]
pub struct DelegationTimes {
    /// The route's target latency; 0 when there is none.
    pub target: Micros,
    /// After how long a node that gave no sign of life is given up.
    pub gatherer_timeout: Micros,
    /// When it tells what is in.
    pub report_at: Micros,
    /// When the request is given up.
    pub deadline: Micros,
}

/// One delegation to be made.
pub struct OutgoingDelegation {
    /// Names the call in its request.
    pub number: CallNumber,
    /// Names it among all of this node.
    pub key: CallKey,
    /// The node and the shards.
    pub delegated: DelegatedShards,
    /// Where the node listens; none when it has left meanwhile.
    pub address: Option<SocketAddr>,
    /// The names of the shards.
    pub shards: Vec<ServiceName>,
    /// The spare replica of each, where there is one.
    pub spares: Vec<Option<ReplicaId>>,
    /// Records wanted at the most.
    pub top: usize,
    /// Replicas that each shard may be sent to.
    pub maximum_attempts: u32,
    /// What.
    pub request: Arc<ForwardedRequest>,
    /// When.
    pub times: DelegationTimes,
    /// Ready when nobody waits any more; also when its other end is dropped.
    pub abandoned: oneshot::Receiver<()>,
    /// Where what comes back goes.
    pub events: mpsc::UnboundedSender<CallEvent>,
}

/// Makes a delegation.
pub async fn run_delegation<C: CallerProtocol, B: BackendProtocol>(
    context: Arc<Context<C, B>>,
    mut delegation: OutgoingDelegation,
) {
    let (_keep, never) = oneshot::channel();
    let mut abandoned = std::mem::replace(&mut delegation.abandoned, never);
    let ended = tokio::select! {
        ended = converse(&context, &delegation) => ended,
        _ = &mut abandoned => {
            let now = context.clock().now();
            context.dispatch.lock().gatherers.abandoned(&delegation.delegated.gatherer, delegation.key, now);
            context.metrics.delegated("given_up");
            return;
        }
    };
    let Err(failure) = ended else {
        context.metrics.delegated("answered");
        return;
    };
    let now = context.clock().now();
    context.dispatch.lock().gatherers.failed(&delegation.delegated.gatherer, delegation.key, now);
    context.metrics.delegated("failed");
    // The request may have ended meanwhile.
    let _ = delegation
        .events
        .send(CallEvent { call: delegation.number, news: CallNews::GathererFailed(failure) });
}

/// Asks, and hands on what comes until the last part.
async fn converse<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    delegation: &OutgoingDelegation,
) -> Result<(), CallFailure> {
    let mut answer = ask(context, delegation).await?;
    loop {
        let until = context.clock().instant(delegation.times.deadline);
        let news = tokio::time::timeout_at(until, answer.next()).await;
        let (response, last) = match news {
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
        note_heard(context, delegation, &part);
        if let Some(notice) = &part.quarantine {
            let gatherer = delegation.delegated.gatherer.as_str();
            context.node.quarantine.merge_notices(
                gatherer,
                std::slice::from_ref(notice),
                false,
                context.clock().now(),
            );
        }
        let (gathered, merged) =
            decode(part, &delegation.delegated.shards, last).ok_or(CallFailure::Mismatched)?;
        let news = CallNews::Gathered(gathered, merged);
        let _ = delegation.events.send(CallEvent { call: delegation.number, news });
        if last {
            return Ok(());
        }
    }
}

async fn ask<C: CallerProtocol, B: BackendProtocol>(
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
    let asked = context.node.peers.open_request(address, Lane::Data, request, until).await;
    asked.map_err(|failure| match failure {
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
        wanted_us: times.report_at.since(now).since(WAY_BACK).0,
        limit_us: times.deadline.since(now).0,
        remaining_us: request.caller_deadline.since(now).0,
        continued: delegation.delegated.continued,
        zones,
        quarantine: None,
    }
}

/// Its name: nodes of an earlier release know no lives.
fn spare_text(spare: &Option<ReplicaId>) -> String {
    spare.as_ref().map_or_else(String::new, |spare| spare.name().to_string())
}

fn note_heard<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    delegation: &OutgoingDelegation,
    part: &GatheredPart,
) {
    let now = context.clock().now();
    let crowded = f64::from(part.crowded) / delegation.shards.len().max(1) as f64;
    let gatherer = &delegation.delegated.gatherer;
    context.dispatch.lock().gatherers.reported(gatherer, delegation.key, crowded, now);
}

/// A part in the positions of the request; nothing when it says what cannot be.
fn decode(part: GatheredPart, shards: &[usize], last: bool) -> Option<(GatheredShards, MergedPart)> {
    let positions = |told: &[u32]| -> Option<Vec<usize>> {
        told.iter().map(|index| shards.get(*index as usize).copied()).collect()
    };
    let receipts: Result<Vec<HeaderValue>, _> =
        part.receipts.iter().map(|bytes| HeaderValue::from_bytes(bytes)).collect();
    let receipts = receipts.ok()?;
    if receipts.len() != part.answered.len() || !part.records.len().is_multiple_of(RECORD_BYTES) {
        return None;
    }
    let gathered = GatheredShards {
        answered: positions(&part.answered)?,
        closed: positions(&part.closed)?,
        retried: positions(&part.retried)?,
        last,
    };
    Some((gathered, MergedPart { receipts, records: part.records.into() }))
}

/// The names of delegated shards.
pub fn names_of(gather: &Gather, delegated: &DelegatedShards) -> Vec<ServiceName> {
    delegated.shards.iter().map(|shard| gather.shards[*shard].clone()).collect()
}
