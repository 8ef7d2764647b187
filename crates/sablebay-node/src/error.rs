//! Errors raised while a node starts.

use std::net::SocketAddr;

use derive_more::{Display, Error};

#[derive(Debug, Display, Error)]
pub enum NodeError {
    /// A listener could not be opened.
    #[display("cannot listen on {address} for {purpose}: {source}")]
    Listen {
        address: SocketAddr,
        /// What the listener is for, such as callers or peers.
        purpose: &'static str,
        source: std::io::Error,
    },
    /// The log could not be started.
    #[display("cannot start the log: {message}")]
    Log {
        /// The error of the logging library.
        message: String,
    },
    /// Without a shared key, peer connections are only accepted on a loopback address.
    #[display("the peer address {address} is not loopback, and no fleet_key is set")]
    KeyRequired { address: SocketAddr },
}
