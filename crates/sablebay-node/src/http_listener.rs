//! An HTTP listener that can be closed without cutting a request.
//!
//! A server that closes its socket and its idle connections at one moment cuts two kinds of
//! requests: those on connections that the kernel has accepted and the process has not, and those
//! that cross the close of an idle connection. Here the two steps are apart. When the listener
//! closes, the connections that wait in the kernel's queue are still served; open connections go
//! on, and each is told with its next answer that it is the last. Only connections that stay
//! silent until the last phase are closed without an answer.

use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use axum::extract::ConnectInfo;
use hyper::service::{Service, service_fn};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::connection_limits::{ConnectionActivity, ConnectionLimits, ObservedStream};

/// How long to wait after a connection could not be accepted, for instance for want of descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// The smallest buffer for heads that the server library takes.
const MINIMUM_HEAD_BUFFER: usize = 8_192;
/// How long a connection that is over its limit may take to end in order.
const EXPIRED_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// How far the stop of a listener has come. It only ever advances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListenerPhase {
    /// New connections are accepted.
    #[default]
    Open,
    /// No new connections; open ones are served until they end or are told to.
    Closed,
    /// Connections without a request in progress are closed.
    Ended,
}

/// Serves `routes` until the phase is over [`ListenerPhase::Open`] and every connection has ended.
/// Connections are bounded by [`ConnectionLimits::default`].
pub async fn serve_http(listener: TcpListener, routes: Router, phase: watch::Receiver<ListenerPhase>) {
    serve_http_within(listener, routes, phase, ConnectionLimits::default).await;
}

/// As [`serve_http`], with limits that may change while connections are open.
pub async fn serve_http_within<L>(
    listener: TcpListener,
    routes: Router,
    mut phase: watch::Receiver<ListenerPhase>,
    limits: L,
) where
    L: Fn() -> ConnectionLimits + Clone + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) => {
                    connections.spawn(serve_connection(stream, from, routes.clone(), phase.clone(), limits.clone()));
                }
                Err(error) => {
                    log::warn!("node: a connection was not accepted: {error}.");
                    tokio::time::sleep(ACCEPT_RETRY).await;
                }
            },
            () = wait_for_phase(&mut phase, ListenerPhase::Closed) => break,
            Some(_) = connections.join_next() => {}
        }
    }
    for (stream, from) in close_listener(listener) {
        connections.spawn(serve_connection(stream, from, routes.clone(), phase.clone(), limits.clone()));
    }
    connections.join_all().await;
}

/// Waits for a phase. A sender that is gone means the same as the last phase.
async fn wait_for_phase(phase: &mut watch::Receiver<ListenerPhase>, wanted: ListenerPhase) {
    let _ = phase.wait_for(|phase| *phase >= wanted).await;
}

/// Closes the listener, and takes the connections that were waiting to be accepted.
fn close_listener(listener: TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    let mut waiting = Vec::new();
    let Ok(listener) = listener.into_std() else {
        return waiting;
    };
    // The socket does not block: an error means that none is left.
    while let Ok((stream, from)) = listener.accept() {
        let nonblocking = stream.set_nonblocking(true);
        if let Ok(stream) = nonblocking.and_then(|()| TcpStream::from_std(stream)) {
            waiting.push((stream, from));
        }
    }
    waiting
}

async fn serve_connection<L: Fn() -> ConnectionLimits>(
    stream: TcpStream,
    from: SocketAddr,
    routes: Router,
    mut phase: watch::Receiver<ListenerPhase>,
    limits: L,
) {
    // A failure to set the option costs some latency, and nothing else.
    let _ = stream.set_nodelay(true);
    let activity = ConnectionActivity::new();
    let stream = ObservedStream::new(stream, activity.clone());
    let routes = TowerToHyperService::new(routes);
    let served = activity.clone();
    let service = service_fn(move |mut request: http::Request<hyper::body::Incoming>| {
        request.extensions_mut().insert(ConnectInfo(from));
        let serving = served.serve();
        let answer = routes.call(request);
        async move {
            let answer = answer.await;
            drop(serving);
            answer
        }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.max_buf_size(limits().head_bytes.max(MINIMUM_HEAD_BUFFER));
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    // How a connection ends is the other side's matter.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = wait_for_phase(&mut phase, ListenerPhase::Ended) => {}
        () = activity.expired(limits) => {
            log::debug!("node: a connection from {from} was idle, or the head of its request slow, for too long.");
            connection.as_mut().graceful_shutdown();
            // A head that never comes to its end, or an answer that is never read, is not waited for.
            let _ = tokio::time::timeout(EXPIRED_CLOSE_TIMEOUT, connection).await;
            return;
        }
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
