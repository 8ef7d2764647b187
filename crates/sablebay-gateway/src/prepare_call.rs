//! Prepares a call: waits for the quarantine's permit and a connection, and checks that the replica still
//! accepts work.

use std::sync::Arc;

use sablebay_catalogue::RoutableReplica;
use sablebay_dispatch::{CallFailure, CallKey, LeaseRequest, RunPermit};

use crate::call::ForwardedRequest;
use crate::connections::{Lease, ReplicaConnections};
use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol};
use crate::quarantine::{LeaseAnswer, RunLease, acquire_lease};
use crate::routing_view::Withheld;

/// Why a call was not sent.
#[derive(Clone, Copy, Debug)]
pub enum Unsent {
    /// The request is quarantined, or its lease could not be acquired.
    HeldBack,
    /// No connection could be established.
    NoConnection,
    /// The replica was excluded after it had been chosen.
    Withheld(Withheld),
    /// The deadline passed first, or the request withdrew the call.
    Late,
}

/// Waits until a request may run. Returns its lease if it needs one.
async fn await_permit<C: CallerProtocol, B: BackendProtocol>(
    context: &Arc<Context<C, B>>,
    replica: &RoutableReplica,
    request: &ForwardedRequest,
    lease_request: LeaseRequest,
) -> Result<Option<RunLease<C, B>>, Unsent> {
    loop {
        match context.permit_run(request, &replica.replica.service) {
            RunPermit::Free => return Ok(None),
            RunPermit::Refused { .. } => return Err(Unsent::HeldBack),
            RunPermit::NeedsLease => {}
        }
        match acquire_lease(context, context.digest_of(request), lease_request).await {
            LeaseAnswer::Granted(run_lease) => return Ok(Some(run_lease)),
            LeaseAnswer::Taken => context.node.quarantine.wait().await,
            LeaseAnswer::Unreachable => return Err(Unsent::HeldBack),
        }
    }
}

/// Waits for a connection, but no longer than the replica accepts work: the calls that hold its connections may never end.
async fn lease_unless_withheld<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    connections: &ReplicaConnections,
    replica: &RoutableReplica,
) -> Result<Lease, Unsent> {
    tokio::select! {
        biased;
        lease = connections.lease() => lease.ok_or(Unsent::NoConnection),
        why = context.withheld(replica) => Err(Unsent::Withheld(why)),
    }
}

/// Waits until a call may be sent, and returns a connection and the request's lease, if it needs one.
pub async fn prepare<C: CallerProtocol, B: BackendProtocol>(
    context: &Arc<Context<C, B>>,
    connections: &ReplicaConnections,
    replica: &RoutableReplica,
    request: &ForwardedRequest,
    lease_request: LeaseRequest,
) -> Result<(Lease, Option<RunLease<C, B>>), Unsent> {
    loop {
        let run_lease = await_permit(context, replica, request, lease_request).await?;
        let lease = lease_unless_withheld(context, connections, replica).await?;
        // The request may have been quarantined during the wait for a connection.
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

/// Records that a call was not sent, and returns the failure.
pub fn record_unsent<C: CallerProtocol, B: BackendProtocol>(
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
        Unsent::NoConnection => context.dispatch.lock().table.failed(id, key, context.clock().now()),
        Unsent::Late => context.dispatch.lock().table.forget(id, key),
        Unsent::Withheld(why) => log_withheld(context, replica, key, request, why),
    }
    CallFailure::NoConnection
}

/// Releases the replica's entry for a call that was withheld, and logs the reason.
fn log_withheld<C: CallerProtocol, B: BackendProtocol>(
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
