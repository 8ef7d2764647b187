//! Readiness endpoint for load balancers.

use std::sync::Arc;

use axum::Router;
use axum::extract::State;
use http::StatusCode;

use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol};

/// Answers every path with 200 when the node can serve.
pub fn readiness_routes<C: CallerProtocol, B: BackendProtocol>(context: Arc<Context<C, B>>) -> Router {
    Router::new().fallback(ready::<C, B>).with_state(context)
}

async fn ready<C: CallerProtocol, B: BackendProtocol>(
    State(context): State<Arc<Context<C, B>>>,
) -> (StatusCode, &'static str) {
    let view = context.view.load();
    if context.node.lifecycle.is_draining() {
        return (StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
    }
    if view.routes.is_none() || view.replicas.is_empty() {
        return (StatusCode::SERVICE_UNAVAILABLE, "nothing to serve yet\n");
    }
    (StatusCode::OK, "ready\n")
}
