//! Errors of this crate.

use std::net::SocketAddr;

use derive_more::{Display, Error};

/// Why a node could not start or go on.
#[derive(Debug, Display, Error)]
pub enum NodeError {
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
    /// The log could not be started.
    #[display("cannot start the log: {message}")]
    Log {
        /// What the library said.
        message: String,
    },
    /// Peers without a shared key are accepted on loopback alone.
    #[display("the peer address {address} is not loopback, and no fleet_key is set")]
    KeyRequired {
        /// The address.
        address: SocketAddr,
    },
}
