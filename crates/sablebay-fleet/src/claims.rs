//! A holder's record of claims: written once, never changed.
//!
//! Invariant: for one ticket a holder grants one claimant, ever. Two claimants can therefore not
//! both have a majority of a ticket's holders, whatever is lost, late, paused or replaced. A
//! holder that was started anew has another incarnation and vouches for nothing.

use std::collections::HashMap;

use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

use sablebay_model::{InstanceKey, Reason, WallMillis};

use crate::ticket::{Ticket, TicketId};

/// Who wants to run an operation: a node's life, and the number of its attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Encode, Decode)]
pub struct Claimant {
    /// The node's life.
    pub key: InstanceKey,
    /// Unique within that life.
    pub attempt: u64,
}

/// Asks a holder to record a claim.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ClaimRequest {
    /// The ticket.
    pub ticket: Ticket,
    /// Who claims it.
    pub claimant: Claimant,
}

/// What became of a ticket's operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum TicketState {
    /// Claimed; the outcome is not recorded yet.
    Claimed,
    /// It ran; the back end's answer as JSON text.
    Done {
        /// The answer.
        result: String,
    },
    /// It did not run, and never will.
    NotRun {
        /// Why.
        reason: Reason,
    },
    /// It was sent, and whether it ran is not known.
    Unknown {
        /// Why.
        reason: Reason,
    },
}

impl TicketState {
    /// Whether the state can still change.
    pub fn is_final(&self) -> bool {
        !matches!(self, TicketState::Claimed)
    }
}

/// A holder's answer to a claim, or to a question about a ticket.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ClaimAnswer {
    /// Recorded: the asker is the claimant.
    Granted,
    /// Another claimant was there first.
    HeldBy {
        /// The claimant.
        claimant: Claimant,
        /// What is known of the outcome.
        state: TicketState,
    },
    /// Nobody has claimed it yet (in answer to a question).
    Unclaimed,
    /// Its lifetime is over, and nobody had claimed it here.
    ExpiredUnclaimed,
    /// The holder no longer knows whether it was claimed.
    Forgotten,
    /// This life of the node is not among the ticket's holders.
    NotHolder,
    /// The holder's memory is full.
    Full,
}

#[derive(Clone, Debug)]
struct Record {
    claimant: Claimant,
    state: TicketState,
    expires_at: WallMillis,
}

/// How long records are kept after their ticket's lifetime.
const RETENTION_MS: u64 = 120_000;
/// Records kept at the most.
const MAXIMUM_RECORDS: usize = 200_000;
/// The longest result that is kept; a longer one is kept as unknown to the holders.
pub const MAXIMUM_RESULT_BYTES: usize = 16 * 1024;

/// The claims that one node holds.
#[derive(Clone, Debug)]
pub struct ClaimHolder {
    own: InstanceKey,
    records: HashMap<TicketId, Record>,
    last_sweep: WallMillis,
    write_once_off: bool,
}

impl ClaimHolder {
    /// A holder without records, for one life of a node.
    pub fn new(own: InstanceKey) -> Self {
        Self { own, records: HashMap::new(), last_sweep: WallMillis(0), write_once_off: false }
    }

    /// Turns write-once off, to show that the checker notices.
    pub fn turn_off_write_once(&mut self) {
        self.write_once_off = true;
    }

    /// How many records are kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records a claim, unless there is one. `now` must never step back.
    pub fn claim(&mut self, request: &ClaimRequest, now: WallMillis) -> ClaimAnswer {
        self.sweep(now);
        let ticket = &request.ticket;
        match self.lookup(ticket, now) {
            ClaimAnswer::Unclaimed => {}
            ClaimAnswer::HeldBy { claimant, .. } if claimant == request.claimant => {
                return ClaimAnswer::Granted;
            }
            ClaimAnswer::HeldBy { .. } if self.write_once_off => {}
            refusal => return refusal,
        }
        if self.records.len() >= MAXIMUM_RECORDS {
            return ClaimAnswer::Full;
        }
        let record = Record {
            claimant: request.claimant.clone(),
            state: TicketState::Claimed,
            expires_at: ticket.expires_at(),
        };
        self.records.insert(ticket.id, record);
        ClaimAnswer::Granted
    }

    /// What this holder knows of a ticket.
    pub fn lookup(&self, ticket: &Ticket, now: WallMillis) -> ClaimAnswer {
        if !ticket.holders.contains(&self.own) {
            return ClaimAnswer::NotHolder;
        }
        if let Some(record) = self.records.get(&ticket.id) {
            return ClaimAnswer::HeldBy { claimant: record.claimant.clone(), state: record.state.clone() };
        }
        let expired_for = now.0.saturating_sub(ticket.expires_at().0);
        match expired_for {
            0 => ClaimAnswer::Unclaimed,
            1..RETENTION_MS => ClaimAnswer::ExpiredUnclaimed,
            _ => ClaimAnswer::Forgotten,
        }
    }

    /// Records an outcome. Only the claimant's word counts, and a final state stays.
    pub fn record(&mut self, ticket: TicketId, claimant: &Claimant, state: TicketState) -> bool {
        let Some(record) = self.records.get_mut(&ticket) else {
            return false;
        };
        if record.claimant != *claimant || record.state.is_final() {
            return false;
        }
        record.state = match state {
            TicketState::Done { result } if result.len() > MAXIMUM_RESULT_BYTES => {
                TicketState::Done { result: "null".to_string() }
            }
            other => other,
        };
        true
    }

    fn sweep(&mut self, now: WallMillis) {
        const SWEEP_INTERVAL_MS: u64 = 1_000;
        if now.0 < self.last_sweep.0 + SWEEP_INTERVAL_MS {
            return;
        }
        self.last_sweep = now;
        self.records.retain(|_, record| now.0 <= record.expires_at.0.saturating_add(RETENTION_MS));
    }
}
