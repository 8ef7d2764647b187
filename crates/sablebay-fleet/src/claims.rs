//! Write-once claim records kept by a ticket's holders.
//!
//! Invariant: a holder grants a ticket to at most one claimant, so two claimants cannot both get a
//! majority, regardless of message loss, delays, pauses and restarts. A restarted holder has a new
//! incarnation and grants nothing.

use std::collections::HashMap;

use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

use sablebay_model::{InstanceKey, Reason, WallMillis};

use crate::ticket::{Ticket, TicketId};

/// An attempt by a node incarnation to run an operation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Encode, Decode)]
pub struct Claimant {
    /// The node and its incarnation.
    pub key: InstanceKey,
    /// Attempt number, unique within the incarnation.
    pub attempt: u64,
}

/// A request to a holder to record a claim.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ClaimRequest {
    pub ticket: Ticket,
    pub claimant: Claimant,
}

/// The state of a ticket's operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum TicketState {
    /// Claimed, but no outcome is recorded yet.
    Claimed,
    /// The operation was executed.
    Done {
        /// The back end's response as JSON text.
        result: String,
    },
    /// The operation was not executed and never will be.
    NotRun { reason: Reason },
    /// The operation was sent, but whether it was executed is unknown.
    Unknown { reason: Reason },
}

impl TicketState {
    /// Whether the state can no longer change.
    pub fn is_final(&self) -> bool {
        !matches!(self, TicketState::Claimed)
    }
}

/// A holder's response to a claim or a ticket lookup.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ClaimAnswer {
    /// The claim is recorded for the requester.
    Granted,
    /// A claim is already recorded.
    HeldBy {
        /// The recorded claimant.
        claimant: Claimant,
        /// The recorded state.
        state: TicketState,
    },
    /// No claim is recorded. Returned only by lookups.
    Unclaimed,
    /// The ticket expired without a claim at this holder.
    ExpiredUnclaimed,
    /// The retention time has passed, so a claim may have been removed.
    Forgotten,
    /// This incarnation of the node is not among the ticket's holders.
    NotHolder,
    /// The holder has reached its limit of records.
    Full,
}

#[derive(Clone, Debug)]
struct Record {
    claimant: Claimant,
    state: TicketState,
    expires_at: WallMillis,
}

/// How long records are kept after their ticket expires.
const RETENTION_MS: u64 = 120_000;
const MAXIMUM_RECORDS: usize = 200_000;
/// Maximum size of a stored result. A longer result is stored as `null`.
pub const MAXIMUM_RESULT_BYTES: usize = 16 * 1024;

/// The claim records of a node.
#[derive(Clone, Debug)]
pub struct ClaimHolder {
    own: InstanceKey,
    records: HashMap<TicketId, Record>,
    last_sweep: WallMillis,
    write_once_off: bool,
}

impl ClaimHolder {
    /// Creates an empty holder for a node incarnation.
    pub fn new(own: InstanceKey) -> Self {
        Self { own, records: HashMap::new(), last_sweep: WallMillis(0), write_once_off: false }
    }

    /// Allows claims to be overwritten, so that tests can verify that violations are detected.
    pub fn turn_off_write_once(&mut self) {
        self.write_once_off = true;
    }

    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records a claim unless one exists. `now` must not decrease between calls.
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

    /// Returns the state of a ticket without recording a claim.
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

    /// Records an outcome. Returns `false` unless `claimant` holds the claim and no final state is recorded.
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
