//! Errors of this crate.

use derive_more::{Display, Error};

/// Why a frame was turned away.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ProtocolError {
    /// The frame is longer than allowed.
    #[display("a frame of {bytes} bytes is over the limit of {limit}")]
    FrameTooLarge {
        /// Its length.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
    /// The frame is shorter than its own header.
    #[display("a frame of {bytes} bytes is too short")]
    FrameTooShort {
        /// Its length.
        bytes: usize,
    },
    /// The proof of the fleet's key is wrong: a stranger, another fleet, or a replay.
    #[display("the frame's proof is wrong")]
    WrongProof,
    /// The content could not be decoded.
    #[display("the frame's content is malformed: {message}")]
    Malformed {
        /// What the decoder said.
        message: String,
    },
}
