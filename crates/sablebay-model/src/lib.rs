//! Identifiers and value types shared by all sablebay crates.
//!
//! This crate performs no I/O, reads no clock and generates no random numbers.

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
