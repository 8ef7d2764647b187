//! The connections of this node to one replica: few, kept, one request at a time on each.

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

/// The longest head of an answer.
const MAXIMUM_HEAD_BYTES: usize = 64 * 1024;
/// How long before a replica closes an idle connection it is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// An open connection. Dropping it closes it, which cancels a request in progress.
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

/// Whether somebody listens at a replica's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It takes a connection.
    Alive,
    /// Its machine refuses connections: the process has ended.
    Ended,
    /// No word came in time.
    Unknown,
}

/// A connection in use, with its place in the limit.
pub struct Lease {
    connection: Connection,
    _permit: OwnedSemaphorePermit,
}

impl Lease {
    /// Sends a request, a hedge or retry if `extra`; the answer's head comes back.
    ///
    /// # Errors
    /// The library's error.
    pub async fn send(
        &mut self,
        request: http::Request<Full<Bytes>>,
        extra: bool,
    ) -> Result<http::Response<hyper::body::Incoming>, hyper::Error> {
        self.connection.traffic.begin(extra);
        self.connection.sender.send_request(request).await
    }

    /// Notes how long the replica keeps the connection when it is idle.
    pub fn set_idle_timeout(&mut self, idle: Duration) {
        self.connection.usable_until = Some(Instant::now() + idle.saturating_sub(IDLE_MARGIN));
    }
}

/// The connections to one replica.
pub struct ReplicaConnections {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    permits: Arc<Semaphore>,
    limit: AtomicUsize,
    opened: Counter,
    ledger: TrafficLedger,
    span: TrafficSpan,
    /// How long a connection may take to open.
    connect_timeout: Duration,
}

impl ReplicaConnections {
    /// No connection yet, and `limit` at the most. Their bytes are counted in `ledger`.
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

    /// Where they lead.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the limit. A lower one takes hold as connections come back.
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

    /// Waits for a place in the limit, and gives an idle connection or a new one. Nothing when the
    /// replica cannot be reached.
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

    /// Whether the replica still listens, after a call to it broke. A broken connection alone is no sign that its
    /// back end has ended. The connection that this opens takes the broken one's place where `keep` allows it, so
    /// that it costs nothing where the replica lives.
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

    /// Keeps a connection if there is room and none is idle.
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

    /// Opens a connection when there is none yet and there is room for one.
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

    /// Closes the connections that are not in use.
    pub fn close_idle(&self) {
        self.idle.lock().clear();
    }

    /// Gives back a connection whose answer was read to its end.
    pub fn give_back(&self, lease: Lease) {
        if !lease.connection.sender.is_closed() {
            self.idle.lock().push(lease.connection);
        }
    }
}

/// Why a connection did not come about.
#[derive(Debug, Display, From)]
enum OpenError {
    /// No connection to the machine.
    #[display("{_0}")]
    Connect(std::io::Error),
    /// It was closed at once.
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
    // How a connection ends shows in its requests.
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(Connection { sender, task: task.abort_handle(), traffic, usable_until: None })
}
