//! Splits a full configuration into parts for transfer, and reassembles it.

use std::collections::BTreeSet;

use sablebay_config::{Document, EntryKey, Version};
use sablebay_model::Micros;

use crate::message::{ConfigurationPart, FleetMessage};

/// Target content size of a part, in bytes.
const PART_BYTES: usize = 256 * 1024;
/// Time without a new part after which the full configuration is requested again.
const PART_TIMEOUT: Micros = Micros::from_secs(5);

/// Splits a document into messages.
pub fn parts_of(document: &Document) -> Vec<FleetMessage> {
    let mut parts: Vec<Vec<(EntryKey, String)>> = vec![Vec::new()];
    let mut bytes = 0;
    for entry in document.entries() {
        if bytes >= PART_BYTES {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += entry.content_bytes();
        let last = parts.last_mut().expect("at least one part exists");
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

/// A full configuration being received.
#[derive(Clone, Debug)]
pub struct Assembly {
    version: Version,
    parts: u32,
    received: BTreeSet<u32>,
    /// Entries received so far. The parts are not kept separately, to limit memory use.
    document: Document,
    last_part_at: Micros,
}

impl Assembly {
    pub fn new(version: Version, parts: u32, now: Micros) -> Self {
        let document = Document::new(version.revision, []);
        Self { version, parts, received: BTreeSet::new(), document, last_part_at: now }
    }

    /// The version being received.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Whether no part has arrived within [`PART_TIMEOUT`].
    pub fn is_stalled(&self, now: Micros) -> bool {
        now.since(self.last_part_at) > PART_TIMEOUT
    }

    /// Adds a part. Returns the document once all parts are present and its version matches the expected one.
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
