//! Decides what the answer of a back end is. Its result is a type for each use of an answer, so that what no caller may
//! get can't be built.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};

use crate::back_end_answer::NoAnswer;
use crate::edge::{AnswerHead, Stated};

/// Proves to the caller which back end ran its request. Holds more than blanks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Receipt(HeaderValue);

impl Receipt {
    /// Returns `None` for a blank value.
    pub fn new(value: HeaderValue) -> Option<Self> {
        let is_blank = value.as_bytes().iter().all(|byte| matches!(byte, b' ' | b'\t'));
        (!is_blank).then_some(Self(value))
    }

    pub fn into_value(self) -> HeaderValue {
        self.0
    }
}

/// The receipt of a part. Stands as one entry in a list that is separated by commas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartReceipt(Receipt);

impl PartReceipt {
    /// Returns `None` for a receipt that would stand as several entries.
    pub fn new(receipt: Receipt) -> Option<Self> {
        (!receipt.0.as_bytes().contains(&b',')).then_some(Self(receipt))
    }

    /// Parses a receipt from a peer; `None` if callers could not take it for one.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        Self::new(Receipt::new(HeaderValue::from_bytes(bytes).ok()?)?)
    }

    pub fn as_bytes(&self) -> &[u8] {
        self.0.0.as_bytes()
    }
}

/// What a request wants of one back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerScope {
    /// Its answer, which is passed on unchanged.
    Whole,
    /// The records of a shard, which are merged with others.
    Shard,
}

/// The answer of a back end that succeeded.
#[derive(Clone, Debug)]
pub enum SuccessAnswer {
    Whole(WholeSuccess),
    Shard(ShardSuccess),
}

/// A success that is passed on unchanged.
#[derive(Clone, Debug)]
pub struct WholeSuccess {
    status: StatusCode,
    receipt: Receipt,
    headers: HeaderMap,
    body: Bytes,
}

/// The records of a shard.
#[derive(Clone, Debug)]
pub struct ShardSuccess {
    pub receipt: PartReceipt,
    /// In no order.
    pub records: Bytes,
}

/// A failure that is passed on unchanged.
#[derive(Clone, Debug)]
pub struct FailureAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl FailureAnswer {
    pub fn status(&self) -> StatusCode {
        self.status
    }
}

/// The answer of one back end, as it is passed on to the caller.
#[derive(Clone, Debug)]
pub enum RelayedAnswer {
    Success(WholeSuccess),
    Failure(FailureAnswer),
}

/// The pieces of a relayed answer.
pub struct RelayedParts {
    pub status: StatusCode,
    /// The receipt that a success must carry.
    pub receipt: Option<Receipt>,
    /// The headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl From<RelayedAnswer> for RelayedParts {
    fn from(answer: RelayedAnswer) -> Self {
        match answer {
            RelayedAnswer::Success(WholeSuccess { status, receipt, headers, body }) => {
                Self { status, receipt: Some(receipt), headers, body }
            }
            RelayedAnswer::Failure(FailureAnswer { status, headers, body }) => {
                Self { status, receipt: None, headers, body }
            }
        }
    }
}

/// What the head of an answer says of its request.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// The request succeeded.
    Success(SuccessHead),
    /// The request failed, and ran or may have run.
    Failure(FailureHead),
    /// The request did not run.
    NotRun,
    /// Another replica has taken over the address; the request did not run.
    WrongInstance,
}

/// The head of a success, whose body is still to be read.
#[derive(Clone, Debug)]
pub struct SuccessHead {
    status: StatusCode,
    proof: Proof,
}

/// The receipt of a success, checked for its use.
#[derive(Clone, Debug)]
enum Proof {
    Whole(Receipt),
    Shard(PartReceipt),
}

impl SuccessHead {
    /// Completes the answer. `headers` are those that concern the caller.
    pub fn with_body(self, headers: HeaderMap, body: Bytes) -> SuccessAnswer {
        match self.proof {
            Proof::Whole(receipt) => {
                SuccessAnswer::Whole(WholeSuccess { status: self.status, receipt, headers, body })
            }
            Proof::Shard(receipt) => SuccessAnswer::Shard(ShardSuccess { receipt, records: body }),
        }
    }
}

/// The head of a failure, whose body is still to be read.
#[derive(Clone, Debug)]
pub struct FailureHead {
    status: StatusCode,
}

impl FailureHead {
    /// Completes the answer. `headers` are those that concern the caller.
    pub fn with_body(self, headers: HeaderMap, body: Bytes) -> FailureAnswer {
        FailureAnswer { status: self.status, headers, body }
    }
}

/// Decides what an answer is from its head. `stated` is what the head says in the back ends' protocol.
///
/// # Errors
/// If it is no answer to the request, or reports a success that callers can't rely on. The request may have run.
pub fn verdict(
    scope: AnswerScope,
    status: StatusCode,
    headers: &HeaderMap,
    stated: &AnswerHead,
) -> Result<Verdict, NoAnswer> {
    if stated.is_wrong_instance {
        return Ok(Verdict::WrongInstance);
    }
    if !status.is_success() {
        let failure = Verdict::Failure(FailureHead { status });
        return Ok(if stated.is_not_executed { Verdict::NotRun } else { failure });
    }
    if stated.is_not_executed {
        return Err(NoAnswer::Contradictory);
    }
    // Callers ask for no encoding, so these are not the bytes that they would check.
    if headers.contains_key(header::CONTENT_ENCODING) {
        return Err(NoAnswer::Encoded);
    }
    // The merged answer would not tell that a part is incomplete.
    if scope == AnswerScope::Shard && status == StatusCode::PARTIAL_CONTENT {
        return Err(NoAnswer::Partial);
    }
    let proof = proof(scope, &stated.receipt).ok_or(NoAnswer::Unsigned)?;
    Ok(Verdict::Success(SuccessHead { status, proof }))
}

fn proof(scope: AnswerScope, stated: &Stated) -> Option<Proof> {
    let Stated::Once(value) = stated else {
        return None;
    };
    let receipt = Receipt::new(value.clone())?;
    match scope {
        AnswerScope::Whole => Some(Proof::Whole(receipt)),
        AnswerScope::Shard => PartReceipt::new(receipt).map(Proof::Shard),
    }
}
