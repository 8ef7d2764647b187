use derive_more::{Display, Error};

/// Reason for rejecting a frame.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ProtocolError {
    #[display("a frame of {bytes} bytes is over the limit of {limit}")]
    FrameTooLarge {
        /// Length without the length field.
        bytes: usize,
        limit: usize,
    },
    /// The frame is shorter than its authentication tag.
    #[display("a frame of {bytes} bytes is too short")]
    FrameTooShort {
        /// Length without the length field.
        bytes: usize,
    },
    /// The authentication tag does not match: wrong fleet or key, corruption, or a replay.
    #[display("the frame's proof is wrong")]
    WrongProof,
    /// The content could not be encoded or decoded.
    #[display("the frame's content is malformed: {message}")]
    Malformed {
        /// Message of the codec.
        message: String,
    },
}
