//! Authenticated frames between nodes: length, authentication tag, content.
//!
//! The tag is a truncated HMAC over the fleet name, the nonces of sender and receiver, the sequence
//! number and the content. Frames from other fleets or connections and replayed
//! frames fail verification.

use bytes::{Buf, BufMut, BytesMut};
use hmac::{Hmac, Mac};
use musli::mode::Binary;
use musli::{Decode, Encode};
use sha2::Sha256;

use sablebay_model::FleetName;

use crate::error::ProtocolError;

/// Maximum frame size, without the length field.
pub const MAXIMUM_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Size of the truncated authentication tag.
const TAG_BYTES: usize = 16;
const LENGTH_BYTES: usize = 4;

/// Random bytes that each side sends when a connection opens.
pub type Nonce = [u8; 16];

/// Authenticates the frames of one direction of a connection.
#[derive(Clone)]
pub struct ChannelKey {
    mac: Hmac<Sha256>,
    next_sequence: u64,
}

impl ChannelKey {
    /// Creates the key for frames from the side with nonce `sender` to the side with nonce `receiver`.
    pub fn new(fleet: &FleetName, secret: &str, sender: &Nonce, receiver: &Nonce) -> Self {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("HMAC accepts keys of any length");
        mac.update(fleet.as_str().as_bytes());
        mac.update(&[0]);
        mac.update(sender);
        mac.update(receiver);
        Self { mac, next_sequence: 0 }
    }

    fn next_mac(&mut self, content: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        mac.update(&self.next_sequence.to_be_bytes());
        mac.update(content);
        self.next_sequence += 1;
        mac
    }
}

/// Appends a message to `buffer` as a frame.
///
/// # Errors
/// Fails when the message cannot be encoded or exceeds [`MAXIMUM_FRAME_BYTES`].
pub fn encode_frame<T: Encode<Binary>>(
    message: &T,
    key: &mut ChannelKey,
    buffer: &mut BytesMut,
) -> Result<(), ProtocolError> {
    let content = musli::wire::to_vec(message)
        .map_err(|error| ProtocolError::Malformed { message: error.to_string() })?;
    let bytes = content.len() + TAG_BYTES;
    if bytes > MAXIMUM_FRAME_BYTES {
        return Err(ProtocolError::FrameTooLarge { bytes, limit: MAXIMUM_FRAME_BYTES });
    }
    let tag = key.next_mac(&content).finalize().into_bytes();
    buffer.reserve(LENGTH_BYTES + bytes);
    buffer.put_u32(bytes as u32);
    buffer.put_slice(&tag[..TAG_BYTES]);
    buffer.put_slice(&content);
    Ok(())
}

/// Decodes frames from a receive buffer.
pub struct FrameReader {
    key: ChannelKey,
}

impl FrameReader {
    pub fn new(key: ChannelKey) -> Self {
        Self { key }
    }

    /// Decodes the next message in `buffer`; `None` when the frame is incomplete.
    ///
    /// # Errors
    /// [`ProtocolError`] for an invalid frame; the connection cannot be used afterwards.
    pub fn next<T>(&mut self, buffer: &mut BytesMut) -> Result<Option<T>, ProtocolError>
    where
        T: for<'de> Decode<'de, Binary, musli::alloc::Global>,
    {
        let Some(length) = buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let bytes = u32::from_be_bytes(*length) as usize;
        if bytes > MAXIMUM_FRAME_BYTES {
            return Err(ProtocolError::FrameTooLarge { bytes, limit: MAXIMUM_FRAME_BYTES });
        }
        if bytes < TAG_BYTES {
            return Err(ProtocolError::FrameTooShort { bytes });
        }
        if buffer.len() < LENGTH_BYTES + bytes {
            buffer.reserve(LENGTH_BYTES + bytes - buffer.len());
            return Ok(None);
        }
        buffer.advance(LENGTH_BYTES);
        let frame = buffer.split_to(bytes);
        let (tag, content) = frame.split_at(TAG_BYTES);
        self.key.next_mac(content).verify_truncated_left(tag).map_err(|_| ProtocolError::WrongProof)?;
        let message = musli::wire::from_slice(content)
            .map_err(|error| ProtocolError::Malformed { message: error.to_string() })?;
        Ok(Some(message))
    }
}
