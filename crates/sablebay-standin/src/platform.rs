//! A stand-in for the platform service: versioned configuration and the machine list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use axum::body::Bytes;
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, put};
use axum::{Json, Router};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use xxhash_rust::xxh3::xxh3_64;

use sablebay_protocol::backend::{MachineList, PLATFORM_CONFIGURATION_PATH, PLATFORM_MACHINES_PATH};

use crate::error::StandInError;

/// Which document the platform serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformMode {
    #[default]
    Newest,
    /// The oldest document, as from a stale replica.
    Oldest,
    /// The newest and the previous document, alternating per read.
    Split,
    /// The newest and the oldest document, alternating every ten reads.
    Flapping,
    /// Every request fails.
    Down,
}

/// State of the platform, shared with its controller.
#[derive(Default)]
pub struct PlatformState {
    documents: Mutex<Vec<Arc<str>>>,
    mode: Mutex<PlatformMode>,
    machines: Mutex<MachineList>,
    reads: AtomicU64,
}

impl PlatformState {
    /// Publishes a document.
    ///
    /// # Errors
    /// Fails if the revision is not greater than the last one.
    pub fn publish(&self, text: &str) -> Result<(), StandInError> {
        let mut documents = self.documents.lock();
        let last = documents.last().map_or(0, |document| revision_of(document));
        let revision = revision_of(text);
        if revision <= last {
            return Err(StandInError::StaleRevision { revision, last });
        }
        documents.push(Arc::from(text));
        Ok(())
    }

    /// Stores a document regardless of its revision, as after two concurrent publications.
    pub fn force(&self, text: &str) {
        self.documents.lock().push(Arc::from(text));
    }

    pub fn set_mode(&self, mode: PlatformMode) {
        *self.mode.lock() = mode;
    }

    pub fn set_machines(&self, machines: MachineList) {
        *self.machines.lock() = machines;
    }

    /// Number of reads of the configuration.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    fn serve(&self) -> Option<Arc<str>> {
        const FLAP_READS: u64 = 10;
        let read = self.reads.fetch_add(1, Ordering::Relaxed);
        let documents = self.documents.lock();
        let newest = documents.last().cloned();
        let previous = documents.len().checked_sub(2).map(|position| documents[position].clone());
        match *self.mode.lock() {
            PlatformMode::Newest => newest,
            PlatformMode::Oldest => documents.first().cloned(),
            PlatformMode::Split if read % 2 == 1 => previous.or(newest),
            PlatformMode::Split => newest,
            PlatformMode::Flapping if (read / FLAP_READS) % 2 == 1 => documents.first().cloned(),
            PlatformMode::Flapping => newest,
            PlatformMode::Down => None,
        }
    }
}

/// Returns the revision of a document, or 0 if it has none.
fn revision_of(text: &str) -> u64 {
    let line = text.lines().find_map(|line| line.trim().strip_prefix("revision"));
    let number = line.and_then(|rest| rest.trim().strip_prefix('='));
    number.and_then(|number| number.trim().parse().ok()).unwrap_or(0)
}

/// A running platform; stops when dropped.
pub struct Platform {
    /// Listen address.
    pub address: SocketAddr,
    pub state: Arc<PlatformState>,
    task: JoinHandle<()>,
}

impl Platform {
    ///
    /// # Errors
    /// Fails if the listener cannot be bound.
    pub async fn start(address: SocketAddr) -> Result<Platform, StandInError> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(PlatformState::default());
        let routes = Router::new()
            .route(PLATFORM_CONFIGURATION_PATH, get(configuration))
            .route(PLATFORM_MACHINES_PATH, get(machines))
            .route("/control/configuration", put(publish))
            .route("/control/mode", put(set_mode))
            .route("/control/machines", put(set_machines))
            .with_state(state.clone());
        let task = tokio::spawn(async move {
            // Errors are ignored: the server runs until its task is aborted.
            let _ = axum::serve(listener, routes).await;
        });
        Ok(Platform { address, state, task })
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn configuration(State(state): State<Arc<PlatformState>>, headers: HeaderMap) -> Response {
    let Some(document) = state.serve() else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let tag = format!("\"{:016x}\"", xxh3_64(document.as_bytes()));
    let known = headers.get(header::IF_NONE_MATCH).is_some_and(|known| known.as_bytes() == tag.as_bytes());
    if known {
        return StatusCode::NOT_MODIFIED.into_response();
    }
    ([(header::ETAG, tag)], document.to_string()).into_response()
}

async fn machines(State(state): State<Arc<PlatformState>>) -> Response {
    if *state.mode.lock() == PlatformMode::Down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    Json(state.machines.lock().clone()).into_response()
}

async fn publish(State(state): State<Arc<PlatformState>>, body: Bytes) -> Response {
    match state.publish(&String::from_utf8_lossy(&body)) {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(error) => (StatusCode::CONFLICT, format!("{error}\n")).into_response(),
    }
}

async fn set_mode(State(state): State<Arc<PlatformState>>, Json(mode): Json<PlatformMode>) {
    state.set_mode(mode);
}

async fn set_machines(State(state): State<Arc<PlatformState>>, Json(machines): Json<MachineList>) {
    state.set_machines(machines);
}
