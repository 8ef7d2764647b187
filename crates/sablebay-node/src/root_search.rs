//! Runs a query on the node that received it: checks, admission, search and answer.

use std::sync::Arc;

use serde_json::value::RawValue;

use sablebay_config::{ServiceSettings, WhenUnconfirmed};
use sablebay_model::{Micros, Reason, Refusal, RequestId, ServiceId, SortOrder};
use sablebay_protocol::caller::{ConfigurationBody, CoverageBody, QueryAnswer};
use sablebay_query::{Search, SearchRequest, SearchResult};

use crate::fleet_task::step_fleet;
use crate::leaf_client::OutgoingSearch;
use crate::load_poll::{ensure_peer_versions, ensure_versions};
use crate::search_driver::drive;
use crate::service_state::ServiceState;
use crate::shared::Shared;

/// Number of peers asked at once to confirm the configuration.
const CONFIRMATION_PEERS: usize = 3;
/// How long a request waits for a confirmation.
const CONFIRMATION_TIMEOUT: Micros = Micros::from_millis(250);
/// Retry delay for requests to a node that is not ready or whose configuration is unconfirmed.
const NOT_READY_RETRY_MS: u64 = 500;

/// A query as received.
#[derive(Debug)]
pub struct QueryInput {
    /// Identifier of the request, for logs and the answer.
    pub request_id: RequestId,
    /// Passed to the leaves unchanged.
    pub query: Arc<RawValue>,
    /// Maximum number of hits.
    pub limit: usize,
    pub sort: SortOrder,
    /// The caller's deadline; if absent, the deadline of the service applies.
    pub deadline_ms: Option<u64>,
}

/// Runs a query.
///
/// # Errors
/// The refusal to return to the caller.
pub async fn root_search(
    shared: &Arc<Shared>,
    service_id: &ServiceId,
    input: QueryInput,
) -> Result<QueryAnswer, Refusal> {
    let arrived = shared.clock.now();
    let _in_flight = shared.lifecycle.enter().ok_or_else(|| stopping(shared))?;
    let _slot = shared.take_slot()?;
    let (_, settings) = find_service(shared, service_id)?;
    let limit_ms = input.deadline_ms.unwrap_or(settings.deadline_ms);
    let deadline = arrived.plus(Micros::from_millis(limit_ms));
    confirm(shared, &settings, deadline).await?;
    // Looked up again: a newer configuration may have been adopted while waiting for confirmation.
    let (state, settings) = find_service(shared, service_id)?;
    let result = admitted_search(shared, &state, &settings, &input, deadline).await;
    let ended = shared.clock.now();
    shared.metrics.count_query(service_id, &result, ended.since(arrived));
    state.counts.lock().count(&result, ended.since(arrived));
    let result = result?;
    Ok(QueryAnswer {
        request_id: input.request_id.to_string(),
        snapshot: result.version,
        coverage: coverage_body(&result),
        configuration: ConfigurationBody {
            revision: result.revision,
            confirmed_ms_ago: shared.freshness.confirmed_ms_ago(ended),
        },
        hits: result.hits,
        work: result.work,
    })
}

pub(crate) fn stopping(shared: &Shared) -> Refusal {
    let refusal = Refusal::not_run(Reason::Stopping, "the node is stopping; use another node");
    let retry_ms = if shared.view.load().peers.is_empty() { NOT_READY_RETRY_MS } else { 0 };
    refusal.retry_after(retry_ms)
}

/// Waits for a step that precedes the first call to a back end, but no longer than a planned stop allows.
///
/// # Errors
/// The refusal of a node that stops.
pub(crate) async fn before_stop<T>(shared: &Shared, step: impl Future<Output = T>) -> Result<T, Refusal> {
    shared.lifecycle.before_stop(shared.clock, step).await.ok_or_else(|| stopping(shared))
}

/// Returns the state and settings of a service, or a refusal if the node is not ready.
pub(crate) fn find_service(
    shared: &Arc<Shared>,
    service_id: &ServiceId,
) -> Result<(Arc<ServiceState>, Arc<ServiceSettings>), Refusal> {
    let configuration = shared.configuration().filter(|_| shared.freshness.is_ready());
    let Some(configuration) = configuration else {
        let refusal = Refusal::not_run(Reason::NotReady, "the node has no configuration yet");
        return Err(refusal.retry_after(NOT_READY_RETRY_MS));
    };
    let unknown = || Refusal::not_run(Reason::UnknownService, format!("unknown service `{service_id}`"));
    let settings = configuration.services.get(service_id).cloned().ok_or_else(unknown)?;
    let state = shared.service(service_id).ok_or_else(unknown)?;
    Ok((state, settings))
}

/// Waits until the configuration is confirmed to be the newest. If it cannot be confirmed in time,
/// `when_unconfirmed` of the service decides whether the request is served or refused.
pub(crate) async fn confirm(
    shared: &Arc<Shared>,
    settings: &ServiceSettings,
    deadline: Micros,
) -> Result<(), Refusal> {
    let now = shared.clock.now();
    if shared.freshness.is_fresh(now) {
        return Ok(());
    }
    let until = shared.clock.instant(now.plus(CONFIRMATION_TIMEOUT).min(deadline));
    step_fleet(shared, |fleet, now, outputs| fleet.ask_for_confirmation(CONFIRMATION_PEERS, now, outputs));
    let confirmed = async {
        loop {
            let changed = shared.freshness.changed();
            if shared.freshness.is_fresh(shared.clock.now()) {
                return;
            }
            changed.await;
        }
    };
    let confirmed = tokio::time::timeout_at(until, confirmed).await.is_ok();
    if confirmed || settings.when_unconfirmed == WhenUnconfirmed::Serve {
        return Ok(());
    }
    let message = "no peer confirmed that this node's configuration is the newest";
    Err(Refusal::not_run(Reason::Unconfirmed, message).retry_after(NOT_READY_RETRY_MS))
}

async fn admitted_search(
    shared: &Arc<Shared>,
    state: &Arc<ServiceState>,
    settings: &ServiceSettings,
    input: &QueryInput,
    deadline: Micros,
) -> Result<SearchResult, Refusal> {
    let admitting = state.admit(shared.clock, deadline);
    let permit = before_stop(shared, admitting).await?;
    let _permit = permit.map_err(|retry_after_ms| {
        let refusal = Refusal::not_run(Reason::Overloaded, "the service has no free slot");
        refusal.retry_after(retry_after_ms)
    })?;
    let outgoing = Arc::new(OutgoingSearch {
        service: settings.service.clone(),
        limit: input.limit,
        sort: input.sort,
        query: input.query.clone(),
        coalesce: Micros(settings.coalesce_us),
        batch: settings.batch as usize,
    });
    let request = SearchRequest { deadline, limit: input.limit, order: input.sort, may_replan: true };
    let route = if state.uses_peers() {
        before_stop(shared, ensure_peer_versions(shared, state, deadline)).await?;
        state.peer_route()
    } else {
        before_stop(shared, ensure_versions(shared, state, deadline)).await?;
        state.direct_route()
    };
    let (plan, version) = {
        let routing = route.routing.lock();
        (routing.plan.clone(), routing.best_version(None))
    };
    let version = version.ok_or_else(|| no_version(shared, deadline))?;
    if shared.clock.now() >= deadline {
        let message = "the deadline passed before a back end was called";
        return Err(Refusal::not_run(Reason::DeadlineExceeded, message));
    }
    let search = Search::new(request, plan, version);
    let result = drive(shared, route, outgoing, search).await;
    refuse_empty(result)
}

fn no_version(shared: &Shared, deadline: Micros) -> Refusal {
    const RETRY_MS: u64 = 200;
    let late = shared.clock.now() >= deadline;
    let reason = if late { Reason::DeadlineExceeded } else { Reason::NoVersion };
    Refusal::not_run(reason, "no replica reported which versions it holds").retry_after(RETRY_MS)
}

/// Turns a result without any answered partition into a refusal, with the reason of the first gap.
fn refuse_empty(result: SearchResult) -> Result<SearchResult, Refusal> {
    use sablebay_query::GapReason;
    const RETRY_MS: u64 = 100;
    if !result.coverage.answered.is_empty() || result.coverage.total() == 0 {
        return Ok(result);
    }
    let reasons: Vec<GapReason> = result.coverage.missing.iter().map(|gap| gap.reason).collect();
    let reason = match reasons.first() {
        Some(GapReason::Late) => Reason::DeadlineExceeded,
        Some(GapReason::NotHeld) => Reason::NoVersion,
        Some(GapReason::Refused) => Reason::Overloaded,
        _ => Reason::NoReplica,
    };
    // Queries are read-only: after an unknown outcome the caller can safely retry.
    Err(Refusal::unknown(reason, "no partition was answered").retry_after(RETRY_MS))
}

fn coverage_body(result: &SearchResult) -> CoverageBody {
    CoverageBody {
        partitions_answered: result.coverage.answered.len(),
        partitions_total: result.coverage.total(),
        missing: result.coverage.missing.clone(),
        answered: result.coverage.answered.clone(),
    }
}
