//! Logs the byte counts periodically, for operators without access to the metrics.

use std::sync::Arc;
use std::time::Duration;

use crate::shared::Shared;

/// The counts serve to compare nodes and releases, not to alert.
const INTERVAL: Duration = Duration::from_secs(60);

/// Logs the counts periodically until the task is dropped.
pub async fn run_traffic_log(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval_at(tokio::time::Instant::now() + INTERVAL, INTERVAL);
    loop {
        interval.tick().await;
        log_traffic(&shared);
    }
}

pub fn log_traffic(shared: &Shared) {
    let summary = shared.peers.traffic().summary();
    log::info!("traffic: bytes sent/received so far, in the own zone and with others: {summary}.");
}
