//! Errors returned to callers.

use derive_more::{Display, Error};
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Whether a failed request may have been executed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No back end executed the request, and none will.
    #[display("not_run")]
    NotRun,
    /// The request may have been executed.
    #[display("unknown")]
    Unknown,
}

/// Why a request failed. The set of values is part of the caller API.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The body or a header could not be parsed.
    #[display("bad_request")]
    BadRequest,
    /// The body or a header exceeds its size limit.
    #[display("too_large")]
    TooLarge,
    /// The active configuration has no such service.
    #[display("unknown_service")]
    UnknownService,
    #[display("no_such_path")]
    NoSuchPath,
    /// The service or the node has no free slot, and its queue is full.
    #[display("overloaded")]
    Overloaded,
    #[display("deadline_exceeded")]
    DeadlineExceeded,
    /// No replica of any shard was reachable.
    #[display("no_replica")]
    NoReplica,
    /// No index version was available to answer from.
    #[display("no_version")]
    NoVersion,
    /// The node is stopping or drained and accepts no new requests.
    #[display("stopping")]
    Stopping,
    /// The node has no configuration yet.
    #[display("not_ready")]
    NotReady,
    /// The node cannot confirm its configuration, and the service requires confirmation.
    #[display("unconfirmed")]
    Unconfirmed,
    /// The connection to the back end failed.
    #[display("back_end_failed")]
    BackEndFailed,
    /// The back end rejected the request without executing it.
    #[display("back_end_refused")]
    BackEndRefused,
    /// The ticket is malformed or was issued for another service.
    #[display("bad_ticket")]
    BadTicket,
    #[display("ticket_expired")]
    TicketExpired,
    /// Another node holds the claim on the ticket. Query the ticket later.
    #[display("claimed_elsewhere")]
    ClaimedElsewhere,
    /// Fewer than a quorum of the ticket's holders answered.
    #[display("holders_lost")]
    HoldersLost,
    /// The operator's token is missing or invalid.
    #[display("unauthorized")]
    Unauthorized,
    /// A required peer failed.
    #[display("peer_failed")]
    PeerFailed,
}

/// An error response to a caller.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[display("{outcome}: {reason}: {message}")]
pub struct Refusal {
    /// Whether the request may have been executed.
    pub outcome: Outcome,
    pub reason: Reason,
    /// Human-readable description.
    pub message: String,
    /// Suggested delay before a retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
    /// The ticket under which the outcome can be queried later.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub ticket: Option<String>,
}

impl Refusal {
    /// An error for a request that was not executed.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Self {
        Self { outcome: Outcome::NotRun, reason, message: message.into(), retry_after_ms: None, ticket: None }
    }

    /// An error for a request that may have been executed.
    pub fn unknown(reason: Reason, message: impl Into<String>) -> Self {
        Self { outcome: Outcome::Unknown, ..Self::not_run(reason, message) }
    }

    /// Sets the suggested retry delay, in milliseconds.
    pub fn retry_after(mut self, milliseconds: u64) -> Self {
        self.retry_after_ms = Some(milliseconds);
        self
    }

    pub fn with_ticket(mut self, ticket: impl Into<String>) -> Self {
        self.ticket = Some(ticket.into());
        self
    }
}
