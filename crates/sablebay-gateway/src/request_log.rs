//! Logs refused, failed and partially answered requests, one line each, within a rate limit.

use std::fmt::Write;
use std::sync::Arc;

use http::{HeaderValue, StatusCode};

use sablebay_catalogue::Route;
use sablebay_model::{Micros, RequestDigest};
use sablebay_protocol::peer::PartialGather;
use sablebay_tenants::TenantName;

use crate::context::Context;
use crate::driver::DriverWork;
use crate::edge::{BackendProtocol, CallerProtocol, CallerRequest, Refusal};
use crate::metrics::StopEnding;

/// Details of a request for its log line.
pub struct RequestRecord {
    pub id: HeaderValue,
    pub received_at: Micros,
    /// Version of the configuration that routed the request; 0 if there was none.
    pub version: u64,
    /// The route, once found.
    pub route: Option<Arc<Route>>,
    /// The caller's tenant, if any.
    pub tenant: Option<TenantName>,
    /// Queueing at the request's shards on arrival.
    pub crowding: Crowding,
    /// The priority used for admission.
    pub priority: TenantPriority,
    /// The request digest, if the log line needs it.
    pub digest: Option<RequestDigest>,
    /// The status of the back end's failure that is passed on in place of a refusal, if any.
    pub relayed_status: Option<StatusCode>,
}

/// Queueing at the shards of a request on arrival.
#[derive(Clone, Copy, Debug, Default)]
pub struct Crowding {
    /// Number of shards of the request.
    pub shards: usize,
    /// Number of shards with queues at every replica.
    pub crowded: usize,
}

/// Priority of a request and load of its tenant at admission.
#[derive(Clone, Copy, Debug, Default)]
pub struct TenantPriority {
    /// Priority rank among requests for the same services; 0 is the most urgent.
    pub rank: u32,
    /// The tenant's share of this node's recent work for these services, from 0 to 1; `None` if admission did
    /// not compare tenants.
    pub work_share: Option<f64>,
}

impl TenantPriority {
    /// The work share in percent, for the log.
    fn work_percent(&self) -> u32 {
        (self.work_share.unwrap_or_default() * 100.0).round() as u32
    }
}

impl RequestRecord {
    pub fn new(caller: &CallerRequest, received_at: Micros) -> Self {
        Self {
            id: caller.id.clone(),
            received_at,
            version: 0,
            route: None,
            tenant: None,
            crowding: Crowding::default(),
            priority: TenantPriority::default(),
            digest: None,
            relayed_status: None,
        }
    }

    fn id(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }

    fn digest(&self) -> String {
        self.digest.map_or_else(|| "-".to_string(), |digest| digest.to_string())
    }

    fn tenant_name(&self) -> &str {
        self.tenant.as_ref().map_or("-", TenantName::as_str)
    }

    fn route_name(&self) -> &str {
        self.route.as_ref().map_or("-", |route| route.name.as_str())
    }
}

/// Maximum number of failures listed in a log line.
const NAMED_FAILURES: usize = 6;

fn failures(work: &DriverWork) -> String {
    let mut text = String::new();
    for (replica, failure) in work.failures.iter().take(NAMED_FAILURES) {
        // Writing to a `String` cannot fail.
        let _ = write!(text, "{replica}: {failure}; ");
    }
    if work.failures.len() > NAMED_FAILURES {
        let _ = write!(text, "and {} more", work.failures.len() - NAMED_FAILURES);
    }
    text
}

/// Logs a request that was refused or failed.
pub fn refused<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    record: &RequestRecord,
    refusal: Refusal,
    why: &str,
    work: &DriverWork,
) {
    let budget = match refusal {
        Refusal::UnknownCaller | Refusal::OverQuota { .. } => &context.metrics.caller_fault_log_budget,
        _ => &context.metrics.log_budget,
    };
    if !budget.take(context.clock().now()) {
        return;
    }
    let held = context.clock().now().since(record.received_at).as_millis();
    log::warn!(
        request = record.id(), digest = record.digest().as_str(), route = record.route_name(),
        tenant = record.tenant_name(), version = record.version, held_ms = held,
        calls = work.calls, extra_calls = work.extra_calls, gatherers = work.gatherers,
        delegated_shards = work.delegated_shards, failures = failures(work).as_str(),
        relayed_status = record.relayed_status.map_or(0, |status| status.as_u16()),
        shards = record.crowding.shards, crowded = record.crowding.crowded, rank = record.priority.rank,
        tenant_work_percent = record.priority.work_percent(),
        catalogue_age_ms = context.catalogue_age().as_millis();
        "gateway: {refusal}: {why}."
    );
}

/// Logs a request that a planned stop ended before it was answered in full.
pub fn stopped<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    record: &RequestRecord,
    ending: StopEnding,
    work: &DriverWork,
) {
    let now = context.clock().now();
    if !context.metrics.log_budget.take(now) {
        return;
    }
    let answer_by = context.node.lifecycle.stop_times().map_or(now, |times| times.answer_by);
    let waited_for = match ending {
        StopEnding::NotRun if work.calls == 0 => "nothing",
        StopEnding::NotRun => "a connection",
        StopEnding::Answered | StopEnding::Partial | StopEnding::Unanswered => "a back end",
    };
    log::info!(
        request = record.id(), route = record.route_name(), waited_for = waited_for,
        held_ms = now.since(record.received_at).as_millis(), left_ms = answer_by.since(now).as_millis(),
        calls = work.calls, gatherers = work.gatherers;
        "stop: a request ended early: {ending}."
    );
}

/// Logs a delegated request that was late or closed shards without an answer.
pub fn gathered<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    partial: &PartialGather,
    root: &str,
    given_up: usize,
    held: Micros,
    work: &DriverWork,
) {
    if !context.metrics.log_budget.take(context.clock().now()) {
        return;
    }
    log::info!(
        request = String::from_utf8_lossy(&partial.request).as_ref(), route = partial.route.as_str(),
        root = root, shards = partial.shards.len(), given_up = given_up, held_ms = held.as_millis(),
        wanted_ms = Micros(partial.wanted_us).as_millis(), calls = work.calls,
        extra_calls = work.extra_calls, failures = failures(work).as_str();
        "gateway: gathered for a peer, late or without some shards."
    );
}

/// Logs a request that was answered without some shards.
pub fn answered<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    record: &RequestRecord,
    missing: usize,
    work: &DriverWork,
) {
    if missing == 0 || !context.metrics.log_budget.take(context.clock().now()) {
        return;
    }
    let held = context.clock().now().since(record.received_at).as_millis();
    log::info!(
        request = record.id(), route = record.route_name(), version = record.version, held_ms = held,
        missing = missing, calls = work.calls, extra_calls = work.extra_calls,
        gatherers = work.gatherers, delegated_shards = work.delegated_shards,
        shards = record.crowding.shards, crowded = record.crowding.crowded,
        failures = failures(work).as_str();
        "gateway: answered without some shards."
    );
}
