//! One request: a state machine from answers, failures and the passing of time to calls.
//!
//! Invariants kept here:
//! - a request that may not be repeated is sent again only when it is known that it did not run
//!   (must-hold 5);
//! - "did not run" is the outcome only when no call can have run (must-hold 4);
//! - no shard is sent to more replicas than the route allows;
//! - every call after the first of its shard is paid from the service's budget, unless no byte of
//!   the one before can have arrived;
//! - nothing is sent at or after the deadline, also when the process was paused;
//! - a request whose least share cannot be reached with the replicas that take work is refused before
//!   anything is sent;
//! - a shard is in one part of the answer alone: a merged part cannot be taken apart, so that the
//!   answers of single replicas give way to it.
//!
//! Shards may be gathered by other nodes (`gatherers`). What such a node sends to replicas is earned
//! and paid there; here the shards wait for it, and are called directly when it refuses, breaks or
//! gives no sign of life in time.

mod call;
mod delegation;
mod ending;
mod hedging;
mod replies;
mod sending;
mod types;

use smallvec::SmallVec;

use sablebay_catalogue::ReplicaId;
use sablebay_model::Micros;
use sablebay_tenants::TenantName;

use crate::replica_table::ReplicaTable;
use crate::retry_window::{RetryAllowance, RetryBudgets};

pub use call::{CallFailure, CallNumber, Execution};
pub use types::{DelegatedShards, FanoutAction, FanoutOutcome, FanoutSettings, GatheredShards, ShardTargets};

/// What a step of the machine works with.
pub struct FanoutContext<'a, R> {
    /// What is known of the replicas.
    pub table: &'a ReplicaTable,
    /// The budgets of the services.
    pub budgets: &'a mut RetryBudgets,
    /// What the fleet may send beyond first calls.
    pub allowance: &'a RetryAllowance,
    /// Now.
    pub now: Micros,
    /// Random draws.
    pub random: &'a mut R,
    /// Where actions are put.
    pub actions: &'a mut Vec<FanoutAction>,
}

/// What a call was made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallScope {
    /// One shard, at one of its replicas.
    Shard(usize),
    /// Several shards, at the node that gathers them; the position among the delegations.
    Delegation(usize),
}

#[derive(Clone, Copy, Debug)]
struct Call {
    scope: CallScope,
    open: bool,
}

/// What is known of shards that another node gathers.
#[derive(Clone, Debug)]
struct Delegation {
    delegated: DelegatedShards,
    /// Its call, once the node was asked.
    call: Option<CallNumber>,
    /// When the node is given up unless it says something before.
    report_due_at: Micros,
    /// How often it has said something.
    reports: u32,
}

impl Delegation {
    /// One that is still to be asked for.
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
    /// Replicas that the shard was sent to; those that could not be reached do not count.
    attempts: u32,
    open_calls: u32,
    /// When the shard is hedged, or tried anew when no call is open.
    hedge_at: Micros,
    /// Times that none of its replicas could be reached.
    unreachable_rounds: u32,
    /// The delegations that it waits for: a second node may be asked while the first is silent.
    gatherers: SmallVec<[usize; 2]>,
    /// The call whose answer was taken.
    answered_by: Option<CallNumber>,
    /// The replica that the last attempt is kept for: two nodes send the shard's calls, and neither
    /// knows for sure which replicas the other has used.
    spare: Option<ReplicaId>,
    /// Whether only the spare is left: another node may have used every other attempt.
    only_spare_left: bool,
}

/// How soon a hedge that was not possible is looked at again.
const HEDGE_RECHECK: Micros = Micros::from_millis(15);

/// One request in progress.
#[derive(Debug)]
pub struct Fanout {
    settings: FanoutSettings,
    /// On whose behalf it runs; pays for its extra calls.
    tenant: Option<TenantName>,
    targets: Vec<ShardTargets>,
    shards: Vec<Shard>,
    delegations: Vec<Delegation>,
    calls: Vec<Call>,
    answered: usize,
    open: usize,
    may_have_run: bool,
    outcome: Option<FanoutOutcome>,
}

impl Fanout {
    /// A request over `targets`. Nothing is sent before [`Fanout::start`].
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
            outcome: None,
        }
    }

    /// Continues what another node began: it may have sent the first call of each shard, so that what is
    /// sent here is paid for, and goes to the shard's spare replica where there is one.
    pub fn continuing(mut self) -> Self {
        for shard in &mut self.shards {
            shard.attempts = 1;
            shard.only_spare_left = shard.spare.is_some();
        }
        self
    }

    /// Keeps the last attempt of each shard for the replica named for it, as another node asks that
    /// may send the shard there too.
    pub fn with_spares(mut self, spares: Vec<Option<ReplicaId>>) -> Self {
        for (shard, spare) in self.shards.iter_mut().zip(spares) {
            shard.spare = spare;
        }
        self
    }

    /// Has other nodes gather these shards. No shard may stand in two delegations.
    pub fn with_delegations(mut self, delegations: Vec<DelegatedShards>) -> Self {
        self.delegations = delegations.into_iter().map(Delegation::new).collect();
        for (number, delegation) in self.delegations.iter().enumerate() {
            for shard in &delegation.delegated.shards {
                self.shards[*shard].gatherers.push(number);
            }
        }
        self
    }

    /// Has a tenant pay for extra calls.
    pub fn with_tenant(mut self, tenant: Option<TenantName>) -> Self {
        self.tenant = tenant;
        self
    }

    /// The shards of the request.
    pub fn targets(&self) -> &[ShardTargets] {
        &self.targets
    }

    /// When the request is given up.
    pub fn deadline(&self) -> Micros {
        self.settings.deadline
    }

    /// Whether a shard was given up.
    pub fn is_closed(&self, shard: usize) -> bool {
        self.shards[shard].state == ShardState::Missing
    }

    /// Replicas that a shard was sent to.
    pub fn attempts(&self, shard: usize) -> u32 {
        self.shards[shard].attempts
    }

    /// The call whose answer stands for a shard.
    pub fn answered_by(&self, shard: usize) -> Option<CallNumber> {
        self.shards[shard].answered_by
    }
}
