//! Parses and validates documents, from text or from entries sent by a peer.
//!
//! A TOML tree with positions is much larger than its text. Large documents are therefore parsed in
//! parts, and as a whole only to report findings.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use toml::de::{DeTable, DeValue};

use sablebay_model::{IndexId, Revision, ZoneName};

use crate::document::Document;
use crate::entry::{Entry, EntryKind};
use crate::error::ConfigurationError;
use crate::finding::Findings;
use crate::index::{IndexMap, LeafSettings, read_index, read_leaf};
use crate::nearest::nearest_name;
use crate::section::{Layer, NamedTable, Section, layer};
use crate::service::ServiceSettings;
use crate::split::split_entries;
use crate::template::{Templates, check_templates, read_instance};
use crate::zone::{check_zones, read_zone};

const REVISION: &str = "revision";
/// Approximate size of the parts of a large document.
const PART_BYTES: usize = 64 * 1024;

/// Properties of an index against which services are validated.
struct IndexSummary {
    partitions: u32,
    minimum_replicas: usize,
}

/// Entries known from earlier parts, for validating references.
#[derive(Default)]
struct KnownEntries<'a> {
    leaves: BTreeSet<&'a str>,
    /// Zones that contain leaves; `None` if the document does not contain all leaves.
    zones: Option<BTreeSet<ZoneName>>,
    indexes: BTreeMap<IndexId, IndexSummary>,
}

impl KnownEntries<'_> {
    fn add_index(&mut self, map: &IndexMap) {
        let replicas = map.shards.iter().map(|shard| shard.leaves.len());
        let summary =
            IndexSummary { partitions: map.partitions, minimum_replicas: replicas.min().unwrap_or(0) };
        self.indexes.insert(map.index.clone(), summary);
    }
}

/// Unparsed tables of a document.
struct Tables<'a> {
    revision: Revision,
    leaves: Vec<NamedTable<'a>>,
    zones: Vec<NamedTable<'a>>,
    indexes: Vec<NamedTable<'a>>,
    templates: Vec<NamedTable<'a>>,
    instances: Vec<NamedTable<'a>>,
}

/// Parses a text, in parts if it is large. Entries equal to those of `base` share their memory.
///
/// # Errors
/// [`ConfigurationError::Invalid`] with all findings and their positions in the text.
pub fn read(
    file: &str,
    text: &str,
    base: &Document,
) -> Result<(Document, Vec<ServiceSettings>), ConfigurationError> {
    // If parsing in parts fails, parsing the whole text yields findings with correct positions.
    read_split(file, text, base).map_or_else(|| read_whole(file, text, Some(BTreeSet::new())), Ok)
}

/// Parses a text in parts. Returns `None` if the text is small or any part is invalid.
fn read_split(file: &str, text: &str, base: &Document) -> Option<(Document, Vec<ServiceSettings>)> {
    let parts = split_entries(text, PART_BYTES);
    if parts.len() < 2 {
        return None;
    }
    let mut document = Document::default();
    for part in parts {
        let table = DeTable::parse(&text[part]).ok()?;
        for (key, value) in table.get_ref() {
            let name: &str = key.get_ref();
            if name == REVISION {
                document.set_revision(revision_of(value.get_ref())?);
            } else if !EntryKind::ALL.iter().any(|kind| kind.section() == name) || !value.get_ref().is_table()
            {
                return None;
            }
        }
        document.add_table(table.get_ref(), base).ok()?;
    }
    let services = read_in_parts(file, &document).ok()?;
    Some((document, services))
}

fn revision_of(value: &DeValue<'_>) -> Option<Revision> {
    let number = value.as_integer()?;
    let value = u64::from_str_radix(number.as_str(), number.radix()).ok()?;
    Some(Revision(value))
}

/// Parses a text as a whole. `zones` is set if the text contains all leaves, to validate zones against
/// them.
fn read_whole(
    file: &str,
    text: &str,
    zones: Option<BTreeSet<ZoneName>>,
) -> Result<(Document, Vec<ServiceSettings>), ConfigurationError> {
    read_text(file, text, |findings, root| {
        let tables = read_tables(findings, root);
        let mut known = KnownEntries { leaves: names(&tables.leaves), zones, ..KnownEntries::default() };
        let services = validate(findings, &tables, &mut known);
        // `read_text` discards the document if there are findings.
        if !findings.is_empty() {
            return (Document::default(), services);
        }
        let mut document = Document::new(tables.revision, []);
        if let Err((place, reason)) = document.add_table(root, &Document::default()) {
            findings.add(&place, format!("invalid entry: {reason}"), "");
        }
        (document, services)
    })
}

/// Parses the services of a small document that contains all referenced entries.
///
/// # Errors
/// As [`read`].
pub fn read_services(file: &str, text: &str) -> Result<Vec<ServiceSettings>, ConfigurationError> {
    read_whole(file, text, None).map(|(_, services)| services)
}

/// Parses the index maps and leaves of a small document.
///
/// # Errors
/// As [`read`].
pub fn read_layout(file: &str, text: &str) -> Result<(Vec<IndexMap>, Vec<LeafSettings>), ConfigurationError> {
    read_text(file, text, |findings, root| {
        let tables = read_tables(findings, root);
        let known = names(&tables.leaves);
        let leaves = tables.leaves.iter();
        let leaves = leaves.map(|table| read_leaf(findings, table.name, &table.place, &table.keys()));
        let mut leaves: Vec<LeafSettings> = leaves.collect();
        share_zones(&mut leaves);
        let maps = tables.indexes.iter();
        let maps = maps.map(|table| read_index(findings, table.name, &table.place, &table.keys(), &known));
        (maps.collect(), leaves)
    })
}

/// Validates the entries of a document in parts, and returns its services.
///
/// # Errors
/// As [`read`], but positions are relative to the part.
pub fn read_in_parts(file: &str, document: &Document) -> Result<Vec<ServiceSettings>, ConfigurationError> {
    let entries = document.sorted();
    let of_kind = |kind: EntryKind| entries.iter().copied().filter(move |entry| entry.kind() == kind);
    let mut known = KnownEntries {
        leaves: of_kind(EntryKind::Leaf).map(Entry::name).collect(),
        zones: Some(BTreeSet::new()),
        ..KnownEntries::default()
    };
    let templates: Vec<&Entry> = of_kind(EntryKind::Template).collect();
    let mut services = Vec::new();
    // Ordered by dependency: zones and indexes refer to leaves, services to indexes.
    for (kind, shared) in [
        (EntryKind::Leaf, &[] as &[&Entry]),
        (EntryKind::Zone, &[]),
        (EntryKind::Index, &[]),
        (EntryKind::Instance, templates.as_slice()),
    ] {
        let all: Vec<&Entry> = of_kind(kind).collect();
        for part in parts(&all) {
            let entries: Vec<&Entry> = shared.iter().chain(part).copied().collect();
            let text = document.text_of(&entries);
            services.extend(read_part(file, &text, &mut known)?);
        }
    }
    Ok(services)
}

/// Groups entries into parts of about [`PART_BYTES`].
fn parts<'a, 'b>(entries: &'b [&'a Entry]) -> Vec<&'b [&'a Entry]> {
    let mut parts = Vec::new();
    let (mut start, mut bytes) = (0, 0);
    for (at, entry) in entries.iter().enumerate() {
        bytes += entry.content_bytes();
        if bytes >= PART_BYTES {
            parts.push(&entries[start..=at]);
            (start, bytes) = (at + 1, 0);
        }
    }
    if start < entries.len() || entries.is_empty() {
        parts.push(&entries[start..]);
    }
    parts
}

fn read_part(
    file: &str,
    text: &str,
    known: &mut KnownEntries<'_>,
) -> Result<Vec<ServiceSettings>, ConfigurationError> {
    read_text(file, text, |findings, root| validate(findings, &read_tables(findings, root), known))
}

/// Validates all tables, records leaf zones and indexes in `known`, and returns the services.
fn validate(findings: &Findings, tables: &Tables<'_>, known: &mut KnownEntries<'_>) -> Vec<ServiceSettings> {
    for table in &tables.leaves {
        let leaf = read_leaf(findings, table.name, &table.place, &table.keys());
        if let Some(zones) = &mut known.zones {
            zones.insert(leaf.zone);
        }
    }
    for table in &tables.zones {
        read_zone(findings, table.name, &table.place, &table.keys());
    }
    if let Some(zones) = &known.zones {
        check_zones(findings, &tables.zones, zones);
    }
    for table in &tables.indexes {
        let map = read_index(findings, table.name, &table.place, &table.keys(), &known.leaves);
        known.add_index(&map);
    }
    services_of(findings, tables, known)
}

/// Parses a text as TOML and applies `read` to its root. Fails if there are any findings.
fn read_text<T>(
    file: &str,
    text: &str,
    read: impl FnOnce(&Findings, &DeTable<'_>) -> T,
) -> Result<T, ConfigurationError> {
    let findings = Findings::new(file, text);
    let (root, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let place = error.span().unwrap_or(0..0);
        findings.add(&place, format!("not TOML: {}", error.message()), "");
    }
    let value = read(&findings, root.get_ref());
    let list = findings.into_sorted();
    if list.is_empty() { Ok(value) } else { Err(ConfigurationError::Invalid { findings: list }) }
}

fn read_tables<'a>(findings: &'a Findings, root: &'a DeTable<'a>) -> Tables<'a> {
    let section = Section::new(findings, "document".to_string(), 0..0, layer(root));
    let revision = Revision(section.integer(REVISION, 1..=i64::MAX as u64).unwrap_or(0));
    section.missing(REVISION, "the revision number");
    let tables = Tables {
        revision,
        leaves: section.named_tables(EntryKind::Leaf.section()),
        zones: section.named_tables(EntryKind::Zone.section()),
        indexes: section.named_tables(EntryKind::Index.section()),
        templates: section.named_tables(EntryKind::Template.section()),
        instances: section.named_tables(EntryKind::Instance.section()),
    };
    section.finish();
    tables
}

fn names<'a>(tables: &[NamedTable<'a>]) -> BTreeSet<&'a str> {
    tables.iter().map(|table| table.name).collect()
}

fn services_of(findings: &Findings, tables: &Tables<'_>, known: &KnownEntries<'_>) -> Vec<ServiceSettings> {
    let templates = tables.templates.iter();
    let templates: Templates<'_> =
        templates.map(|table| (table.name, (table.place.clone(), table.keys()))).collect();
    check_templates(findings, &templates);
    let instances = tables.instances.iter();
    let read = |table: &NamedTable<'_>| {
        let keys = table.keys();
        let settings = read_instance(findings, &templates, table.name, &table.place, &keys);
        check_against_index(findings, &settings, &table.place, &keys, &known.indexes);
        settings
    };
    instances.map(read).collect()
}

/// Deduplicates zone names to save memory.
fn share_zones(leaves: &mut [LeafSettings]) {
    let mut zones: BTreeSet<ZoneName> = BTreeSet::new();
    for leaf in leaves {
        match zones.get(&leaf.zone) {
            Some(zone) => leaf.zone = zone.clone(),
            None => {
                zones.insert(leaf.zone.clone());
            }
        }
    }
}

/// Validates the index, partitions and replica count of a service against its index map.
fn check_against_index(
    findings: &Findings,
    settings: &ServiceSettings,
    place: &Range<usize>,
    keys: &Layer<'_>,
    indexes: &BTreeMap<IndexId, IndexSummary>,
) {
    let name = &settings.service;
    let place_of = |key: &str| keys.get(key).map_or(place.clone(), |place| place.range());
    if settings.index.as_str().is_empty() {
        return;
    }
    let Some(index) = indexes.get(&settings.index) else {
        let nearest = nearest_name(settings.index.as_str(), indexes.keys().map(IndexId::as_str));
        let message = format!("instance `{name}`: there is no index `{}`", settings.index);
        findings.add_with_nearest(&place_of("index"), message, "an index's name", nearest);
        return;
    };
    if let Some(partitions) = &settings.partitions
        && partitions.highest().is_some_and(|highest| highest >= index.partitions)
    {
        let message =
            format!("instance `{name}`: partitions {partitions} are not all in `{}`", settings.index);
        findings.add(&place_of("partitions"), message, format!("partitions below {}", index.partitions));
    }
    let fewest = index.minimum_replicas;
    if settings.replicas as usize > fewest {
        let message = format!(
            "instance `{name}`: {} replicas are asked for, but a shard of `{}` has {fewest} leaves",
            settings.replicas, settings.index
        );
        findings.add(&place_of("replicas"), message, format!("at most {fewest}"));
    }
}
