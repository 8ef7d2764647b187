//! CPU time and memory usage of this process.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// CPU time used by all threads of this process.
pub fn process_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Resident memory of this process, in bytes.
pub fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
