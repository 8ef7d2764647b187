use derive_more::{Display, Error, From};

/// An error of a stand-in.
#[derive(Debug, Display, Error, From)]
pub enum StandInError {
    /// A listener could not be bound.
    #[display("cannot listen: {_0}")]
    Listen(std::io::Error),
    /// The published revision is not greater than the last one.
    #[display("revision {revision} is not greater than {last}")]
    #[from(skip)]
    StaleRevision {
        revision: u64,
        /// The last published revision.
        last: u64,
    },
}
