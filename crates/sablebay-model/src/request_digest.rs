//! What names a request by what it asks for, whoever carries it and however often it comes.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// The length of a digest, in bytes: two of a fleet's requests share one by chance once in 2^64 requests.
pub const DIGEST_BYTES: usize = 16;

/// Names a request by what it asks for. Two attempts of one request have the same, with identifiers of their own.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode)]
#[serde(into = "String", try_from = "String")]
#[musli(transparent)]
pub struct RequestDigest(pub [u8; DIGEST_BYTES]);

/// A text that is no digest.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("`{text}` is no request digest: {} hexadecimal digits are expected", DIGEST_BYTES * 2)]
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
        let wrong = || DigestError { text: text.to_string() };
        if text.len() != DIGEST_BYTES * 2 || !text.is_ascii() {
            return Err(wrong());
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).map_err(|_| wrong())?;
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
