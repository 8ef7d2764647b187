//! Messages between nodes for membership and configuration. All are one-way and may be lost,
//! duplicated or delayed.

use std::sync::Arc;

use musli::{Decode, Encode};

use sablebay_config::{Delta, EntryKey, Version};
use sablebay_model::NodeId;

use crate::member::MemberInfo;
use crate::members::MemberClaim;
use crate::rumour::Rumour;

/// A liveness probe. Carries the sender's identity and the highest configuration version it knows.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Probe {
    /// Echoed in the acknowledgement.
    pub sequence: u64,
    pub info: Arc<MemberInfo>,
    /// The sender's refutation count.
    pub refutation: u32,
    /// The highest configuration version known to the sender.
    pub version: Version,
    /// Piggybacked rumours.
    pub rumours: Vec<Rumour>,
}

/// One part of a full configuration transfer.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ConfigurationPart {
    /// The version of the full configuration.
    pub version: Version,
    /// Zero-based part number.
    pub part: u32,
    /// Total number of parts.
    pub parts: u32,
    pub entries: Vec<(EntryKey, String)>,
}

/// A message between fleet nodes.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum FleetMessage {
    Probe(Probe),
    /// Acknowledges a probe.
    ProbeAck {
        /// Sequence number of the probe.
        sequence: u64,
        /// The highest configuration version known to the sender.
        version: Version,
        /// Piggybacked rumours.
        rumours: Vec<Rumour>,
    },
    /// Asks the receiver to probe `target` on the sender's behalf.
    IndirectProbe {
        /// Echoed in the acknowledgement.
        sequence: u64,
        target: NodeId,
    },
    /// The target of an indirect probe acknowledged it.
    IndirectAck {
        /// Sequence number of the indirect probe.
        sequence: u64,
    },
    /// Rumours sent without waiting for a probe.
    Gossip {
        rumours: Vec<Rumour>,
    },
    /// A change between two configuration versions.
    ConfigurationDelta {
        delta: Arc<Delta>,
    },
    /// Announces a configuration version that the receiver may lack.
    ConfigurationAnnounced {
        version: Version,
    },
    /// Requests the deltas from `have` to the newest configuration, or the full configuration.
    ConfigurationRequest {
        /// The version in force at the sender.
        have: Version,
    },
    ConfigurationPart(ConfigurationPart),
    /// Requests the receiver's member list.
    MembersRequest,
    /// The sender's member list, including the sender.
    Members {
        /// One claim per member.
        members: Vec<MemberClaim>,
        /// The highest configuration version known to the sender. A joining node needs this before it
        /// accepts a configuration from the platform.
        version: Version,
    },
}
