//! Newtypes for the identifiers of the system.
//!
//! Each identifier has a type of its own, so that a leaf cannot be passed where a node is meant.

use std::sync::Arc;

use derive_more::{Display, From};
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

macro_rules! text_identifier {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(
            Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            Encode, Decode,
        )]
        #[serde(transparent)]
        #[musli(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a text; the caller has checked its form.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    };
}

macro_rules! number_identifier {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(
            Clone, Copy, Debug, Display, Default, From, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize, Encode, Decode,
        )]
        #[serde(transparent)]
        #[musli(transparent)]
        pub struct $name(pub u64);
    };
}

text_identifier!(
    /// One node of the fleet, as named in its settings.
    NodeId
);
text_identifier!(
    /// One leaf: a back end that holds shards.
    LeafId
);
text_identifier!(
    /// One service: an instance of a template.
    ServiceId
);
text_identifier!(
    /// One index, divided into a fixed number of partitions.
    IndexId
);
text_identifier!(
    /// An availability zone.
    ZoneName
);
text_identifier!(
    /// A region: a set of zones.
    RegionName
);
text_identifier!(
    /// The name of a fleet; nodes of two fleets never talk to each other.
    FleetName
);
text_identifier!(
    /// A caller's identifier for one request, echoed in its answer and its log lines.
    RequestId
);

number_identifier!(
    /// A revision of the configuration; the platform numbers them in publishing order.
    Revision
);
number_identifier!(
    /// A version of an index; a higher number is newer.
    SnapshotVersion
);
number_identifier!(
    /// One call of a node to a leaf. Unique within the incarnation of the node.
    CallId
);
number_identifier!(
    /// One life of a node: the start time in the high bits, random in the low ones.
    ///
    /// A node that is started again under an old name or address has a higher incarnation.
    Incarnation
);

/// One life of one node: what a ticket's claim holders are named by.
#[derive(
    Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[display("{node}@{incarnation}")]
pub struct InstanceKey {
    /// The node.
    pub node: NodeId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// Low bits of an incarnation that are random.
const INCARNATION_RANDOM_BITS: u32 = 20;

impl Incarnation {
    /// Builds an incarnation from the start time (milliseconds since 1970) and random bits.
    pub fn from_start(start_milliseconds: u64, random: u32) -> Self {
        let low = u64::from(random) & ((1 << INCARNATION_RANDOM_BITS) - 1);
        Self((start_milliseconds << INCARNATION_RANDOM_BITS) | low)
    }

    /// The start time that this incarnation was built from, in milliseconds since 1970.
    pub fn started_at_milliseconds(self) -> u64 {
        self.0 >> INCARNATION_RANDOM_BITS
    }
}
