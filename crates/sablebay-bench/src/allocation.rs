//! Counts the memory that a piece of work allocates, exactly, where the process's resident memory
//! tells little: an allocator keeps what was freed for a while.

use std::alloc::{GlobalAlloc, Layout};
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};

static COUNTING: AtomicBool = AtomicBool::new(false);
static LIVE: AtomicI64 = AtomicI64::new(0);
static PEAK: AtomicI64 = AtomicI64::new(0);

/// An allocator that counts while [`count_allocations`] runs, and otherwise costs one load.
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

// SAFETY: every call is handed to the wrapped allocator as it is; counting touches atomics alone.
unsafe impl<A: GlobalAlloc> GlobalAlloc for CountingAllocator<A> {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        add(layout.size());
        // SAFETY: the caller keeps the contract of `alloc`, which is the wrapped allocator's too.
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

/// Bytes that were allocated by some work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allocated {
    /// Still held at its end.
    pub kept: i64,
    /// Held at once at the most.
    pub peak: i64,
}

/// Runs some work and counts what it allocates, as asked for and without the allocator's own
/// rounding. Everything that the process allocates meanwhile is counted. Zero in a process whose
/// allocator is not a [`CountingAllocator`].
pub fn count_allocations<T>(work: impl FnOnce() -> T) -> (T, Allocated) {
    LIVE.store(0, Ordering::Relaxed);
    PEAK.store(0, Ordering::Relaxed);
    COUNTING.store(true, Ordering::Relaxed);
    let value = work();
    COUNTING.store(false, Ordering::Relaxed);
    (value, Allocated { kept: LIVE.load(Ordering::Relaxed), peak: PEAK.load(Ordering::Relaxed) })
}
