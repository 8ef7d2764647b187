//! Frames between nodes: length, proof, content.
//!
//! The proof is a keyed hash over the fleet's name, both sides' nonces, the direction, the
//! frame's number and its content. A frame from a stranger, from another fleet, replayed on this
//! connection or carried over from another one has a wrong proof.

use bytes::{Buf, BufMut, BytesMut};
use hmac::{Hmac, Mac};
use musli::mode::Binary;
use musli::{Decode, Encode};
use sha2::Sha256;

use sablebay_model::FleetName;

use crate::error::ProtocolError;

/// The longest frame, without its length field.
pub const MAXIMUM_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Bytes of the proof that are sent.
const PROOF_BYTES: usize = 16;
const LENGTH_BYTES: usize = 4;

/// Random bytes that each side sends first.
pub type Nonce = [u8; 16];

/// What the frames of one direction of one connection are proved with.
#[derive(Clone)]
pub struct ChannelKey {
    keyed: Hmac<Sha256>,
    next_number: u64,
}

impl ChannelKey {
    /// The key for frames from the side with nonce `sender` to the one with nonce `receiver`.
    pub fn new(fleet: &FleetName, secret: &str, sender: &Nonce, receiver: &Nonce) -> Self {
        let mut keyed = Hmac::<Sha256>::new_from_slice(secret.as_bytes())
            .expect("a keyed hash takes a key of any length");
        keyed.update(fleet.as_str().as_bytes());
        keyed.update(&[0]);
        keyed.update(sender);
        keyed.update(receiver);
        Self { keyed, next_number: 0 }
    }

    fn next_hash(&mut self, content: &[u8]) -> Hmac<Sha256> {
        let mut hash = self.keyed.clone();
        hash.update(&self.next_number.to_be_bytes());
        hash.update(content);
        self.next_number += 1;
        hash
    }
}

/// Appends a message to `buffer` as a frame.
///
/// # Errors
/// When the message cannot be encoded or is too large.
pub fn encode_frame<T: Encode<Binary>>(
    message: &T,
    key: &mut ChannelKey,
    buffer: &mut BytesMut,
) -> Result<(), ProtocolError> {
    let content = musli::wire::to_vec(message)
        .map_err(|error| ProtocolError::Malformed { message: error.to_string() })?;
    let bytes = content.len() + PROOF_BYTES;
    if bytes > MAXIMUM_FRAME_BYTES {
        return Err(ProtocolError::FrameTooLarge { bytes, limit: MAXIMUM_FRAME_BYTES });
    }
    let proof = key.next_hash(&content).finalize().into_bytes();
    buffer.reserve(LENGTH_BYTES + bytes);
    buffer.put_u32(bytes as u32);
    buffer.put_slice(&proof[..PROOF_BYTES]);
    buffer.put_slice(&content);
    Ok(())
}

/// Takes frames out of a growing buffer.
pub struct FrameReader {
    key: ChannelKey,
}

impl FrameReader {
    /// A reader of frames that were proved with `key`.
    pub fn new(key: ChannelKey) -> Self {
        Self { key }
    }

    /// The next message in `buffer`; nothing when more bytes are needed.
    ///
    /// # Errors
    /// [`ProtocolError`]; the connection is of no more use then.
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
        if bytes < PROOF_BYTES {
            return Err(ProtocolError::FrameTooShort { bytes });
        }
        if buffer.len() < LENGTH_BYTES + bytes {
            buffer.reserve(LENGTH_BYTES + bytes - buffer.len());
            return Ok(None);
        }
        buffer.advance(LENGTH_BYTES);
        let frame = buffer.split_to(bytes);
        let (proof, content) = frame.split_at(PROOF_BYTES);
        self.key.next_hash(content).verify_truncated_left(proof).map_err(|_| ProtocolError::WrongProof)?;
        let message = musli::wire::from_slice(content)
            .map_err(|error| ProtocolError::Malformed { message: error.to_string() })?;
        Ok(Some(message))
    }
}
