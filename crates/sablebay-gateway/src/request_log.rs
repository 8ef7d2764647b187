//! One log line for each request that was refused, failed or came out incomplete, with what
//! decided it. Requests that went well are logged at debug level.

use std::fmt::Write;
use std::sync::Arc;

use http::HeaderValue;

use sablebay_catalogue::Route;
use sablebay_model::{Micros, RequestDigest};
use sablebay_protocol::peer::PartialGather;
use sablebay_tenants::TenantName;

use crate::context::Context;
use crate::driver::DriverWork;
use crate::edge::{BackendProtocol, CallerProtocol, CallerRequest, Refusal};

/// What is known of a request when its line is written.
pub struct RequestRecord {
    /// The caller's identifier.
    pub id: HeaderValue,
    /// When it came in.
    pub received_at: Micros,
    /// The configuration that it was routed by; 0 when there was none.
    pub version: u64,
    /// Its route, once found.
    pub route: Option<Arc<Route>>,
    /// Its caller's tenant, where there is one.
    pub tenant: Option<TenantName>,
    /// The queues at its shards when it came in.
    pub crowding: Crowding,
    /// How its tenant stood when it asked to be let in.
    pub priority: TenantPriority,
    /// What it asks for, where that is wanted for its line.
    pub digest: Option<RequestDigest>,
}

/// The queues at the shards of a request when it came in.
#[derive(Clone, Copy, Debug, Default)]
pub struct Crowding {
    /// Shards that it goes to.
    pub shards: usize,
    /// Those at which work queued at every replica.
    pub crowded: usize,
}

/// How a request and its tenant stood when it asked to be let in.
#[derive(Clone, Copy, Debug, Default)]
pub struct TenantPriority {
    /// How much less urgent it was than the most urgent one for the same services.
    pub rank: u32,
    /// The tenant's part of the work that this node lately saw for these services, from 0 to 1; nothing where nobody
    /// was weighed against others.
    pub work_share: Option<f64>,
}

impl TenantPriority {
    /// The part in percent, for a line.
    fn work_percent(&self) -> u32 {
        (self.work_share.unwrap_or_default() * 100.0).round() as u32
    }
}

impl RequestRecord {
    /// Of a request that came in.
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

/// Failures that one line names at the most.
const NAMED_FAILURES: usize = 6;

fn failures(work: &DriverWork) -> String {
    let mut text = String::new();
    for (replica, failure) in work.failures.iter().take(NAMED_FAILURES) {
        // Writing to a text does not fail.
        let _ = write!(text, "{replica}: {failure}; ");
    }
    if work.failures.len() > NAMED_FAILURES {
        let _ = write!(text, "and {} more", work.failures.len() - NAMED_FAILURES);
    }
    text
}

/// A request that was refused or failed.
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
        shards = record.crowding.shards, crowded = record.crowding.crowded, rank = record.priority.rank,
        tenant_work_percent = record.priority.work_percent(),
        catalogue_age_ms = context.catalogue_age().as_millis();
        "gateway: {refusal}: {why}."
    );
}

/// Shards that were gathered for another node, of which some were late or given up.
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

/// A request that was answered.
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
