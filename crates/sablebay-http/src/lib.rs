//! A bounded pool of HTTP connections to one address.
//!
//! Its users need to know two things that general clients hide: how many connections there are,
//! and whether a request that failed can have left.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a short exchange may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest body of a short exchange.
const MAXIMUM_EXCHANGE_BYTES: usize = 1 << 20;
/// Permits that a semaphore can hold for later growth.
const MAXIMUM_CONNECTIONS: usize = 65_536;

type Sender = SendRequest<Full<Bytes>>;

/// A connection in use, with its place in the pool's limit.
pub struct Lease {
    sender: Sender,
    _permit: OwnedSemaphorePermit,
}

/// Why a request got no response.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// No byte can have reached the other side.
    #[display("the request was not sent")]
    NotSent,
    /// Bytes may have reached it.
    #[display("the connection broke after the request was sent")]
    Broken,
}

/// The connections of this process to one address.
pub struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<Sender>>,
    limit: AtomicUsize,
    permits: Arc<Semaphore>,
}

impl ConnectionPool {
    /// A pool of `limit` connections at the most.
    pub fn new(address: SocketAddr, limit: usize) -> Self {
        let limit = limit.clamp(1, MAXIMUM_CONNECTIONS);
        Self {
            address,
            idle: Mutex::default(),
            limit: AtomicUsize::new(limit),
            permits: Arc::new(Semaphore::new(limit)),
        }
    }

    /// Where the connections go.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the limit. A lower one takes hold as connections come back.
    pub fn set_limit(&self, limit: usize) {
        let limit = limit.clamp(1, MAXIMUM_CONNECTIONS);
        let before = self.limit.swap(limit, Ordering::AcqRel);
        if limit > before {
            self.permits.add_permits(limit - before);
        } else {
            self.permits.forget_permits(before - limit);
        }
        self.idle.lock().truncate(limit);
    }

    /// Waits for a place under the limit.
    pub async fn permit(&self) -> OwnedSemaphorePermit {
        self.permits.clone().acquire_owned().await.expect("the semaphore is never closed")
    }

    /// A place under the limit, when one is free and nobody waits.
    pub fn try_permit(&self) -> Option<OwnedSemaphorePermit> {
        self.permits.clone().try_acquire_owned().ok()
    }

    /// A connection: an idle one that is still open, or a new one.
    pub async fn connect(&self, permit: OwnedSemaphorePermit) -> Option<Lease> {
        while let Some(mut sender) = self.pop_idle() {
            if sender.ready().await.is_ok() {
                return Some(Lease { sender, _permit: permit });
            }
        }
        let sender = tokio::time::timeout(CONNECT_TIMEOUT, open(self.address)).await.ok()??;
        Some(Lease { sender, _permit: permit })
    }

    fn pop_idle(&self) -> Option<Sender> {
        self.idle.lock().pop()
    }

    /// Gives a connection back whose response was read to its end.
    pub fn release(&self, lease: Lease) {
        if !lease.sender.is_closed() {
            self.idle.lock().push(lease.sender);
        }
    }

    /// Starts a request on a connection.
    ///
    /// # Errors
    /// Whether bytes can have left.
    pub async fn send(
        &self,
        lease: &mut Lease,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeFailure> {
        if lease.sender.ready().await.is_err() {
            return Err(ExchangeFailure::NotSent);
        }
        // The library names a request cancelled when it was handed back before any byte left.
        let sent = lease.sender.try_send_request(request).await;
        sent.map_err(|error| match error.message() {
            Some(_) => ExchangeFailure::NotSent,
            None => ExchangeFailure::Broken,
        })
    }

    /// A short exchange: a request, and its whole response when that is a success.
    ///
    /// # Errors
    /// Whether bytes can have left.
    pub async fn exchange(
        &self,
        method: Method,
        path: &'static str,
        body: Bytes,
    ) -> Result<Bytes, ExchangeFailure> {
        let permit = self.permit().await;
        let mut lease = self.connect(permit).await.ok_or(ExchangeFailure::NotSent)?;
        let response = self.send(&mut lease, json_request(method, path, body)).await?;
        let success = response.status().is_success();
        let limited = Limited::new(response.into_body(), MAXIMUM_EXCHANGE_BYTES);
        let collected = limited.collect().await.map_err(|_| ExchangeFailure::Broken)?;
        self.release(lease);
        if success { Ok(collected.to_bytes()) } else { Err(ExchangeFailure::Broken) }
    }

    /// The body at a path.
    pub async fn get(&self, path: &'static str) -> Option<Bytes> {
        let exchange = self.exchange(Method::GET, path, Bytes::new());
        tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await.ok()?.ok()
    }

    /// Posts a body whose answer matters little.
    pub async fn post(&self, path: &'static str, body: Bytes) -> Option<Bytes> {
        let exchange = self.exchange(Method::POST, path, body);
        tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await.ok()?.ok()
    }
}

/// A request with a JSON body. The paths are constants of the protocol and therefore valid.
pub fn json_request(method: Method, path: &'static str, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = http::Uri::from_static(path);
    let headers = request.headers_mut();
    headers.insert(http::header::HOST, http::HeaderValue::from_static("back-end"));
    headers.insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    request
}

async fn open(address: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // How a connection ends shows in its requests; there is nobody else to tell.
        let _ = connection.await;
    });
    Some(sender)
}
