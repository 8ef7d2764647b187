//! Runs part of a search for another node, with this node as the aggregator.

use std::sync::Arc;

use serde_json::value::RawValue;

use sablebay_model::{Micros, Outcome, Reason, Refusal};
use sablebay_protocol::peer::{PartialResult, PartialSearch, PeerResponse};
use sablebay_query::{Search, SearchRequest};

use crate::leaf_client::OutgoingSearch;
use crate::load_poll::ensure_versions;
use crate::search_driver::drive;
use crate::shared::Shared;

/// Runs part of a search and returns its result, or a refusal if the search did not run.
pub async fn partial_search(shared: &Arc<Shared>, partial: PartialSearch) -> PeerResponse {
    let received = shared.clock.now();
    let deadline = received.plus(Micros(partial.remaining_us));
    let Some(_in_flight) = shared.lifecycle.enter() else {
        return refuse(Reason::Stopping, "the node is stopping");
    };
    let Some(service) = shared.service_with_leaves(&partial.service) else {
        return refuse(Reason::UnknownService, "this node's configuration has no such service");
    };
    let Ok(query) = RawValue::from_string(partial.query) else {
        return refuse(Reason::BadRequest, "the query is not valid JSON");
    };
    let asking = ensure_versions(shared, &service, deadline);
    if shared.lifecycle.before_stop(shared.clock, asking).await.is_none() {
        return refuse(Reason::Stopping, "the node is stopping");
    }
    let settings = shared.configuration().and_then(|c| c.services.get(&partial.service).cloned());
    let outgoing = Arc::new(OutgoingSearch {
        service: partial.service,
        limit: partial.limit as usize,
        sort: partial.order,
        query: query.into(),
        coalesce: Micros(settings.as_ref().map_or(0, |settings| settings.coalesce_us)),
        batch: settings.as_ref().map_or(1, |settings| settings.batch as usize),
    });
    let plan = Arc::new(service.direct.lock().plan.restricted_to(&partial.partitions));
    if plan.partitions() != partial.partitions {
        return refuse(Reason::NoReplica, "this node's index map lacks some of the requested partitions");
    }
    let request =
        SearchRequest { deadline, limit: partial.limit as usize, order: partial.order, may_replan: false };
    let search = Search::new(request, plan, partial.version);
    let result = drive(shared, service.direct_route(), outgoing, search).await;
    let versions = service.direct.lock().versions_for(&partial.partitions);
    let Ok(hits) = serde_json::to_vec(&result.hits) else {
        return refuse(Reason::PeerFailed, "the hits cannot be serialized");
    };
    PeerResponse::PartialSearch(Box::new(PartialResult {
        version: result.version,
        coverage: result.coverage,
        hits,
        work: result.work,
        versions,
        leaving: shared.lifecycle.is_draining(),
    }))
}

fn refuse(reason: Reason, message: &str) -> PeerResponse {
    PeerResponse::Refused(Refusal { outcome: Outcome::NotRun, ..Refusal::not_run(reason, message) })
}
