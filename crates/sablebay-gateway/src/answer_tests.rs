//! Tests which answers of back ends are successes or failures that callers may get.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::answer::{
    AnswerScope, PartReceipt, Receipt, RelayedAnswer, RelayedParts, SuccessAnswer, Verdict, verdict,
};
use crate::back_end_answer::NoAnswer;
use crate::edge::{AnswerHead, Stated};

const RECEIPT: HeaderName = HeaderName::from_static("receipt");

/// Values of a header line that may hold nothing, blanks, commas or bytes that are no text.
fn line() -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(prop::sample::select(&b" \t,a.\xff"[..]), 0..6)
}

/// The lines of a head that may state a receipt.
fn head_with(lines: &[Vec<u8>]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for line in lines {
        headers.append(RECEIPT, HeaderValue::from_bytes(line).expect("a valid value"));
    }
    headers
}

fn is_blank(line: &[u8]) -> bool {
    line.iter().all(|byte| b" \t".contains(byte))
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(70), cases: 2_000, failure_persistence: None, ..Config::default() })]

    /// Guards against any head by which a caller gets a success without the one receipt of its back end, or a failure in
    /// its place.
    #[test]
    fn a_success_has_one_receipt_and_a_failure_has_a_failures_status(
        status in 200_u16..600,
        lines in prop::collection::vec(line(), 0..3),
        is_not_executed in any::<bool>(),
        is_encoded in any::<bool>(),
        scope in prop::sample::select(&[AnswerScope::Whole, AnswerScope::Shard][..]),
    ) {
        let mut headers = head_with(&lines);
        if is_encoded {
            headers.insert(header::CONTENT_ENCODING, HeaderValue::from_static("gzip"));
        }
        let receipt = Stated::of(&headers, &RECEIPT);
        let stated = AnswerHead { receipt, is_not_executed, ..AnswerHead::default() };
        let status = StatusCode::from_u16(status).expect("a status");
        let decided = verdict(scope, status, &headers, &stated);
        let is_shard = scope == AnswerScope::Shard;
        let is_signed = lines.len() == 1 && !is_blank(&lines[0]) && !(is_shard && lines[0].contains(&b','));
        let is_whole = !(is_shard && status == StatusCode::PARTIAL_CONTENT);
        let is_sound = is_signed && is_whole && !is_not_executed && !is_encoded;
        match decided {
            Ok(Verdict::Success(success)) => {
                prop_assert!(status.is_success() && is_sound);
                match success.with_body(headers, Bytes::from_static(b"body")) {
                    SuccessAnswer::Whole(whole) => {
                        let parts = RelayedParts::from(RelayedAnswer::Success(whole));
                        prop_assert_eq!(parts.status, status);
                        let receipt = parts.receipt.expect("a receipt").into_value();
                        prop_assert_eq!(receipt.as_bytes(), &lines[0][..]);
                    }
                    SuccessAnswer::Shard(shard) => prop_assert_eq!(shard.receipt.as_bytes(), &lines[0][..]),
                }
            }
            Ok(Verdict::Failure(failure)) => {
                prop_assert!(!status.is_success() && !is_not_executed);
                prop_assert_eq!(failure.with_body(headers, Bytes::new()).status(), status);
            }
            Ok(Verdict::NotRun) => prop_assert!(!status.is_success() && is_not_executed),
            Ok(Verdict::WrongInstance) => prop_assert!(false, "nothing says so"),
            Err(_) => prop_assert!(status.is_success() && !is_sound),
        }
    }
}

fn reason(scope: AnswerScope, status: u16, stated: &AnswerHead) -> Option<NoAnswer> {
    let status = StatusCode::from_u16(status).expect("a status");
    verdict(scope, status, &HeaderMap::new(), stated).err()
}

/// Guards against a reason in the log that sends an operator the wrong way.
#[test]
fn the_reason_names_what_is_wrong() {
    let signed = Stated::Once(HeaderValue::from_static("i-1.r"));
    let sound = AnswerHead { receipt: signed, ..AnswerHead::default() };
    let not_executed = AnswerHead { is_not_executed: true, ..sound.clone() };
    let repeated = AnswerHead { receipt: Stated::Repeated, ..AnswerHead::default() };
    assert_eq!(reason(AnswerScope::Whole, 200, &sound), None);
    assert_eq!(reason(AnswerScope::Whole, 206, &sound), None);
    assert_eq!(reason(AnswerScope::Shard, 206, &sound), Some(NoAnswer::Partial));
    assert_eq!(reason(AnswerScope::Whole, 200, &not_executed), Some(NoAnswer::Contradictory));
    assert_eq!(reason(AnswerScope::Whole, 200, &repeated), Some(NoAnswer::Unsigned));
    assert_eq!(reason(AnswerScope::Shard, 204, &AnswerHead::default()), Some(NoAnswer::Unsigned));
    assert_eq!(reason(AnswerScope::Whole, 500, &AnswerHead::default()), None);
}

#[test]
fn a_receipt_holds_more_than_blanks_and_that_of_a_part_is_one_entry() {
    let receipt = |text: &'static str| Receipt::new(HeaderValue::from_static(text));
    for blank in ["", " ", "\t", " \t "] {
        assert_eq!(receipt(blank), None, "{blank:?}");
    }
    assert!(receipt("a,b").is_some_and(|receipt| PartReceipt::new(receipt).is_none()));
    assert!(receipt("a b").is_some_and(|receipt| PartReceipt::new(receipt).is_some()));
    assert_eq!(PartReceipt::from_bytes(b"a\nb"), None);
}
