//! Index maps and leaf settings.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use sablebay_model::{IndexId, LeafId, PartitionSet, ZoneName};

use crate::document::Document;
use crate::entry::Entry;
use crate::finding::Findings;
use crate::nearest::nearest_name;
use crate::section::{Layer, Section};

/// Set of partitions that are stored and searched together, and the leaves with its replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// Disjoint from the partitions of all other shards of the index.
    pub partitions: PartitionSet,
    /// Leaves with a replica, in order of preference.
    pub leaves: Vec<LeafId>,
}

/// Assignment of the partitions of an index to leaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IndexMap {
    pub index: IndexId,
    /// Number of partitions; fixed for the lifetime of the index.
    pub partitions: u32,
    /// Each partition belongs to exactly one shard.
    pub shards: Vec<Shard>,
}

/// Index map with the settings of its leaves, as read from a document.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexLayout {
    pub map: IndexMap,
    /// Leaves referenced by the map.
    pub leaves: BTreeMap<LeafId, Arc<LeafSettings>>,
    /// Document entries from which the layout was read.
    pub(crate) source: Vec<Entry>,
}

impl IndexLayout {
    /// Whether all source entries are unchanged in `document`.
    pub fn is_current(&self, document: &Document) -> bool {
        self.source.iter().all(|entry| document.entry(entry.kind(), entry.name()) == Some(entry))
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeafSettings {
    pub leaf: LeafId,
    pub address: SocketAddr,
    pub zone: ZoneName,
    /// Maximum number of concurrent queries.
    pub slots: u32,
    /// Maximum number of connections from the whole fleet. Default 80.
    pub connections: u32,
}

const MAXIMUM_PARTITIONS: u64 = 1 << 20;
const MAXIMUM_SLOTS: u64 = 4_096;
const MAXIMUM_CONNECTIONS: u64 = 65_536;
const DEFAULT_CONNECTIONS: u64 = 80;

pub fn read_leaf(findings: &Findings, name: &str, place: &Range<usize>, keys: &Layer<'_>) -> LeafSettings {
    let section = Section::new(findings, format!("leaf `{name}`"), place.clone(), keys.clone());
    let address = section.parsed("address", "an IP address and port such as \"10.0.0.1:9000\"");
    section.missing("address", "an IP address and port");
    section.missing("zone", "a zone's name");
    let leaf = LeafSettings {
        leaf: LeafId::new(name),
        address: address.unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0))),
        zone: ZoneName::new(section.text("zone").unwrap_or("")),
        slots: section.integer("slots", 1..=MAXIMUM_SLOTS).unwrap_or(1) as u32,
        connections: section.integer("connections", 1..=MAXIMUM_CONNECTIONS).unwrap_or(DEFAULT_CONNECTIONS)
            as u32,
    };
    section.finish();
    leaf
}

/// Reads an index map. `known` contains the names of the configured leaves.
pub fn read_index(
    findings: &Findings,
    name: &str,
    place: &Range<usize>,
    keys: &Layer<'_>,
    known: &BTreeSet<&str>,
) -> IndexMap {
    let title = format!("index `{name}`");
    let section = Section::new(findings, title.clone(), place.clone(), keys.clone());
    let partitions = section.integer("partitions", 1..=MAXIMUM_PARTITIONS);
    section.missing("partitions", "the number of partitions of the index");
    let mut covered = PartitionSet::empty();
    let mut shards = Vec::new();
    for shard_section in section.sections("shards") {
        let set: Option<PartitionSet> = shard_section.parsed("partitions", "partitions such as \"0-3,7\"");
        shard_section.missing("partitions", "partitions such as \"0-3,7\"");
        let leaves = read_shard_leaves(findings, &title, &shard_section, known);
        shard_section.finish();
        let set = set.unwrap_or_default();
        let where_given = shard_section.place_of("partitions");
        if covered.intersects(&set) {
            let duplicates: PartitionSet =
                set.iter().filter(|partition| covered.contains(*partition)).collect();
            let message = format!("{title}: partitions {duplicates} are in two shards");
            findings.add(&where_given, message, "each partition in one shard");
        }
        if let (Some(count), Some(highest)) = (partitions, set.highest())
            && u64::from(highest) >= count
        {
            let message = format!("{title}: partition {highest} is out of range for {count} partitions");
            findings.add(&where_given, message, format!("partitions from 0 to {}", count - 1));
        }
        covered = covered.union(&set);
        shards.push(Shard { partitions: set, leaves });
    }
    section.finish();
    let count = partitions.unwrap_or(0) as u32;
    let absent = PartitionSet::all(count).difference(&covered);
    if !absent.is_empty() {
        let message = format!("{title}: partitions {absent} are in no shard");
        findings.add(place, message, "each partition in one shard");
    }
    IndexMap { index: IndexId::new(name), partitions: count, shards }
}

fn read_shard_leaves(
    findings: &Findings,
    title: &str,
    section: &Section<'_>,
    known: &BTreeSet<&str>,
) -> Vec<LeafId> {
    let given = section.text_list("leaves");
    if given.is_empty() {
        findings.add(section.place(), format!("{title}: a shard has no leaves"), "at least one leaf");
    }
    let mut leaves: Vec<LeafId> = Vec::with_capacity(given.len());
    for (name, place) in given {
        let leaf = LeafId::new(name);
        if !known.contains(name) {
            let nearest = nearest_name(name, known.iter().copied());
            let message = format!("{title}: there is no leaf `{name}`");
            findings.add_with_nearest(&place, message, "a leaf's name", nearest);
        }
        if leaves.contains(&leaf) {
            findings.add(
                &place,
                format!("{title}: leaf `{name}` is listed twice in a shard"),
                "each leaf once",
            );
        }
        leaves.push(leaf);
    }
    leaves
}
