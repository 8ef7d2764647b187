//! A bounded pool of HTTP connections to one address.
//!
//! Unlike general-purpose clients, the pool limits the number of connections and reports whether a
//! failed request may have been sent.

mod body;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

pub use body::{BodyFailure, Room, read_body, read_body_within};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of [`ConnectionPool::get`] and [`ConnectionPool::post`].
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum response body size of [`ConnectionPool::exchange`].
const MAXIMUM_EXCHANGE_BYTES: usize = 1 << 20;
/// Upper bound of the connection limit.
const MAXIMUM_CONNECTIONS: usize = 65_536;

type Sender = SendRequest<Full<Bytes>>;

/// Connection checked out of the pool, with its permit.
pub struct Lease {
    sender: Sender,
    _permit: OwnedSemaphorePermit,
}

/// Reason why a request got no response.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// No bytes were sent.
    #[display("the request was not sent")]
    NotSent,
    /// The server may have received the request.
    #[display("the connection broke after the request was sent")]
    Broken,
}

/// Bounded pool of connections to one address.
pub struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<Sender>>,
    limit: AtomicUsize,
    permits: Arc<Semaphore>,
}

impl ConnectionPool {
    /// Creates a pool of at most `limit` connections.
    pub fn new(address: SocketAddr, limit: usize) -> Self {
        let limit = limit.clamp(1, MAXIMUM_CONNECTIONS);
        Self {
            address,
            idle: Mutex::default(),
            limit: AtomicUsize::new(limit),
            permits: Arc::new(Semaphore::new(limit)),
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the limit. A lower limit takes effect as connections are released.
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

    /// Waits for a connection permit.
    pub async fn permit(&self) -> OwnedSemaphorePermit {
        self.permits.clone().acquire_owned().await.expect("the semaphore is never closed")
    }

    /// Returns a permit if one is available immediately.
    pub fn try_permit(&self) -> Option<OwnedSemaphorePermit> {
        self.permits.clone().try_acquire_owned().ok()
    }

    /// Reuses an idle open connection, or opens a new one.
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

    /// Returns a connection to the pool. Its last response must have been read completely.
    pub fn release(&self, lease: Lease) {
        if !lease.sender.is_closed() {
            self.idle.lock().push(lease.sender);
        }
    }

    /// Sends a request and waits for the response headers.
    ///
    /// # Errors
    /// [`ExchangeFailure`], which states whether the request may have been sent.
    pub async fn send(
        &self,
        lease: &mut Lease,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeFailure> {
        if lease.sender.ready().await.is_err() {
            return Err(ExchangeFailure::NotSent);
        }
        // The error carries the request only if hyper did not send any of it.
        let sent = lease.sender.try_send_request(request).await;
        let response = sent.map_err(|error| match error.message() {
            Some(_) => ExchangeFailure::NotSent,
            None => ExchangeFailure::Broken,
        })?;
        if is_answer_status(response.status()) { Ok(response) } else { Err(ExchangeFailure::Broken) }
    }

    /// Sends a request and reads the whole response body; a non-success status is a failure.
    ///
    /// # Errors
    /// [`ExchangeFailure`], which states whether the request may have been sent.
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
        let body = read_body(response.into_body(), MAXIMUM_EXCHANGE_BYTES).await;
        let body = body.map_err(|_| ExchangeFailure::Broken)?;
        self.release(lease);
        if success { Ok(body) } else { Err(ExchangeFailure::Broken) }
    }

    /// Fetches the response body at a path; `None` on failure or timeout.
    pub async fn get(&self, path: &'static str) -> Option<Bytes> {
        let exchange = self.exchange(Method::GET, path, Bytes::new());
        tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await.ok()?.ok()
    }

    /// Posts a JSON body and returns the response body; `None` on failure or timeout.
    pub async fn post(&self, path: &'static str, body: Bytes) -> Option<Bytes> {
        let exchange = self.exchange(Method::POST, path, body);
        tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await.ok()?.ok()
    }
}

/// Whether a status may be that of an answer: final, and of a class that HTTP defines. A switch of protocols is not, since
/// no request asks for one.
pub fn is_answer_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether the head of a response says where its body ends. If not, the body ends with the connection, and one that was
/// cut short can't be told from a whole one.
pub fn states_end_of_body(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let last_coding = codings.and_then(|value| value.to_str().ok()?.rsplit(',').next().map(str::trim));
    let is_chunked = last_coding.is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    is_chunked || headers.contains_key(header::CONTENT_LENGTH)
}

/// Builds a request with a JSON body. Panics if `path` is not a valid URI.
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
        // Connection errors are reported by the requests that use the connection.
        let _ = connection.await;
    });
    Some(sender)
}
