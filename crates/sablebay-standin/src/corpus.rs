//! Documents of the leaves, computed deterministically so that a checker can derive the expected
//! answer.

use serde::{Deserialize, Serialize};
use serde_json::value::to_raw_value;
use xxhash_rust::xxh3::xxh3_64;

use sablebay_model::{Hit, PartitionSet, SnapshotVersion, SortOrder, top_hits};

/// The body of a hit: identifies the document's origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHit {
    /// The outlet that was queried.
    pub outlet: u64,
    pub partition: u32,
    pub version: u64,
    /// The ordered item.
    pub item: String,
}

/// The documents of one index.
#[derive(Clone, Copy, Debug)]
pub struct Corpus {
    /// Documents per outlet and partition.
    pub documents: u32,
}

const ITEMS: [&str; 6] = ["wheat flour", "rye flour", "spelt", "yeast", "sugar", "butter"];

impl Corpus {
    /// Returns the top hits for an outlet in the given partitions and index version.
    pub fn search(
        &self,
        outlet: u64,
        partitions: &PartitionSet,
        version: SnapshotVersion,
        order: SortOrder,
        limit: usize,
    ) -> Vec<Hit> {
        let mut hits = Vec::with_capacity(partitions.len() as usize * self.documents as usize);
        for partition in partitions.iter() {
            for document in 0..self.documents {
                hits.push(self.hit(outlet, partition, version, document));
            }
        }
        top_hits(hits, order, limit)
    }

    fn hit(&self, outlet: u64, partition: u32, version: SnapshotVersion, document: u32) -> Hit {
        let key = format!("o{outlet}-p{partition}-d{document}");
        let hash = xxh3_64(format!("{key}-v{version}").as_bytes());
        let stored = StoredHit {
            outlet,
            partition,
            version: version.0,
            item: ITEMS[(hash % ITEMS.len() as u64) as usize].to_string(),
        };
        let body = to_raw_value(&stored).expect("serializing a plain structure cannot fail");
        // Small enough to round-trip through JSON exactly.
        Hit { key: key.into(), sort: (hash % 1_000_000) as f64, body }
    }
}
