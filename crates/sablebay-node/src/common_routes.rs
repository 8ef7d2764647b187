//! Routes shared by the caller and operator listeners.

use std::sync::Arc;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::get;

use sablebay_model::{Reason, Refusal};

use crate::outcome_body::refusal_response;
use crate::shared::Shared;

/// Adds `/healthz`, `/readyz`, and a refusal for unknown paths and unsupported methods.
pub fn with_common_routes(routes: Router<Arc<Shared>>) -> Router<Arc<Shared>> {
    routes
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(ready))
        .fallback(no_such_path)
        .method_not_allowed_fallback(no_such_path)
}

async fn no_such_path() -> Response {
    refusal_response(Refusal::not_run(Reason::NoSuchPath, "no such path or method"))
}

async fn ready(State(shared): State<Arc<Shared>>) -> Response {
    let ready = shared.freshness.is_ready() && !shared.lifecycle.is_draining();
    if ready {
        "ready\n".into_response()
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response()
    }
}
