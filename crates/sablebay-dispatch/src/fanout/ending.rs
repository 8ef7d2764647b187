//! Completion of a request.

use rand::Rng;

use sablebay_model::Micros;

use super::call::CallNumber;
use super::types::{FanoutAction, FanoutOutcome};
use super::{Call, CallScope, Fanout, FanoutContext};

impl Fanout {
    /// Ends the request and cancels its open calls once the outcome is known.
    pub(super) fn finish_if_decided<R: Rng>(&mut self, context: &mut FanoutContext<'_, R>) {
        if self.outcome.is_some() {
            return;
        }
        self.outcome = self.decide(context.now);
        if self.outcome.is_some() {
            self.abandon(context, |_| true);
        }
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
