//! Quarantine notices exchanged between nodes. Times are ages or refer to the observer's clock, since the
//! clocks of nodes differ.

use musli::{Decode, Encode};

use sablebay_catalogue::{ReplicaId, ServiceName};
use sablebay_model::{Micros, RequestDigest};

use super::crash_history::{CrashHistory, CrashedRun, ObserverId};

/// A run during which the back end crashed, as sent between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CrashNotice {
    pub replica: ReplicaId,
    pub service: ServiceName,
    /// Node that observed the crash.
    pub observer: ObserverId,
    /// Start of the run, by the observer's clock.
    pub started_at: Micros,
    /// Loss of the connection, by the observer's clock.
    pub ended_at: Micros,
    /// Time since the loss of the connection, in microseconds.
    pub ended_us_ago: u64,
}

/// Crash history of one request, as sent between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuarantineNotice {
    pub digest: RequestDigest,
    /// Name of the route, for logs.
    pub route: String,
    /// Crashes that still count.
    pub crashes: Vec<CrashNotice>,
    /// Time since the start of the latest successful run that cleared crashes, by service, in microseconds.
    pub successes: Vec<(ServiceName, u64)>,
    /// Time since the start of the latest run that succeeded after a crash, in microseconds.
    pub last_success_us_ago: Option<u64>,
    /// Time since the last release by an operator, in microseconds.
    pub released_us_ago: Option<u64>,
    /// Total number of known crashes.
    pub crash_count: u32,
}

impl QuarantineNotice {
    /// Builds a notice with ages relative to `now`.
    pub fn of(digest: RequestDigest, route: &str, history: &CrashHistory, now: Micros) -> Self {
        let crash = |run: &CrashedRun| CrashNotice {
            replica: run.replica.clone(),
            service: run.service.clone(),
            observer: run.observer,
            started_at: run.started_at,
            ended_at: run.ended_at,
            ended_us_ago: now.since(run.known_at).0,
        };
        let success = |(service, at): &(ServiceName, Micros)| (service.clone(), now.since(*at).0);
        let ago = |at: Micros| (at > Micros(0)).then(|| now.since(at).0);
        Self {
            digest,
            route: route.to_string(),
            crashes: history.crashes().iter().map(crash).collect(),
            successes: history.successes().iter().map(success).collect(),
            last_success_us_ago: ago(history.last_success_at()),
            released_us_ago: ago(history.released_at()),
            crash_count: history.crash_count(),
        }
    }

    /// Merges the notice into a crash history. Returns whether the history changed.
    pub fn merge_into(&self, history: &mut CrashHistory, now: Micros) -> bool {
        let at = |us_ago: u64| now.since(Micros(us_ago));
        let mut changed = false;
        for crash in &self.crashes {
            changed |= history.record_crash(CrashedRun {
                replica: crash.replica.clone(),
                service: crash.service.clone(),
                observer: crash.observer,
                started_at: crash.started_at,
                ended_at: crash.ended_at,
                known_at: at(crash.ended_us_ago),
                is_remote: true,
            });
        }
        for (service, us_ago) in &self.successes {
            changed |= history.record_success(service, at(*us_ago));
        }
        if let Some(us_ago) = self.last_success_us_ago {
            changed |= history.record_success_anywhere(at(us_ago));
        }
        if let Some(us_ago) = self.released_us_ago {
            changed |= history.record_release(at(us_ago));
        }
        history.merge_crash_count(self.crash_count);
        changed
    }
}
