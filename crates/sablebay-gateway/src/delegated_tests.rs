//! Tests what is taken from the part of a gatherer.

use sablebay_protocol::peer::GatheredPart;

use crate::answer::PartReceipt;
use crate::delegated::decode;

/// The positions of the delegated shards in the request.
const SHARDS: [usize; 3] = [4, 7, 9];

/// A part that answers the first two shards with these receipts.
fn part(receipts: [&[u8]; 2]) -> GatheredPart {
    GatheredPart {
        answered: vec![0, 1],
        receipts: receipts.iter().map(|receipt| receipt.to_vec()).collect(),
        records: vec![7; 32],
        closed: vec![2],
        retried: vec![1],
        crowded: 0,
        calls: 3,
        quarantine: None,
    }
}

/// Receipts that no caller can take for one. A node of an earlier release passes them on as a back end sent them.
const NO_RECEIPTS: [&[u8]; 6] = [b"", b" ", b" \t ", b"i-1.r,i-2.r", b",", b"i-1\r\nother: forged"];

/// Guards against a list of receipts with an entry that no back end has signed, by way of another node.
#[test]
fn a_part_with_a_receipt_that_is_none_closes_its_shards() {
    for receipt in NO_RECEIPTS {
        for receipts in [[receipt, b"i-7.r"], [b"i-4.r", receipt]] {
            let decoded = decode(part(receipts), &SHARDS, false).expect("the gatherer goes on");
            assert!(decoded.is_unsigned, "{receipt:?}");
            assert!(decoded.merged.receipts.is_empty() && decoded.merged.records.is_empty(), "{receipt:?}");
            assert!(decoded.shards.answered.is_empty(), "{receipt:?}");
            let mut closed = decoded.shards.closed;
            closed.sort_unstable();
            assert_eq!(closed, SHARDS, "{receipt:?}");
            assert_eq!(decoded.shards.retried, [7], "{receipt:?}");
        }
    }
}

#[test]
fn a_part_with_sound_receipts_answers_its_shards() {
    let decoded = decode(part([b"i-4.r", b"i-7.r"]), &SHARDS, true).expect("a part");
    assert!(!decoded.is_unsigned && decoded.shards.last);
    assert_eq!(decoded.shards.answered, [4, 7]);
    assert_eq!(decoded.shards.closed, [9]);
    let receipts: Vec<&[u8]> = decoded.merged.receipts.iter().map(PartReceipt::as_bytes).collect();
    assert_eq!(receipts, [b"i-4.r", b"i-7.r"]);
    assert_eq!(decoded.merged.records.len(), 32);
}

/// Guards against a part whose receipts and shards can't be matched.
#[test]
fn a_part_that_contradicts_itself_is_none() {
    let missing_receipt = GatheredPart { receipts: vec![b"i-4.r".to_vec()], ..part([b"a", b"b"]) };
    let half_a_record = GatheredPart { records: vec![7; 24], ..part([b"a", b"b"]) };
    let unknown_shard = GatheredPart { answered: vec![0, 3], ..part([b"a", b"b"]) };
    for odd in [missing_receipt, half_a_record, unknown_shard] {
        assert!(decode(odd, &SHARDS, false).is_none());
    }
}
