//! Tickets, which identify repeated submissions of one operation.
//!
//! A ticket fixes the node incarnations that hold its claim when it is issued. The group never
//! changes, so claims need no agreement on membership.

use std::fmt;
use std::str::FromStr;

use derive_more::Display;
use musli::{Decode, Encode};

use sablebay_model::{Incarnation, InstanceKey, NodeId, ServiceId, WallMillis};

use crate::error::FleetError;

/// Number of nodes that hold the claim on a ticket.
pub const CLAIM_HOLDERS: usize = 3;
/// Number of holders that must record a claim before the claimant may run the operation.
pub const CLAIM_QUORUM: usize = 2;

const FORMAT: &str = "t1";
const FIELDS: usize = 5 + CLAIM_HOLDERS;

/// Unique ticket identifier.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[display("{_0:032x}")]
#[musli(transparent)]
pub struct TicketId(pub u128);

/// Permission to run an operation at most once. Displayed as dot-separated fields.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Ticket {
    /// Random identifier.
    pub id: TicketId,
    /// Issue time, by the issuing node's wall clock.
    pub minted_at: WallMillis,
    /// Validity period, in milliseconds.
    pub lifetime_ms: u64,
    /// The service that the operation targets.
    pub service: ServiceId,
    /// The node incarnations that hold the claim. Fewer than [`CLAIM_HOLDERS`] in a smaller fleet.
    pub holders: Vec<InstanceKey>,
}

impl Ticket {
    /// Number of holders that must record a claim: a majority.
    pub fn quorum(&self) -> usize {
        self.holders.len() / 2 + 1
    }

    /// The wall-clock time after which the ticket is invalid.
    pub fn expires_at(&self) -> WallMillis {
        WallMillis(self.minted_at.0.saturating_add(self.lifetime_ms))
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{FORMAT}.{}.{}.{}.{}", self.minted_at, self.lifetime_ms, self.id, self.service)?;
        for holder in &self.holders {
            write!(formatter, ".{holder}")?;
        }
        Ok(())
    }
}

fn parse_number(text: &str, field: &'static str) -> Result<u64, FleetError> {
    text.parse().map_err(|_| FleetError::TicketField { field })
}

fn parse_holder(text: &str) -> Result<InstanceKey, FleetError> {
    let (node, incarnation) = text.split_once('@').ok_or(FleetError::TicketField { field: "holder" })?;
    Ok(InstanceKey {
        node: NodeId::new(node),
        incarnation: Incarnation(parse_number(incarnation, "holder's incarnation")?),
    })
}

impl FromStr for Ticket {
    type Err = FleetError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let fields: Vec<&str> = text.split('.').collect();
        if fields[0] != FORMAT {
            return Err(FleetError::TicketFormat { format: fields[0].chars().take(16).collect() });
        }
        let holders_from = FIELDS - CLAIM_HOLDERS;
        if fields.len() <= holders_from || fields.len() > FIELDS {
            return Err(FleetError::TicketFields { expected: FIELDS, found: fields.len() });
        }
        let id =
            u128::from_str_radix(fields[3], 16).map_err(|_| FleetError::TicketField { field: "identity" })?;
        let holders =
            fields[holders_from..].iter().map(|text| parse_holder(text)).collect::<Result<_, _>>()?;
        Ok(Self {
            id: TicketId(id),
            minted_at: WallMillis(parse_number(fields[1], "mint time")?),
            lifetime_ms: parse_number(fields[2], "lifetime")?,
            service: ServiceId::new(fields[4]),
            holders,
        })
    }
}
