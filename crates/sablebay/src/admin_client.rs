//! Requests to a node's admin API.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};

use sablebay_http::ConnectionPool;

use crate::arguments::{Arguments, UsageError};

/// Default address of the admin API.
const DEFAULT_ADDRESS: &str = "127.0.0.1:7300";
/// Limit for one request, including the connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Header that carries the operator's token.
const TOKEN_HEADER: &str = "sablebay-operator-token";
/// Environment variable with the operator's token, used without `--token`.
pub const TOKEN_VARIABLE: &str = "SABLEBAY_OPERATOR_TOKEN";

/// HTTP client for the admin API of one node.
pub struct AdminClient {
    address: SocketAddr,
    pool: ConnectionPool,
    token: Option<String>,
}

impl AdminClient {
    /// Creates a client from `--admin` and `--token`.
    ///
    /// # Errors
    /// If `--admin` is not an IP address and port.
    pub fn from_arguments(arguments: &Arguments) -> Result<Self, UsageError> {
        let text = arguments.value("admin").unwrap_or(DEFAULT_ADDRESS);
        let invalid = |_| UsageError::new(format!("--admin is `{text}`, not an IP address and port"));
        let address = text.parse().map_err(invalid)?;
        let token = arguments.value("token").map(str::to_string);
        Ok(Self {
            address,
            pool: ConnectionPool::new(address, 1),
            token: token.or_else(|| std::env::var(TOKEN_VARIABLE).ok()),
        })
    }

    /// Sends a request and returns the body of a successful response. Prints any failure and returns `None`.
    pub async fn send(&self, method: Method, path: &str, body: Vec<u8>) -> Option<Bytes> {
        match tokio::time::timeout(REQUEST_TIMEOUT, self.exchange(method, path, body)).await {
            Ok(Some((status, body))) if status.is_success() => Some(body),
            Ok(Some((status, body))) => {
                eprintln!("sablebay: {} answered {status}: {}", self.address, String::from_utf8_lossy(&body));
                None
            }
            Ok(None) | Err(_) => {
                eprintln!("sablebay: no response from {}", self.address);
                None
            }
        }
    }

    async fn exchange(&self, method: Method, path: &str, body: Vec<u8>) -> Option<(StatusCode, Bytes)> {
        let permit = self.pool.permit().await;
        let mut lease = self.pool.connect(permit).await?;
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().ok()?;
        request.headers_mut().insert(http::header::HOST, HeaderValue::from_static("node"));
        if let Some(token) = &self.token {
            request.headers_mut().insert(TOKEN_HEADER, HeaderValue::from_str(token).ok()?);
        }
        let response = self.pool.send(&mut lease, request).await.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        self.pool.release(lease);
        Some((status, body))
    }
}

/// Runs a future to completion on a single-threaded runtime.
pub fn block_on(future: impl Future<Output = ExitCode>) -> ExitCode {
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(future),
        Err(error) => {
            eprintln!("sablebay: cannot start the async runtime: {error}");
            ExitCode::FAILURE
        }
    }
}
