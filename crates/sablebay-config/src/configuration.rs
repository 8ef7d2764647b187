//! A whole configuration: everything that is in force under one revision.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::sync::Arc;

use serde::Serialize;
use toml::de::DeTable;

use sablebay_model::{IndexId, LeafId, Revision, ServiceId, ZoneName};

use crate::document::{Delta, Document, Version};
use crate::entry::{EntryKey, EntryKind};
use crate::error::ConfigurationError;
use crate::finding::{Finding, Findings};
use crate::index::{IndexLayout, IndexMap, LeafSettings, read_index, read_leaf};
use crate::nearest::nearest_name;
use crate::section::{Layer, Section, layer};
use crate::service::ServiceSettings;
use crate::template::{Templates, check_templates, read_instance};

/// Everything that is in force under one revision. Immutable; a query pins one for its life.
#[derive(Clone, Debug, Serialize)]
pub struct Configuration {
    /// Revision and digest of the document that this was rendered from.
    pub version: Version,
    /// The services.
    pub services: BTreeMap<ServiceId, Arc<ServiceSettings>>,
    /// The document, from which peers are sent deltas. Index maps and leaves are kept as its entries
    /// alone: a node connects to few of the fleet's leaves, and reads just those.
    #[serde(skip)]
    pub document: Arc<Document>,
}

/// The values read from one document.
#[derive(Default)]
struct Parts {
    revision: Revision,
    services: Vec<ServiceSettings>,
    indexes: Vec<IndexMap>,
    leaves: Vec<LeafSettings>,
}

impl Configuration {
    /// Parses and validates a document as the platform serves it.
    ///
    /// # Errors
    /// [`ConfigurationError::Invalid`] with every finding.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigurationError> {
        let (table, parts) = parse_parts(file, text)?;
        let document = Arc::new(Document::from_table(parts.revision, &table));
        Ok(Self {
            version: document.version(),
            services: parts.services.into_iter().map(|s| (s.service.clone(), Arc::new(s))).collect(),
            document,
        })
    }

    /// Parses a document received from a peer.
    ///
    /// # Errors
    /// As [`Configuration::parse`].
    pub fn from_document(document: Document) -> Result<Self, ConfigurationError> {
        Self::parse("peer", &document.to_text())
    }

    /// The configuration after `delta`, reading again just what the delta can change.
    ///
    /// # Errors
    /// [`ConfigurationError`] when the delta does not fit, or what results is not valid.
    pub fn apply(&self, delta: &Delta) -> Result<Self, ConfigurationError> {
        let document = self.document.apply(delta)?;
        let affected = self.affected_entries(delta);
        let closure = document.closure(&affected);
        let (_, parts) = parse_parts("peer", &closure.to_text())?;
        let mut next = self.clone();
        for key in delta.removed.iter().filter(|key| key.kind == EntryKind::Instance) {
            next.services.remove(&ServiceId::new(&key.name));
        }
        next.version = document.version();
        next.document = Arc::new(document);
        next.insert(parts);
        Ok(next)
    }

    fn insert(&mut self, parts: Parts) {
        for service in parts.services {
            self.services.insert(service.service.clone(), Arc::new(service));
        }
    }

    /// An index with its leaves, read from the document.
    ///
    /// # Errors
    /// [`ConfigurationError::UnknownIndex`] when there is no such index.
    pub fn index_layout(&self, index: &IndexId) -> Result<IndexLayout, ConfigurationError> {
        let key = EntryKey::new(EntryKind::Index, index.as_str());
        let closure = self.document.closure(&[key]);
        let (_, parts) = parse_parts("document", &closure.to_text())?;
        let Some(map) = parts.indexes.into_iter().next() else {
            return Err(ConfigurationError::UnknownIndex { index: index.clone() });
        };
        let leaves = parts.leaves.into_iter().map(|leaf| (leaf.leaf.clone(), Arc::new(leaf))).collect();
        Ok(IndexLayout { map, leaves, source: closure.entries().cloned().collect() })
    }

    /// Every index with its leaves.
    ///
    /// # Errors
    /// As [`Configuration::index_layout`]; none for a configuration that was accepted.
    pub fn index_layouts(&self) -> Result<Vec<IndexLayout>, ConfigurationError> {
        let indexes = self.document.entries().filter(|entry| entry.kind() == EntryKind::Index);
        indexes.map(|entry| self.index_layout(&IndexId::new(entry.name()))).collect()
    }

    /// The entries whose rendering a delta can change: those in it, the instances of changed
    /// templates and indexes, and the indexes that name removed leaves.
    fn affected_entries(&self, delta: &Delta) -> Vec<EntryKey> {
        let touched = || delta.changed.iter().map(|(key, _)| key).chain(&delta.removed);
        let mut affected: Vec<EntryKey> = delta.changed.iter().map(|(key, _)| key.clone()).collect();
        let structural = touched().any(|key| matches!(key.kind, EntryKind::Template | EntryKind::Index));
        if structural {
            for service in self.services.values() {
                let uses = |key: &EntryKey| match key.kind {
                    EntryKind::Template => service.templates.contains(&key.name),
                    EntryKind::Index => service.index.as_str() == key.name,
                    _ => false,
                };
                if touched().any(uses) {
                    affected.push(EntryKey::new(EntryKind::Instance, service.service.as_str()));
                }
            }
        }
        let removed_leaves: Vec<EntryKey> =
            delta.removed.iter().filter(|key| key.kind == EntryKind::Leaf).cloned().collect();
        affected.extend(self.document.referring_to(EntryKind::Index, &removed_leaves));
        affected
    }
}

/// Parses and validates one document; all findings or all values.
fn parse_parts(file: &str, text: &str) -> Result<(toml::Table, Parts), ConfigurationError> {
    let findings = Findings::new(file, text);
    let (root, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let place = error.span().unwrap_or(0..0);
        findings.add(&place, format!("not TOML: {}", error.message()), "");
    }
    let parts = read_root(&findings, root.get_ref());
    let list = findings.into_sorted();
    if !list.is_empty() {
        return Err(ConfigurationError::Invalid { findings: list });
    }
    let table = text.parse::<toml::Table>().map_err(|error| ConfigurationError::Invalid {
        findings: vec![Finding {
            file: file.to_string(),
            line: 1,
            column: 1,
            message: error.message().to_string(),
            expected: String::new(),
            nearest: None,
        }],
    })?;
    Ok((table, parts))
}

fn read_root(findings: &Findings, root: &DeTable<'_>) -> Parts {
    let section = Section::new(findings, "document".to_string(), 0..0, layer(root));
    let revision = Revision(section.integer("revision", 1..=i64::MAX as u64).unwrap_or(0));
    section.missing("revision", "the revision's number");
    let leaves = section.named_tables(EntryKind::Leaf.section());
    let indexes = section.named_tables(EntryKind::Index.section());
    let templates: Templates<'_> = section
        .named_tables(EntryKind::Template.section())
        .into_iter()
        .map(|(name, place, keys)| (name, (place, keys)))
        .collect();
    let instances = section.named_tables(EntryKind::Instance.section());
    section.finish();

    let mut leaves: Vec<LeafSettings> =
        leaves.iter().map(|(name, place, keys)| read_leaf(findings, name, place, keys)).collect();
    share_zones(&mut leaves);
    let known: BTreeMap<&str, LeafId> =
        leaves.iter().map(|leaf| (leaf.leaf.as_str(), leaf.leaf.clone())).collect();
    let indexes: Vec<IndexMap> =
        indexes.iter().map(|(name, place, keys)| read_index(findings, name, place, keys, &known)).collect();
    check_templates(findings, &templates);
    let services = instances
        .iter()
        .map(|(name, place, keys)| {
            let settings = read_instance(findings, &templates, name, place, keys);
            check_against_index(findings, &settings, place, keys, &indexes);
            settings
        })
        .collect();
    Parts { revision, services, indexes, leaves }
}

/// Lets leaves of one zone share its name: there are few zones and very many leaves.
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

/// Checks what a service asks of its index: that there is one, its partitions, its replicas.
fn check_against_index(
    findings: &Findings,
    settings: &ServiceSettings,
    place: &Range<usize>,
    keys: &Layer<'_>,
    indexes: &[IndexMap],
) {
    let name = &settings.service;
    let place_of = |key: &str| keys.get(key).map_or(place.clone(), |place| place.range());
    if settings.index.as_str().is_empty() {
        return;
    }
    let Some(index) = indexes.iter().find(|index| index.index == settings.index) else {
        let nearest = nearest_name(settings.index.as_str(), indexes.iter().map(|i| i.index.as_str()));
        let message = format!("instance `{name}`: there is no index `{}`", settings.index);
        findings.add_with_nearest(&place_of("index"), message, "an index's name", nearest);
        return;
    };
    let all = PartitionsOf(index);
    if let Some(partitions) = &settings.partitions
        && !all.contains(partitions)
    {
        let message = format!("instance `{name}`: partitions {partitions} are not all in `{}`", index.index);
        findings.add(&place_of("partitions"), message, format!("partitions below {}", index.partitions));
    }
    let fewest = index.shards.iter().map(|shard| shard.leaves.len()).min().unwrap_or(0);
    if settings.replicas as usize > fewest {
        let message = format!(
            "instance `{name}`: {} replicas are asked for, but a shard of `{}` has {fewest} leaves",
            settings.replicas, index.index
        );
        findings.add(&place_of("replicas"), message, format!("at most {fewest}"));
    }
}

struct PartitionsOf<'a>(&'a IndexMap);

impl PartitionsOf<'_> {
    fn contains(&self, partitions: &sablebay_model::PartitionSet) -> bool {
        partitions.highest().is_none_or(|highest| highest < self.0.partitions)
    }
}
