//! Messages between nodes for membership and configuration. Each is one-way, and may be lost,
//! repeated or come late.

use std::sync::Arc;

use musli::{Decode, Encode};

use sablebay_config::{Delta, EntryKey, Version};
use sablebay_model::NodeId;

use crate::member::MemberInfo;
use crate::members::MemberClaim;
use crate::rumour::Rumour;

/// Are you there? The sender introduces itself, and names the configuration it runs.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Probe {
    /// Echoed in the answer.
    pub sequence: u64,
    /// The sender.
    pub info: Arc<MemberInfo>,
    /// The sender's refutation count.
    pub refutation: u32,
    /// The highest configuration that the sender has heard of.
    pub version: Version,
    /// News.
    pub rumours: Vec<Rumour>,
}

/// A part of a whole configuration.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ConfigurationPart {
    /// The version of the whole.
    pub version: Version,
    /// The part's number, from zero.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// The entries in this part.
    pub entries: Vec<(EntryKey, String)>,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum FleetMessage {
    /// Are you there?
    Probe(Probe),
    /// The answer to a probe.
    ProbeAck {
        /// Of the probe.
        sequence: u64,
        /// The highest configuration that the sender has heard of.
        version: Version,
        /// News.
        rumours: Vec<Rumour>,
    },
    /// Please probe `target` for me.
    IndirectProbe {
        /// Echoed in the answer.
        sequence: u64,
        /// Whom to probe.
        target: NodeId,
    },
    /// The target of an indirect probe answered.
    IndirectAck {
        /// Of the indirect probe.
        sequence: u64,
    },
    /// News that cannot wait for a probe.
    Gossip {
        /// The news.
        rumours: Vec<Rumour>,
    },
    /// A change of configuration.
    ConfigurationDelta {
        /// The change.
        delta: Arc<Delta>,
    },
    /// There is a newer configuration than the receiver may have.
    ConfigurationAnnounced {
        /// Its version.
        version: Version,
    },
    /// Please send what leads from `have` to the newest.
    ConfigurationRequest {
        /// What the sender has.
        have: Version,
    },
    /// A part of a whole configuration.
    ConfigurationPart(ConfigurationPart),
    /// Please send the members you know.
    MembersRequest,
    /// The members that the sender knows, itself among them.
    Members {
        /// One claim a member.
        members: Vec<MemberClaim>,
        /// The highest configuration that the sender has heard of: a node that joins must know it
        /// before it takes one from the platform.
        version: Version,
    },
}
