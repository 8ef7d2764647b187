//! Errors of this crate.

use derive_more::{Display, Error};

use sablebay_model::IndexId;

use crate::document::{Digest, Version};
use crate::finding::Finding;

/// Why a configuration could not be taken.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum ConfigurationError {
    /// Validation found mistakes; all of them are listed.
    #[display("{} findings", findings.len())]
    Invalid {
        /// Every finding, in order of place.
        findings: Vec<Finding>,
    },
    /// A delta starts from another version than the one it is applied to.
    #[display("the delta starts from {delta_from}, not from {current}")]
    BaseMismatch {
        /// The version that the delta starts from.
        delta_from: Version,
        /// The version at hand.
        current: Version,
    },
    /// There is no such index.
    #[display("there is no index `{index}`")]
    UnknownIndex {
        /// The index asked for.
        index: IndexId,
    },
    /// The content that results from a delta has another digest than the delta promised.
    #[display("the content has digest {actual}, not {expected}")]
    DigestMismatch {
        /// The digest promised.
        expected: Digest,
        /// The digest found.
        actual: Digest,
    },
}
