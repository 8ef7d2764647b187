//! Memory needed by a configuration at the planned two-year size.

use sablebay_bench::{ConfigurationSize, CountingAllocator, configuration_text, count_allocations};
use sablebay_config::Configuration;

#[global_allocator]
static ALLOCATOR: CountingAllocator<std::alloc::System> = CountingAllocator(std::alloc::System);

/// Number of leaves in the measured configuration.
const LEAVES: usize = 10_000;
/// Number of leaves at the two-year size.
const TWO_YEAR_LEAVES: i64 = 110_000;
/// Limit on the memory of a node's control state.
const LIMIT_BYTES: i64 = 32_000_000;
/// Limit on the temporary memory of reading: the syntax tree of one part and the names of the leaves.
const TREE_BYTES: i64 = 5_000_000;

/// Guards against reading a configuration, from the platform or from a peer, with more retained or
/// peak memory than the limit allows.
#[test]
fn reading_a_whole_configuration_fits_the_limit() {
    let size = ConfigurationSize { leaves: LEAVES, services: LEAVES / 100 };
    let text = configuration_text(size, 1, 300);
    let (configuration, read) = count_allocations(|| Configuration::parse("test", &text).unwrap());
    // Entries that a changed document has in common with its base must be shared.
    let changed = configuration_text(size, 2, 301);
    let (_changed, reread) = count_allocations(|| {
        Configuration::parse_with_base("test", &changed, &configuration.document).unwrap()
    });
    assert!(reread.kept < read.kept / 3, "{read:?} {reread:?}");
    let sent = (*configuration.document).clone();
    let (_joined, joining) = count_allocations(|| Configuration::from_document(sent).unwrap());
    assert!(read.peak < read.kept + TREE_BYTES, "{read:?}");
    let at_two_years = |bytes: i64| bytes * TWO_YEAR_LEAVES / LEAVES as i64;
    assert!(read.kept > 0, "no allocations were counted");
    assert!(at_two_years(read.kept) < LIMIT_BYTES, "{read:?}");
    assert!(at_two_years(read.kept) + joining.peak < LIMIT_BYTES, "{read:?} {joining:?}");
}
