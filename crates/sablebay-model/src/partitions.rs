//! Partitions of an index, and sets of them.
//!
//! An index has a fixed number of partitions, and a shard is a set of them. Coverage is counted in
//! partitions, so splitting or moving shards does not affect it.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use musli::{Decode, Encode};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Zero-based partition number within an index.
pub type PartitionId = u32;

/// Exclusive upper bound for partition numbers.
const MAXIMUM_PARTITION: u32 = 1 << 20;

/// A set of partitions, stored as sorted, disjoint, inclusive ranges.
///
/// Displayed, and serialized in TOML and JSON, as text such as `0-3,7`.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct PartitionSet {
    ranges: Vec<(u32, u32)>,
}

/// Error from parsing a [`PartitionSet`].
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PartitionSetError {
    /// An element is not a partition number.
    #[display("`{text}` is not a partition number")]
    NotANumber { text: String },
    #[display("the range {first}-{last} ends before it starts")]
    ReversedRange { first: u32, last: u32 },
    /// A partition is listed more than once.
    #[display("partition {partition} is named twice")]
    Duplicate { partition: u32 },
    /// A partition number is not below the limit.
    #[display("partition {partition} is over the limit of {MAXIMUM_PARTITION}")]
    TooHigh { partition: u32 },
}

impl PartitionSet {
    pub fn empty() -> Self {
        Self::default()
    }

    /// All partitions below `count`.
    pub fn all(count: u32) -> Self {
        if count == 0 {
            return Self::empty();
        }
        Self { ranges: vec![(0, count - 1)] }
    }

    /// The partitions from `first` to `last`, both included.
    pub fn range(first: u32, last: u32) -> Self {
        Self { ranges: vec![(first, last)] }
    }

    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// The number of partitions in the set.
    pub fn len(&self) -> u32 {
        self.ranges.iter().map(|(first, last)| last - first + 1).sum()
    }

    /// The highest partition, or `None` if the set is empty.
    pub fn highest(&self) -> Option<PartitionId> {
        self.ranges.last().map(|(_, last)| *last)
    }

    /// Iterates over the partitions in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = PartitionId> + '_ {
        self.ranges.iter().flat_map(|(first, last)| *first..=*last)
    }

    pub fn contains(&self, partition: PartitionId) -> bool {
        self.ranges.iter().any(|(first, last)| (*first..=*last).contains(&partition))
    }

    /// Whether the two sets share a partition.
    pub fn intersects(&self, other: &PartitionSet) -> bool {
        self.ranges.iter().any(|a| other.ranges.iter().any(|b| a.0 <= b.1 && b.0 <= a.1))
    }

    /// Whether every partition of `other` is in `self`.
    pub fn contains_all(&self, other: &PartitionSet) -> bool {
        other.ranges.iter().all(|b| self.ranges.iter().any(|a| a.0 <= b.0 && b.1 <= a.1))
    }

    /// The partitions that are in `self` or in `other`.
    pub fn union(&self, other: &PartitionSet) -> PartitionSet {
        let mut all: Vec<(u32, u32)> = self.ranges.iter().chain(&other.ranges).copied().collect();
        all.sort_unstable();
        Self { ranges: merge(all) }
    }

    /// The partitions of `self` that are not in `other`.
    pub fn difference(&self, other: &PartitionSet) -> PartitionSet {
        self.iter().filter(|partition| !other.contains(*partition)).collect()
    }
}

/// Merges adjacent and overlapping ranges of a sorted list.
fn merge(sorted: Vec<(u32, u32)>) -> Vec<(u32, u32)> {
    let mut merged: Vec<(u32, u32)> = Vec::with_capacity(sorted.len());
    for (first, last) in sorted {
        match merged.last_mut() {
            Some(previous) if first <= previous.1.saturating_add(1) => previous.1 = previous.1.max(last),
            _ => merged.push((first, last)),
        }
    }
    merged
}

impl FromIterator<PartitionId> for PartitionSet {
    fn from_iter<I: IntoIterator<Item = PartitionId>>(partitions: I) -> Self {
        let mut all: Vec<(u32, u32)> = partitions.into_iter().map(|p| (p, p)).collect();
        all.sort_unstable();
        Self { ranges: merge(all) }
    }
}

impl fmt::Display for PartitionSet {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, (first, last)) in self.ranges.iter().enumerate() {
            if position > 0 {
                formatter.write_str(",")?;
            }
            if first == last {
                write!(formatter, "{first}")?;
            } else {
                write!(formatter, "{first}-{last}")?;
            }
        }
        Ok(())
    }
}

fn parse_number(text: &str) -> Result<u32, PartitionSetError> {
    let number: u32 =
        text.trim().parse().map_err(|_| PartitionSetError::NotANumber { text: text.trim().to_string() })?;
    if number >= MAXIMUM_PARTITION {
        return Err(PartitionSetError::TooHigh { partition: number });
    }
    Ok(number)
}

fn parse_range(text: &str) -> Result<(u32, u32), PartitionSetError> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    let first = parse_number(first)?;
    let last = parse_number(last)?;
    if last < first {
        return Err(PartitionSetError::ReversedRange { first, last });
    }
    Ok((first, last))
}

impl FromStr for PartitionSet {
    type Err = PartitionSetError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.trim().is_empty() {
            return Ok(Self::empty());
        }
        let mut ranges = text.split(',').map(parse_range).collect::<Result<Vec<_>, _>>()?;
        ranges.sort_unstable();
        for pair in ranges.windows(2) {
            if pair[1].0 <= pair[0].1 {
                return Err(PartitionSetError::Duplicate { partition: pair[1].0 });
            }
        }
        Ok(Self { ranges: merge(ranges) })
    }
}

impl Serialize for PartitionSet {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for PartitionSet {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
