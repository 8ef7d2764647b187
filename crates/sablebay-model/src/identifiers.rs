//! Newtypes for identifiers, so that one kind cannot be passed where another is expected.

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
            /// Wraps `text` without validating it.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

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
    /// A node of the fleet, as named in its settings.
    NodeId
);
text_identifier!(
    /// A leaf: a back end that holds shards.
    LeafId
);
text_identifier!(
    /// A service: an instance of a template.
    ServiceId
);
text_identifier!(
    /// An index, divided into a fixed number of partitions.
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
    /// The name of a fleet. Nodes communicate only within their own fleet.
    FleetName
);
text_identifier!(
    /// The caller's identifier for a request, echoed in the response and in log lines.
    RequestId
);

number_identifier!(
    /// A configuration revision, numbered by the platform in publishing order.
    Revision
);
number_identifier!(
    /// A version of an index. Higher is newer.
    SnapshotVersion
);
number_identifier!(
    /// A call from a node to a leaf, unique within the node's incarnation.
    CallId
);
number_identifier!(
    /// Identifies one run of a node process: start time in the high bits, random low bits.
    ///
    /// A node restarted under the same name or address gets a higher incarnation.
    Incarnation
);

/// A node together with its incarnation.
#[derive(
    Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[display("{node}@{incarnation}")]
pub struct InstanceKey {
    pub node: NodeId,
    pub incarnation: Incarnation,
}

/// Number of random low bits in an incarnation.
const INCARNATION_RANDOM_BITS: u32 = 20;

impl Incarnation {
    /// Builds an incarnation from the start time (milliseconds since the Unix epoch) and random bits.
    pub fn from_start(start_milliseconds: u64, random: u32) -> Self {
        let low = u64::from(random) & ((1 << INCARNATION_RANDOM_BITS) - 1);
        Self((start_milliseconds << INCARNATION_RANDOM_BITS) | low)
    }

    /// The start time encoded in the incarnation, in milliseconds since the Unix epoch.
    pub fn started_at_milliseconds(self) -> u64 {
        self.0 >> INCARNATION_RANDOM_BITS
    }
}
