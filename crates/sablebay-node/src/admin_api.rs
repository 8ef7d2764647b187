//! The operators' HTTP API.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::extract::{ConnectInfo, DefaultBodyLimit, Path, Query, Request, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use sablebay_config::{Configuration, ConfigurationError, EntryKind, Finding, ServiceSettings, Version};
use sablebay_http::{BodyFailure, read_body};
use sablebay_model::{Reason, Refusal, RequestDigest, ServiceId, ZoneName};
use sablebay_protocol::caller::TOKEN_HEADER;
use sablebay_protocol::peer::{PeerRequest, PeerResponse};

use crate::common_routes::with_common_routes;
use crate::fleet_task::step_fleet;
use crate::metrics::{GivenUpLabel, Metrics};
use crate::outcome_body::refusal_response;
use crate::peers::Lane;
use crate::report::{NodeReport, node_report, short_report};
use crate::resources::Resources;
use crate::service_counts::ServiceReport;
use crate::shared::Shared;

/// Maximum size of the body of a call other than a candidate.
const MAXIMUM_BODY_BYTES: usize = 4 << 10;
/// The longest candidate configuration that is accepted.
const MAXIMUM_CANDIDATE_BYTES: usize = 64 << 20;
/// How long a candidate may take to arrive. Another one is refused meanwhile.
const CANDIDATE_TIMEOUT: Duration = Duration::from_secs(30);
/// Retry delay while another candidate is being checked.
const CANDIDATE_RETRY_MS: u64 = 1_000;
/// How long a peer may take to send its report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
const MAXIMUM_CONCURRENT_REPORTS: usize = 64;

pub fn admin_routes(shared: Arc<Shared>) -> Router {
    let routes = Router::new()
        .route("/v1/status", get(status))
        .route("/v1/configuration", get(configuration))
        .route("/v1/configuration/check", post(check_candidate))
        .route("/v1/services/{service}", get(service))
        .route("/v1/drain", post(drain))
        .route("/v1/undrain", post(undrain))
        .route("/v1/quarantine/{digest}/release", post(release))
        .route("/v1/log-level", put(log_level))
        .route("/metrics", get(metrics));
    with_common_routes(routes).layer(DefaultBodyLimit::max(MAXIMUM_BODY_BYTES)).with_state(shared)
}

/// Checks the operator's token of a state-changing call. Without a configured token, only calls from loopback
/// addresses are allowed.
fn authorize(shared: &Shared, from: SocketAddr, headers: &HeaderMap) -> Result<(), Refusal> {
    let Some(token) = &shared.settings.operator_token else {
        if from.ip().is_loopback() {
            return Ok(());
        }
        let message = "no operator_token is set; this call is accepted from loopback addresses only";
        return Err(Refusal::not_run(Reason::Unauthorized, message));
    };
    let given = headers.get(TOKEN_HEADER).map_or(&[][..], |value| value.as_bytes());
    if bool::from(token.as_bytes().ct_eq(given)) {
        return Ok(());
    }
    Err(Refusal::not_run(Reason::Unauthorized, "the operator's token is missing or wrong"))
}

#[derive(Deserialize)]
struct StatusScope {
    #[serde(default)]
    fleet: bool,
}

/// Reports of all nodes of the fleet.
#[derive(Serialize)]
struct FleetStatus {
    /// Number of nodes by configuration version.
    versions: BTreeMap<String, usize>,
    /// Nodes that sent no valid report in time.
    silent: Vec<String>,
    nodes: Vec<NodeReport>,
}

async fn status(State(shared): State<Arc<Shared>>, Query(scope): Query<StatusScope>) -> Response {
    if !scope.fleet {
        return Json(node_report(&shared)).into_response();
    }
    Json(fleet_status(&shared).await).into_response()
}

async fn fleet_status(shared: &Arc<Shared>) -> FleetStatus {
    let peers = shared.view.load().peers.clone();
    let mut requests = tokio::task::JoinSet::new();
    let mut answers = Vec::new();
    for peer in peers.iter().cloned() {
        if requests.len() >= MAXIMUM_CONCURRENT_REPORTS {
            answers.extend(requests.join_next().await.and_then(Result::ok));
        }
        let shared = shared.clone();
        requests.spawn(async move {
            let until = tokio::time::Instant::now() + REPORT_TIMEOUT;
            let response =
                shared.peers.request(peer.address, Lane::Control, PeerRequest::Report, until).await;
            let report = match response {
                Ok(PeerResponse::Report(text)) => serde_json::from_str::<NodeReport>(&text).ok(),
                _ => None,
            };
            (peer.node.to_string(), report)
        });
    }
    answers.extend(requests.join_all().await);
    let mut nodes = vec![short_report(shared)];
    let mut silent = Vec::new();
    for (node, report) in answers {
        match report {
            Some(report) => nodes.push(report),
            None => silent.push(node),
        }
    }
    nodes.sort_by(|a, b| a.node.cmp(&b.node));
    let mut versions: BTreeMap<String, usize> = BTreeMap::new();
    for node in &nodes {
        *versions.entry(node.version.to_string()).or_default() += 1;
    }
    FleetStatus { versions, silent, nodes }
}

#[derive(Serialize)]
struct ConfigurationAnswer {
    version: Version,
    floor: Version,
    in_force_for_ms: u64,
    services: Vec<ServiceSettings>,
    indexes: usize,
    leaves: usize,
    evacuated_zones: BTreeSet<ZoneName>,
    rejections: Vec<sablebay_fleet::Rejection>,
    conflicts: Vec<sablebay_fleet::Conflict>,
}

async fn configuration(State(shared): State<Arc<Shared>>) -> Response {
    let Some(configuration) = shared.configuration() else {
        return refusal_response(Refusal::not_run(Reason::NotReady, "the node has no configuration yet"));
    };
    let fleet = shared.fleet.lock();
    let floor = fleet.floor();
    let answer = ConfigurationAnswer {
        version: configuration.version,
        floor: floor.floor(),
        in_force_for_ms: shared.clock.now().since(floor.adopted_at()).as_millis(),
        services: configuration.services.values().map(|service| (**service).clone()).collect(),
        indexes: configuration.document.count(EntryKind::Index),
        leaves: configuration.document.count(EntryKind::Leaf),
        evacuated_zones: configuration.evacuated_zones.clone(),
        rejections: floor.rejections().cloned().collect(),
        conflicts: floor.conflicts().copied().collect(),
    };
    drop(fleet);
    Json(answer).into_response()
}

/// The effect of adopting a candidate configuration.
#[derive(Serialize)]
struct CandidateAnswer {
    valid: bool,
    findings: Vec<Finding>,
    would_be_adopted: bool,
    in_force: Option<Version>,
    candidate: Option<Version>,
    changed: Vec<String>,
    removed: Vec<String>,
}

async fn check_candidate(State(shared): State<Arc<Shared>>, request: Request) -> Response {
    // A candidate may take much of the machine's memory, so there is one at a time.
    let Ok(_turn) = shared.candidate_turn.try_lock() else {
        let message = "another candidate is being checked";
        let refusal = Refusal::not_run(Reason::Overloaded, message).retry_after(CANDIDATE_RETRY_MS);
        return refusal_response(refusal);
    };
    let reading = read_body(request.into_body(), MAXIMUM_CANDIDATE_BYTES);
    let body = match tokio::time::timeout(CANDIDATE_TIMEOUT, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyFailure::TooLong)) => {
            let message = format!("the candidate exceeds {MAXIMUM_CANDIDATE_BYTES} bytes");
            return refusal_response(Refusal::not_run(Reason::TooLarge, message));
        }
        Ok(Err(_)) | Err(_) => {
            let message = "the candidate did not arrive whole in time";
            return refusal_response(Refusal::not_run(Reason::BadRequest, message));
        }
    };
    let text = String::from_utf8_lossy(&body).into_owned();
    let in_force = shared.configuration();
    let floor = shared.fleet.lock().floor().floor();
    let parsed = tokio::task::spawn_blocking(move || Configuration::parse("candidate", &text)).await;
    let Ok(parsed) = parsed else {
        return refusal_response(Refusal::not_run(Reason::BadRequest, "the candidate could not be read"));
    };
    let in_force_version = in_force.as_ref().map(|configuration| configuration.version);
    let answer = match parsed {
        Err(ConfigurationError::Invalid { findings }) => CandidateAnswer {
            valid: false,
            findings,
            would_be_adopted: false,
            in_force: in_force_version,
            candidate: None,
            changed: Vec::new(),
            removed: Vec::new(),
        },
        Err(error) => return refusal_response(Refusal::not_run(Reason::BadRequest, error.to_string())),
        Ok(candidate) => {
            let delta = in_force.map(|before| before.document.delta_to(&candidate.document));
            let names = |keys: Vec<String>| keys;
            CandidateAnswer {
                valid: true,
                findings: Vec::new(),
                would_be_adopted: candidate.version > floor,
                in_force: in_force_version,
                candidate: Some(candidate.version),
                changed: delta.as_ref().map_or_else(Vec::new, |delta| {
                    names(delta.changed.iter().map(|(key, _)| key.to_string()).collect())
                }),
                removed: delta.as_ref().map_or_else(Vec::new, |delta| {
                    names(delta.removed.iter().map(|key| key.to_string()).collect())
                }),
            }
        }
    };
    Json(answer).into_response()
}

#[derive(Serialize)]
struct ServiceAnswer {
    version: Version,
    settings: ServiceSettings,
    nodes: usize,
    behaviour: ServiceReport,
    latency_p50_ms: f64,
    latency_p99_ms: f64,
    latency_p999_ms: f64,
    extra_load_percent: f64,
}

async fn service(State(shared): State<Arc<Shared>>, Path(name): Path<String>) -> Response {
    let configuration = shared.configuration();
    let found =
        configuration.and_then(|c| Some((c.version, c.services.get(&ServiceId::new(&name))?.clone())));
    let Some((version, settings)) = found else {
        let message = format!("there is no service `{name}`");
        return refusal_response(Refusal::not_run(Reason::UnknownService, message));
    };
    let fleet = fleet_status(&shared).await;
    let mut behaviour = ServiceReport::default();
    let mut nodes = 0;
    for report in fleet.nodes.iter().filter_map(|node| node.services.get(&name)) {
        behaviour.merge(report);
        nodes += 1;
    }
    let latency = behaviour.latency_ms(&[0.5, 0.99, 0.999]);
    let extra_load_percent = behaviour.extra_load_percent();
    behaviour.latency_us.clear();
    let answer = ServiceAnswer {
        version,
        settings: (*settings).clone(),
        nodes,
        behaviour,
        latency_p50_ms: latency[0],
        latency_p99_ms: latency[1],
        latency_p999_ms: latency[2],
        extra_load_percent,
    };
    Json(answer).into_response()
}

async fn drain(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(from): ConnectInfo<SocketAddr>,
    headers: HeaderMap,
) -> Response {
    if let Err(refusal) = authorize(&shared, from, &headers) {
        return refusal_response(refusal);
    }
    start_draining(&shared);
    Json(node_report(&shared)).into_response()
}

/// Starts refusing new work and announces the leave to the fleet. Does nothing while draining.
pub fn start_draining(shared: &Arc<Shared>) {
    if shared.lifecycle.is_draining() {
        return;
    }
    log::info!("stop: the node drains; new work is refused.");
    shared.lifecycle.set_draining(true);
    step_fleet(shared, |fleet, _, outputs| fleet.leave(outputs));
}

async fn undrain(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(from): ConnectInfo<SocketAddr>,
    headers: HeaderMap,
) -> Response {
    if let Err(refusal) = authorize(&shared, from, &headers) {
        return refusal_response(refusal);
    }
    if shared.lifecycle.stop_times().is_some() {
        return refusal_response(Refusal::not_run(Reason::Stopping, "the node is stopping"));
    }
    if shared.lifecycle.is_draining() {
        log::info!("stop: the node takes work again.");
        shared.lifecycle.set_draining(false);
        step_fleet(&shared, |fleet, _, outputs| fleet.cancel_leave(outputs));
    }
    Json(node_report(&shared)).into_response()
}

async fn release(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(from): ConnectInfo<SocketAddr>,
    headers: HeaderMap,
    Path(text): Path<String>,
) -> Response {
    if let Err(refusal) = authorize(&shared, from, &headers) {
        return refusal_response(refusal);
    }
    let digest: RequestDigest = match text.parse() {
        Ok(digest) => digest,
        Err(error) => return refusal_response(Refusal::not_run(Reason::BadRequest, format!("{error}"))),
    };
    if !shared.quarantine.release(&digest, shared.clock.now()) {
        let message = format!("request {digest} is not known to this node");
        return refusal_response(Refusal::not_run(Reason::BadRequest, message));
    }
    StatusCode::NO_CONTENT.into_response()
}

#[derive(Deserialize)]
struct LevelBody {
    level: log::LevelFilter,
}

async fn log_level(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(from): ConnectInfo<SocketAddr>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    if let Err(refusal) = authorize(&shared, from, &headers) {
        return refusal_response(refusal);
    }
    let Ok(body) = serde_json::from_slice::<LevelBody>(&body) else {
        let message = "expected {\"level\": \"error|warn|info|debug|trace\"}";
        return refusal_response(Refusal::not_run(Reason::BadRequest, message));
    };
    let Some(control) = &shared.log_control else {
        let message = "the log level of this process cannot be changed";
        return refusal_response(Refusal::not_run(Reason::BadRequest, message));
    };
    match control.set_level(body.level) {
        Ok(()) => {
            log::info!("log: the level is {}.", body.level);
            StatusCode::NO_CONTENT.into_response()
        }
        Err(error) => refusal_response(Refusal::not_run(Reason::BadRequest, error.to_string())),
    }
}

fn set_caller_metrics(metrics: &Metrics, resources: &Resources) {
    metrics.caller_connections.set(resources.connections() as i64);
    metrics.caller_bytes.set(resources.leased_bytes() as i64);
    let counters = resources.counters();
    for (reason, counter) in [
        ("connections", &counters.connections_evicted),
        ("stalled", &counters.memory_reclaimed),
        ("no_memory", &counters.memory_refused),
    ] {
        let count = counter.load(Ordering::Relaxed) as i64;
        metrics.given_up.get_or_create(&GivenUpLabel { reason }).set(count);
    }
}

async fn metrics(State(shared): State<Arc<Shared>>) -> String {
    let metrics = &shared.metrics;
    let counters = shared.peers.counters();
    let read = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed) as i64;
    metrics.members.set(shared.view.load().peers.len() as i64 + 1);
    metrics.in_flight.set(shared.lifecycle.in_flight());
    metrics.frames_wrong_proof.set(read(&counters.wrong_proof));
    metrics.frames_malformed.set(read(&counters.malformed));
    metrics.control_bytes.set(shared.peers.traffic().control_sent() as i64);
    metrics.misaddressed.set(read(&shared.client_counters.misaddressed));
    let confirmed = shared.freshness.confirmed_ms_ago(shared.clock.now());
    metrics.confirmed_ms_ago.set(confirmed.map_or(-1, |ms| ms as i64));
    set_caller_metrics(metrics, &shared.resources);
    metrics.render()
}
