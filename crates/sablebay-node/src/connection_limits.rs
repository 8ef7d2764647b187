//! How long a caller's connection may rest, and how long the head of a request may take.
//!
//! The server library knows one time limit for both; here they are apart, and may change while a
//! connection is open. A connection that is over its limit is closed; a request whose head was read
//! is never touched: its own deadline bounds it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// What bounds a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// How long the head of a request may take from its first byte.
    pub head_timeout: Duration,
    /// How long the connection may rest between requests, and before the first.
    pub idle_timeout: Duration,
    /// The longest head of a request, in bytes.
    pub head_bytes: usize,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(120),
            head_bytes: 64 * 1024,
        }
    }
}

/// Where a connection is between two requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// Nothing of the next request has come.
    Idle { since: Instant },
    /// A part of its head has come.
    ReadingHead { since: Instant },
    /// A request is being answered.
    Serving,
}

/// What a connection does at the moment; shared by its stream and its service.
#[derive(Clone, Debug)]
pub struct ConnectionActivity {
    state: Arc<Mutex<ConnectionState>>,
}

impl ConnectionActivity {
    /// Of a connection that was just accepted.
    pub fn new() -> Self {
        Self { state: Arc::new(Mutex::new(ConnectionState::Idle { since: Instant::now() })) }
    }

    fn record_bytes_received(&self) {
        let mut state = self.state.lock();
        if matches!(*state, ConnectionState::Idle { .. }) {
            *state = ConnectionState::ReadingHead { since: Instant::now() };
        }
    }

    /// A request's head was read. The connection rests again when the guard is dropped.
    pub fn serve(&self) -> ServingGuard {
        *self.state.lock() = ConnectionState::Serving;
        ServingGuard { activity: self.clone() }
    }

    /// When the connection is over its limit, if it stays as it is; nothing while it serves.
    fn expires_at(&self, limits: &ConnectionLimits) -> Option<Instant> {
        match *self.state.lock() {
            ConnectionState::Idle { since } => Some(since + limits.idle_timeout),
            ConnectionState::ReadingHead { since } => Some(since + limits.head_timeout),
            ConnectionState::Serving => None,
        }
    }

    /// Waits until the connection is over its limit.
    ///
    /// Looks once in the time that a head may take, since each look wakes the process: a head that
    /// is too slow is given up after one to two of these times.
    pub async fn expired(&self, limits: impl Fn() -> ConnectionLimits) {
        loop {
            let now = Instant::now();
            let limits = limits();
            let expires_at = self.expires_at(&limits);
            if expires_at.is_some_and(|at| at <= now) {
                return;
            }
            let next_check = now + limits.head_timeout;
            tokio::time::sleep_until(expires_at.map_or(next_check, |at| at.min(next_check))).await;
        }
    }
}

/// A request being answered.
#[derive(Debug)]
pub struct ServingGuard {
    activity: ConnectionActivity,
}

impl Drop for ServingGuard {
    fn drop(&mut self) {
        *self.activity.state.lock() = ConnectionState::Idle { since: Instant::now() };
    }
}

/// A caller's stream that notes when bytes come.
#[derive(Debug)]
pub struct ObservedStream {
    stream: TcpStream,
    activity: ConnectionActivity,
}

impl ObservedStream {
    /// Observes a stream.
    pub fn new(stream: TcpStream, activity: ConnectionActivity) -> Self {
        Self { stream, activity }
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.activity.record_bytes_received();
        }
        read
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
