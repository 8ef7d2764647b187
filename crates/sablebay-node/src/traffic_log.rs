//! Logs the byte counts now and then, for those who read a node's log without its metrics.

use std::sync::Arc;
use std::time::Duration;

use crate::shared::Shared;

/// How often the counts are logged. They serve to compare nodes and releases, not to alert.
const INTERVAL: Duration = Duration::from_secs(60);

/// Logs until the node ends.
pub async fn run_traffic_log(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval_at(tokio::time::Instant::now() + INTERVAL, INTERVAL);
    loop {
        interval.tick().await;
        log_traffic(&shared);
    }
}

/// Logs the counts once.
pub fn log_traffic(shared: &Shared) {
    let summary = shared.peers.traffic().summary();
    log::info!("traffic: bytes sent/received so far, in the own zone and with others: {summary}.");
}
