//! Validated configuration of one revision.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Serialize;

use sablebay_model::{IndexId, ServiceId, ZoneName};

use crate::document::{Delta, Document, Version};
use crate::entry::{EntryKey, EntryKind};
use crate::error::ConfigurationError;
use crate::index::IndexLayout;
use crate::reader::{read, read_in_parts, read_layout, read_services};
use crate::service::ServiceSettings;
use crate::zone::evacuated_zones;

/// Validated configuration of one revision. Immutable; a query uses the same one until it ends.
#[derive(Clone, Debug, Serialize)]
pub struct Configuration {
    /// Version of the source document.
    pub version: Version,
    pub services: BTreeMap<ServiceId, Arc<ServiceSettings>>,
    /// Zones whose leaves receive no new calls.
    pub evacuated_zones: BTreeSet<ZoneName>,
    /// Source document, used to compute deltas for peers. Index maps and leaves are parsed from it on
    /// demand, since a node uses few of them.
    #[serde(skip)]
    pub document: Arc<Document>,
}

impl Configuration {
    /// Parses and validates a document from the platform.
    ///
    /// # Errors
    /// [`ConfigurationError::Invalid`] with all findings.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigurationError> {
        Self::parse_with_base(file, text, &Document::default())
    }

    /// Like [`Configuration::parse`], but shares the memory of entries that are unchanged from `base`.
    ///
    /// # Errors
    /// As [`Configuration::parse`].
    pub fn parse_with_base(file: &str, text: &str, base: &Document) -> Result<Self, ConfigurationError> {
        let (document, services) = read(file, text, base)?;
        Ok(Self::new(document, services))
    }

    /// Validates a document from a peer in parts, which limits peak memory use.
    ///
    /// # Errors
    /// As [`Configuration::parse`].
    pub fn from_document(document: Document) -> Result<Self, ConfigurationError> {
        let services = read_in_parts("peer", &document)?;
        Ok(Self::new(document, services))
    }

    fn new(document: Document, services: Vec<ServiceSettings>) -> Self {
        Self {
            version: document.version(),
            evacuated_zones: evacuated_zones(&document),
            services: services.into_iter().map(|s| (s.service.clone(), Arc::new(s))).collect(),
            document: Arc::new(document),
        }
    }

    /// Applies `delta`, and parses only the entries that it can affect.
    ///
    /// # Errors
    /// Fails when the delta does not match this version or its result is invalid.
    pub fn apply(&self, delta: &Delta) -> Result<Self, ConfigurationError> {
        let document = self.document.apply(delta)?;
        let affected = self.affected_entries(delta);
        let closure = document.closure(&affected);
        let services = read_services("peer", &closure.to_text())?;
        let mut next = self.clone();
        for key in delta.removed.iter().filter(|key| key.kind == EntryKind::Instance) {
            next.services.remove(&ServiceId::new(&key.name));
        }
        next.version = document.version();
        next.evacuated_zones = evacuated_zones(&document);
        next.document = Arc::new(document);
        for service in services {
            next.services.insert(service.service.clone(), Arc::new(service));
        }
        Ok(next)
    }

    /// Parses an index map and its leaves.
    ///
    /// # Errors
    /// [`ConfigurationError::UnknownIndex`] if there is no such index.
    pub fn index_layout(&self, index: &IndexId) -> Result<IndexLayout, ConfigurationError> {
        let key = EntryKey::new(EntryKind::Index, index.as_str());
        let closure = self.document.closure(&[key]);
        let (maps, leaves) = read_layout("document", &closure.to_text())?;
        let Some(map) = maps.into_iter().next() else {
            return Err(ConfigurationError::UnknownIndex { index: index.clone() });
        };
        let leaves = leaves.into_iter().map(|leaf| (leaf.leaf.clone(), Arc::new(leaf))).collect();
        Ok(IndexLayout { map, leaves, source: closure.entries().cloned().collect() })
    }

    /// Parses all index maps and their leaves.
    ///
    /// # Errors
    /// As [`Configuration::index_layout`]; never fails for a valid configuration.
    pub fn index_layouts(&self) -> Result<Vec<IndexLayout>, ConfigurationError> {
        let indexes = self.document.entries().filter(|entry| entry.kind() == EntryKind::Index);
        indexes.map(|entry| self.index_layout(&IndexId::new(entry.name()))).collect()
    }

    /// Returns the entries that a delta can affect: its own entries, instances of changed templates and
    /// indexes, and indexes with removed leaves.
    fn affected_entries(&self, delta: &Delta) -> Vec<EntryKey> {
        let touched = || delta.changed.iter().map(|(key, _)| key).chain(&delta.removed);
        let mut affected: Vec<EntryKey> = delta.changed.iter().map(|(key, _)| key.clone()).collect();
        let affects_instances =
            touched().any(|key| matches!(key.kind, EntryKind::Template | EntryKind::Index));
        if affects_instances {
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
