//! Connection pool for one replica. Each connection carries one request at a time.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, From};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use prometheus_client::metrics::counter::Counter;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use sablebay_node::{TrafficLedger, TrafficSpan, prepare_socket};

use crate::counted_stream::{CallTraffic, CountedStream};

/// Maximum size of a response head.
const MAXIMUM_HEAD_BYTES: usize = 64 * 1024;
/// Safety margin before the replica's idle timeout within which a connection is no longer reused.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// An open connection. Dropping it closes the connection and cancels a request in progress.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    traffic: Arc<CallTraffic>,
    usable_until: Option<Instant>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Whether a process listens at a replica's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// The address accepts connections.
    Alive,
    /// The machine refuses connections: the process has exited.
    Ended,
    /// The probe timed out or failed in another way.
    Unknown,
}

/// A connection in use, with its permit from the pool.
pub struct Lease {
    connection: Connection,
    _permit: OwnedSemaphorePermit,
}

impl Lease {
    /// Sends a request and returns the response head. `extra` marks a hedge or a retry.
    ///
    /// # Errors
    /// The error of the HTTP client.
    pub async fn send(
        &mut self,
        request: http::Request<Full<Bytes>>,
        extra: bool,
    ) -> Result<http::Response<hyper::body::Incoming>, hyper::Error> {
        self.connection.traffic.begin(extra);
        self.connection.sender.send_request(request).await
    }

    /// Sets the idle timeout that the replica announced for this connection. One beyond the clock never ends.
    pub fn set_idle_timeout(&mut self, idle: Duration) {
        self.connection.usable_until = Instant::now().checked_add(idle.saturating_sub(IDLE_MARGIN));
    }
}

pub struct ReplicaConnections {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    permits: Arc<Semaphore>,
    limit: AtomicUsize,
    opened: Counter,
    ledger: TrafficLedger,
    span: TrafficSpan,
    connect_timeout: Duration,
}

impl ReplicaConnections {
    /// Creates an empty pool of at most `limit` connections. Traffic is counted in `ledger`.
    pub fn new(
        address: SocketAddr,
        limit: usize,
        connect_timeout: Duration,
        opened: Counter,
        ledger: TrafficLedger,
        span: TrafficSpan,
    ) -> Self {
        Self {
            address,
            idle: Mutex::default(),
            permits: Arc::new(Semaphore::new(limit)),
            limit: AtomicUsize::new(limit),
            opened,
            ledger,
            span,
            connect_timeout,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the limit. A lower limit takes effect as connections are returned.
    pub fn set_limit(&self, limit: usize) {
        let before = self.limit.swap(limit, Ordering::AcqRel);
        if limit > before {
            self.permits.add_permits(limit - before);
        } else if limit < before {
            let removed = self.permits.forget_permits(before - limit);
            self.limit.store(before - removed, Ordering::Release);
            self.idle.lock().truncate(limit);
        }
    }

    /// Waits for a permit and returns an idle connection or a new one; `None` when the replica cannot be reached.
    pub async fn lease(&self) -> Option<Lease> {
        let permit = self.permits.clone().acquire_owned().await.ok()?;
        while let Some(mut connection) = self.take_idle() {
            if connection.sender.ready().await.is_ok() {
                return Some(Lease { connection, _permit: permit });
            }
        }
        self.opened.inc();
        let connection = tokio::time::timeout(self.connect_timeout, self.open()).await.ok()??;
        Some(Lease { connection, _permit: permit })
    }

    async fn open(&self) -> Option<Connection> {
        self.try_open().await.ok()
    }

    async fn try_open(&self) -> Result<Connection, OpenError> {
        open(self.address, Arc::new(CallTraffic::new(self.ledger.clone(), self.span))).await
    }

    /// Probes whether the replica still listens after a call to it failed: a broken connection alone does not show that
    /// the process has exited. With `keep`, the new connection replaces the broken one in the pool.
    pub async fn probe(&self, keep: bool) -> Liveness {
        self.opened.inc();
        match tokio::time::timeout(self.connect_timeout, self.try_open()).await {
            Ok(Ok(connection)) => {
                if keep {
                    self.keep_idle(connection);
                }
                Liveness::Alive
            }
            Ok(Err(OpenError::Connect(error))) if error.kind() == ErrorKind::ConnectionRefused => {
                Liveness::Ended
            }
            Ok(Err(_)) | Err(_) => Liveness::Unknown,
        }
    }

    /// Adds a connection to the pool if a permit is free and no connection is idle.
    fn keep_idle(&self, connection: Connection) {
        let Ok(_permit) = self.permits.clone().try_acquire_owned() else {
            return;
        };
        let mut idle = self.idle.lock();
        if idle.is_empty() {
            idle.push(connection);
        }
    }

    fn take_idle(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        idle.retain(|connection| {
            let expired = connection.usable_until.is_some_and(|until| until <= now);
            !connection.sender.is_closed() && !expired
        });
        idle.pop()
    }

    /// Opens the first connection of the pool if a permit is free.
    pub async fn open_first(&self) {
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            return;
        };
        if !self.idle.lock().is_empty() {
            return;
        }
        self.opened.inc();
        let opened = tokio::time::timeout(self.connect_timeout, self.open()).await;
        if let Ok(Some(connection)) = opened {
            self.idle.lock().push(connection);
        }
        drop(permit);
    }

    pub fn close_idle(&self) {
        self.idle.lock().clear();
    }

    /// Returns a connection whose response was read to the end.
    pub fn give_back(&self, lease: Lease) {
        if !lease.connection.sender.is_closed() {
            self.idle.lock().push(lease.connection);
        }
    }
}

/// Why a connection could not be opened.
#[derive(Debug, Display, From)]
enum OpenError {
    /// Connecting failed.
    #[display("{_0}")]
    Connect(std::io::Error),
    /// The connection was closed during the handshake.
    #[display("{_0}")]
    Handshake(hyper::Error),
}

async fn open(address: SocketAddr, traffic: Arc<CallTraffic>) -> Result<Connection, OpenError> {
    let stream = TcpStream::connect(address).await?;
    prepare_socket(&stream);
    let stream = CountedStream::new(stream, traffic.clone());
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAXIMUM_HEAD_BYTES);
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
    // Connection errors are reported through its requests.
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(Connection { sender, task: task.abort_handle(), traffic, usable_until: None })
}
