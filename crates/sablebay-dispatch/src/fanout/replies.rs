//! Answers and failures of calls to replicas.

use rand::Rng;

use sablebay_catalogue::Repeatability;
use sablebay_model::Micros;

use super::call::{CallFailure, CallNumber, Execution};
use super::{CallScope, Fanout, FanoutContext, ShardState};

/// Number of unreachable replicas after which a shard is not sent to further ones.
const MAXIMUM_UNREACHABLE: usize = 3;
/// Maximum number of times a shard is rescheduled because no replica could be reached.
const MAXIMUM_UNREACHABLE_ROUNDS: u32 = 3;
/// Delay before the first of these rounds; doubles with each.
const ROUND_BACKOFF: Micros = Micros::from_millis(30);

impl Fanout {
    /// Closes an open call to a replica and returns its shard; `None` for late or duplicate answers.
    fn take_open(&mut self, call: CallNumber) -> Option<usize> {
        let call = self.calls.get_mut(call.0 as usize).filter(|call| call.open)?;
        let CallScope::Shard(shard) = call.scope else {
            return None;
        };
        call.open = false;
        self.shards[shard].open_calls -= 1;
        Some(shard)
    }

    /// Handles a successful answer. Returns the shard if the answer is accepted.
    pub fn on_answer<R: Rng>(
        &mut self,
        call: CallNumber,
        context: &mut FanoutContext<'_, R>,
    ) -> Option<usize> {
        if self.outcome.is_some() {
            return None;
        }
        let shard = self.take_open(call)?;
        self.may_have_run = true;
        if self.shards[shard].state != ShardState::Open {
            return None;
        }
        self.shards[shard].state = ShardState::Answered;
        self.shards[shard].answered_by = Some(call);
        self.answered += 1;
        self.open -= 1;
        self.abandon(context, |open| open.scope == CallScope::Shard(shard));
        self.finish_if_decided(context);
        Some(shard)
    }

    /// Handles a failed call to a replica.
    pub fn on_failure<R: Rng>(
        &mut self,
        call: CallNumber,
        failure: CallFailure,
        context: &mut FanoutContext<'_, R>,
    ) {
        if self.outcome.is_some() {
            return;
        }
        let Some(shard) = self.take_open(call) else {
            return;
        };
        let execution = failure.execution();
        self.may_have_run |= execution == Execution::Possible;
        if execution == Execution::NotSent {
            self.shards[shard].attempts -= 1;
        }
        if failure == CallFailure::HeldBack && self.shards[shard].open_calls == 0 {
            self.close(shard);
        } else if self.shards[shard].state == ShardState::Open {
            self.retry(shard, execution, context);
        }
        self.finish_if_decided(context);
    }

    /// Sends a shard whose call failed to another replica, or closes it.
    pub(super) fn retry<R: Rng>(
        &mut self,
        shard: usize,
        execution: Execution,
        context: &mut FanoutContext<'_, R>,
    ) {
        if self.shards[shard].open_calls > 0 {
            return;
        }
        if self.may_send_again(shard, execution, context) && self.send(shard, context) {
            return;
        }
        if !self.schedule_round(shard, execution, context.now) {
            self.close(shard);
        }
    }

    /// Schedules another round for a shard that reached no replica, since refused connections may succeed
    /// shortly after. No round starts after the target latency, when the answer is due.
    fn schedule_round(&mut self, shard: usize, execution: Execution, now: Micros) -> bool {
        let again_at = now.plus(Micros(ROUND_BACKOFF.0 << self.shards[shard].unreachable_rounds));
        let in_time = again_at < self.settings.partial_at && self.may_send(again_at);
        let progress = &mut self.shards[shard];
        let unreached = execution == Execution::NotSent && progress.attempts == 0;
        if !unreached || !in_time || progress.unreachable_rounds >= MAXIMUM_UNREACHABLE_ROUNDS {
            return false;
        }
        progress.unreachable_rounds += 1;
        progress.tried.clear();
        progress.hedge_at = again_at;
        true
    }

    fn may_send_again<R: Rng>(
        &self,
        shard: usize,
        execution: Execution,
        context: &mut FanoutContext<'_, R>,
    ) -> bool {
        let progress = &self.shards[shard];
        let unreachable = progress.tried.len().saturating_sub(progress.attempts as usize);
        let allowed = self.may_send(context.now)
            && progress.attempts < self.settings.maximum_attempts
            && unreachable < MAXIMUM_UNREACHABLE
            && (self.settings.repeatability == Repeatability::Repeatable || execution != Execution::Possible);
        // A call that was never sent does not count as load, so its replacement is free of charge.
        let free = execution == Execution::NotSent && progress.attempts == 0;
        allowed && (free || self.spend_budget(shard, context))
    }
}
