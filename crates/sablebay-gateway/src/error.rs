//! Errors at the start of a gateway.

use std::net::SocketAddr;

use derive_more::{Display, Error};

#[derive(Debug, Display, Error)]
pub enum GatewayError {
    /// A listener could not be bound.
    #[display("cannot listen on {address} for {purpose}: {source}")]
    Listen {
        address: SocketAddr,
        /// What the listener serves.
        purpose: &'static str,
        source: std::io::Error,
    },
}
