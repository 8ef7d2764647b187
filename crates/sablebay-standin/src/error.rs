//! Errors of this crate.

use derive_more::{Display, Error, From};

/// Why a stand-in could not start or do what it was asked.
#[derive(Debug, Display, Error, From)]
pub enum StandInError {
    /// A socket could not be opened.
    #[display("cannot listen: {_0}")]
    Listen(std::io::Error),
    /// A revision was published that is not above the last one.
    #[display("revision {revision} is not above {last}")]
    #[from(skip)]
    StaleRevision {
        /// The revision.
        revision: u64,
        /// The last one published.
        last: u64,
    },
}
