//! When callers come back to a node that knows no configuration yet.

use std::time::Duration;

/// How long a start takes where the source of the catalogue or another node answers: some ways there and back, and
/// the reading of the answer on a small machine.
const TYPICAL_STARTUP: Duration = Duration::from_millis(150);
/// When to come back during a usual start.
const TYPICAL_STARTUP_RETRY: Duration = Duration::from_millis(400);
/// When to come back once a start takes longer: nobody answers, and what nodes and sources are down for is counted in
/// seconds. A caller that comes back sooner is mostly refused again, and has used up a retry.
const STALLED_STARTUP_RETRY: Duration = Duration::from_millis(1_000);

/// When a caller comes back to a node that knows no configuration after it has run for some time.
pub fn retry_during_start(uptime: Duration) -> Duration {
    if uptime < TYPICAL_STARTUP { TYPICAL_STARTUP_RETRY } else { STALLED_STARTUP_RETRY }
}
