//! Identifiers and value types shared by every crate of sablebay.
//!
//! Nothing here performs I/O, reads a clock or draws random numbers.

mod hit;
mod identifiers;
mod outcome;
mod partitions;
mod request_digest;
mod time;

pub use hit::{Hit, SortOrder, top_hits};
pub use identifiers::{
    CallId, FleetName, Incarnation, IndexId, InstanceKey, LeafId, NodeId, RegionName, RequestId, Revision,
    ServiceId, SnapshotVersion, ZoneName,
};
pub use outcome::{Outcome, Reason, Refusal};
pub use partitions::{PartitionId, PartitionSet, PartitionSetError};
pub use request_digest::{DIGEST_BYTES, DigestError, RequestDigest};
pub use time::{Micros, WallMillis};
