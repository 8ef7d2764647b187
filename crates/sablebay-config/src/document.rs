//! A configuration as a set of entries: what nodes send each other.
//!
//! One entry is one template, instance, index or leaf. A delta names the entries that changed.
//! The digest is a sum over the entries, so that it follows a delta without reading the rest.

use std::collections::BTreeSet;
use std::ops::Range;

use derive_more::Display;
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};
use toml::de::{DeTable, ValueDeserializer};

use sablebay_model::Revision;

use crate::entry::{Entry, EntryKey, EntryKind, EntryStore};
use crate::error::ConfigurationError;

/// A digest over all entries of a document.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Encode,
    Decode,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
#[musli(transparent)]
pub struct Digest(pub u64);

/// Revision and digest. Totally ordered: of two contents under one revision, the one with the
/// higher digest wins, everywhere alike.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Encode,
    Decode,
)]
#[display("{revision}/{digest}")]
pub struct Version {
    /// The revision.
    pub revision: Revision,
    /// The digest over its content.
    pub digest: Digest,
}

/// All entries of one revision. Bodies are inline TOML tables.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    revision: Revision,
    digest: Digest,
    entries: EntryStore,
}

/// What changed between two versions.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Delta {
    /// The version it starts from.
    pub from: Version,
    /// The version it leads to.
    pub to: Version,
    /// Entries that are new or different, with their bodies.
    pub changed: Vec<(EntryKey, String)>,
    /// Entries that are gone.
    pub removed: Vec<EntryKey>,
}

impl Delta {
    /// Bytes of the names and bodies: the bulk of its size on the wire.
    pub fn content_bytes(&self) -> usize {
        let changed: usize = self.changed.iter().map(|(key, body)| key.name.len() + body.len()).sum();
        changed + self.removed.iter().map(|key| key.name.len()).sum::<usize>()
    }
}

impl Document {
    /// A document from entries.
    pub fn new(revision: Revision, entries: impl IntoIterator<Item = (EntryKey, String)>) -> Self {
        let mut document = Self { revision, ..Self::default() };
        document.extend(entries);
        document
    }

    /// Sets the revision.
    pub fn set_revision(&mut self, revision: Revision) {
        self.revision = revision;
    }

    /// Adds entries, or replaces those that there are.
    pub fn extend(&mut self, entries: impl IntoIterator<Item = (EntryKey, String)>) {
        for (key, body) in entries {
            self.set(Entry::new(key.kind, &key.name, &body));
        }
    }

    /// Adds the entries in a parsed TOML table. Those that `like` has alike share its memory.
    ///
    /// # Errors
    /// The place of an entry that there is already, or of one that TOML's own values cannot hold; and
    /// what is wrong with it.
    pub fn add_table(&mut self, table: &DeTable<'_>, base: &Document) -> Result<(), (Range<usize>, String)> {
        for kind in EntryKind::ALL {
            let section = table.get(kind.section()).and_then(|section| section.get_ref().as_table());
            for (name, value) in section.into_iter().flatten() {
                if self.entry(kind, name.get_ref()).is_some() {
                    return Err((name.span(), format!("`{}` is there twice", name.get_ref())));
                }
                // One entry at a time, so that the document never stands in memory as a second tree.
                let body = toml::Value::deserialize(ValueDeserializer::from(value.clone()));
                let body = body.map_err(|error| (value.span(), error.message().to_string()))?;
                let entry = Entry::new(kind, name.get_ref(), &body.to_string());
                let unchanged = base.entry(kind, name.get_ref()).filter(|known| **known == entry);
                self.set(unchanged.cloned().unwrap_or(entry));
            }
        }
        Ok(())
    }

    /// Revision and digest.
    pub fn version(&self) -> Version {
        Version { revision: self.revision, digest: self.digest }
    }

    /// How many entries of one kind there are.
    pub fn count(&self, kind: EntryKind) -> usize {
        self.entries.iter().filter(|entry| entry.kind() == kind).count()
    }

    /// Bytes of all names and bodies.
    pub fn content_bytes(&self) -> usize {
        self.entries.iter().map(Entry::content_bytes).sum()
    }

    /// All entries, in no particular order.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// One entry.
    pub fn entry(&self, kind: EntryKind, name: &str) -> Option<&Entry> {
        self.entries.get(kind, name)
    }

    fn set(&mut self, entry: Entry) {
        let added = entry.digest();
        if let Some(previous) = self.entries.insert(entry) {
            self.digest.0 = self.digest.0.wrapping_sub(previous.digest());
        }
        self.digest.0 = self.digest.0.wrapping_add(added);
    }

    fn remove(&mut self, key: &EntryKey) {
        if let Some(previous) = self.entries.remove(key) {
            self.digest.0 = self.digest.0.wrapping_sub(previous.digest());
        }
    }

    /// What changed from `self` to `newer`.
    pub fn delta_to(&self, newer: &Document) -> Delta {
        let changed = newer.entries.missing_from(&self.entries);
        let mut changed: Vec<_> = changed.map(|entry| (entry.key(), entry.body().to_string())).collect();
        changed.sort_unstable();
        let is_removed = |entry: &&Entry| newer.entry(entry.kind(), entry.name()).is_none();
        let removed = self.entries.missing_from(&newer.entries).filter(is_removed);
        let mut removed: Vec<EntryKey> = removed.map(Entry::key).collect();
        removed.sort_unstable();
        Delta { from: self.version(), to: newer.version(), changed, removed }
    }

    /// The document after `delta`.
    ///
    /// # Errors
    /// When the delta starts from another version, or the result has not the digest it promised.
    pub fn apply(&self, delta: &Delta) -> Result<Document, ConfigurationError> {
        if delta.from != self.version() {
            return Err(ConfigurationError::BaseMismatch { delta_from: delta.from, current: self.version() });
        }
        let mut next = self.clone();
        next.revision = delta.to.revision;
        for key in &delta.removed {
            next.remove(key);
        }
        for (key, body) in &delta.changed {
            next.set(Entry::new(key.kind, &key.name, body));
        }
        if next.digest != delta.to.digest {
            return Err(ConfigurationError::DigestMismatch {
                expected: delta.to.digest,
                actual: next.digest,
            });
        }
        Ok(next)
    }

    /// All entries by kind and name.
    pub fn sorted(&self) -> Vec<&Entry> {
        self.entries.sorted()
    }

    /// The document as TOML text.
    pub fn to_text(&self) -> String {
        self.text_of(&self.sorted())
    }

    /// Some of its entries as TOML text.
    pub fn text_of(&self, entries: &[&Entry]) -> String {
        let mut text = format!("revision = {}\n", self.revision);
        for kind in EntryKind::ALL {
            text.push_str(&format!("[{}]\n", kind.section()));
            for entry in entries.iter().filter(|entry| entry.kind() == kind) {
                let name = toml::Value::String(entry.name().to_string());
                text.push_str(&format!("{name} = {}\n", entry.body()));
            }
        }
        text
    }

    /// The entries `roots` and all that they refer to, as a document that can be validated alone.
    pub fn closure(&self, roots: &[EntryKey]) -> Document {
        let mut closure = Self { revision: self.revision, ..Self::default() };
        let mut seen: BTreeSet<EntryKey> = BTreeSet::new();
        let mut pending: Vec<EntryKey> = roots.to_vec();
        while let Some(key) = pending.pop() {
            let Some(entry) = self.entry(key.kind, &key.name) else {
                continue;
            };
            if seen.insert(key) {
                pending.extend(references(entry));
                closure.set(entry.clone());
            }
        }
        closure
    }

    /// The entries that refer to one of `keys`.
    pub fn referring_to<'a>(
        &'a self,
        kind: EntryKind,
        keys: &'a [EntryKey],
    ) -> impl Iterator<Item = EntryKey> + 'a {
        let candidates = self.entries.iter().filter(move |entry| entry.kind() == kind);
        // Most bodies are passed over without being read: they do not even hold the name.
        let may_refer = |entry: &&Entry| keys.iter().any(|key| entry.body().contains(key.name.as_str()));
        let refers = |entry: &&Entry| references(entry).iter().any(|key| keys.contains(key));
        candidates.filter(may_refer).filter(refers).map(Entry::key)
    }
}

/// The entries that an entry refers to.
fn references(entry: &Entry) -> Vec<EntryKey> {
    let kind = entry.kind();
    let Ok(table) = format!("entry = {}", entry.body()).parse::<toml::Table>() else {
        return Vec::new();
    };
    let entry = &table["entry"];
    let named = |key: &str, kind: EntryKind| {
        let name = entry.get(key).and_then(toml::Value::as_str);
        name.map(|name| EntryKey::new(kind, name))
    };
    match kind {
        EntryKind::Leaf | EntryKind::Zone => Vec::new(),
        EntryKind::Template => {
            let mut keys: Vec<EntryKey> = named("extends", EntryKind::Template).into_iter().collect();
            keys.extend(named("index", EntryKind::Index));
            keys
        }
        EntryKind::Instance => {
            let mut keys: Vec<EntryKey> = named("template", EntryKind::Template).into_iter().collect();
            keys.extend(named("index", EntryKind::Index));
            if let Some(parameters) = entry.get("parameters").and_then(toml::Value::as_table) {
                let texts = parameters.values().filter_map(toml::Value::as_str);
                keys.extend(texts.map(|text| EntryKey::new(EntryKind::Index, text)));
            }
            keys
        }
        EntryKind::Index => {
            let shards = entry.get("shards").and_then(toml::Value::as_array).into_iter().flatten();
            let leaves = shards.filter_map(|shard| shard.get("leaves").and_then(toml::Value::as_array));
            let names = leaves.flatten().filter_map(toml::Value::as_str);
            names.map(|name| EntryKey::new(EntryKind::Leaf, name)).collect()
        }
    }
}
