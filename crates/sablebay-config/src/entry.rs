//! The entries of a document, kept so that a fleet's whole configuration fits into little memory and
//! a small change costs little.
//!
//! An entry is one allocation. Entries lie in buckets by the hash of their key; a changed document
//! shares every bucket that the change does not touch.

use std::sync::Arc;

use derive_more::Display;
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

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
    /// What operators say of a zone.
    Zone,
}

impl EntryKind {
    /// Every kind.
    pub const ALL: [EntryKind; 5] =
        [EntryKind::Template, EntryKind::Instance, EntryKind::Index, EntryKind::Leaf, EntryKind::Zone];

    /// The name of the kind's table in a document.
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

/// One entry of a document. Cloning it shares the text.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The name, directly followed by the body.
    text: Arc<str>,
    name_bytes: u32,
    kind: EntryKind,
}

impl Entry {
    /// An entry; the body is an inline TOML table.
    pub fn new(kind: EntryKind, name: &str, body: &str) -> Self {
        let mut text = String::with_capacity(name.len() + body.len());
        text.push_str(name);
        text.push_str(body);
        let name_bytes = u32::try_from(name.len()).expect("a document is far below 4 GiB");
        Self { text: Arc::from(text), name_bytes, kind }
    }

    /// What the entry describes.
    pub fn kind(&self) -> EntryKind {
        self.kind
    }

    /// The entry's name.
    pub fn name(&self) -> &str {
        &self.text[..self.name_bytes as usize]
    }

    /// The entry's body: an inline TOML table.
    pub fn body(&self) -> &str {
        &self.text[self.name_bytes as usize..]
    }

    /// The entry's key.
    pub fn key(&self) -> EntryKey {
        EntryKey::new(self.kind, self.name())
    }

    /// Bytes of name and body.
    pub fn content_bytes(&self) -> usize {
        self.text.len()
    }

    /// A hash over kind, name and body.
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

/// How many buckets there are: at the two-year size a hundred entries lie in each.
const BUCKETS: usize = 1_024;

/// Entries by key, in buckets that are sorted by kind and name.
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

    /// The entry with a key.
    pub fn get(&self, kind: EntryKind, name: &str) -> Option<&Entry> {
        let (bucket, position) = self.position(kind, name);
        position.ok().map(|at| &self.buckets[bucket][at])
    }

    /// Adds an entry, and returns the one that it replaces.
    pub fn insert(&mut self, entry: Entry) -> Option<Entry> {
        let (bucket, position) = self.position(entry.kind, entry.name());
        let entries = Arc::make_mut(&mut self.buckets[bucket]);
        match position {
            Ok(at) => Some(std::mem::replace(&mut entries[at], entry)),
            Err(at) => {
                // One place at a time: a bucket's spare places would be kept for good.
                entries.reserve_exact(1);
                entries.insert(at, entry);
                None
            }
        }
    }

    /// Takes an entry out.
    pub fn remove(&mut self, key: &EntryKey) -> Option<Entry> {
        let (bucket, position) = self.position(key.kind, &key.name);
        position.ok().map(|at| Arc::make_mut(&mut self.buckets[bucket]).remove(at))
    }

    /// All entries, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.buckets.iter().flat_map(|bucket| bucket.iter())
    }

    /// All entries by kind and name.
    pub fn sorted(&self) -> Vec<&Entry> {
        let mut entries: Vec<&Entry> = self.iter().collect();
        entries.sort_unstable_by(|a, b| a.order().cmp(&b.order()));
        entries
    }

    /// The entries that `other` has not, or has with another body. Shared buckets are passed over.
    pub fn missing_from<'a>(&'a self, other: &'a EntryStore) -> impl Iterator<Item = &'a Entry> {
        let pairs = self.buckets.iter().zip(&other.buckets);
        let differing = pairs.filter(|(own, theirs)| !Arc::ptr_eq(own, theirs));
        let entries = differing.flat_map(|(own, _)| own.iter());
        entries.filter(|entry| other.get(entry.kind, entry.name()) != Some(*entry))
    }
}
