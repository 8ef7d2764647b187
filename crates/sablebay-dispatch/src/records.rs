//! Merges fixed-size records: keeps the greatest of all parts, in descending order.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Length of a record in bytes.
pub const RECORD_BYTES: usize = 16;

type Record = [u8; RECORD_BYTES];

/// Keeps the greatest records added. Records are compared byte by byte, and duplicates are kept.
#[derive(Debug)]
pub struct TopRecords {
    limit: usize,
    smallest_first: BinaryHeap<Reverse<Record>>,
}

impl TopRecords {
    /// Creates an empty collection of at most `limit` records.
    pub fn new(limit: usize) -> Self {
        Self { limit, smallest_first: BinaryHeap::new() }
    }

    /// Adds the records of one part. Ignores an incomplete record at the end.
    pub fn add(&mut self, part: &[u8]) {
        for record in part.as_chunks::<RECORD_BYTES>().0 {
            self.add_record(*record);
        }
    }

    fn add_record(&mut self, record: Record) {
        if self.smallest_first.len() < self.limit {
            self.smallest_first.push(Reverse(record));
            return;
        }
        let Some(mut smallest) = self.smallest_first.peek_mut() else {
            return;
        };
        if record > smallest.0 {
            smallest.0 = record;
        }
    }

    /// Returns the kept records in descending order.
    pub fn into_bytes(self) -> Vec<u8> {
        // `Reverse` makes the ascending order descending.
        let sorted = self.smallest_first.into_sorted_vec();
        sorted.iter().flat_map(|record| record.0).collect()
    }
}
