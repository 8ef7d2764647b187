//! The shards that other nodes gather: asking, taking merged parts, and calling the shards directly
//! when a gatherer is of no use.

use rand::Rng;

use sablebay_model::Micros;

use super::call::{CallFailure, CallNumber, Execution};
use super::terms::{FanoutAction, GatheredShards};
use super::{Call, CallScope, Fanout, FanoutTurn, HEDGE_RECHECK, ShardState};

impl Fanout {
    /// Asks each gatherer for its shards.
    pub(super) fn delegate<R: Rng>(&mut self, turn: &mut FanoutTurn<'_, R>) {
        let rescue_at = turn.now.plus(self.settings.rescue_delay);
        for number in 0..self.delegations.len() {
            let call = CallNumber(self.calls.len() as u32);
            self.calls.push(Call { scope: CallScope::Delegation(number), open: true });
            let delegated = self.delegations[number].delegated.clone();
            for shard in &delegated.shards {
                let progress = &mut self.shards[*shard];
                // The gatherer's first call; its later ones are told.
                progress.attempts = 1;
                progress.open_calls = 1;
                progress.hedge_at = rescue_at;
            }
            turn.actions.push(FanoutAction::Delegate { call, delegated });
        }
    }

    /// A gatherer told how far it is. Returns whether the part that came with it is taken; the
    /// answers of single replicas for the same shards then no longer count.
    pub fn on_gathered<R: Rng>(
        &mut self,
        call: CallNumber,
        gathered: &GatheredShards,
        turn: &mut FanoutTurn<'_, R>,
    ) -> bool {
        let Some(number) = self.open_delegation(call) else {
            return false;
        };
        self.delegations[number].heard = true;
        for shard in &gathered.retried {
            if self.waits_for(*shard, number) {
                self.shards[*shard].attempts = self.shards[*shard].attempts.max(2);
            }
        }
        let ours = |shard: &usize| self.waits_for(*shard, number);
        let distinct = gathered.answered.is_sorted_by(|one, next| one < next);
        let taken = !gathered.answered.is_empty() && distinct && gathered.answered.iter().all(ours);
        if taken {
            for shard in &gathered.answered {
                self.take_gathered(*shard, call, turn);
            }
        }
        for shard in &gathered.closed {
            if self.waits_for(*shard, number) {
                self.give_up_waiting(*shard, Execution::Possible, turn);
            }
        }
        if gathered.last {
            self.end_delegation(call, number, Execution::Possible, turn);
        } else {
            self.leave_to_gatherer(number);
        }
        self.settle(turn);
        taken
    }

    /// A gatherer refused, broke or was not reached: its shards are called directly.
    pub fn on_gatherer_failure<R: Rng>(
        &mut self,
        call: CallNumber,
        failure: CallFailure,
        turn: &mut FanoutTurn<'_, R>,
    ) {
        let Some(number) = self.open_delegation(call) else {
            return;
        };
        let execution = failure.execution();
        self.may_have_run |= execution == Execution::Possible;
        self.end_delegation(call, number, execution, turn);
        self.settle(turn);
    }

    /// The delegation of an open call of a request that has not ended.
    fn open_delegation(&self, call: CallNumber) -> Option<usize> {
        let known = self.calls.get(call.0 as usize).filter(|call| call.open && self.outcome.is_none())?;
        match known.scope {
            CallScope::Delegation(number) => Some(number),
            CallScope::Shard(_) => None,
        }
    }

    fn waits_for(&self, shard: usize, delegation: usize) -> bool {
        self.shards.get(shard).is_some_and(|progress| progress.delegation == Some(delegation))
    }

    fn take_gathered<R: Rng>(&mut self, shard: usize, call: CallNumber, turn: &mut FanoutTurn<'_, R>) {
        self.may_have_run = true;
        let progress = &mut self.shards[shard];
        progress.delegation = None;
        progress.open_calls -= 1;
        progress.answered_by = Some(call);
        match progress.state {
            ShardState::Open => {
                self.open -= 1;
                self.answered += 1;
            }
            ShardState::Missing => self.answered += 1,
            ShardState::Answered => {}
        }
        self.shards[shard].state = ShardState::Answered;
        self.abandon(turn, |open| open.scope == CallScope::Shard(shard));
    }

    /// The gatherer lives: it hedges by itself what it still waits for.
    fn leave_to_gatherer(&mut self, number: usize) {
        for shard in &self.delegations[number].delegated.shards {
            let progress = &mut self.shards[*shard];
            if progress.delegation == Some(number) && progress.open_calls == 1 {
                progress.hedge_at = Micros::MAX;
            }
        }
    }

    fn end_delegation<R: Rng>(
        &mut self,
        call: CallNumber,
        number: usize,
        execution: Execution,
        turn: &mut FanoutTurn<'_, R>,
    ) {
        self.calls[call.0 as usize].open = false;
        for shard in self.delegations[number].delegated.shards.clone() {
            if self.waits_for(shard, number) {
                self.give_up_waiting(shard, execution, turn);
            }
        }
    }

    /// Nothing more comes for a shard from its gatherer.
    fn give_up_waiting<R: Rng>(&mut self, shard: usize, execution: Execution, turn: &mut FanoutTurn<'_, R>) {
        let progress = &mut self.shards[shard];
        progress.delegation = None;
        progress.open_calls -= 1;
        if execution != Execution::Possible {
            progress.attempts -= 1;
        }
        if progress.state != ShardState::Open {
            return;
        }
        if progress.attempts == 0 {
            self.send_first(shard, turn);
        } else {
            self.replace(shard, execution, turn);
        }
    }

    /// The gatherer gave no sign of life: the shard is called directly as well.
    pub(super) fn rescue<R: Rng>(&mut self, shard: usize, turn: &mut FanoutTurn<'_, R>) {
        let allowed = self.shards[shard].attempts < self.settings.maximum_attempts;
        if !allowed {
            self.shards[shard].hedge_at = Micros::MAX;
            return;
        }
        let paid = turn.budgets.spend(&self.targets[shard].service, turn.allowance, turn.now);
        if !paid || !self.send(shard, turn) {
            self.shards[shard].hedge_at = turn.now.plus(HEDGE_RECHECK);
        }
    }
}
