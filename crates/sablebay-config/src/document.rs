//! Configuration documents as sets of entries, in the form that nodes exchange.
//!
//! An entry is a template, instance, index, leaf or zone. The digest is a sum over the entries, so that
//! a delta updates it without reading unchanged entries.

use std::collections::BTreeSet;
use std::ops::Range;

use derive_more::Display;
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};
use toml::de::{DeTable, ValueDeserializer};

use sablebay_model::Revision;

use crate::entry::{Entry, EntryKey, EntryKind, EntryStore};
use crate::error::ConfigurationError;

/// Digest of all entries of a document.
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

/// Revision and digest. The total order resolves conflicting contents of one revision in the same way
/// on all nodes: the higher digest wins.
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
    pub revision: Revision,
    pub digest: Digest,
}

/// All entries of one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    revision: Revision,
    digest: Digest,
    entries: EntryStore,
}

/// Difference between two document versions.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Delta {
    /// Base version.
    pub from: Version,
    /// Resulting version.
    pub to: Version,
    /// Added or modified entries with their bodies.
    pub changed: Vec<(EntryKey, String)>,
    pub removed: Vec<EntryKey>,
}

impl Delta {
    /// Total size of names and bodies, which approximates the encoded size.
    pub fn content_bytes(&self) -> usize {
        let changed: usize = self.changed.iter().map(|(key, body)| key.name.len() + body.len()).sum();
        changed + self.removed.iter().map(|key| key.name.len()).sum::<usize>()
    }
}

impl Document {
    pub fn new(revision: Revision, entries: impl IntoIterator<Item = (EntryKey, String)>) -> Self {
        let mut document = Self { revision, ..Self::default() };
        document.extend(entries);
        document
    }

    pub fn set_revision(&mut self, revision: Revision) {
        self.revision = revision;
    }

    /// Adds or replaces entries.
    pub fn extend(&mut self, entries: impl IntoIterator<Item = (EntryKey, String)>) {
        for (key, body) in entries {
            self.set(Entry::new(key.kind, &key.name, &body));
        }
    }

    /// Adds the entries of a parsed TOML table. Entries equal to those of `base` share their memory.
    ///
    /// # Errors
    /// Returns the position and a description of the first duplicate entry or unrepresentable value.
    pub fn add_table(&mut self, table: &DeTable<'_>, base: &Document) -> Result<(), (Range<usize>, String)> {
        for kind in EntryKind::ALL {
            let section = table.get(kind.section()).and_then(|section| section.get_ref().as_table());
            for (name, value) in section.into_iter().flatten() {
                if self.entry(kind, name.get_ref()).is_some() {
                    return Err((name.span(), format!("duplicate entry `{}`", name.get_ref())));
                }
                // Converts one entry at a time to avoid a second tree of the whole document in memory.
                let body = toml::Value::deserialize(ValueDeserializer::from(value.clone()));
                let body = body.map_err(|error| (value.span(), error.message().to_string()))?;
                let entry = Entry::new(kind, name.get_ref(), &body.to_string());
                let unchanged = base.entry(kind, name.get_ref()).filter(|known| **known == entry);
                self.set(unchanged.cloned().unwrap_or(entry));
            }
        }
        Ok(())
    }

    pub fn version(&self) -> Version {
        Version { revision: self.revision, digest: self.digest }
    }

    /// Number of entries of a kind.
    pub fn count(&self, kind: EntryKind) -> usize {
        self.entries.iter().filter(|entry| entry.kind() == kind).count()
    }

    /// Total size of names and bodies, in bytes.
    pub fn content_bytes(&self) -> usize {
        self.entries.iter().map(Entry::content_bytes).sum()
    }

    /// Iterates over all entries in unspecified order.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

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

    /// Computes the delta from `self` to `newer`.
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

    /// Returns the document with `delta` applied.
    ///
    /// # Errors
    /// Fails when the base version or the digest of the result does not match the delta.
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

    /// Returns all entries, ordered by kind and name.
    pub fn sorted(&self) -> Vec<&Entry> {
        self.entries.sorted()
    }

    /// Renders the document as TOML.
    pub fn to_text(&self) -> String {
        self.text_of(&self.sorted())
    }

    /// Renders some entries as TOML.
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

    /// Returns a self-contained document of the entries `roots` and everything they refer to.
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

    /// Returns the entries of a kind that refer to any of `keys`.
    pub fn referring_to<'a>(
        &'a self,
        kind: EntryKind,
        keys: &'a [EntryKey],
    ) -> impl Iterator<Item = EntryKey> + 'a {
        let candidates = self.entries.iter().filter(move |entry| entry.kind() == kind);
        // A substring search avoids parsing most bodies.
        let may_refer = |entry: &&Entry| keys.iter().any(|key| entry.body().contains(key.name.as_str()));
        let refers = |entry: &&Entry| references(entry).iter().any(|key| keys.contains(key));
        candidates.filter(may_refer).filter(refers).map(Entry::key)
    }
}

/// Returns the keys of the entries to which an entry refers.
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
