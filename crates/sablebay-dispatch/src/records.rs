//! Merging of fixed-size records: the greatest of all parts, greatest first.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The length of one record.
pub const RECORD_BYTES: usize = 16;

type Record = [u8; RECORD_BYTES];

/// Keeps the greatest records that were added. Records compare byte by byte; equal ones all count.
#[derive(Debug)]
pub struct TopRecords {
    limit: usize,
    smallest_first: BinaryHeap<Reverse<Record>>,
}

impl TopRecords {
    /// Keeps `limit` records.
    pub fn new(limit: usize) -> Self {
        Self { limit, smallest_first: BinaryHeap::new() }
    }

    /// Adds the records of one part. A rest shorter than a record is none.
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

    /// The records that were kept, greatest first.
    pub fn into_bytes(self) -> Vec<u8> {
        // Sorted by the reversed order, the greatest come first.
        let sorted = self.smallest_first.into_sorted_vec();
        sorted.iter().flat_map(|record| record.0).collect()
    }
}
