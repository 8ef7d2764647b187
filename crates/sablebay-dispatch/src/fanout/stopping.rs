//! Planned stop of the node: a request ends while its answer can still be written. Calls that cannot be answered
//! by then are not sent, so that the caller may repeat the request elsewhere at once.

use rand::Rng;

use sablebay_model::Micros;

use super::call::CallNumber;
use super::{Call, CallScope, Fanout, FanoutContext, ShardState};

/// Effect of a planned stop on a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum StopLimit {
    /// None: the node does not stop, or the request's own deadline comes first.
    #[default]
    Unlimited,
    /// The stop has replaced the deadline; replicas are still chosen until this time.
    Sending { until: Micros },
    /// No further replica is chosen.
    Draining,
}

impl Fanout {
    /// Limits the request to `answer_by`, the last moment at which its answer can be written. Called when the stop
    /// begins, or before [`Fanout::start`] for a request that arrives later.
    pub fn on_stop<R: Rng>(&mut self, answer_by: Micros, context: &mut FanoutContext<'_, R>) {
        if self.outcome.is_some() || answer_by >= self.settings.deadline {
            return;
        }
        self.settings.deadline = answer_by;
        let usual = self.settings.usual_call;
        self.stop = StopLimit::Sending { until: answer_by.since(usual.exchange) };
        let is_late = |call: &Call| call.started_at.plus(usual.total) > answer_by;
        let all_late = self.calls.iter().filter(|call| call.open).all(is_late);
        if self.gathers_for_root() || (all_late && self.is_unsent(context)) {
            self.withdraw_unsent(context, is_late);
        }
        self.finish_if_decided(context);
    }

    /// Whether the shards are gathered for another node, which can get each of them elsewhere.
    fn gathers_for_root(&self) -> bool {
        self.settings.minimum_shards == 0
    }

    /// Whether no part of the request has been sent, so that withdrawing its calls lets the caller repeat it elsewhere.
    /// Otherwise they can only lose shards that might still answer.
    fn is_unsent<R: Rng>(&self, context: &FanoutContext<'_, R>) -> bool {
        let is_unsent = |(number, call): (usize, &Call)| {
            matches!(call.scope, CallScope::Shard(_)) && context.unsent.is_unsent(CallNumber(number as u32))
        };
        let mut open = self.calls.iter().enumerate().filter(|(_, call)| call.open);
        !self.may_have_run && open.all(is_unsent)
    }

    /// Returns whether a planned stop has replaced the request's own deadline.
    pub fn is_limited_by_stop(&self) -> bool {
        self.stop != StopLimit::Unlimited
    }

    /// Whether a call may be sent at a time.
    pub(super) fn may_send(&self, at: Micros) -> bool {
        at < self.settings.deadline && at < self.sending_ends_at() && self.stop != StopLimit::Draining
    }

    /// When sending ends before the deadline; [`Micros::MAX`] if it does not, or has ended.
    pub(super) fn sending_ends_at(&self) -> Micros {
        match self.stop {
            StopLimit::Sending { until } => until,
            StopLimit::Unlimited | StopLimit::Draining => Micros::MAX,
        }
    }

    /// Closes all shards of a new request that would usually take longer than the stop allows.
    pub(super) fn refuse_if_stopping(&mut self, now: Micros) {
        let ends_at = now.plus(self.settings.usual_call.total);
        if !self.is_limited_by_stop() || ends_at <= self.settings.deadline {
            return;
        }
        for shard in 0..self.shards.len() {
            self.close(shard);
        }
    }

    /// Chooses no further replica once a call could usually not be answered any more. A request that was not sent by
    /// then is given up.
    pub(super) fn end_sending_if_due<R: Rng>(&mut self, context: &mut FanoutContext<'_, R>) {
        if context.now < self.sending_ends_at() {
            return;
        }
        self.stop = StopLimit::Draining;
        for delegation in &mut self.delegations {
            delegation.report_due_at = Micros::MAX;
        }
        for shard in 0..self.shards.len() {
            let progress = &mut self.shards[shard];
            progress.hedge_at = Micros::MAX;
            if progress.state == ShardState::Open && progress.open_calls == 0 {
                self.close(shard);
            }
        }
        if self.gathers_for_root() || self.is_unsent(context) {
            self.withdraw_unsent(context, |_| true);
        }
    }
}
