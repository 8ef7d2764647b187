//! Content digests that identify equal requests across retries and nodes.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Length of a digest, in bytes. At 128 bits a chance collision needs about 2^64 requests.
pub const DIGEST_BYTES: usize = 16;

/// Digest of a request's content. Attempts of one request share a digest but differ in their identifiers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode)]
#[serde(into = "String", try_from = "String")]
#[musli(transparent)]
pub struct RequestDigest(pub [u8; DIGEST_BYTES]);

/// Error from parsing a [`RequestDigest`].
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("`{text}` is not a request digest: expected {} hexadecimal digits", DIGEST_BYTES * 2)]
pub struct DigestError {
    text: String,
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "RequestDigest({self})")
    }
}

impl FromStr for RequestDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || DigestError { text: text.to_string() };
        if text.len() != DIGEST_BYTES * 2 || !text.is_ascii() {
            return Err(invalid());
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).map_err(|_| invalid())?;
        }
        Ok(Self(bytes))
    }
}

impl From<RequestDigest> for String {
    fn from(digest: RequestDigest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for RequestDigest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}
