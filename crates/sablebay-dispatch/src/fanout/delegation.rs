//! Delegation of shards to gatherers: requests, merged parts, and recovery when a gatherer fails or
//! times out.

use rand::Rng;

use smallvec::SmallVec;

use sablebay_catalogue::ReplicaId;
use sablebay_model::{Micros, ZoneName};

use super::call::{CallFailure, CallNumber, Execution};
use super::types::{DelegatedShards, FanoutAction, GatheredShards};
use super::{Call, CallScope, Delegation, Fanout, FanoutContext, HEDGE_RECHECK, ShardState};

impl Fanout {
    /// Sends every delegation to its gatherer.
    pub(super) fn delegate<R: Rng>(&mut self, context: &mut FanoutContext<'_, R>) {
        for number in 0..self.delegations.len() {
            if !self.delegations[number].delegated.shards.is_empty() {
                self.send_delegation(number, context);
            }
        }
    }

    fn send_delegation<R: Rng>(&mut self, number: usize, context: &mut FanoutContext<'_, R>) {
        let call = CallNumber(self.calls.len() as u32);
        self.calls.push(Call { scope: CallScope::Delegation(number), open: true, started_at: context.now });
        let delegation = &mut self.delegations[number];
        delegation.call = Some(call);
        delegation.report_due_at = context.now.plus(self.settings.gatherer_timeout);
        let delegated = delegation.delegated.clone();
        let mut spares = Vec::with_capacity(delegated.shards.len());
        for shard in &delegated.shards {
            // Both gatherers of a shard must reserve the same spare.
            let spare = match delegated.continued {
                true => self.shards[*shard].spare.clone(),
                false => self.choose_spare(*shard, &delegated.zone, context),
            };
            let progress = &mut self.shards[*shard];
            progress.spare = spare.clone();
            progress.only_spare_left = spare.is_some();
            // Counts the gatherer's first call; the gatherer reports later ones.
            progress.attempts = progress.attempts.max(1);
            progress.open_calls += 1;
            progress.hedge_at = Micros::MAX;
            spares.push(spare);
        }
        context.actions.push(FanoutAction::Delegate { call, delegated, spares });
    }

    /// Reassigns the shards of gatherers whose report is overdue to the fallback gatherer, or to this node
    /// if there is none. A late answer of the slow gatherer is still accepted.
    pub(super) fn replace_silent_gatherers<R: Rng>(&mut self, context: &mut FanoutContext<'_, R>) {
        for number in 0..self.delegations.len() {
            let delegation = &mut self.delegations[number];
            if context.now < delegation.report_due_at {
                continue;
            }
            delegation.report_due_at = Micros::MAX;
            if delegation.delegated.fallback.is_some() {
                self.ask_fallback(number, Execution::Possible, context);
                continue;
            }
            for shard in delegation.delegated.shards.clone() {
                if self.waits_for(shard, number) {
                    self.shards[shard].hedge_at = context.now;
                }
            }
        }
    }

    /// Delegates the outstanding shards of a gatherer to its fallback. Returns whether there is a fallback.
    fn ask_fallback<R: Rng>(
        &mut self,
        number: usize,
        execution: Execution,
        context: &mut FanoutContext<'_, R>,
    ) -> bool {
        if !self.may_send(context.now) {
            return false;
        }
        let delegation = &mut self.delegations[number];
        let Some(fallback) = delegation.delegated.fallback.take() else {
            return false;
        };
        let zone = delegation.delegated.zone.clone();
        let shards = delegation.delegated.shards.clone();
        let outstanding: Vec<usize> =
            shards.into_iter().filter(|shard| self.waits_for(*shard, number)).collect();
        if outstanding.is_empty() {
            return true;
        }
        let next = self.delegations.len();
        let continued = execution == Execution::Possible || self.delegations[number].delegated.continued;
        for shard in &outstanding {
            let progress = &mut self.shards[*shard];
            if !continued {
                progress.gatherers.retain(|waited_for| *waited_for != number);
                progress.open_calls -= 1;
            }
            progress.gatherers.push(next);
        }
        let delegated =
            DelegatedShards { gatherer: fallback, zone, shards: outstanding, fallback: None, continued };
        self.delegations.push(Delegation::new(delegated));
        self.send_delegation(next, context);
        true
    }

    /// Closes a call that its gatherer did not accept; the shards stay outstanding.
    fn withdraw(&mut self, call: CallNumber, number: usize) {
        self.calls[call.0 as usize].open = false;
        self.delegations[number].call = None;
        self.delegations[number].report_due_at = Micros::MAX;
    }

    fn abandon_gatherer<R: Rng>(&mut self, number: usize, context: &mut FanoutContext<'_, R>) {
        let delegation = &mut self.delegations[number];
        delegation.report_due_at = Micros::MAX;
        let Some(call) = delegation.call.take() else {
            return;
        };
        let known = &mut self.calls[call.0 as usize];
        if known.open {
            known.open = false;
            self.may_have_run = true;
            context.actions.push(FanoutAction::Abandon { call });
        }
    }

    /// Cancels the calls to gatherers that have no outstanding shards left.
    fn abandon_unneeded_gatherers<R: Rng>(&mut self, context: &mut FanoutContext<'_, R>) {
        for number in 0..self.delegations.len() {
            let mut shards = self.delegations[number].delegated.shards.iter();
            if self.delegations[number].call.is_some() && !shards.any(|shard| self.waits_for(*shard, number))
            {
                self.abandon_gatherer(number, context);
            }
        }
    }

    /// Chooses the replica that the last attempt of a shard is reserved for, preferably outside the
    /// gatherer's zone, since the gatherer uses replicas of its own zone first. Returns `None` if the shard
    /// has no more replicas than attempts, because no reservation is needed then.
    fn choose_spare<R: Rng>(
        &self,
        shard: usize,
        zone: &ZoneName,
        context: &mut FanoutContext<'_, R>,
    ) -> Option<ReplicaId> {
        let replicas = &self.targets[shard].replicas;
        let attempts = self.settings.maximum_attempts as usize;
        if attempts < 2 || replicas.len() <= attempts {
            return None;
        }
        let in_zone = replicas.iter().filter(|known| known.replica.zone == *zone);
        let in_zone: SmallVec<[ReplicaId; 3]> = in_zone.map(|known| known.replica.id.clone()).collect();
        let outside = context.table.choose(replicas, &in_zone, context.now, context.random);
        let chosen = outside.or_else(|| context.table.choose(replicas, &[], context.now, context.random))?;
        Some(replicas[chosen].replica.id.clone())
    }

    /// Handles a gatherer's report. Returns whether its merged part is accepted, in which case the part
    /// replaces answers of single replicas for the same shards.
    pub fn on_gathered<R: Rng>(
        &mut self,
        call: CallNumber,
        gathered: &GatheredShards,
        context: &mut FanoutContext<'_, R>,
    ) -> bool {
        let Some(number) = self.open_delegation(call) else {
            return false;
        };
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
                self.take_gathered(*shard, call, context);
            }
        }
        for shard in &gathered.closed {
            if self.waits_for(*shard, number) {
                self.stop_waiting(*shard, number, Execution::Possible, context);
            }
        }
        if gathered.last {
            self.end_delegation(call, number, Execution::Possible, context);
        } else {
            self.note_report(number, context.now);
        }
        self.abandon_unneeded_gatherers(context);
        self.finish_if_decided(context);
        taken
    }

    /// Handles a failed call to a gatherer: its shards go to the fallback gatherer, or are called directly.
    pub fn on_gatherer_failure<R: Rng>(
        &mut self,
        call: CallNumber,
        failure: CallFailure,
        context: &mut FanoutContext<'_, R>,
    ) {
        let Some(number) = self.open_delegation(call) else {
            return;
        };
        let execution = failure.execution();
        self.may_have_run |= execution == Execution::Possible;
        if execution == Execution::Possible {
            self.ask_fallback(number, execution, context);
            self.end_delegation(call, number, execution, context);
        } else if self.delegations[number].delegated.fallback.is_some() && self.may_send(context.now) {
            // The gatherer sent no calls, so the fallback starts from the beginning.
            self.withdraw(call, number);
            self.ask_fallback(number, execution, context);
        } else {
            self.end_delegation(call, number, execution, context);
        }
        self.finish_if_decided(context);
    }

    /// Returns the delegation of an open call; `None` once the request has ended.
    fn open_delegation(&self, call: CallNumber) -> Option<usize> {
        let known = self.calls.get(call.0 as usize).filter(|call| call.open && self.outcome.is_none())?;
        match known.scope {
            CallScope::Delegation(number) => Some(number),
            CallScope::Shard(_) => None,
        }
    }

    fn waits_for(&self, shard: usize, delegation: usize) -> bool {
        self.shards.get(shard).is_some_and(|progress| progress.gatherers.contains(&delegation))
    }

    fn take_gathered<R: Rng>(&mut self, shard: usize, call: CallNumber, context: &mut FanoutContext<'_, R>) {
        self.may_have_run = true;
        let progress = &mut self.shards[shard];
        progress.open_calls -= progress.gatherers.len() as u32;
        progress.gatherers.clear();
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
        self.abandon(context, |open| open.scope == CallScope::Shard(shard));
    }

    /// Records a report, and cancels direct calls planned for the gatherer's shards, which it hedges itself.
    /// The first report confirms that the replicas were called; the second carries the first answers.
    fn note_report(&mut self, number: usize, now: Micros) {
        let delegation = &mut self.delegations[number];
        delegation.reports += 1;
        let next_report = self.settings.report_at.max(now).plus(self.settings.gatherer_timeout);
        delegation.report_due_at = if delegation.reports == 1 { next_report } else { Micros::MAX };
        for shard in &self.delegations[number].delegated.shards {
            let progress = &mut self.shards[*shard];
            let direct_calls = progress.open_calls - progress.gatherers.len() as u32;
            if progress.gatherers.contains(&number) && direct_calls == 0 {
                progress.hedge_at = Micros::MAX;
            }
        }
    }

    fn end_delegation<R: Rng>(
        &mut self,
        call: CallNumber,
        number: usize,
        execution: Execution,
        context: &mut FanoutContext<'_, R>,
    ) {
        self.calls[call.0 as usize].open = false;
        self.delegations[number].call = None;
        self.delegations[number].report_due_at = Micros::MAX;
        for shard in self.delegations[number].delegated.shards.clone() {
            if self.waits_for(shard, number) {
                self.stop_waiting(shard, number, execution, context);
            }
        }
    }

    /// Stops waiting for a gatherer's answer for a shard; retries the shard if no other gatherer is pending.
    fn stop_waiting<R: Rng>(
        &mut self,
        shard: usize,
        number: usize,
        execution: Execution,
        context: &mut FanoutContext<'_, R>,
    ) {
        let continues = |known: &Delegation| {
            known.delegated.continued && known.delegated.shards.binary_search(&shard).is_ok()
        };
        let continued = self.delegations.iter().any(continues);
        let progress = &mut self.shards[shard];
        progress.gatherers.retain(|waited_for| *waited_for != number);
        progress.open_calls -= 1;
        if !progress.gatherers.is_empty() {
            return;
        }
        if execution != Execution::Possible && !continued {
            // No gatherer sent a call, so all attempts are available to this node.
            progress.attempts -= 1;
            progress.spare = None;
            progress.only_spare_left = false;
        }
        if progress.state != ShardState::Open {
            return;
        }
        if progress.attempts == 0 {
            self.send_first(shard, context);
        } else {
            self.retry(shard, execution, context);
        }
    }

    /// Calls a shard directly because its gatherer timed out.
    pub(super) fn call_directly<R: Rng>(&mut self, shard: usize, context: &mut FanoutContext<'_, R>) {
        let allowed = self.shards[shard].attempts < self.settings.maximum_attempts;
        if !allowed {
            self.shards[shard].hedge_at = Micros::MAX;
            return;
        }
        let paid = self.spend_budget(shard, context);
        if !paid || !self.send(shard, context) {
            self.shards[shard].hedge_at = context.now.plus(HEDGE_RECHECK);
        }
    }
}
