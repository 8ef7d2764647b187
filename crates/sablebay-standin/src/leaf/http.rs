//! HTTP interface of a leaf.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use serde_json::value::to_raw_value;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::UnboundedReceiverStream;

use sablebay_model::{CallId, LeafId, PartitionSet, SnapshotVersion};
use sablebay_protocol::backend::{
    CANCEL_PATH, CancelCalls, HEALTH_PATH, LOAD_PATH, LeafAnswer, LeafCall, LeafHealth, LeafOperation,
    LeafOperationAnswer, LeafRefusal, OPERATION_PATH, SEARCH_PATH, SearchBatch,
};

use super::{Counted, LeafFaults, LeafState};

/// Serves connections until the task is dropped, which also closes them.
pub async fn serve(listener: TcpListener, state: Arc<LeafState>) {
    let routes = routes(state.clone());
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        // Without TCP_NODELAY only latency suffers.
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(routes.clone());
        let state = state.clone();
        connections.spawn(async move {
            let _open = Counted::new(&state.connections);
            let open = state.connections.load(Ordering::Relaxed);
            state.connections_peak.fetch_max(open, Ordering::Relaxed);
            let connection = hyper::server::conn::http1::Builder::new();
            // Connection errors are the client's concern.
            let _ = connection.serve_connection(TokioIo::new(stream), service).await;
        });
        while connections.try_join_next().is_some() {}
    }
}

fn routes(state: Arc<LeafState>) -> Router {
    Router::new()
        .route(SEARCH_PATH, post(search))
        .route(CANCEL_PATH, post(cancel))
        .route(OPERATION_PATH, post(operation))
        .route(LOAD_PATH, get(load))
        .route(HEALTH_PATH, get(health))
        .route("/control/faults", put(set_faults))
        .route("/control/versions", put(set_versions))
        .route("/control/partitions", put(set_partitions))
        .route("/control/operations", get(operations))
        .with_state(state)
}

fn line(answer: &LeafAnswer) -> Bytes {
    let mut text = serde_json::to_vec(answer).expect("serializing a plain structure cannot fail");
    text.push(b'\n');
    text.into()
}

async fn search(State(state): State<Arc<LeafState>>, body: Bytes) -> Response {
    let batch: SearchBatch<String, LeafCall> = match serde_json::from_slice(&body) {
        Ok(batch) => batch,
        Err(error) => return (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    };
    if state.is_immediate() {
        return answer_at_once(&state, &batch);
    }
    let (lines, receiver) = mpsc::unbounded_channel();
    for call in batch.calls {
        let (state, caller, lines) = (state.clone(), batch.caller.clone(), lines.clone());
        tokio::spawn(async move {
            let repeats = state.faults.lock().repeats_answers;
            if let Some(answer) = state.run(&caller, &call).await {
                // The send fails only if the caller has disconnected.
                let _ = lines.send(line(&answer));
                if repeats {
                    let _ = lines.send(line(&answer));
                }
            }
        });
    }
    let stream = UnboundedReceiverStream::new(receiver).map(Ok::<Bytes, Infallible>);
    Body::from_stream(stream).into_response()
}

fn answer_at_once(state: &LeafState, batch: &SearchBatch<String, LeafCall>) -> Response {
    let mut lines = Vec::new();
    for call in &batch.calls {
        state.calls.fetch_add(1, Ordering::Relaxed);
        let answer = match state.reason_to_refuse(call) {
            Some(refusal) => state.refusal(call, refusal),
            None => state.answer(call),
        };
        lines.extend_from_slice(&line(&answer));
    }
    lines.into_response()
}

async fn cancel(State(state): State<Arc<LeafState>>, Json(cancel): Json<CancelCalls>) {
    for call_id in cancel.call_ids {
        state.cancel(&cancel.caller, call_id);
    }
}

async fn operation(
    State(state): State<Arc<LeafState>>,
    Json(operation): Json<LeafOperation>,
) -> (StatusCode, Json<LeafOperationAnswer>) {
    let refuse = |refusal| LeafOperationAnswer {
        call_id: operation.call_id,
        result: None,
        refusal: Some(refusal),
        load: state.load(),
    };
    let faults = state.faults.lock().clone();
    if faults.draining {
        return (StatusCode::OK, Json(refuse(LeafRefusal::Draining)));
    }
    if faults.shedding {
        return (StatusCode::OK, Json(refuse(LeafRefusal::Shedding)));
    }
    // Counted before the work starts: the operation has run even if its answer is lost.
    *state.operations.lock().entry(operation.ticket.clone()).or_default() += 1;
    state.work().await;
    if faults.black_hole {
        std::future::pending::<()>().await;
    }
    let status = if faults.fails_operations { StatusCode::INTERNAL_SERVER_ERROR } else { StatusCode::OK };
    let answer = LeafOperationAnswer {
        call_id: CallId(operation.call_id.0),
        result: to_raw_value(&serde_json::json!({"accepted": operation.ticket})).ok(),
        refusal: None,
        load: state.load(),
    };
    (status, Json(answer))
}

async fn load(State(state): State<Arc<LeafState>>) -> Json<sablebay_protocol::backend::LeafLoad> {
    Json(state.load())
}

async fn health(State(state): State<Arc<LeafState>>) -> Json<LeafHealth> {
    let faults = state.faults.lock();
    let healthy = faults.claims_healthy.unwrap_or(!faults.black_hole && !faults.shedding);
    Json(LeafHealth { leaf: LeafId::new(&state.options.name), healthy })
}

async fn set_faults(State(state): State<Arc<LeafState>>, Json(faults): Json<LeafFaults>) {
    *state.faults.lock() = faults;
}

async fn set_versions(State(state): State<Arc<LeafState>>, Json(versions): Json<Vec<SnapshotVersion>>) {
    *state.versions.lock() = versions;
}

async fn set_partitions(State(state): State<Arc<LeafState>>, Json(partitions): Json<PartitionSet>) {
    *state.partitions.lock() = partitions;
}

async fn operations(State(state): State<Arc<LeafState>>) -> Json<std::collections::HashMap<String, u32>> {
    Json(state.operations())
}
