//! State machine of one request: turns answers, failures and timer events into calls.
//!
//! Invariants:
//! - a request that is not repeatable is sent again only if the earlier call is known not to have run;
//! - the outcome is "not run" only if no call can have run;
//! - no shard is sent to more replicas than the route allows;
//! - every call of a shard after the first is charged to the service's retry budget, unless no byte of
//!   the previous call can have arrived;
//! - nothing is sent at or after the deadline, even if the process was suspended;
//! - a request is refused before anything is sent if too few shards have a replica that accepts work;
//! - a planned stop of the node ends every request while its answer can still be written;
//! - each shard contributes to the answer once: a merged part cannot be split, so it replaces the
//!   answers of single replicas.
//!
//! Shards may be delegated to other nodes (see `gatherers`), which charge their calls to their own
//! budgets. This node calls a delegated shard directly if the gatherer refuses, fails or times out.

mod call;
mod delegation;
mod ending;
mod hedging;
mod replies;
mod sending;
mod stopping;
mod types;

use smallvec::SmallVec;

use sablebay_catalogue::ReplicaId;
use sablebay_model::Micros;
use sablebay_tenants::TenantName;

use crate::replica_table::ReplicaTable;
use crate::retry_window::{RetryAllowance, RetryBudgets};

pub use call::{CallFailure, CallNumber, Execution};
pub use types::{
    AlwaysSent, CallDurations, DelegatedShards, FanoutAction, FanoutOutcome, FanoutSettings, GatheredShards,
    ShardTargets, UnsentCalls,
};

use stopping::StopLimit;

/// Inputs and outputs of one step of the state machine.
pub struct FanoutContext<'a, R> {
    /// Health and load of the replicas.
    pub table: &'a ReplicaTable,
    /// Retry budgets of the services.
    pub budgets: &'a mut RetryBudgets,
    /// Extra calls that the whole fleet may send.
    pub allowance: &'a RetryAllowance,
    pub now: Micros,
    pub random: &'a mut R,
    /// Receives the actions for the caller to carry out.
    pub actions: &'a mut Vec<FanoutAction>,
    pub unsent: &'a mut dyn UnsentCalls,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallScope {
    /// One shard, sent to one of its replicas.
    Shard(usize),
    /// Several shards, sent to a gatherer. Holds the index of the delegation.
    Delegation(usize),
}

#[derive(Clone, Copy, Debug)]
struct Call {
    scope: CallScope,
    open: bool,
    started_at: Micros,
}

/// Progress of shards that another node gathers.
#[derive(Clone, Debug)]
struct Delegation {
    delegated: DelegatedShards,
    /// The call to the gatherer, once sent.
    call: Option<CallNumber>,
    /// When the gatherer times out unless a report arrives first.
    report_due_at: Micros,
    /// Number of reports received.
    reports: u32,
}

impl Delegation {
    /// Creates a delegation that has not been sent yet.
    fn new(delegated: DelegatedShards) -> Self {
        Self { delegated, call: None, report_due_at: Micros::MAX, reports: 0 }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShardState {
    Open,
    Answered,
    Missing,
}

#[derive(Clone, Debug)]
struct Shard {
    state: ShardState,
    tried: SmallVec<[ReplicaId; 3]>,
    /// Replicas that the shard was sent to, not counting unreachable ones.
    attempts: u32,
    open_calls: u32,
    /// When the shard is hedged, or retried if no call is open.
    hedge_at: Micros,
    /// How often the shard was rescheduled because no replica could be reached.
    unreachable_rounds: u32,
    /// Indexes of the pending delegations: two if a fallback gatherer took over from a silent one.
    gatherers: SmallVec<[usize; 2]>,
    /// The call whose answer was accepted.
    answered_by: Option<CallNumber>,
    /// The replica reserved for the last attempt. Two nodes may send calls of this shard, and neither
    /// knows which other replicas its peer has used.
    spare: Option<ReplicaId>,
    /// Whether only the spare may be used, because another node may have used all other attempts.
    only_spare_left: bool,
}

/// Delay before a hedge that was not possible is tried again.
const HEDGE_RECHECK: Micros = Micros::from_millis(15);

/// One request in progress.
#[derive(Debug)]
pub struct Fanout {
    settings: FanoutSettings,
    /// The tenant charged for extra calls.
    tenant: Option<TenantName>,
    targets: Vec<ShardTargets>,
    shards: Vec<Shard>,
    delegations: Vec<Delegation>,
    calls: Vec<Call>,
    answered: usize,
    open: usize,
    may_have_run: bool,
    stop: StopLimit,
    outcome: Option<FanoutOutcome>,
}

impl Fanout {
    /// Creates a request over `targets`. Nothing is sent before [`Fanout::start`].
    pub fn new(settings: FanoutSettings, targets: Vec<ShardTargets>) -> Self {
        let shard = Shard {
            state: ShardState::Open,
            tried: SmallVec::new(),
            attempts: 0,
            open_calls: 0,
            hedge_at: Micros::MAX,
            unreachable_rounds: 0,
            gatherers: SmallVec::new(),
            answered_by: None,
            spare: None,
            only_spare_left: false,
        };
        Self {
            shards: vec![shard; targets.len()],
            open: targets.len(),
            delegations: Vec::new(),
            calls: Vec::with_capacity(targets.len()),
            settings,
            tenant: None,
            targets,
            answered: 0,
            may_have_run: false,
            stop: StopLimit::default(),
            outcome: None,
        }
    }

    /// Takes over from another node that may have sent the first call of each shard: calls are charged to
    /// the budget and go to the shard's spare replica, if it has one.
    pub fn continuing(mut self) -> Self {
        for shard in &mut self.shards {
            shard.attempts = 1;
            shard.only_spare_left = shard.spare.is_some();
        }
        self
    }

    /// Reserves the last attempt of each shard for its spare replica, which the delegating node may use as
    /// well.
    pub fn with_spares(mut self, spares: Vec<Option<ReplicaId>>) -> Self {
        for (shard, spare) in self.shards.iter_mut().zip(spares) {
            shard.spare = spare;
        }
        self
    }

    /// Delegates shards to other nodes. A shard must not be in more than one delegation.
    pub fn with_delegations(mut self, delegations: Vec<DelegatedShards>) -> Self {
        self.delegations = delegations.into_iter().map(Delegation::new).collect();
        for (number, delegation) in self.delegations.iter().enumerate() {
            for shard in &delegation.delegated.shards {
                self.shards[*shard].gatherers.push(number);
            }
        }
        self
    }

    /// Charges extra calls to a tenant.
    pub fn with_tenant(mut self, tenant: Option<TenantName>) -> Self {
        self.tenant = tenant;
        self
    }

    pub fn targets(&self) -> &[ShardTargets] {
        &self.targets
    }

    pub fn deadline(&self) -> Micros {
        self.settings.deadline
    }

    /// Returns whether a shard has failed for good.
    pub fn is_closed(&self, shard: usize) -> bool {
        self.shards[shard].state == ShardState::Missing
    }

    /// Returns the number of replicas that a shard was sent to.
    pub fn attempts(&self, shard: usize) -> u32 {
        self.shards[shard].attempts
    }

    /// Returns the call whose answer was accepted for a shard.
    pub fn answered_by(&self, shard: usize) -> Option<CallNumber> {
        self.shards[shard].answered_by
    }
}
