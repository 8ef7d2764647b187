//! Sending a whole configuration in parts, and putting it together again.

use std::collections::BTreeSet;

use sablebay_config::{Document, EntryKey, Version};
use sablebay_model::Micros;

use crate::message::{ConfigurationPart, FleetMessage};

/// Content bytes of one part, roughly.
const PART_BYTES: usize = 256 * 1024;
/// How long a part is waited for before the whole is asked for again.
const PART_TIMEOUT: Micros = Micros::from_secs(5);

/// The parts of a document.
pub fn parts_of(document: &Document) -> Vec<FleetMessage> {
    let mut parts: Vec<Vec<(EntryKey, String)>> = vec![Vec::new()];
    let mut bytes = 0;
    for entry in document.entries() {
        if bytes >= PART_BYTES {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += entry.content_bytes();
        let last = parts.last_mut().expect("there is a first part");
        last.push((entry.key(), entry.body().to_string()));
    }
    let count = parts.len() as u32;
    let message = |(part, entries)| {
        let part = part as u32;
        let version = document.version();
        FleetMessage::ConfigurationPart(ConfigurationPart { version, part, parts: count, entries })
    };
    parts.into_iter().enumerate().map(message).collect()
}

/// A whole configuration on its way in.
#[derive(Clone, Debug)]
pub struct Assembly {
    version: Version,
    parts: u32,
    received: BTreeSet<u32>,
    /// What the received parts hold: they are not kept besides, since a whole configuration is the
    /// largest thing that a node holds.
    document: Document,
    last_part_at: Micros,
}

impl Assembly {
    /// An assembly of `parts` parts.
    pub fn new(version: Version, parts: u32, now: Micros) -> Self {
        let document = Document::new(version.revision, []);
        Self { version, parts, received: BTreeSet::new(), document, last_part_at: now }
    }

    /// The version that is put together.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Whether it has waited too long for its next part.
    pub fn is_stalled(&self, now: Micros) -> bool {
        now.since(self.last_part_at) > PART_TIMEOUT
    }

    /// Takes a part in. Returns the document when it is whole and has the digest it should.
    pub fn add(&mut self, part: u32, entries: Vec<(EntryKey, String)>, now: Micros) -> Option<Document> {
        if part >= self.parts || !self.received.insert(part) {
            return None;
        }
        self.document.extend(entries);
        self.last_part_at = now;
        if self.received.len() < self.parts as usize {
            return None;
        }
        let document = std::mem::take(&mut self.document);
        (document.version() == self.version).then_some(document)
    }
}
