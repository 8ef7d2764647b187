//! Polls the platform service for the configuration, by conditional requests, and for the list of machines.
//!
//! The interval of a node grows with the fleet, so that the total request rate stays about the same.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode, header};
use rand::RngExt;

use sablebay_config::{Configuration, ConfigurationError, Digest, Version};
use sablebay_http::{ConnectionPool, ExchangeFailure, json_request, read_body, states_end_of_body};
use sablebay_model::{LeafId, Revision};
use sablebay_protocol::backend::{
    MachineList, MachineRole, PLATFORM_CONFIGURATION_PATH, PLATFORM_MACHINES_PATH,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet_task::{note_leaf, step_fleet};
use crate::shared::Shared;

/// The longest configuration document that is accepted.
const MAXIMUM_DOCUMENT_BYTES: usize = 128 << 20;
/// How long one read may take.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
const MINIMUM_INTERVAL_MS: u64 = 200;
/// Interval while the node has no configuration.
const FIRST_INTERVAL_MS: u64 = 300;

/// Polls the platform until the task is dropped; returns at once without a platform address.
pub async fn run_platform_reader(shared: Arc<Shared>) {
    let Some(address) = shared.settings.platform_address else {
        return;
    };
    let mut reader =
        PlatformReader { shared, pool: ConnectionPool::new(address, 1), etag: None, failing: false };
    loop {
        reader.read_machines().await;
        reader.read_configuration().await;
        tokio::time::sleep(reader.interval()).await;
    }
}

struct PlatformReader {
    shared: Arc<Shared>,
    pool: ConnectionPool,
    /// The ETag of the last processed document.
    etag: Option<HeaderValue>,
    failing: bool,
}

enum Document {
    Unchanged,
    Changed { tag: Option<HeaderValue>, text: String },
}

impl PlatformReader {
    /// Jittered interval at which the whole fleet reads at the configured rate.
    fn interval(&self) -> Duration {
        if self.shared.configuration().is_none() {
            return Duration::from_millis(FIRST_INTERVAL_MS);
        }
        let nodes = self.shared.view.load().peers.len() + 1;
        let mean_ms = nodes as f64 * 1_000.0 / self.shared.settings.platform_reads_per_second;
        let jittered = mean_ms * rand::rng().random_range(0.5..1.5);
        Duration::from_millis((jittered as u64).max(MINIMUM_INTERVAL_MS))
    }

    async fn read_configuration(&mut self) {
        let asked_at = self.shared.clock.now();
        if !self.shared.fleet.lock().may_take_from_platform(asked_at) {
            return;
        }
        match tokio::time::timeout(READ_TIMEOUT, self.fetch()).await {
            Ok(Ok(Document::Unchanged)) => {
                self.note_reachable();
                step_fleet(&self.shared, |fleet, _, _| fleet.platform_confirmed(asked_at));
            }
            Ok(Ok(Document::Changed { tag, text })) => {
                self.note_reachable();
                self.apply_configuration(text).await;
                self.etag = tag;
                step_fleet(&self.shared, |fleet, _, _| fleet.platform_confirmed(asked_at));
            }
            _ if self.failing => {}
            _ => {
                self.failing = true;
                log::warn!("platform: the configuration cannot be read; the version in force stays.");
            }
        }
    }

    fn note_reachable(&mut self) {
        if self.failing {
            log::info!("platform: the configuration can be read again.");
        }
        self.failing = false;
    }

    async fn fetch(&self) -> Result<Document, ExchangeFailure> {
        let permit = self.pool.permit().await;
        let mut lease = self.pool.connect(permit).await.ok_or(ExchangeFailure::NotSent)?;
        let mut request = json_request(Method::GET, PLATFORM_CONFIGURATION_PATH, Bytes::new());
        if let Some(tag) = &self.etag {
            request.headers_mut().insert(header::IF_NONE_MATCH, tag.clone());
        }
        let response = self.pool.send(&mut lease, request).await?;
        let status = response.status();
        let tag = response.headers().get(header::ETAG).cloned();
        // The first part of a document may be valid by itself.
        let is_whole = states_end_of_body(response.headers());
        let body = read_body(response.into_body(), MAXIMUM_DOCUMENT_BYTES).await;
        let body = body.map_err(|_| ExchangeFailure::Broken)?;
        self.pool.release(lease);
        match status {
            StatusCode::NOT_MODIFIED => Ok(Document::Unchanged),
            StatusCode::OK if is_whole => {
                let text = String::from_utf8_lossy(&body).into_owned();
                Ok(Document::Changed { tag, text })
            }
            _ => Err(ExchangeFailure::Broken),
        }
    }

    /// Validates a document on a blocking thread, then offers it to the fleet or reports its findings.
    async fn apply_configuration(&self, text: String) {
        let rejected = Version { revision: revision_of(&text), digest: Digest(xxh3_64(text.as_bytes())) };
        let in_force = self.shared.configuration();
        let parse = move || match in_force {
            Some(in_force) => Configuration::parse_with_base("platform", &text, &in_force.document),
            None => Configuration::parse("platform", &text),
        };
        let parsed = tokio::task::spawn_blocking(parse).await;
        match parsed {
            Ok(Ok(configuration)) => {
                let configuration = Arc::new(configuration);
                let version = configuration.version;
                let offer = step_fleet(&self.shared, |fleet, now, outputs| {
                    fleet.offer_from_platform(configuration, now, outputs)
                });
                log::debug!("platform: revision {version} was read: {offer:?}.");
            }
            Ok(Err(ConfigurationError::Invalid { findings })) => {
                step_fleet(&self.shared, |fleet, _, outputs| fleet.reject(rejected, findings, outputs));
            }
            Ok(Err(error)) => log::warn!("platform: a document was not accepted: {error}."),
            Err(error) => log::error!("platform: a document could not be validated: {error}."),
        }
    }

    async fn read_machines(&self) {
        let Some(body) = self.pool.get(PLATFORM_MACHINES_PATH).await else {
            return;
        };
        let Ok(list) = serde_json::from_slice::<MachineList>(&body) else {
            log::warn!("platform: the list of machines is malformed.");
            return;
        };
        self.apply_machines(list);
    }

    /// Takes seeds and leaving leaves from the list, which may be out of date.
    fn apply_machines(&self, list: MachineList) {
        let nodes = list.machines.iter().filter(|machine| machine.role == MachineRole::Node);
        let seeds: Vec<_> = nodes.filter(|node| !node.leaving).filter_map(|node| node.address).collect();
        step_fleet(&self.shared, |fleet, _, _| fleet.add_seeds(seeds));
        let leaving: Vec<LeafId> = list
            .machines
            .iter()
            .filter(|machine| machine.role == MachineRole::Leaf && machine.leaving)
            .map(|machine| LeafId::new(&machine.name))
            .collect();
        *self.shared.listed_leaving.lock() = leaving.iter().cloned().collect();
        self.shared.seen_leaving.lock().extend(leaving.iter().cloned());
        for leaf in &leaving {
            note_leaf(&self.shared, leaf, true);
        }
    }
}

/// The revision stated in a document, even if the document is invalid; 0 when there is none.
fn revision_of(text: &str) -> Revision {
    let line = text.lines().find_map(|line| line.trim().strip_prefix("revision"));
    let number = line.and_then(|rest| rest.trim().strip_prefix('='));
    Revision(number.and_then(|number| number.trim().parse().ok()).unwrap_or(0))
}
