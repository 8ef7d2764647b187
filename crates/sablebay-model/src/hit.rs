//! Search hits and their order.

use std::cmp::Ordering;

use derive_more::Display;
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A search hit returned by a leaf.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hit {
    /// The document's key, unique within its index.
    pub key: Box<str>,
    /// The sort key, compared with `f64::total_cmp`.
    pub sort: f64,
    /// The document as raw JSON, forwarded unchanged.
    pub body: Box<RawValue>,
}

#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "snake_case")]
pub enum SortOrder {
    /// Highest `sort` first.
    #[default]
    #[display("descending")]
    Descending,
    /// Lowest `sort` first.
    #[display("ascending")]
    Ascending,
}

impl SortOrder {
    /// Compares two hits. Ties are broken by key, so the order is total.
    pub fn compare(self, left: &Hit, right: &Hit) -> Ordering {
        let by_sort = left.sort.total_cmp(&right.sort);
        let by_sort = match self {
            SortOrder::Ascending => by_sort,
            SortOrder::Descending => by_sort.reverse(),
        };
        by_sort.then_with(|| left.key.cmp(&right.key))
    }
}

/// Returns the first `limit` hits in sorted order.
pub fn top_hits(mut hits: Vec<Hit>, order: SortOrder, limit: usize) -> Vec<Hit> {
    if limit == 0 {
        return Vec::new();
    }
    if hits.len() > limit {
        hits.select_nth_unstable_by(limit - 1, |left, right| order.compare(left, right));
        hits.truncate(limit);
    }
    hits.sort_unstable_by(|left, right| order.compare(left, right));
    hits
}
