//! What a configuration needs of memory at the two-year size, counted and not estimated.

use sablebay_bench::{ConfigurationSize, CountingAllocator, configuration_text, count_allocations};
use sablebay_config::Configuration;

#[global_allocator]
static ALLOCATOR: CountingAllocator<std::alloc::System> = CountingAllocator(std::alloc::System);

/// Leaves of the measured configuration, and of the two-year size.
const LEAVES: usize = 10_000;
const TWO_YEAR_LEAVES: i64 = 110_000;
/// What control may take of a node's memory.
const LIMIT_BYTES: i64 = 32_000_000;

/// What reading may need at once beyond what is kept: the tree of one part, and the leaves' names.
const TREE_BYTES: i64 = 5_000_000;

/// A node reads the whole configuration from the platform's text, or is sent it by a peer; what it
/// keeps of it and what it needs at once to read it stay under the limit.
#[test]
fn reading_a_whole_configuration_fits_the_limit() {
    let size = ConfigurationSize { leaves: LEAVES, services: LEAVES / 100 };
    let text = configuration_text(size, 1, 300);
    let (whole, read) = count_allocations(|| Configuration::parse("test", &text).unwrap());
    // A changed text beside it: what both have alike is kept once.
    let changed = configuration_text(size, 2, 301);
    let (_changed, reread) =
        count_allocations(|| Configuration::parse_with_base("test", &changed, &whole.document).unwrap());
    assert!(reread.kept < read.kept / 3, "{read:?} {reread:?}");
    let sent = (*whole.document).clone();
    let (_joined, joining) = count_allocations(|| Configuration::from_document(sent).unwrap());
    assert!(read.peak < read.kept + TREE_BYTES, "{read:?}");
    let at_two_years = |bytes: i64| bytes * TWO_YEAR_LEAVES / LEAVES as i64;
    assert!(read.kept > 0, "the allocator counts");
    assert!(at_two_years(read.kept) < LIMIT_BYTES, "{read:?}");
    assert!(at_two_years(read.kept) + joining.peak < LIMIT_BYTES, "{read:?} {joining:?}");
}
