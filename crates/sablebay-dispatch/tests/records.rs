//! Tests that merging keeps the greatest records of all parts.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use sablebay_dispatch::{RECORD_BYTES, TopRecords};

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(21), cases: 300, ..Config::default() })]

    /// Compares the merge with the first `limit` records of a full descending sort.
    #[test]
    fn the_greatest_of_all_parts_remain(
        parts in proptest::collection::vec(proptest::collection::vec(0u8..4, 0..200), 0..6),
        limit in 0usize..20,
    ) {
        let mut top = TopRecords::new(limit);
        let mut all: Vec<Vec<u8>> = Vec::new();
        for part in &parts {
            top.add(part);
            all.extend(part.chunks_exact(RECORD_BYTES).map(<[u8]>::to_vec));
        }
        all.sort_by(|left, right| right.cmp(left));
        all.truncate(limit);
        prop_assert_eq!(top.into_bytes(), all.concat());
    }
}
