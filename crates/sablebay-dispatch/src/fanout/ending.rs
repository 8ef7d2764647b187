//! Completion of a request.

use rand::Rng;

use sablebay_model::Micros;

use super::call::CallNumber;
use super::types::{FanoutAction, FanoutOutcome};
use super::{Call, CallScope, Fanout, FanoutContext};

impl Fanout {
    /// Ends the request and cancels its open calls once the outcome is known.
    pub(super) fn finish_if_decided<R: Rng>(&mut self, context: &mut FanoutContext<'_, R>) {
        if self.outcome.is_some() || self.decide(context.now).is_none() {
            return;
        }
        // Decided again: a call that was not sent and never will be cannot have run.
        self.withdraw_unsent(context, |_| true);
        self.outcome = self.decide(context.now);
        self.abandon(context, |_| true);
    }

    fn decide(&self, now: Micros) -> Option<FanoutOutcome> {
        let missing = self.shards.len() - self.answered;
        let enough = self.answered >= self.settings.minimum_shards;
        let expired = now >= self.settings.deadline;
        if enough && (self.open == 0 || now >= self.settings.partial_at || expired) {
            return Some(FanoutOutcome::Answered { missing });
        }
        let may_have_run = self.may_have_run || self.calls.iter().any(|call| call.open);
        if expired {
            return Some(FanoutOutcome::Expired { may_have_run });
        }
        let unreachable = self.answered + self.open < self.settings.minimum_shards;
        let failed = if may_have_run { FanoutOutcome::Unknown } else { FanoutOutcome::NotRun };
        unreachable.then_some(failed)
    }

    /// Cancels the selected calls that have not been sent, and closes shards that are left without a call.
    pub(super) fn withdraw_unsent<R: Rng>(
        &mut self,
        context: &mut FanoutContext<'_, R>,
        selected: impl Fn(&Call) -> bool,
    ) {
        for number in 0..self.calls.len() {
            let call = &mut self.calls[number];
            let CallScope::Shard(shard) = call.scope else {
                continue;
            };
            if !call.open || !selected(call) || !context.unsent.withdraw(CallNumber(number as u32)) {
                continue;
            }
            call.open = false;
            let progress = &mut self.shards[shard];
            progress.open_calls -= 1;
            progress.attempts -= 1;
            if progress.open_calls == 0 {
                self.close(shard);
            }
        }
    }

    pub(super) fn abandon<R: Rng>(
        &mut self,
        context: &mut FanoutContext<'_, R>,
        selected: impl Fn(&Call) -> bool,
    ) {
        for (number, call) in self.calls.iter_mut().enumerate() {
            if call.open && selected(call) {
                call.open = false;
                if let CallScope::Shard(shard) = call.scope {
                    self.shards[shard].open_calls -= 1;
                }
                context.actions.push(FanoutAction::Abandon { call: CallNumber(number as u32) });
            }
        }
    }

    /// Returns the outcome, or `None` while the request is in progress.
    pub fn outcome(&self) -> Option<FanoutOutcome> {
        self.outcome
    }
}
