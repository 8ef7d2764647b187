//! Errors of this crate.

use std::net::SocketAddr;

use derive_more::{Display, Error};

/// Why a gateway could not start.
#[derive(Debug, Display, Error)]
pub enum GatewayError {
    /// A listener could not be opened.
    #[display("cannot listen on {address} for {purpose}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Who connects there.
        purpose: &'static str,
        /// The system's error.
        source: std::io::Error,
    },
}
