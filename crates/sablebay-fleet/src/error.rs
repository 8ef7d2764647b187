//! Errors of this crate.

use derive_more::{Display, Error};

/// Why a text is no ticket.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum FleetError {
    /// The text does not have the fields of a ticket.
    #[display("a ticket has {expected} fields, this text has {found}")]
    TicketFields {
        /// Fields of a ticket.
        expected: usize,
        /// Fields found.
        found: usize,
    },
    /// The ticket is of a format that this release does not know.
    #[display("unknown ticket format `{format}`")]
    TicketFormat {
        /// The format's name.
        format: String,
    },
    /// A field of the ticket cannot be read.
    #[display("the ticket's {field} cannot be read")]
    TicketField {
        /// The field's name.
        field: &'static str,
    },
}
