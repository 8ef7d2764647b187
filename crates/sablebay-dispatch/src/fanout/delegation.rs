//! The shards that other nodes gather: asking, taking merged parts, and calling the shards directly
//! when a gatherer is of no use.

use rand::Rng;

use smallvec::SmallVec;

use sablebay_catalogue::ReplicaId;
use sablebay_model::{Micros, ZoneName};

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
            let spares: Vec<Option<ReplicaId>> = delegated
                .shards
                .iter()
                .map(|shard| self.choose_spare(*shard, &delegated.zone, turn))
                .collect();
            for (shard, spare) in delegated.shards.iter().zip(&spares) {
                let progress = &mut self.shards[*shard];
                progress.spare = spare.clone();
                progress.spare_alone = spare.is_some();
                // The gatherer's first call; its later ones are told.
                progress.attempts = 1;
                progress.open_calls = 1;
                progress.hedge_at = rescue_at;
            }
            turn.actions.push(FanoutAction::Delegate { call, delegated, spares });
        }
    }

    /// The replica that a shard's last attempt is kept for: outside of the gatherer's zone, whose
    /// replicas it uses first. None where a shard has no more replicas than attempts, so that any of
    /// them will do.
    fn choose_spare<R: Rng>(
        &self,
        shard: usize,
        zone: &ZoneName,
        turn: &mut FanoutTurn<'_, R>,
    ) -> Option<ReplicaId> {
        let replicas = &self.targets[shard].replicas;
        let attempts = self.settings.maximum_attempts as usize;
        if attempts < 2 || replicas.len() <= attempts {
            return None;
        }
        let in_zone = replicas.iter().filter(|known| known.replica.zone == *zone);
        let in_zone: SmallVec<[ReplicaId; 3]> = in_zone.map(|known| known.replica.id.clone()).collect();
        let outside = turn.table.choose(replicas, &in_zone, turn.now, turn.random);
        let chosen = outside.or_else(|| turn.table.choose(replicas, &[], turn.now, turn.random))?;
        Some(replicas[chosen].replica.id.clone())
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
            // The gatherer sent nothing: every attempt is this node's own.
            progress.attempts -= 1;
            progress.spare = None;
            progress.spare_alone = false;
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
