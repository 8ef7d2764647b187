//! What nodes tell each other of requests that back ends ended under. Times are ages, or by the clock of the
//! node that saw something: the clocks of nodes differ.

use musli::{Decode, Encode};

use sablebay_catalogue::{ReplicaId, ServiceName};
use sablebay_model::{Micros, RequestDigest};

use super::crash_history::{CrashHistory, CrashedRun, ObserverId};

/// A run that a back end did not outlive, as told.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CrashNotice {
    /// The back end.
    pub replica: ReplicaId,
    /// Its service.
    pub service: ServiceName,
    /// Who saw it.
    pub observer: ObserverId,
    /// When the request was sent there, by the observer's clock.
    pub started_at: Micros,
    /// When the connection broke, by the observer's clock.
    pub ended_at: Micros,
    /// How long ago the connection broke, in microseconds.
    pub ended_us_ago: u64,
}

/// What one node knows of one request.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuarantineNotice {
    /// The request.
    pub digest: RequestDigest,
    /// The name of its route, for whoever reads the logs.
    pub route: String,
    /// The crashed runs that nothing took back.
    pub crashes: Vec<CrashNotice>,
    /// How long ago the run was begun that took back what spoke against it, by service, in microseconds.
    pub successes: Vec<(ServiceName, u64)>,
    /// How long ago a run was begun that ended well after its back ends had ended, in microseconds.
    pub last_success_us_ago: Option<u64>,
    /// How long ago an operator released it, in microseconds.
    pub released_us_ago: Option<u64>,
    /// Back ends that ended under it.
    pub crash_count: u32,
}

impl QuarantineNotice {
    /// What is known of a request, as it is told now.
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

    /// Adds what is told to what is known. Returns whether anything of it was news.
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
