//! Decision logic of the fleet: membership, the configuration version floor, freshness leases, and
//! claims on operations that run at most once. Performs no I/O and reads neither a clock nor ambient randomness.

mod aggregators;
mod census;
mod claims;
mod error;
mod fleet_node;
mod floor;
mod lease;
mod leaving;
mod member;
mod members;
mod message;
mod probing;
mod rumour;
mod submission;
mod ticket;
mod transfer;

pub use aggregators::aggregators_of;
pub use census::{CensusBasis, FleetCensus, FleetPart, SETTLING_TIME};
pub use claims::{ClaimAnswer, ClaimHolder, ClaimRequest, Claimant, TicketState};
pub use error::FleetError;
pub use fleet_node::{FleetMechanisms, FleetNode, FleetOutput, FleetSettings};
pub use floor::{ConfigurationFloor, Conflict, OfferOutcome, Rejection};
pub use lease::FreshnessLease;
pub use member::{MemberEvent, MemberInfo, MemberStatus};
pub use members::{Member, MemberClaim, MemberTable};
pub use message::{ConfigurationPart, FleetMessage, Probe};
pub use rumour::{LeafNotice, Rumour};
pub use submission::{HolderReply, Submission, SubmissionStep};
pub use ticket::{CLAIM_HOLDERS, CLAIM_QUORUM, Ticket, TicketId};
