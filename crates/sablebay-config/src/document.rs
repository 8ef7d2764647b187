//! A configuration as a set of entries: what nodes send each other.
//!
//! One entry is one template, instance, index or leaf. A delta names the entries that changed.
//! The digest is a sum over the entries, so that it follows a delta without reading the rest.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use derive_more::Display;
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use sablebay_model::Revision;

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

/// What an entry describes.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(rename_all = "snake_case")]
pub enum EntryKind {
    /// A template.
    Template,
    /// An instance of a template: a service.
    Instance,
    /// An index map.
    Index,
    /// A leaf.
    Leaf,
}

impl EntryKind {
    /// Every kind.
    pub const ALL: [EntryKind; 4] =
        [EntryKind::Template, EntryKind::Instance, EntryKind::Index, EntryKind::Leaf];

    /// The name of the kind's table in a document.
    pub const fn section(self) -> &'static str {
        match self {
            EntryKind::Template => "templates",
            EntryKind::Instance => "instances",
            EntryKind::Index => "indexes",
            EntryKind::Leaf => "leaves",
        }
    }
}

/// Names one entry of a document.
#[derive(
    Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[display("{}.{name}", kind.section())]
pub struct EntryKey {
    /// What the entry describes.
    pub kind: EntryKind,
    /// Its name.
    pub name: String,
}

impl EntryKey {
    /// The key of the entry `name` of `kind`.
    pub fn new(kind: EntryKind, name: &str) -> Self {
        Self { kind, name: name.to_string() }
    }
}

/// All entries of one revision. Bodies are inline TOML tables.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    revision: Revision,
    digest: Digest,
    entries: BTreeMap<EntryKey, Arc<str>>,
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

fn entry_digest(key: &EntryKey, body: &str) -> u64 {
    let mut bytes = Vec::with_capacity(key.name.len() + body.len() + 2);
    bytes.push(key.kind as u8);
    bytes.extend_from_slice(key.name.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(body.as_bytes());
    xxh3_64(&bytes)
}

impl Document {
    /// A document from entries.
    pub fn new(revision: Revision, entries: impl IntoIterator<Item = (EntryKey, String)>) -> Self {
        let mut document = Self { revision, ..Self::default() };
        for (key, body) in entries {
            document.set(key, &body);
        }
        document
    }

    /// The document in a parsed TOML table that has been validated.
    pub fn from_table(revision: Revision, table: &toml::Table) -> Self {
        let mut document = Self { revision, ..Self::default() };
        for kind in EntryKind::ALL {
            let Some(toml::Value::Table(section)) = table.get(kind.section()) else {
                continue;
            };
            for (name, value) in section {
                document.set(EntryKey::new(kind, name), &value.to_string());
            }
        }
        document
    }

    /// Revision and digest.
    pub fn version(&self) -> Version {
        Version { revision: self.revision, digest: self.digest }
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of all names and bodies.
    pub fn content_bytes(&self) -> usize {
        self.entries.iter().map(|(key, body)| key.name.len() + body.len()).sum()
    }

    /// All entries with their bodies.
    pub fn entries(&self) -> impl Iterator<Item = (&EntryKey, &str)> {
        self.entries.iter().map(|(key, body)| (key, body.as_ref()))
    }

    fn set(&mut self, key: EntryKey, body: &str) {
        let added = entry_digest(&key, body);
        if let Some(previous) = self.entries.insert(key.clone(), Arc::from(body)) {
            self.digest.0 = self.digest.0.wrapping_sub(entry_digest(&key, &previous));
        }
        self.digest.0 = self.digest.0.wrapping_add(added);
    }

    fn unset(&mut self, key: &EntryKey) {
        if let Some(previous) = self.entries.remove(key) {
            self.digest.0 = self.digest.0.wrapping_sub(entry_digest(key, &previous));
        }
    }

    /// What changed from `self` to `newer`.
    pub fn delta_to(&self, newer: &Document) -> Delta {
        let changed = newer
            .entries
            .iter()
            .filter(|(key, body)| self.entries.get(*key) != Some(*body))
            .map(|(key, body)| (key.clone(), body.to_string()))
            .collect();
        let removed = self.entries.keys().filter(|key| !newer.entries.contains_key(*key));
        Delta { from: self.version(), to: newer.version(), changed, removed: removed.cloned().collect() }
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
            next.unset(key);
        }
        for (key, body) in &delta.changed {
            next.set(key.clone(), body);
        }
        if next.digest != delta.to.digest {
            return Err(ConfigurationError::DigestMismatch {
                promised: delta.to.digest,
                actual: next.digest,
            });
        }
        Ok(next)
    }

    /// The document as TOML text.
    pub fn to_text(&self) -> String {
        let mut text = format!("revision = {}\n", self.revision);
        for kind in EntryKind::ALL {
            text.push_str(&format!("[{}]\n", kind.section()));
            for (key, body) in self.entries.iter().filter(|(key, _)| key.kind == kind) {
                let name = toml::Value::String(key.name.clone());
                text.push_str(&format!("{name} = {body}\n"));
            }
        }
        text
    }

    /// The entries `roots` and all that they refer to, as a document that can be validated alone.
    pub fn closure(&self, roots: &[EntryKey]) -> Document {
        let mut wanted: BTreeSet<EntryKey> = BTreeSet::new();
        let mut pending: Vec<EntryKey> = roots.to_vec();
        while let Some(key) = pending.pop() {
            let Some(body) = self.entries.get(&key) else {
                continue;
            };
            if wanted.insert(key.clone()) {
                pending.extend(references(key.kind, body));
            }
        }
        let entries = wanted.into_iter().map(|key| {
            let body = self.entries[&key].to_string();
            (key, body)
        });
        Document::new(self.revision, entries)
    }
}

/// The entries that an entry refers to.
fn references(kind: EntryKind, body: &str) -> Vec<EntryKey> {
    let Ok(wrapped) = format!("entry = {body}").parse::<toml::Table>() else {
        return Vec::new();
    };
    let entry = &wrapped["entry"];
    let named = |key: &str, kind: EntryKind| {
        let name = entry.get(key).and_then(toml::Value::as_str);
        name.map(|name| EntryKey::new(kind, name))
    };
    match kind {
        EntryKind::Leaf => Vec::new(),
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
