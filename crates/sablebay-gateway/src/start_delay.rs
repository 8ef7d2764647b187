//! Retry delays of a node that has no configuration yet.

use std::time::Duration;

/// Typical time until a starting node has read a configuration from the source or from a peer.
const TYPICAL_STARTUP: Duration = Duration::from_millis(150);
/// Retry delay within the typical startup time.
const TYPICAL_STARTUP_RETRY: Duration = Duration::from_millis(400);
/// Retry delay after the typical startup time. The source and peers are then likely to be down for seconds,
/// and earlier retries would be refused again.
const STALLED_STARTUP_RETRY: Duration = Duration::from_millis(1_000);

/// The retry delay for requests refused after `uptime` for lack of a configuration.
pub fn retry_during_start(uptime: Duration) -> Duration {
    if uptime < TYPICAL_STARTUP { TYPICAL_STARTUP_RETRY } else { STALLED_STARTUP_RETRY }
}
