//! A whole configuration: everything that is in force under one revision.

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

/// Everything that is in force under one revision. Immutable; a query pins one for its life.
#[derive(Clone, Debug, Serialize)]
pub struct Configuration {
    /// Revision and digest of the document that this was rendered from.
    pub version: Version,
    /// The services.
    pub services: BTreeMap<ServiceId, Arc<ServiceSettings>>,
    /// The zones whose leaves get nothing new.
    pub evacuated_zones: BTreeSet<ZoneName>,
    /// The document, from which peers are sent deltas. Index maps and leaves are kept as its entries
    /// alone: a node connects to few of the fleet's leaves, and reads just those.
    #[serde(skip)]
    pub document: Arc<Document>,
}

impl Configuration {
    /// Parses and validates a document as the platform serves it.
    ///
    /// # Errors
    /// [`ConfigurationError::Invalid`] with every finding.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigurationError> {
        Self::parse_with_base(file, text, &Document::default())
    }

    /// The same, for a text that is known to differ little from `like`, most often the document in
    /// force: what both have alike is kept once.
    ///
    /// # Errors
    /// As [`Configuration::parse`].
    pub fn parse_with_base(file: &str, text: &str, base: &Document) -> Result<Self, ConfigurationError> {
        let (document, services) = read(file, text, base)?;
        Ok(Self::new(document, services))
    }

    /// Validates a document received from a peer, in parts, so that little memory is needed at once.
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

    /// The configuration after `delta`, reading again just what the delta can change.
    ///
    /// # Errors
    /// [`ConfigurationError`] when the delta does not fit, or what results is not valid.
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

    /// An index with its leaves, read from the document.
    ///
    /// # Errors
    /// [`ConfigurationError::UnknownIndex`] when there is no such index.
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
