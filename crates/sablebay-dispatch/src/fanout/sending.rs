//! Sends the first call of each shard, and extra calls within the retry budget.

use rand::Rng;

use sablebay_catalogue::{Repeatability, ReplicaId, RoutableReplica};
use sablebay_model::Micros;

use super::call::CallNumber;
use super::types::FanoutAction;
use super::{Call, CallScope, Fanout, FanoutContext, HEDGE_RECHECK, ShardState};
use crate::replica_table::ReplicaTable;

impl Fanout {
    /// Sends the first call of each shard, or delegates the shard to its gatherer.
    pub fn start<R: Rng>(&mut self, context: &mut FanoutContext<'_, R>) {
        if self.outcome.is_some() {
            return;
        }
        self.close_unservable(context.table);
        self.refuse_if_stopping(context.now);
        if self.open < self.settings.minimum_shards {
            self.finish_if_decided(context);
            return;
        }
        if self.may_send(context.now) {
            self.delegate(context);
        }
        for shard in 0..self.shards.len() {
            if self.shards[shard].open_calls > 0 || self.shards[shard].state != ShardState::Open {
                continue;
            }
            if self.shards[shard].attempts == 0 {
                self.send_first(shard, context);
            } else {
                self.send_extra(shard, context);
            }
        }
        self.finish_if_decided(context);
    }

    /// Closes shards without a replica that accepts work, and removes them from their delegations.
    fn close_unservable(&mut self, table: &ReplicaTable) {
        for shard in 0..self.shards.len() {
            if self.targets[shard].replicas.iter().any(|replica| table.takes_work(replica)) {
                continue;
            }
            self.close(shard);
            for number in std::mem::take(&mut self.shards[shard].gatherers) {
                self.delegations[number].delegated.shards.retain(|delegated| *delegated != shard);
            }
        }
    }

    /// Charges an extra call of a shard to the retry budget. Returns false if the budget is exhausted.
    pub(super) fn spend_budget<R: Rng>(&self, shard: usize, context: &mut FanoutContext<'_, R>) -> bool {
        let service = &self.targets[shard].service;
        context.budgets.spend(service, self.tenant.as_ref(), context.allowance, context.now)
    }

    /// Sends an extra call of a shard without open calls, as soon as the budget allows.
    pub(super) fn send_extra<R: Rng>(&mut self, shard: usize, context: &mut FanoutContext<'_, R>) {
        if !self.may_send(context.now) || self.shards[shard].attempts >= self.settings.maximum_attempts {
            self.close(shard);
        } else if !self.spend_budget(shard, context) {
            self.shards[shard].hedge_at = context.now.plus(HEDGE_RECHECK);
        } else if !self.send(shard, context) {
            self.close(shard);
        }
    }

    /// Sends the first call of a shard and counts it as a request in the retry budget.
    pub(super) fn send_first<R: Rng>(&mut self, shard: usize, context: &mut FanoutContext<'_, R>) {
        let service = &self.targets[shard].service;
        context.budgets.count_request(service, context.allowance, context.now);
        if !self.may_send(context.now) || !self.send(shard, context) {
            self.close(shard);
        }
    }

    /// Sends one call of a shard. Returns false if no replica is left.
    pub(super) fn send<R: Rng>(&mut self, shard: usize, context: &mut FanoutContext<'_, R>) -> bool {
        let replicas = &self.targets[shard].replicas;
        let chosen = match self.required_spare(shard) {
            Some(spare) => self.untried_position(shard, &spare, context.table),
            None => context.table.choose(replicas, &self.shards[shard].tried, context.now, context.random),
        };
        let Some(index) = chosen else {
            return false;
        };
        let replica = replicas[index].replica.id.clone();
        let call = CallNumber(self.calls.len() as u32);
        self.calls.push(Call { scope: CallScope::Shard(shard), open: true, started_at: context.now });
        let progress = &mut self.shards[shard];
        let first = progress.tried.is_empty() && progress.attempts == 0;
        progress.tried.push(replica.clone());
        progress.attempts += 1;
        progress.open_calls += 1;
        self.shards[shard].hedge_at = self.next_hedge(shard, context.now);
        context.actions.push(FanoutAction::Send { call, shard, replica, first });
        true
    }

    /// Returns the spare replica if the next call of the shard must go to it.
    pub(super) fn required_spare(&self, shard: usize) -> Option<ReplicaId> {
        let progress = &self.shards[shard];
        let spare = progress.spare.as_ref()?;
        let last = progress.attempts + 1 >= self.settings.maximum_attempts;
        let kept = progress.only_spare_left || (last && !progress.tried.contains(spare));
        kept.then(|| spare.clone())
    }

    pub(super) fn untried_position(
        &self,
        shard: usize,
        replica: &ReplicaId,
        table: &ReplicaTable,
    ) -> Option<usize> {
        let is_wanted = |known: &RoutableReplica| known.replica.id == *replica && table.takes_work(known);
        let known = self.targets[shard].replicas.iter().position(is_wanted);
        known.filter(|_| !self.shards[shard].tried.contains(replica))
    }

    fn next_hedge(&self, shard: usize, now: Micros) -> Micros {
        let repeatable = self.settings.repeatability == Repeatability::Repeatable;
        let attempts_left = self.shards[shard].attempts < self.settings.maximum_attempts;
        if repeatable && attempts_left { now.plus(self.settings.hedge_delay) } else { Micros::MAX }
    }

    pub(super) fn close(&mut self, shard: usize) {
        if self.shards[shard].state == ShardState::Open {
            self.shards[shard].state = ShardState::Missing;
            self.open -= 1;
        }
    }
}
