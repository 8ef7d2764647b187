//! Timer events: hedged calls for slow shards.

use rand::Rng;

use sablebay_model::Micros;

use super::{Fanout, FanoutContext, HEDGE_RECHECK, ShardState};

/// Largest fraction of a request's shards that may still be open for hedging to start. If more are slow,
/// the overload is general, and hedged calls would only lengthen the queues.
/// A gatherer of ten shards has four slow ones when 40 in 100 of the replicas are slow: a smaller fraction would make it
/// wait for one of them before it hedges.
const STRAGGLER_FRACTION: f64 = 0.6;
/// Number of open shards up to which hedging is always allowed, so that small requests are hedged.
const MINIMUM_STRAGGLERS: usize = 2;

impl Fanout {
    /// Handles a timer event: hedges slow shards and ends the request if it is due.
    pub fn on_wake<R: Rng>(&mut self, context: &mut FanoutContext<'_, R>) {
        if self.outcome.is_some() {
            return;
        }
        self.end_sending_if_due(context);
        if self.may_send(context.now) {
            self.replace_silent_gatherers(context);
            let hedging = self.is_down_to_stragglers();
            for shard in 0..self.shards.len() {
                let progress = &self.shards[shard];
                if progress.state != ShardState::Open || context.now < progress.hedge_at {
                    continue;
                }
                if !progress.gatherers.is_empty() {
                    self.call_directly(shard, context);
                } else if progress.open_calls > 0 {
                    if hedging {
                        self.hedge(shard, context);
                    } else {
                        self.shards[shard].hedge_at = context.now.plus(HEDGE_RECHECK);
                    }
                } else if self.shards[shard].attempts > 0 {
                    self.send_extra(shard, context);
                } else if !self.send(shard, context) {
                    self.close(shard);
                }
            }
        }
        self.finish_if_decided(context);
    }

    /// Returns whether so few shards are open that hedging is allowed.
    fn is_down_to_stragglers(&self) -> bool {
        let most = (self.shards.len() as f64 * STRAGGLER_FRACTION).ceil() as usize;
        self.open <= most.max(MINIMUM_STRAGGLERS)
    }

    fn hedge<R: Rng>(&mut self, shard: usize, context: &mut FanoutContext<'_, R>) {
        let replicas = &self.targets[shard].replicas;
        let tried = &self.shards[shard].tried;
        if replicas.iter().all(|candidate| tried.contains(&candidate.replica.id)) {
            self.shards[shard].hedge_at = Micros::MAX;
            return;
        }
        let candidates = match self.required_spare(shard) {
            None => &replicas[..],
            Some(spare) => match self.untried_position(shard, &spare, context.table) {
                Some(position) => &replicas[position..=position],
                None => &[],
            },
        };
        let worthwhile = context.table.has_fit(candidates, tried, context.now);
        let paid = worthwhile && self.spend_budget(shard, context);
        if !paid || !self.send(shard, context) {
            self.shards[shard].hedge_at = context.now.plus(HEDGE_RECHECK);
        }
    }

    /// Returns when [`Fanout::on_wake`] is next due.
    pub fn next_wake(&self) -> Micros {
        let open = self.shards.iter().filter(|shard| shard.state == ShardState::Open);
        let hedge_at = open.map(|shard| shard.hedge_at).min().unwrap_or(Micros::MAX);
        let enough = self.answered >= self.settings.minimum_shards;
        let partial_at = if enough { self.settings.partial_at } else { Micros::MAX };
        let report_due_at =
            self.delegations.iter().map(|delegation| delegation.report_due_at).min().unwrap_or(Micros::MAX);
        hedge_at.min(report_due_at).min(partial_at).min(self.sending_ends_at()).min(self.settings.deadline)
    }
}
