//! Compact copy-on-write storage for the entries of a document.
//!
//! Each entry is one allocation. Entries are stored in buckets by key hash; a modified copy shares the
//! buckets without changes.

use std::sync::Arc;

use derive_more::Display;
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Type of configuration object that an entry describes.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(rename_all = "snake_case")]
pub enum EntryKind {
    Template,
    /// Service, as an instance of a template.
    Instance,
    Index,
    Leaf,
    /// Operator settings of a zone.
    Zone,
}

impl EntryKind {
    pub const ALL: [EntryKind; 5] =
        [EntryKind::Template, EntryKind::Instance, EntryKind::Index, EntryKind::Leaf, EntryKind::Zone];

    /// Name of the document table that contains entries of this kind.
    pub const fn section(self) -> &'static str {
        match self {
            EntryKind::Template => "templates",
            EntryKind::Instance => "instances",
            EntryKind::Index => "indexes",
            EntryKind::Leaf => "leaves",
            EntryKind::Zone => "zones",
        }
    }
}

/// Key of an entry in a document.
#[derive(
    Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[display("{}.{name}", kind.section())]
pub struct EntryKey {
    pub kind: EntryKind,
    pub name: String,
}

impl EntryKey {
    pub fn new(kind: EntryKind, name: &str) -> Self {
        Self { kind, name: name.to_string() }
    }
}

/// Entry of a document. Clones share the text.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Concatenation of name and body.
    text: Arc<str>,
    name_bytes: u32,
    kind: EntryKind,
}

impl Entry {
    /// Creates an entry. The body must be an inline TOML table.
    pub fn new(kind: EntryKind, name: &str, body: &str) -> Self {
        let mut text = String::with_capacity(name.len() + body.len());
        text.push_str(name);
        text.push_str(body);
        let name_bytes = u32::try_from(name.len()).expect("entry name is shorter than 4 GiB");
        Self { text: Arc::from(text), name_bytes, kind }
    }

    pub fn kind(&self) -> EntryKind {
        self.kind
    }

    pub fn name(&self) -> &str {
        &self.text[..self.name_bytes as usize]
    }

    /// Body as an inline TOML table.
    pub fn body(&self) -> &str {
        &self.text[self.name_bytes as usize..]
    }

    pub fn key(&self) -> EntryKey {
        EntryKey::new(self.kind, self.name())
    }

    /// Size of name and body, in bytes.
    pub fn content_bytes(&self) -> usize {
        self.text.len()
    }

    /// Hash of kind, name and body.
    pub fn digest(&self) -> u64 {
        let mut bytes = Vec::with_capacity(self.text.len() + 2);
        bytes.push(self.kind as u8);
        bytes.extend_from_slice(self.name().as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(self.body().as_bytes());
        xxh3_64(&bytes)
    }

    fn order(&self) -> (EntryKind, &str) {
        (self.kind, self.name())
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        let same_key = self.kind == other.kind && self.name_bytes == other.name_bytes;
        same_key && (Arc::ptr_eq(&self.text, &other.text) || self.text == other.text)
    }
}

/// At the two-year size about a hundred entries lie in each bucket.
const BUCKETS: usize = 1_024;

/// Hash table of entries. Each bucket is sorted by kind and name.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryStore {
    buckets: Vec<Arc<Vec<Entry>>>,
}

impl Default for EntryStore {
    fn default() -> Self {
        Self { buckets: vec![Arc::default(); BUCKETS] }
    }
}

fn bucket_of(kind: EntryKind, name: &str) -> usize {
    let hash = xxh3_64(name.as_bytes()).wrapping_add(kind as u64);
    (hash % BUCKETS as u64) as usize
}

impl EntryStore {
    fn position(&self, kind: EntryKind, name: &str) -> (usize, Result<usize, usize>) {
        let bucket = bucket_of(kind, name);
        (bucket, self.buckets[bucket].binary_search_by(|entry| entry.order().cmp(&(kind, name))))
    }

    pub fn get(&self, kind: EntryKind, name: &str) -> Option<&Entry> {
        let (bucket, position) = self.position(kind, name);
        position.ok().map(|at| &self.buckets[bucket][at])
    }

    /// Adds an entry and returns the one it replaces.
    pub fn insert(&mut self, entry: Entry) -> Option<Entry> {
        let (bucket, position) = self.position(entry.kind, entry.name());
        let entries = Arc::make_mut(&mut self.buckets[bucket]);
        match position {
            Ok(at) => Some(std::mem::replace(&mut entries[at], entry)),
            Err(at) => {
                // Avoids the unused capacity of amortized growth, since buckets are long-lived.
                entries.reserve_exact(1);
                entries.insert(at, entry);
                None
            }
        }
    }

    /// Removes and returns an entry.
    pub fn remove(&mut self, key: &EntryKey) -> Option<Entry> {
        let (bucket, position) = self.position(key.kind, &key.name);
        position.ok().map(|at| Arc::make_mut(&mut self.buckets[bucket]).remove(at))
    }

    /// Iterates over all entries in unspecified order.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.buckets.iter().flat_map(|bucket| bucket.iter())
    }

    /// Returns all entries, ordered by kind and name.
    pub fn sorted(&self) -> Vec<&Entry> {
        let mut entries: Vec<&Entry> = self.iter().collect();
        entries.sort_unstable_by(|a, b| a.order().cmp(&b.order()));
        entries
    }

    /// Returns the entries that are absent from `other` or have a different body there. Skips shared
    /// buckets.
    pub fn missing_from<'a>(&'a self, other: &'a EntryStore) -> impl Iterator<Item = &'a Entry> {
        let pairs = self.buckets.iter().zip(&other.buckets);
        let differing = pairs.filter(|(own, theirs)| !Arc::ptr_eq(own, theirs));
        let entries = differing.flat_map(|(own, _)| own.iter());
        entries.filter(|entry| other.get(entry.kind, entry.name()) != Some(*entry))
    }
}
