//! An HTTP listener that shuts down without dropping requests.
//!
//! Shutdown has two phases. First the listener closes: connections in the kernel's accept queue
//! and open connections are still served. Then connections without a request in progress are
//! closed.

use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use axum::extract::ConnectInfo;
use bytes::Bytes;
use http::{HeaderValue, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use hyper::service::{Service, service_fn};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::clock::Clock;
use crate::connection_limits::{ConnectionActivity, ConnectionLimits, ObservedStream, ServingGuard};
use crate::resources::{CallerConnection, OpenConnection, ResourceLimits, Resources};

/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);
/// Minimum interval between log lines about failed accepts.
const ACCEPT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The minimum that hyper accepts for `max_buf_size`, in bytes.
const MINIMUM_HEAD_BUFFER: usize = 8_192;
/// How long a connection that exceeded its limits may take to shut down gracefully.
const EXPIRED_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// How long a connection that the server closes still takes input, which is discarded. Closing a socket with unread
/// input resets the connection, and the client may lose the answer.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);
const DISCARD_BUFFER_BYTES: usize = 4 * 1024;

/// The shutdown phase of a listener; it only advances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListenerPhase {
    /// New connections are accepted.
    #[default]
    Open,
    /// No new connections are accepted; open connections are still served.
    Closed,
    /// Connections without a request in progress are closed.
    Ended,
}

/// Serves `routes` until the phase is past [`ListenerPhase::Open`] and every connection has ended,
/// with [`ConnectionLimits::default`].
pub async fn serve_http(listener: TcpListener, routes: Router, phase: watch::Receiver<ListenerPhase>) {
    serve_http_within(listener, routes, phase, ConnectionLimits::default).await;
}

/// Like [`serve_http`], with limits that may change while connections are open.
pub async fn serve_http_within<L>(
    listener: TcpListener,
    routes: Router,
    phase: watch::Receiver<ListenerPhase>,
    limits: L,
) where
    L: Fn() -> ConnectionLimits + Clone + Send + 'static,
{
    let resources = Resources::new(ResourceLimits::unlimited(), Clock::start());
    serve_callers(listener, routes, phase, limits, resources).await;
}

/// Like [`serve_http_within`], with bounds on the connections and the memory of all clients together. The requests carry
/// their [`CallerConnection`] as an extension.
pub async fn serve_callers<L>(
    listener: TcpListener,
    routes: Router,
    phase: watch::Receiver<ListenerPhase>,
    limits: L,
    resources: Resources,
) where
    L: Fn() -> ConnectionLimits + Clone + Send + 'static,
{
    let mut connections = JoinSet::new();
    let mut failure_logged_at: Option<Instant> = None;
    let serve = |(stream, from)| {
        // Registered before the next connection is accepted, so that the bound holds.
        let open = resources.connect();
        serve_connection(stream, from, open, routes.clone(), phase.clone(), limits.clone())
    };
    let mut closed = phase.clone();
    loop {
        tokio::select! {
            accepted = accept(&listener, &resources) => match accepted {
                Ok(accepted) => {
                    connections.spawn(serve(accepted));
                }
                Err(error) => {
                    if failure_logged_at.is_none_or(|at| at.elapsed() >= ACCEPT_LOG_INTERVAL) {
                        failure_logged_at = Some(Instant::now());
                        log::warn!("node: cannot accept a connection: {error}.");
                    }
                    resources.free_descriptor();
                    tokio::time::sleep(ACCEPT_RETRY).await;
                }
            },
            () = wait_for_phase(&mut closed, ListenerPhase::Closed) => break,
            Some(_) = connections.join_next() => {}
        }
    }
    for accepted in close_listener(listener) {
        connections.spawn(serve(accepted));
    }
    connections.join_all().await;
}

/// Accepts a connection once there is room for it.
async fn accept(listener: &TcpListener, resources: &Resources) -> std::io::Result<(TcpStream, SocketAddr)> {
    resources.wait_for_slot().await;
    listener.accept().await
}

/// Waits until a phase is reached. A dropped sender counts as the last phase.
async fn wait_for_phase(phase: &mut watch::Receiver<ListenerPhase>, wanted: ListenerPhase) {
    let _ = phase.wait_for(|phase| *phase >= wanted).await;
}

/// Closes the listener and returns the connections that were in its accept queue.
fn close_listener(listener: TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    let mut waiting = Vec::new();
    let Ok(listener) = listener.into_std() else {
        return waiting;
    };
    // The socket is non-blocking: an error means that the queue is empty.
    while let Ok((stream, from)) = listener.accept() {
        let nonblocking = stream.set_nonblocking(true);
        if let Ok(stream) = nonblocking.and_then(|()| TcpStream::from_std(stream)) {
            waiting.push((stream, from));
        }
    }
    waiting
}

async fn serve_connection<L: Fn() -> ConnectionLimits + Clone>(
    stream: TcpStream,
    from: SocketAddr,
    open: OpenConnection,
    routes: Router,
    phase: watch::Receiver<ListenerPhase>,
    limits: L,
) {
    // Without the option the connection works, with higher latency.
    let _ = stream.set_nodelay(true);
    let activity = ConnectionActivity::new(open.connection().clone());
    let (stream, stream_back) = ObservedStream::new(stream, activity.clone());
    let ended = serve_requests(stream, activity, open.connection(), from, routes, phase, limits).await;
    if ended == ConnectionEnd::Answered
        && let Ok(stream) = stream_back.await
    {
        discard_input(stream).await;
    }
}

/// Reads until the client closes the connection or the time is up.
async fn discard_input(mut stream: TcpStream) {
    let mut buffer = [0; DISCARD_BUFFER_BYTES];
    let discarding = async { while matches!(stream.read(&mut buffer).await, Ok(length) if length > 0) {} };
    // The connection is closed in either case.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discarding).await;
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// Its last answer may still be on the way.
    Answered,
    /// It was given up for others, before its first request was read whole or while its client did not read.
    Cut,
}

async fn serve_requests<L: Fn() -> ConnectionLimits + Clone>(
    stream: ObservedStream,
    activity: ConnectionActivity,
    caller: &CallerConnection,
    from: SocketAddr,
    routes: Router,
    mut phase: watch::Receiver<ListenerPhase>,
    limits: L,
) -> ConnectionEnd {
    let routes = TowerToHyperService::new(routes);
    let served = activity.clone();
    let service = service_fn(|mut request: http::Request<hyper::body::Incoming>| {
        request.extensions_mut().insert(ConnectInfo(from));
        request.extensions_mut().insert(caller.clone());
        let serving = served.serve(!request.body().is_end_stream());
        let answer = routes.call(request);
        async move {
            let Ok(answer) = answer.await;
            write_answer(answer, serving, caller).await
        }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.max_buf_size(limits().head_bytes.max(MINIMUM_HEAD_BUFFER));
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    // Connection errors affect only this client and are ignored.
    tokio::select! {
        _ = connection.as_mut() => return ConnectionEnd::Answered,
        () = wait_for_phase(&mut phase, ListenerPhase::Ended) => {}
        () = caller.evicted() => {
            log::debug!("node: closing the connection from {from}: others need its room.");
            if activity.can_be_cut() {
                return ConnectionEnd::Cut;
            }
            connection.as_mut().graceful_shutdown();
            let closed = tokio::time::timeout(EXPIRED_CLOSE_TIMEOUT, connection.as_mut()).await.is_ok();
            if !closed && activity.is_serving() {
                // A request that was read whole is still answered.
                tokio::select! {
                    _ = connection => {}
                    () = activity.expired(limits) => {}
                }
            }
            return ConnectionEnd::Answered;
        }
        () = activity.expired(limits.clone()) => {
            log::debug!("node: closing the connection from {from}: idle or request head timeout exceeded.");
            connection.as_mut().graceful_shutdown();
            // The client may never complete the head or read the response.
            let _ = tokio::time::timeout(EXPIRED_CLOSE_TIMEOUT, connection).await;
            return ConnectionEnd::Answered;
        }
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
    ConnectionEnd::Answered
}

/// Hands an answer to the connection, which counts it until the client has taken it.
async fn write_answer(
    answer: http::Response<axum::body::Body>,
    serving: ServingGuard,
    caller: &CallerConnection,
) -> Result<http::Response<Full<Bytes>>, axum::Error> {
    let (mut head, body) = answer.into_parts();
    let body = body.collect().await?.to_bytes();
    if caller.is_evicted() {
        head.headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(http::Response::from_parts(head, Full::new(serving.write(body))))
}
