//! Messages on the wire and their codecs: HTTP with JSON to callers and back ends, frames in
//! musli between nodes. No I/O.

pub mod backend;
pub mod caller;
mod error;
mod frame;
pub mod peer;

pub use error::ProtocolError;
pub use frame::{ChannelKey, FrameReader, MAXIMUM_FRAME_BYTES, Nonce, encode_frame};
