//! Wire messages and codecs: JSON over HTTP for callers and back ends, authenticated musli frames
//! between nodes. Performs no I/O.

pub mod backend;
pub mod caller;
mod error;
mod frame;
pub mod peer;

pub use error::ProtocolError;
pub use frame::{ChannelKey, FrameReader, MAXIMUM_FRAME_BYTES, Nonce, encode_frame};
