//! API keys and their digests.

use std::fmt;

use hmac::{Hmac, Mac};
use musli::{Decode, Encode};
use sha2::Sha256;

use sablebay_model::FleetName;

/// Length of a digest in bytes; a collision between two keys has a probability of 2^-128.
pub const KEY_DIGEST_BYTES: usize = 16;

/// An API key as sent by a caller or configured by an operator. It is secret; `Debug` omits it.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Box<[u8]>);

impl ApiKey {
    /// Creates a key from the bytes of a header or document.
    pub fn new(bytes: impl AsRef<[u8]>) -> Self {
        Self(Box::from(bytes.as_ref()))
    }

    /// Returns whether a header can carry the key unchanged: the key is not empty, has no control
    /// characters and no space at either end.
    pub fn is_sendable(&self) -> bool {
        is_sendable(&self.0)
    }
}

/// Returns whether a header can carry the bytes unchanged.
pub(crate) fn is_sendable(bytes: &[u8]) -> bool {
    let is_carried = |byte: &u8| !byte.is_ascii_control();
    let is_kept = |end: Option<&u8>| end.is_some_and(|byte| *byte != b' ');
    bytes.iter().all(is_carried) && is_kept(bytes.first()) && is_kept(bytes.last())
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(secret)")
    }
}

/// Keyed digest of an API key. The key cannot be recovered from it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[musli(transparent)]
pub struct KeyDigest([u8; KEY_DIGEST_BYTES]);

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// Computes key digests with the secret of the fleet. All nodes compute the same digest; without
/// the secret, keys cannot be found by trying candidates.
#[derive(Clone)]
pub struct KeyDigester {
    keyed: Hmac<Sha256>,
}

impl KeyDigester {
    /// Creates the digester of a fleet. Without a secret, allowed only on loopback addresses, keys
    /// can be guessed from their digests.
    pub fn new(fleet: &FleetName, secret: Option<&str>) -> Self {
        let mut keyed = Hmac::<Sha256>::new_from_slice(secret.unwrap_or_default().as_bytes())
            .expect("a keyed hash takes a key of any length");
        keyed.update(b"api key\0");
        keyed.update(fleet.as_str().as_bytes());
        keyed.update(b"\0");
        Self { keyed }
    }

    pub fn digest(&self, key: &ApiKey) -> KeyDigest {
        let mut hash = self.keyed.clone();
        hash.update(&key.0);
        let mut digest = [0; KEY_DIGEST_BYTES];
        digest.copy_from_slice(&hash.finalize().into_bytes()[..KEY_DIGEST_BYTES]);
        KeyDigest(digest)
    }
}
