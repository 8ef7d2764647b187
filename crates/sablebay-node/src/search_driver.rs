//! Drives the state machine of a search: performs its actions and passes it the outcomes.

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::mpsc;

use sablebay_model::{CallId, Micros, PartitionSet, SnapshotVersion};
use sablebay_protocol::peer::{PartialSearch, PeerRequest, PeerResponse};
use sablebay_query::{
    Action, AttemptNumber, CallFailure, Coverage, LoadReport, ReplicaIndex, Search, SearchContext,
    SearchResult, ShardAnswer, Target,
};

use crate::fleet_task::note_leaf;
use crate::leaf_client::{CallEvent, LeafClient, OutgoingSearch};
use crate::partial_search::partial_search;
use crate::peers::{Lane, PeerFailure};
use crate::service_state::{CallTarget, Route};
use crate::shared::Shared;

/// Maximum number of events handled in one step of the state machine.
const EVENTS_PER_STEP: usize = 64;
/// The part of the remaining time that is reserved for returning an aggregator's answer, in percent.
const RETURN_MARGIN_PERCENT: u64 = 5;
/// The upper bound of the time reserved for returning an answer.
const MAXIMUM_RETURN_MARGIN: Micros = Micros::from_millis(10);

/// The I/O side of one running search.
pub struct SearchDriver<'a> {
    shared: &'a Arc<Shared>,
    route: Route<'a>,
    targets: Arc<Vec<CallTarget>>,
    outgoing: Arc<OutgoingSearch>,
    events: mpsc::UnboundedSender<CallEvent>,
    /// Indexed by attempt number.
    sent: Vec<SentCall>,
    draining_seen: Vec<ReplicaIndex>,
}

/// A call that was sent, with the handle to cancel it.
enum SentCall {
    ToLeaf(Arc<LeafClient>, CallId, ReplicaIndex),
    ToPeer(tokio::task::AbortHandle),
    Finished,
}

/// Runs a search to completion.
pub async fn drive(
    shared: &Arc<Shared>,
    route: Route<'_>,
    outgoing: Arc<OutgoingSearch>,
    mut search: Search,
) -> SearchResult {
    let (events, mut receiver) = mpsc::unbounded_channel();
    let mut random = SmallRng::from_rng(&mut rand::rng());
    let mut driver = SearchDriver {
        shared,
        route,
        targets: route.targets.load_full(),
        outgoing,
        events,
        sent: Vec::new(),
        draining_seen: Vec::new(),
    };
    let mut actions = Vec::new();
    search.start(&mut SearchContext {
        routing: &mut route.routing.lock(),
        now: shared.clock.now(),
        random: &mut random,
        actions: &mut actions,
    });
    driver.perform(&mut actions);
    let mut guard = AbandonOnDrop { search: Some(search), driver };
    let mut events = Vec::with_capacity(EVENTS_PER_STEP);
    let mut stop = shared.lifecycle.watch_stop();
    loop {
        let (search, driver) = guard.parts();
        if search.is_finished() {
            break;
        }
        let wake = shared.clock.instant(search.next_wake());
        let receiving = receiver.recv_many(&mut events, EVENTS_PER_STEP);
        // The result is irrelevant: events, the clock and the stop are checked below.
        tokio::select! {
            biased;
            _ = tokio::time::timeout_at(wake, receiving) => {}
            () = stop.begun() => {}
        }
        let now = shared.clock.now();
        {
            let routing = &mut route.routing.lock();
            let mut context = SearchContext { routing, now, random: &mut random, actions: &mut actions };
            for event in events.drain(..) {
                driver.note_draining(&event);
                apply_event(search, event, &mut context);
            }
            if let Some(times) = stop.take_begun() {
                search.on_stop(times.answer_by, &mut context);
            }
            if now >= search.next_wake() {
                search.on_wake(&mut context);
            }
        }
        driver.perform(&mut actions);
        driver.report_draining();
    }
    guard.search.take().expect("the search is taken once").into_result()
}

fn apply_event(search: &mut Search, event: CallEvent, context: &mut SearchContext<'_, SmallRng>) {
    match event.outcome {
        Ok(answer) => {
            search.on_answer(event.attempt, answer, context);
        }
        Err((failure, report)) => search.on_failure(event.attempt, failure, report, context),
    }
}

/// Cancels open calls if the search is dropped before it has finished.
struct AbandonOnDrop<'a> {
    search: Option<Search>,
    driver: SearchDriver<'a>,
}

impl<'a> AbandonOnDrop<'a> {
    fn parts(&mut self) -> (&mut Search, &mut SearchDriver<'a>) {
        (self.search.as_mut().expect("present while the search runs"), &mut self.driver)
    }
}

impl Drop for AbandonOnDrop<'_> {
    fn drop(&mut self) {
        let Some(mut search) = self.search.take() else {
            return;
        };
        let mut actions = Vec::new();
        let now = self.driver.shared.clock.now();
        search.abandon(&mut SearchContext {
            routing: &mut self.driver.route.routing.lock(),
            now,
            random: &mut SmallRng::seed_from_u64(0),
            actions: &mut actions,
        });
        self.driver.perform(&mut actions);
    }
}

impl SearchDriver<'_> {
    fn perform(&mut self, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            match action {
                Action::Dispatch { attempt, replica, partitions, version, deadline } => {
                    self.dispatch(attempt, replica, partitions, version, deadline);
                }
                Action::Cancel { attempt, .. } => self.cancel(attempt),
            }
        }
    }

    fn dispatch(
        &mut self,
        attempt: AttemptNumber,
        replica: ReplicaIndex,
        partitions: Arc<PartitionSet>,
        version: SnapshotVersion,
        deadline: Micros,
    ) {
        let target = self.targets.get(replica.0 as usize).cloned();
        let sent = match target.unwrap_or_else(|| self.refreshed_target(replica)) {
            CallTarget::Leaf(client) => {
                let call =
                    client.search(&self.outgoing, attempt, partitions, version, deadline, &self.events);
                SentCall::ToLeaf(client, call, replica)
            }
            CallTarget::Peer(node) => {
                let call = PartialCall { attempt, partitions, version, deadline };
                let (shared, outgoing, events) =
                    (self.shared.clone(), self.outgoing.clone(), self.events.clone());
                let task = tokio::spawn(call_peer(shared, node, outgoing, call, events));
                SentCall::ToPeer(task.abort_handle())
            }
            CallTarget::Removed => {
                self.fail(attempt, CallFailure::NotSent);
                SentCall::Finished
            }
        };
        debug_assert_eq!(self.sent.len(), attempt.0 as usize);
        self.sent.push(sent);
    }

    /// The target of a replica that was configured after the search began, for a search that replans.
    fn refreshed_target(&mut self, replica: ReplicaIndex) -> CallTarget {
        self.targets = self.route.targets.load_full();
        self.targets.get(replica.0 as usize).cloned().unwrap_or(CallTarget::Removed)
    }

    fn fail(&self, attempt: AttemptNumber, failure: CallFailure) {
        let _ = self.events.send(CallEvent { attempt, outcome: Err((failure, None)) });
    }

    fn cancel(&mut self, attempt: AttemptNumber) {
        let Some(sent) = self.sent.get_mut(attempt.0 as usize) else {
            return;
        };
        match std::mem::replace(sent, SentCall::Finished) {
            SentCall::ToLeaf(client, call, _) => client.cancel(call),
            SentCall::ToPeer(task) => task.abort(),
            SentCall::Finished => {}
        }
    }

    /// Records a leaf that reports that it is draining.
    fn note_draining(&mut self, event: &CallEvent) {
        let report = match &event.outcome {
            Ok(answer) => answer.report.as_ref(),
            Err((_, report)) => report.as_ref(),
        };
        if !report.is_some_and(|report| report.draining) {
            return;
        }
        if let Some(SentCall::ToLeaf(_, _, replica)) = self.sent.get(event.attempt.0 as usize)
            && !self.draining_seen.contains(replica)
        {
            self.draining_seen.push(*replica);
        }
    }

    fn report_draining(&mut self) {
        for replica in std::mem::take(&mut self.draining_seen) {
            let target = self.route.routing.lock().balancer.replica(replica).target.clone();
            if let Target::Leaf(leaf) = target {
                note_leaf(self.shared, &leaf, true);
            }
        }
    }
}

/// A call to an aggregator.
struct PartialCall {
    attempt: AttemptNumber,
    partitions: Arc<PartitionSet>,
    version: SnapshotVersion,
    deadline: Micros,
}

/// Sends part of the search to an aggregator, which may be this node.
async fn call_peer(
    shared: Arc<Shared>,
    node: sablebay_model::NodeId,
    outgoing: Arc<OutgoingSearch>,
    call: PartialCall,
    events: mpsc::UnboundedSender<CallEvent>,
) {
    let now = shared.clock.now();
    let remaining = call.deadline.since(now);
    let return_margin = Micros(remaining.0 * RETURN_MARGIN_PERCENT / 100).min(MAXIMUM_RETURN_MARGIN);
    let partial = PartialSearch {
        service: outgoing.service.clone(),
        revision: shared.configuration().map(|c| c.version.revision).unwrap_or_default(),
        version: call.version,
        partitions: (*call.partitions).clone(),
        remaining_us: remaining.since(return_margin).0,
        limit: u32::try_from(outgoing.limit).unwrap_or(u32::MAX),
        order: outgoing.sort,
        query: outgoing.query.get().to_string(),
    };
    let response = if node == shared.settings.node {
        Ok(partial_search(&shared, partial).await)
    } else {
        let address = shared.view.load().peer(&node).map(|peer| peer.address);
        match address {
            None => Err(PeerFailure::NotSent),
            Some(address) => {
                let until = shared.clock.instant(call.deadline);
                let request = PeerRequest::PartialSearch(partial);
                shared.peers.request(address, Lane::Data, request, until).await
            }
        }
    };
    let _ = events.send(CallEvent { attempt: call.attempt, outcome: partial_outcome(response) });
}

fn partial_outcome(
    response: Result<PeerResponse, PeerFailure>,
) -> Result<ShardAnswer, (CallFailure, Option<LoadReport>)> {
    match response {
        Ok(PeerResponse::PartialSearch(result)) => {
            let report =
                LoadReport { draining: result.leaving, versions: result.versions, ..LoadReport::default() };
            let Ok(hits) = serde_json::from_slice(&result.hits) else {
                return Err((CallFailure::Mismatched, None));
            };
            if version_not_held(&result.coverage) {
                return Err((CallFailure::NotHeld, Some(report)));
            }
            let (version, coverage, work) = (result.version, result.coverage, result.work);
            Ok(ShardAnswer { version, coverage, hits, report: Some(report), work })
        }
        Ok(PeerResponse::Refused(_)) | Err(PeerFailure::Refused(_)) => Err((CallFailure::Draining, None)),
        Ok(_) => Err((CallFailure::Mismatched, None)),
        Err(PeerFailure::NotSent) => Err((CallFailure::NotSent, None)),
        Err(PeerFailure::Broken) => Err((CallFailure::Broken, None)),
        Err(PeerFailure::TimedOut) => Err((CallFailure::TooLate, None)),
    }
}

/// Whether no partition was answered because no replica holds the version.
fn version_not_held(coverage: &Coverage) -> bool {
    let not_held = |gap: &sablebay_query::Gap| gap.reason == sablebay_query::GapReason::NotHeld;
    coverage.answered.is_empty() && !coverage.missing.is_empty() && coverage.missing.iter().all(not_held)
}
