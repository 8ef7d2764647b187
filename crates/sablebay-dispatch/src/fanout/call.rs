//! Calls of a request and their failures.

use derive_more::Display;

/// Sequence number of a call within its request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallNumber(pub u32);

/// Whether a failed call may have been executed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Execution {
    /// No byte can have reached the replica.
    #[display("not sent")]
    NotSent,
    /// The replica reported that it did not execute the call.
    #[display("not run")]
    NotRun,
    /// The call may have been executed.
    #[display("may have run")]
    Possible,
}

#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection could be established.
    #[display("no connection")]
    NoConnection,
    /// The replica rejected the call.
    #[display("rejected")]
    Rejected,
    /// Another replica listens on the address.
    #[display("wrong instance")]
    WrongInstance,
    /// The connection was closed before an answer arrived.
    #[display("broken")]
    Broken,
    /// The answer belongs to another request or violates the protocol.
    #[display("mismatched")]
    Mismatched,
    /// The replica answered with an error.
    #[display("failed")]
    Failed,
    /// The request is quarantined because backends crashed while they ran it. It is sent to no replica.
    #[display("held back")]
    HeldBack,
    /// No answer arrived in time.
    #[display("timed out")]
    TimedOut,
}

impl CallFailure {
    /// Returns whether a call that failed this way may have been executed.
    pub fn execution(self) -> Execution {
        match self {
            CallFailure::NoConnection | CallFailure::HeldBack => Execution::NotSent,
            CallFailure::Rejected | CallFailure::WrongInstance => Execution::NotRun,
            CallFailure::Broken | CallFailure::Mismatched | CallFailure::Failed | CallFailure::TimedOut => {
                Execution::Possible
            }
        }
    }
}
