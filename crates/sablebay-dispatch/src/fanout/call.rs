//! A call of one request, and how it can fail.

use derive_more::Display;

/// Numbers the calls of one request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallNumber(pub u32);

/// Whether a failed call can have run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Execution {
    /// No byte can have arrived.
    #[display("not sent")]
    NotSent,
    /// The replica says that it did not run it.
    #[display("not run")]
    NotRun,
    /// It may have run.
    #[display("may have run")]
    Possible,
}

/// How a call failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection came about.
    #[display("no connection")]
    NoConnection,
    /// The replica rejects work.
    #[display("rejected")]
    Rejected,
    /// Another replica has the address.
    #[display("wrong instance")]
    WrongInstance,
    /// The connection broke.
    #[display("broken")]
    Broken,
    /// The answer is another request's, or none in the protocol.
    #[display("mismatched")]
    Mismatched,
    /// The replica answered with a failure.
    #[display("failed")]
    Failed,
    /// The request is held back: back ends ended under it. Nothing was sent, nor would it be elsewhere.
    #[display("held back")]
    HeldBack,
    /// No answer came in time.
    #[display("timed out")]
    TimedOut,
}

impl CallFailure {
    /// Whether a call that failed so can have run.
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
