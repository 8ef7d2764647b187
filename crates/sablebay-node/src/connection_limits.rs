//! Idle and request head timeouts of callers' connections.
//!
//! hyper has a single timeout for both; here they are separate and may change while a connection
//! is open. They do not apply while a request is served: its deadline bounds it. The idle timeout starts anew with
//! each part of an answer that the client takes. The state of each connection is also what the node decides by when it
//! has too many of them.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::resources::{CallerConnection, ConnectionPhase, MemoryLease};

/// Size of a request head that counts as part of its connection.
const SMALL_HEAD_BYTES: usize = 8 << 10;
/// Maximum number of bytes read at once. hyper enlarges the buffer of a connection that fills it, up to the limit on a
/// request head, and keeps it.
const MAXIMUM_READ_BYTES: usize = 8 << 10;
/// Bytes of an answer after which its client counts as making progress.
const PROGRESS_BYTES: usize = 16 << 10;

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
    ReadingHead { since: Instant, bytes: usize },
    /// A request is being served.
    Serving,
    /// An answer is being written.
    Writing { since: Instant, unnoted_bytes: usize },
}

/// The state of a connection and the lease for a large head.
#[derive(Debug)]
struct ActivityState {
    state: ConnectionState,
    /// The number of requests so far. A client may send the next one before it has taken the last answer.
    requests: u64,
    head_lease: Option<MemoryLease>,
}

/// The current state of a connection, shared by its stream and its service.
#[derive(Clone, Debug)]
pub struct ConnectionActivity {
    connection: CallerConnection,
    shared: Arc<Mutex<ActivityState>>,
}

impl ConnectionActivity {
    /// The state of a newly accepted connection.
    pub fn new(connection: CallerConnection) -> Self {
        let state = ConnectionState::Idle { since: Instant::now() };
        let shared = ActivityState { state, requests: 0, head_lease: None };
        Self { connection, shared: Arc::new(Mutex::new(shared)) }
    }

    fn record_bytes_received(&self, received: usize) {
        let mut shared = self.shared.lock();
        match &mut shared.state {
            ConnectionState::Idle { .. } => {
                shared.state = ConnectionState::ReadingHead { since: Instant::now(), bytes: received };
                self.connection.set_phase(ConnectionPhase::ReadingHead);
            }
            ConnectionState::ReadingHead { bytes, .. } => *bytes += received,
            ConnectionState::Serving | ConnectionState::Writing { .. } => return,
        }
        if let ConnectionState::ReadingHead { bytes, .. } = shared.state
            && bytes > SMALL_HEAD_BYTES
        {
            let lease = shared.head_lease.get_or_insert_with(|| self.connection.lease());
            if !lease.try_grow_to(bytes) {
                self.connection.evict();
            }
        }
    }

    fn record_bytes_sent(&self, sent: usize) {
        match &mut self.shared.lock().state {
            ConnectionState::Idle { since } => *since = Instant::now(),
            ConnectionState::Writing { since, unnoted_bytes } => {
                *since = Instant::now();
                *unnoted_bytes += sent;
                if *unnoted_bytes >= PROGRESS_BYTES {
                    *unnoted_bytes = 0;
                    self.connection.record_progress();
                }
            }
            ConnectionState::ReadingHead { .. } | ConnectionState::Serving => {}
        }
    }

    /// Marks a request as being served; the connection is idle again when the guard is dropped.
    pub fn serve(&self, has_body: bool) -> ServingGuard {
        let number = {
            let mut shared = self.shared.lock();
            shared.state = ConnectionState::Serving;
            shared.requests += 1;
            shared.requests
        };
        let phase = if has_body { ConnectionPhase::ReadingBody } else { ConnectionPhase::Serving };
        self.connection.set_phase(phase);
        ServingGuard { activity: self.clone(), number }
    }

    /// Changes the state after a request, unless a later one has begun.
    fn end_serving(&self, number: u64, state: ConnectionState, phase: ConnectionPhase) {
        let mut shared = self.shared.lock();
        if shared.requests != number {
            return;
        }
        shared.state = state;
        let head_lease = shared.head_lease.take();
        drop(shared);
        drop(head_lease);
        self.connection.set_phase(phase);
    }

    /// When the current state times out; `None` while a request is served.
    fn expires_at(&self, limits: &ConnectionLimits) -> Option<Instant> {
        match self.shared.lock().state {
            ConnectionState::Idle { since } | ConnectionState::Writing { since, .. } => {
                Some(since + limits.idle_timeout)
            }
            ConnectionState::ReadingHead { since, .. } => Some(since + limits.head_timeout),
            ConnectionState::Serving => None,
        }
    }

    /// Whether the client still sends the body of a request, or waits for its answer.
    pub fn is_serving(&self) -> bool {
        self.shared.lock().state == ConnectionState::Serving
    }

    /// Whether closing the connection at once loses nothing that its client takes: it has sent no whole request yet, or
    /// does not read its answer. A connection at rest may have an answer on the way.
    pub fn can_be_cut(&self) -> bool {
        let shared = self.shared.lock();
        match shared.state {
            ConnectionState::Idle { .. } | ConnectionState::ReadingHead { .. } => shared.requests == 0,
            ConnectionState::Serving => false,
            ConnectionState::Writing { .. } => true,
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
    /// The number of the request on its connection.
    number: u64,
}

impl ServingGuard {
    /// Marks the answer as being written until the last of the returned bytes is dropped.
    pub fn write(self, answer: Bytes) -> Bytes {
        if answer.is_empty() {
            return answer;
        }
        let state = ConnectionState::Writing { since: Instant::now(), unnoted_bytes: 0 };
        let phase = ConnectionPhase::Writing { bytes: answer.len() };
        self.activity.end_serving(self.number, state, phase);
        Bytes::from_owner(UnwrittenAnswer { bytes: answer, _serving: self })
    }
}

impl Drop for ServingGuard {
    fn drop(&mut self) {
        let state = ConnectionState::Idle { since: Instant::now() };
        self.activity.end_serving(self.number, state, ConnectionPhase::Idle);
    }
}

/// An answer that the client has not taken yet.
struct UnwrittenAnswer {
    bytes: Bytes,
    _serving: ServingGuard,
}

impl AsRef<[u8]> for UnwrittenAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
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
        if let Poll::Ready(Ok(length)) = written
            && length > 0
        {
            self.activity.record_bytes_sent(length);
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
        let read = if buffer.remaining() <= MAXIMUM_READ_BYTES {
            self.stream().poll_read(context, buffer)
        } else {
            let mut part = ReadBuf::new(buffer.initialize_unfilled_to(MAXIMUM_READ_BYTES));
            let read = self.stream().poll_read(context, &mut part);
            let received = part.filled().len();
            buffer.advance(received);
            read
        };
        let received = buffer.filled().len() - before;
        if received > 0 {
            self.activity.record_bytes_received(received);
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
