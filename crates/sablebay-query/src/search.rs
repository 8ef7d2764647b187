//! State machine of one query.
//!
//! Invariants:
//! - All accepted answers are at the version pinned by the plan.
//! - Each shard is accepted once, for exactly the requested partitions.
//! - No call is dispatched at or after the deadline, even if the process was paused.
//! - Every extra call takes a token from the budget of the service or replaces a call that did not
//!   run; a call lost with its aggregator is exempt.

mod attempt;
mod request;

use std::sync::Arc;

use rand::Rng;

use sablebay_model::{Hit, Micros, SnapshotVersion, top_hits};

use crate::coverage::{Coverage, GapReason};
use crate::plan::ShardPlan;
use crate::replica::ReplicaIndex;
use crate::routing::ServiceRouting;

pub use attempt::{AttemptKind, AttemptNumber, CallFailure};
pub use request::{Action, SearchRequest, SearchResult, ShardAnswer, Work};

use attempt::{Attempt, ShardProgress};

/// Maximum number of plans per query, including the first.
const MAXIMUM_PLANS: u32 = 3;
/// Maximum number of attempts per shard in one plan.
const MAXIMUM_ATTEMPTS_PER_SHARD: usize = 4;
/// Fraction of the remaining time after which a call to an aggregator is hedged.
const PEER_HEDGE_FRACTION: f64 = 0.5;
/// Delay before a refused hedge is tried again.
const HEDGE_RETRY_INTERVAL: Micros = Micros(5_000);

/// Inputs and outputs of one step of the state machine.
pub struct SearchContext<'a, R> {
    /// Routing state of the service.
    pub routing: &'a mut ServiceRouting,
    pub now: Micros,
    pub random: &'a mut R,
    /// Receives the resulting actions.
    pub actions: &'a mut Vec<Action>,
}

/// A query in progress.
#[derive(Debug)]
pub struct Search {
    request: SearchRequest,
    plan: Arc<ShardPlan>,
    version: SnapshotVersion,
    plans: u32,
    first_attempt_of_plan: u32,
    attempts: Vec<Attempt>,
    shards: Vec<ShardProgress>,
    open_shards: usize,
    hits: Vec<Hit>,
    coverage_parts: Vec<Coverage>,
    hedge_at: Micros,
    expected_by: Micros,
    work: Work,
    version_unavailable: bool,
    finished: bool,
}

impl Search {
    /// Creates a query at `version`. No call is sent before [`Search::start`].
    pub fn new(request: SearchRequest, plan: Arc<ShardPlan>, version: SnapshotVersion) -> Self {
        Self {
            shards: vec![ShardProgress::default(); plan.shards.len()],
            open_shards: plan.shards.len(),
            plan,
            version,
            request,
            plans: 0,
            first_attempt_of_plan: 0,
            attempts: Vec::new(),
            hits: Vec::new(),
            coverage_parts: Vec::new(),
            hedge_at: Micros::MAX,
            expected_by: Micros::MAX,
            work: Work::default(),
            version_unavailable: false,
            finished: false,
        }
    }

    /// Dispatches the first call for each shard.
    pub fn start<R: Rng>(&mut self, context: &mut SearchContext<'_, R>) {
        self.plans += 1;
        if context.now >= self.request.deadline {
            self.finish_all(GapReason::Late, context);
            return;
        }
        for shard in 0..self.shards.len() {
            if !self.dispatch(shard, AttemptKind::First, context) {
                self.close_shard(shard, GapReason::Lost);
            }
        }
        self.set_hedge_time(context);
        self.after_change(context);
    }

    fn set_hedge_time<R: Rng>(&mut self, context: &mut SearchContext<'_, R>) {
        if self.plan.through_peers {
            let remaining = self.request.deadline.since(context.now).0 as f64;
            self.hedge_at = context.now.plus(Micros((remaining * PEER_HEDGE_FRACTION) as u64));
        } else {
            self.hedge_at = context.now.plus(context.routing.expected_delay(context.now));
        }
        self.expected_by = self.hedge_at;
        // Without hedging no wake-up is needed before the deadline.
        if !self.plan.through_peers && !context.routing.hedging_is_on() {
            self.hedge_at = Micros::MAX;
        }
    }

    /// Dispatches a call for a shard. Returns false if no replica is left.
    fn dispatch<R: Rng>(
        &mut self,
        shard: usize,
        kind: AttemptKind,
        context: &mut SearchContext<'_, R>,
    ) -> bool {
        let planned = &self.plan.shards[shard];
        let tried = &self.shards[shard].tried;
        let replica = if context.routing.settings.mechanisms.observation {
            context.routing.balancer.choose(
                &planned.replicas,
                tried,
                self.version,
                context.now,
                context.random,
            )
        } else {
            planned.replicas.iter().find(|index| !tried.contains(index)).copied()
        };
        let Some(replica) = replica else {
            return false;
        };
        let number = AttemptNumber(self.attempts.len() as u32);
        self.attempts.push(Attempt { shard, replica, kind, sent_at: context.now, open: true });
        let progress = &mut self.shards[shard];
        progress.tried.push(replica);
        progress.open_attempts += 1;
        context.routing.balancer.dispatched(replica);
        match kind {
            AttemptKind::First => context.routing.budget.first_call(),
            AttemptKind::Hedge => self.work.hedges += 1,
            AttemptKind::Retry => self.work.retries += 1,
        }
        self.work.leaf_calls += u64::from(!self.plan.through_peers);
        context.actions.push(Action::Dispatch {
            attempt: number,
            replica,
            partitions: planned.partitions.clone(),
            version: self.version,
            deadline: self.request.deadline,
        });
        true
    }

    /// Closes an attempt. Returns `None` if the answer is late, repeated or belongs to an earlier
    /// plan.
    fn take_open<R: Rng>(
        &mut self,
        number: AttemptNumber,
        context: &mut SearchContext<'_, R>,
    ) -> Option<Attempt> {
        let attempt = self.attempts.get_mut(number.0 as usize)?;
        if !attempt.open {
            return None;
        }
        attempt.open = false;
        let attempt = *attempt;
        context.routing.balancer.released(attempt.replica);
        if number.0 < self.first_attempt_of_plan {
            return None;
        }
        self.shards[attempt.shard].open_attempts -= 1;
        Some(attempt)
    }

    /// Handles an answer. Returns whether the answer was accepted.
    pub fn on_answer<R: Rng>(
        &mut self,
        number: AttemptNumber,
        answer: ShardAnswer,
        context: &mut SearchContext<'_, R>,
    ) -> bool {
        if self.finished {
            return false;
        }
        let Some(attempt) = self.take_open(number, context) else {
            self.work.discarded += 1;
            return false;
        };
        let latency = context.now.since(attempt.sent_at);
        if let Some(report) = answer.report {
            context.routing.balancer.reported(attempt.replica, report, context.now);
        }
        let mechanisms = context.routing.settings.mechanisms;
        if mechanisms.version_check && answer.version != self.version {
            self.work.discarded += 1;
            self.handle_failure(attempt, CallFailure::NotHeld, context);
            return false;
        }
        let asked = &self.plan.shards[attempt.shard].partitions;
        if mechanisms.partition_check && !answer.coverage.covers_exactly(asked) {
            self.work.discarded += 1;
            self.handle_failure(attempt, CallFailure::Mismatched, context);
            return false;
        }
        if mechanisms.partition_check && self.shards[attempt.shard].closed.is_some() {
            self.work.discarded += 1;
            return false;
        }
        context.routing.balancer.answered(attempt.replica, latency, context.now);
        if attempt.kind == AttemptKind::First {
            context.routing.record_latency(latency, context.now);
        }
        if context.now < self.expected_by {
            context.routing.budget.earn();
            context.routing.record_lateness(false);
        }
        self.work += answer.work;
        self.accept(attempt.shard, answer.coverage, answer.hits, context);
        self.after_change(context);
        true
    }

    fn accept<R: Rng>(
        &mut self,
        shard: usize,
        coverage: Coverage,
        hits: Vec<Hit>,
        context: &mut SearchContext<'_, R>,
    ) {
        self.hits.extend(hits);
        self.coverage_parts.push(coverage);
        let progress = &mut self.shards[shard];
        if progress.closed.is_none() {
            progress.closed = Some(None);
            self.open_shards -= 1;
        }
        if progress.open_attempts > 0 {
            self.cancel_attempts(context, |attempt| attempt.shard == shard);
        }
    }

    /// Cancels the open attempts of the current plan that `selected` matches.
    fn cancel_attempts<R: Rng>(
        &mut self,
        context: &mut SearchContext<'_, R>,
        selected: impl Fn(&Attempt) -> bool,
    ) {
        let first = self.first_attempt_of_plan as usize;
        for (offset, attempt) in self.attempts[first..].iter_mut().enumerate() {
            if !attempt.open || !selected(attempt) {
                continue;
            }
            attempt.open = false;
            self.shards[attempt.shard].open_attempts -= 1;
            context.routing.balancer.released(attempt.replica);
            context.routing.balancer.overdue(
                attempt.replica,
                context.now.since(attempt.sent_at),
                context.now,
            );
            let number = AttemptNumber((first + offset) as u32);
            context.actions.push(Action::Cancel { attempt: number, replica: attempt.replica });
        }
    }

    /// Handles a failed or refused call.
    pub fn on_failure<R: Rng>(
        &mut self,
        number: AttemptNumber,
        failure: CallFailure,
        report: Option<crate::replica::LoadReport>,
        context: &mut SearchContext<'_, R>,
    ) {
        if self.finished {
            return;
        }
        let Some(attempt) = self.take_open(number, context) else {
            return;
        };
        if let Some(report) = report {
            context.routing.balancer.reported(attempt.replica, report, context.now);
        }
        self.handle_failure(attempt, failure, context);
    }

    fn handle_failure<R: Rng>(
        &mut self,
        attempt: Attempt,
        failure: CallFailure,
        context: &mut SearchContext<'_, R>,
    ) {
        if failure.counts_against_replica() {
            context.routing.balancer.failed(attempt.replica, context.now);
        }
        let progress = &mut self.shards[attempt.shard];
        progress.reasons.push(failure.gap_reason());
        if progress.closed.is_none() {
            self.replace_call(attempt.shard, failure, context);
        }
        self.after_change(context);
    }

    /// Retries a failed call on another replica, or closes the shard.
    fn replace_call<R: Rng>(
        &mut self,
        shard: usize,
        failure: CallFailure,
        context: &mut SearchContext<'_, R>,
    ) {
        let progress = &self.shards[shard];
        if progress.open_attempts > 0 {
            return;
        }
        let in_time = context.now < self.request.deadline;
        let attempts_left = progress.tried.len() < MAXIMUM_ATTEMPTS_PER_SHARD;
        let allowed = in_time && attempts_left && context.routing.settings.retry;
        // A broken connection means that the aggregator and its leaf calls are lost. The retry is
        // exempt from the budget.
        let lost_aggregator = self.plan.through_peers && failure == CallFailure::Broken;
        let free = failure.is_budget_exempt() || lost_aggregator;
        let paid = allowed && (free || context.routing.spend_extra(context.now));
        if paid && self.dispatch(shard, AttemptKind::Retry, context) {
            return;
        }
        let reason = self.shards[shard].gap_reason();
        self.close_shard(shard, reason);
    }

    fn close_shard(&mut self, shard: usize, reason: GapReason) {
        if self.shards[shard].closed.is_some() {
            return;
        }
        self.shards[shard].closed = Some(Some(reason));
        self.open_shards -= 1;
        if reason == GapReason::NotHeld {
            self.version_unavailable = true;
        }
    }

    /// Moves the deadline forward to `answer_by`, the last moment at which a stopping node can answer.
    pub fn on_stop<R: Rng>(&mut self, answer_by: Micros, context: &mut SearchContext<'_, R>) {
        self.request.deadline = self.request.deadline.min(answer_by);
        self.on_wake(context);
    }

    /// Hedges late calls. At the deadline closes all open shards.
    pub fn on_wake<R: Rng>(&mut self, context: &mut SearchContext<'_, R>) {
        if self.finished {
            return;
        }
        if context.now >= self.request.deadline {
            self.expire(context);
            return;
        }
        if context.now >= self.hedge_at {
            self.hedge_slow_shards(context);
        }
    }

    fn hedge_slow_shards<R: Rng>(&mut self, context: &mut SearchContext<'_, R>) {
        let mut refused = false;
        for shard in 0..self.shards.len() {
            let progress = &self.shards[shard];
            if progress.closed.is_some() || progress.hedged {
                continue;
            }
            let Some(replica) = progress.tried.last().copied() else {
                continue;
            };
            if !self.shards[shard].recorded_late {
                self.shards[shard].recorded_late = true;
                context.routing.record_lateness(true);
            }
            if !self.has_untried_replica(shard, context) {
                self.shards[shard].hedged = true;
                continue;
            }
            if !self.plan.through_peers && !context.routing.may_hedge(context.now) {
                refused = true;
                break;
            }
            if !context.routing.spend_extra(context.now) {
                refused = true;
                break;
            }
            context.routing.balancer.overdue(replica, self.oldest_age(shard, context.now), context.now);
            self.shards[shard].hedged = true;
            self.dispatch(shard, AttemptKind::Hedge, context);
        }
        self.hedge_at = if refused { context.now.plus(HEDGE_RETRY_INTERVAL) } else { Micros::MAX };
    }

    fn has_untried_replica<R: Rng>(&self, shard: usize, context: &mut SearchContext<'_, R>) -> bool {
        let planned = &self.plan.shards[shard];
        let tried = &self.shards[shard].tried;
        context
            .routing
            .balancer
            .choose(&planned.replicas, tried, self.version, context.now, context.random)
            .is_some()
    }

    fn oldest_age(&self, shard: usize, now: Micros) -> Micros {
        let first = self.first_attempt_of_plan as usize;
        let sent = self.attempts[first..].iter().find(|attempt| attempt.shard == shard && attempt.open);
        sent.map_or(Micros(0), |attempt| now.since(attempt.sent_at))
    }

    /// Closes the query at the deadline. Each open call counts as a failure of its replica.
    fn expire<R: Rng>(&mut self, context: &mut SearchContext<'_, R>) {
        let first = self.first_attempt_of_plan as usize;
        let silent: Vec<ReplicaIndex> =
            self.attempts[first..].iter().filter(|attempt| attempt.open).map(|a| a.replica).collect();
        for replica in silent {
            context.routing.balancer.failed(replica, context.now);
        }
        self.finish_all(GapReason::Late, context);
    }

    fn finish_all<R: Rng>(&mut self, reason: GapReason, context: &mut SearchContext<'_, R>) {
        self.cancel_attempts(context, |_| true);
        for shard in 0..self.shards.len() {
            self.close_shard(shard, reason);
        }
        self.finished = true;
    }

    /// Replans if the version is unavailable, or finishes if no shard is open.
    fn after_change<R: Rng>(&mut self, context: &mut SearchContext<'_, R>) {
        if self.finished {
            return;
        }
        if self.version_unavailable && self.should_replan(context.routing, context.now) {
            self.replan(context);
            return;
        }
        if self.open_shards == 0 {
            self.finished = true;
        }
    }

    /// Returns whether to restart the query at another version: if full coverage is preferred, or
    /// if no shard was answered at the current version.
    fn should_replan(&self, routing: &ServiceRouting, now: Micros) -> bool {
        let worthwhile =
            routing.settings.coverage_first || (self.open_shards == 0 && self.coverage_parts.is_empty());
        let possible = self.request.may_replan && self.plans < MAXIMUM_PLANS && now < self.request.deadline;
        let plan_changed = !Arc::ptr_eq(&self.plan, &routing.plan);
        let other_version = routing.best_version(None).is_some_and(|version| version != self.version);
        worthwhile && possible && (plan_changed || other_version)
    }

    fn replan<R: Rng>(&mut self, context: &mut SearchContext<'_, R>) {
        self.cancel_attempts(context, |_| true);
        self.version = context.routing.best_version(None).unwrap_or(self.version);
        self.plan = context.routing.plan.clone();
        self.shards = vec![ShardProgress::default(); self.plan.shards.len()];
        self.open_shards = self.plan.shards.len();
        self.first_attempt_of_plan = self.attempts.len() as u32;
        self.hits.clear();
        self.coverage_parts.clear();
        self.version_unavailable = false;
        self.work.replans += 1;
        self.start(context);
    }

    /// Returns when [`Search::on_wake`] is due.
    pub fn next_wake(&self) -> Micros {
        self.hedge_at.min(self.request.deadline)
    }

    /// Returns whether the result is final.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns the configuration revision of the plan.
    pub fn revision(&self) -> sablebay_model::Revision {
        self.plan.revision
    }

    /// Cancels all open calls after the caller has disconnected.
    pub fn abandon<R: Rng>(&mut self, context: &mut SearchContext<'_, R>) {
        self.cancel_attempts(context, |_| true);
        self.finished = true;
    }

    /// Returns the merged hits and their coverage.
    pub fn into_result(self) -> SearchResult {
        let mut coverage = Coverage::default();
        let answered = self.coverage_parts.iter().flat_map(|part| part.answered.iter());
        coverage.answered = answered.collect();
        for part in &self.coverage_parts {
            for gap in &part.missing {
                coverage.add_gap(&gap.partitions, gap.reason);
            }
        }
        for (planned, progress) in self.plan.shards.iter().zip(&self.shards) {
            if let Some(Some(reason)) = progress.closed {
                coverage.add_gap(&planned.partitions, reason);
            }
        }
        SearchResult {
            version: self.version,
            revision: self.plan.revision,
            hits: top_hits(self.hits, self.request.order, self.request.limit),
            coverage,
            work: self.work,
        }
    }
}
