//! Configuration of sablebay: node settings, templates, instances and index maps.
//!
//! Parsing and validation are pure functions from text to a value or to **all** findings with their
//! positions. This crate performs no I/O and reads no clock.

mod configuration;
mod document;
mod entry;
mod error;
mod finding;
mod gateway_settings;
mod index;
mod nearest;
mod node_flags;
mod node_settings;
mod reader;
mod section;
mod service;
mod split;
mod template;
mod zone;

pub use configuration::Configuration;
pub use document::{Delta, Digest, Document, Version};
pub use entry::{Entry, EntryKey, EntryKind};
pub use error::ConfigurationError;
pub use finding::{Finding, Findings};
pub use gateway_settings::GatewaySettings;
pub use index::{IndexLayout, IndexMap, LeafSettings, Shard};
pub use nearest::nearest_name;
pub use node_flags::{node_flags, overrides_from_flags};
pub use node_settings::{LogFormat, LogTarget, NodeSettings};
pub use service::{FanOut, Priority, ServiceSettings, WhenUnconfirmed};
