//! Idle and request head timeouts of callers' connections.
//!
//! hyper has a single timeout for both; here they are separate and may change while a connection
//! is open. They do not apply while a request is served: its deadline bounds it. The idle timeout starts anew with
//! each part of an answer that the client takes.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::Instant;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Time allowed for receiving a request head, from its first byte.
    pub head_timeout: Duration,
    /// Time allowed without a request, between requests and before the first.
    pub idle_timeout: Duration,
    /// Maximum size of a request head, in bytes.
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// No byte of the next request has been received. The last answer may still be written.
    Idle { since: Instant },
    /// Part of a request head has been received.
    ReadingHead { since: Instant },
    /// A request is being served.
    Serving,
}

/// The current state of a connection, shared by its stream and its service.
#[derive(Clone, Debug)]
pub struct ConnectionActivity {
    state: Arc<Mutex<ConnectionState>>,
}

impl ConnectionActivity {
    /// The state of a newly accepted connection.
    pub fn new() -> Self {
        Self { state: Arc::new(Mutex::new(ConnectionState::Idle { since: Instant::now() })) }
    }

    fn record_bytes_received(&self) {
        let mut state = self.state.lock();
        if matches!(*state, ConnectionState::Idle { .. }) {
            *state = ConnectionState::ReadingHead { since: Instant::now() };
        }
    }

    fn record_bytes_sent(&self) {
        if let ConnectionState::Idle { since } = &mut *self.state.lock() {
            *since = Instant::now();
        }
    }

    /// Marks a request as being served; the connection is idle again when the guard is dropped.
    pub fn serve(&self) -> ServingGuard {
        *self.state.lock() = ConnectionState::Serving;
        ServingGuard { activity: self.clone() }
    }

    /// When the current state times out; `None` while a request is served.
    fn expires_at(&self, limits: &ConnectionLimits) -> Option<Instant> {
        match *self.state.lock() {
            ConnectionState::Idle { since } => Some(since + limits.idle_timeout),
            ConnectionState::ReadingHead { since } => Some(since + limits.head_timeout),
            ConnectionState::Serving => None,
        }
    }

    /// Waits until the connection times out.
    ///
    /// Checks at most once per `head_timeout` to limit wake-ups, so a slow request head is detected
    /// after one to two timeouts.
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

/// Marks a request as being served until dropped.
#[derive(Debug)]
pub struct ServingGuard {
    activity: ConnectionActivity,
}

impl Drop for ServingGuard {
    fn drop(&mut self) {
        *self.activity.state.lock() = ConnectionState::Idle { since: Instant::now() };
    }
}

/// A TCP stream that records when bytes are received and sent.
#[derive(Debug)]
pub struct ObservedStream {
    stream: Option<TcpStream>,
    activity: ConnectionActivity,
    /// Receives the stream when this wrapper is dropped.
    released: Option<oneshot::Sender<TcpStream>>,
}

impl ObservedStream {
    /// Wraps a stream. The receiver returns it after the wrapper is dropped.
    pub fn new(stream: TcpStream, activity: ConnectionActivity) -> (Self, oneshot::Receiver<TcpStream>) {
        let (released, stream_back) = oneshot::channel();
        (Self { stream: Some(stream), activity, released: Some(released) }, stream_back)
    }

    fn stream(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(self.stream.as_mut().expect("the stream is present until the drop"))
    }

    /// Records the result of a write.
    fn observe_sent(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(length)) if length > 0) {
            self.activity.record_bytes_sent();
        }
        written
    }
}

impl Drop for ObservedStream {
    fn drop(&mut self) {
        if let (Some(stream), Some(released)) = (self.stream.take(), self.released.take()) {
            // Fails if the connection's task was aborted: the stream is closed at once.
            let _ = released.send(stream);
        }
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = self.stream().poll_read(context, buffer);
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
        let written = self.stream().poll_write(context, bytes);
        self.observe_sent(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.stream().poll_write_vectored(context, buffers);
        self.observe_sent(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.as_ref().is_some_and(TcpStream::is_write_vectored)
    }
}
