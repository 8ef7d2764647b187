use derive_more::{Display, Error};

/// Error from parsing a [`Ticket`](crate::Ticket).
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum FleetError {
    /// The number of fields is wrong.
    #[display("a ticket has {expected} fields, this text has {found}")]
    TicketFields {
        /// Maximum number of fields in a ticket.
        expected: usize,
        found: usize,
    },
    /// The format is not supported by this release.
    #[display("unsupported ticket format `{format}`")]
    TicketFormat { format: String },
    /// A field is malformed.
    #[display("invalid ticket: malformed {field}")]
    TicketField { field: &'static str },
}
