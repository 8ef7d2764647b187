use derive_more::{Display, Error};

use sablebay_model::IndexId;

use crate::document::{Digest, Version};
use crate::finding::Finding;

/// Reason for rejecting a configuration.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum ConfigurationError {
    /// Validation failed.
    #[display("{} findings", findings.len())]
    Invalid {
        /// All findings, ordered by position.
        findings: Vec<Finding>,
    },
    /// The base version of the delta is not the current version.
    #[display("delta base is {delta_from}, but the current version is {current}")]
    BaseMismatch {
        /// Base version of the delta.
        delta_from: Version,
        current: Version,
    },
    #[display("there is no index `{index}`")]
    UnknownIndex { index: IndexId },
    /// The result of applying a delta does not have the digest that the delta states.
    #[display("content digest is {actual}, expected {expected}")]
    DigestMismatch {
        /// Digest stated by the delta.
        expected: Digest,
        /// Digest of the resulting content.
        actual: Digest,
    },
}
