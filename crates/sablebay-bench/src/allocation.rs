//! Counts the bytes that a closure allocates. Resident memory is not exact enough for this, because
//! allocators retain freed pages.

use std::alloc::{GlobalAlloc, Layout};
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};

static COUNTING: AtomicBool = AtomicBool::new(false);
static LIVE: AtomicI64 = AtomicI64::new(0);
static PEAK: AtomicI64 = AtomicI64::new(0);

/// An allocator that counts allocated bytes while [`count_allocations`] runs.
#[derive(Debug, Default)]
pub struct CountingAllocator<A>(pub A);

fn add(bytes: usize) {
    if COUNTING.load(Ordering::Relaxed) {
        let live = LIVE.fetch_add(bytes as i64, Ordering::Relaxed) + bytes as i64;
        PEAK.fetch_max(live, Ordering::Relaxed);
    }
}

fn subtract(bytes: usize) {
    if COUNTING.load(Ordering::Relaxed) {
        LIVE.fetch_sub(bytes as i64, Ordering::Relaxed);
    }
}

// SAFETY: every call is forwarded unchanged to the wrapped allocator; counting only uses atomics.
unsafe impl<A: GlobalAlloc> GlobalAlloc for CountingAllocator<A> {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        add(layout.size());
        // SAFETY: the caller upholds the contract of `alloc`, which is that of the wrapped allocator.
        unsafe { self.0.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        subtract(layout.size());
        // SAFETY: as above; the pointer came from the wrapped allocator.
        unsafe { self.0.dealloc(pointer, layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, new_size: usize) -> *mut u8 {
        subtract(layout.size());
        add(new_size);
        // SAFETY: as above.
        unsafe { self.0.realloc(pointer, layout, new_size) }
    }
}

/// Bytes allocated by a closure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allocated {
    /// Bytes still allocated when the closure returned.
    pub kept: i64,
    /// Maximum number of bytes allocated at the same time.
    pub peak: i64,
}

/// Runs `work` and counts the requested bytes, without the allocator's rounding. Allocations of all
/// threads are counted. The counts are zero unless the global allocator is a [`CountingAllocator`].
pub fn count_allocations<T>(work: impl FnOnce() -> T) -> (T, Allocated) {
    LIVE.store(0, Ordering::Relaxed);
    PEAK.store(0, Ordering::Relaxed);
    COUNTING.store(true, Ordering::Relaxed);
    let value = work();
    COUNTING.store(false, Ordering::Relaxed);
    (value, Allocated { kept: LIVE.load(Ordering::Relaxed), peak: PEAK.load(Ordering::Relaxed) })
}
