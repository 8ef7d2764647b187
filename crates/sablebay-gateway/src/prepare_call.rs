//! What a call waits for before it is sent: that its request may run, a connection, and that its replica may still get it.

use std::sync::Arc;

use sablebay_catalogue::RoutableReplica;
use sablebay_dispatch::{CallFailure, CallKey, LeaseRequest, RunPermit};

use crate::call::ForwardedRequest;
use crate::connections::{Lease, ReplicaConnections};
use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol};
use crate::quarantine::{LeaseAnswer, RunLease, acquire_lease};
use crate::routing_view::Withheld;

/// Why nothing of a call was sent.
#[derive(Clone, Copy, Debug)]
pub enum Unsent {
    /// Its request is held back.
    HeldBack,
    /// No connection came about.
    Unreached,
    /// The replica may not get it any more.
    Withheld(Withheld),
    /// It could not be sent before its deadline.
    Late,
}

/// Waits until a run of a request may begin. Returns the request's lease where it needs that.
async fn enter<C: CallerProtocol, B: BackendProtocol>(
    context: &Arc<Context<C, B>>,
    replica: &RoutableReplica,
    request: &ForwardedRequest,
    wanted: LeaseRequest,
) -> Result<Option<RunLease<C, B>>, Unsent> {
    loop {
        match context.permit_run(request, &replica.replica.service) {
            RunPermit::Free => return Ok(None),
            RunPermit::Refused { .. } => return Err(Unsent::HeldBack),
            RunPermit::NeedsLease => {}
        }
        match acquire_lease(context, context.digest_of(request), wanted).await {
            LeaseAnswer::Granted(run_lease) => return Ok(Some(run_lease)),
            LeaseAnswer::Taken => context.node.quarantine.wait().await,
            LeaseAnswer::Unreachable => return Err(Unsent::HeldBack),
        }
    }
}

/// Waits until a call may be sent, with a connection to send it on.
pub async fn prepare<C: CallerProtocol, B: BackendProtocol>(
    context: &Arc<Context<C, B>>,
    connections: &ReplicaConnections,
    replica: &RoutableReplica,
    request: &ForwardedRequest,
    wanted: LeaseRequest,
) -> Result<(Lease, Option<RunLease<C, B>>), Unsent> {
    loop {
        let run_lease = enter(context, replica, request, wanted).await?;
        let lease = connections.lease().await.ok_or(Unsent::Unreached)?;
        // A back end may have ended under the request meanwhile.
        let may_begin = match context.permit_run(request, &replica.replica.service) {
            RunPermit::Free => true,
            RunPermit::NeedsLease => run_lease.is_some(),
            RunPermit::Refused { .. } => false,
        };
        if !may_begin {
            connections.give_back(lease);
            continue;
        }
        if let Err(why) = context.permit_sending(replica) {
            connections.give_back(lease);
            return Err(Unsent::Withheld(why));
        }
        return Ok((lease, run_lease));
    }
}

/// Notes that nothing of a call was sent. Returns how it failed.
pub fn note_unsent<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    replica: &RoutableReplica,
    key: CallKey,
    request: &ForwardedRequest,
    why: Unsent,
) -> CallFailure {
    let id = &replica.replica.id;
    match why {
        Unsent::HeldBack => {
            context.dispatch.lock().table.forget(id, key);
            return CallFailure::HeldBack;
        }
        Unsent::Unreached => context.dispatch.lock().table.failed(id, key, context.clock().now()),
        Unsent::Late => context.dispatch.lock().table.forget(id, key),
        Unsent::Withheld(why) => note_withheld(context, replica, key, request, why),
    }
    CallFailure::NoConnection
}

/// Notes that a call was given up before anything of it was sent.
fn note_withheld<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    replica: &RoutableReplica,
    key: CallKey,
    request: &ForwardedRequest,
    why: Withheld,
) {
    context.dispatch.lock().table.forget(&replica.replica.id, key);
    if context.metrics.log_budget.take(context.clock().now()) {
        let request = request.id.to_str().unwrap_or("unreadable");
        log::info!(request = request, replica = replica.replica.id.as_str(), zone = replica.replica.zone.as_str(), catalogue_age_ms = context.catalogue_age().as_millis(); "gateway: nothing is sent to a replica that was chosen before: {why}.");
    }
}
