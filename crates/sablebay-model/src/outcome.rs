//! What a caller is told when a request has no answer.

use derive_more::{Display, Error};
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Whether a request that failed can have run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It is known that no back end ran the request, nor ever will.
    #[display("not_run")]
    NotRun,
    /// It may have run.
    #[display("unknown")]
    Unknown,
}

/// Why a request has no answer. The list is closed and part of the caller API.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The body or a header could not be understood.
    #[display("bad_request")]
    BadRequest,
    /// A body or header is over its limit.
    #[display("too_large")]
    TooLarge,
    /// No such service is in force.
    #[display("unknown_service")]
    UnknownService,
    /// No such path or method.
    #[display("no_such_path")]
    NoSuchPath,
    /// The service or the node has no free slot and its queue is full.
    #[display("overloaded")]
    Overloaded,
    /// The deadline passed.
    #[display("deadline_exceeded")]
    DeadlineExceeded,
    /// No replica of any shard could be reached.
    #[display("no_replica")]
    NoReplica,
    /// No index version was available for an answer.
    #[display("no_version")]
    NoVersion,
    /// The node is stopping or drained and takes no new work.
    #[display("stopping")]
    Stopping,
    /// The node has no configuration yet.
    #[display("not_ready")]
    NotReady,
    /// The node cannot confirm its configuration, and the service asks for refusal then.
    #[display("unconfirmed")]
    Unconfirmed,
    /// The connection to the back end failed.
    #[display("back_end_failed")]
    BackEndFailed,
    /// The back end refused the request and did not run it.
    #[display("back_end_refused")]
    BackEndRefused,
    /// The ticket is malformed, or its service is another.
    #[display("bad_ticket")]
    BadTicket,
    /// The ticket's lifetime is over.
    #[display("ticket_expired")]
    TicketExpired,
    /// Another node holds the claim on this ticket; ask for the ticket later.
    #[display("claimed_elsewhere")]
    ClaimedElsewhere,
    /// Too few of the ticket's holders answered.
    #[display("holders_lost")]
    HoldersLost,
    /// The operator's token is missing or wrong.
    #[display("unauthorized")]
    Unauthorized,
    /// A peer that has to take part failed.
    #[display("peer_failed")]
    PeerFailed,
}

/// A request without an answer, as the caller sees it.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[display("{outcome}: {reason}: {message}")]
pub struct Refusal {
    /// Whether the request can have run.
    pub outcome: Outcome,
    /// Why there is no answer.
    pub reason: Reason,
    /// One sentence for a person.
    pub message: String,
    /// When asking again may help, in milliseconds from now.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
    /// The ticket whose outcome can be asked for later.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub ticket: Option<String>,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Self {
        Self { outcome: Outcome::NotRun, reason, message: message.into(), retry_after_ms: None, ticket: None }
    }

    /// A failure of a request that may have run.
    pub fn unknown(reason: Reason, message: impl Into<String>) -> Self {
        Self { outcome: Outcome::Unknown, ..Self::not_run(reason, message) }
    }

    /// Adds when to come back, in milliseconds.
    pub fn retry_after(mut self, milliseconds: u64) -> Self {
        self.retry_after_ms = Some(milliseconds);
        self
    }

    /// Adds the ticket to ask for.
    pub fn with_ticket(mut self, ticket: impl Into<String>) -> Self {
        self.ticket = Some(ticket.into());
        self
    }
}
