//! Shared, thread-safe state of requests that crashed back ends, with change notification and log lines.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use sablebay_catalogue::{ReplicaId, ServiceName};
use sablebay_dispatch::{
    Audience, CrashedRun, LeaseRequest, Quarantine, QuarantineNotice, QuarantineStatus, RunId, RunPermit,
    Suspect,
};
use sablebay_model::{Micros, RequestDigest};

/// How often a waiting run checks again without a local change: another node may own the lease.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Requests that crashed back ends, as known to this node.
pub struct QuarantineStore {
    known: Mutex<Quarantine>,
    /// The run of this node that requests or holds the lease of a request.
    requesting: Mutex<HashMap<RequestDigest, RequestingRun>>,
    changed: watch::Sender<u64>,
}

impl Default for QuarantineStore {
    fn default() -> Self {
        Self { known: Mutex::default(), requesting: Mutex::default(), changed: watch::channel(0).0 }
    }
}

/// A run that requests or holds the lease of its request.
struct RequestingRun {
    run: RunId,
    /// Until when other runs of this node may not request the lease.
    until: Micros,
}

/// A request with recorded crashes, as reported to operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Digest of the request's content.
    pub digest: RequestDigest,
    pub route: String,
    /// Quarantine status.
    pub standing: String,
    /// Consecutive crashes.
    pub strikes: u32,
    /// All crashes known to this node.
    pub ended: u32,
    /// Ids of the replicas that crashed most recently.
    pub back_ends: Vec<String>,
    /// Milliseconds since the last crash.
    pub last_ended_ms_ago: u64,
    /// Milliseconds until the quarantine ends; absent when the request is not quarantined.
    pub held_for_ms: Option<u64>,
}

fn report(suspect: &Suspect<'_>, now: Micros) -> SuspectReport {
    let held_for_ms = match suspect.status {
        QuarantineStatus::Quarantined { until } => Some(until.since(now).as_millis()),
        _ => None,
    };
    SuspectReport {
        digest: suspect.digest,
        route: suspect.route.to_string(),
        standing: suspect.status.to_string(),
        strikes: suspect.history.strikes(),
        ended: suspect.history.crash_count(),
        back_ends: suspect.history.crashes().iter().map(|run| run.replica.to_string()).collect(),
        last_ended_ms_ago: now.since(suspect.history.last_crash_at()).as_millis(),
        held_for_ms,
    }
}

impl QuarantineStore {
    /// Whether no request is recorded, so that lookups can be skipped.
    pub fn is_empty(&self) -> bool {
        self.known.lock().is_empty()
    }

    pub fn status(&self, digest: &RequestDigest, now: Micros) -> QuarantineStatus {
        self.known.lock().status(digest, now)
    }

    /// Whether a run may start. See [`Quarantine::permit`].
    pub fn permit(&self, digest: &RequestDigest, service: &ServiceName, now: Micros) -> RunPermit {
        self.known.lock().permit(digest, service, now)
    }

    /// Grants the lease of a request to a run. See [`Quarantine::grant`].
    pub fn grant(&self, digest: &RequestDigest, wanted: LeaseRequest, now: Micros) -> bool {
        self.known.lock().grant(digest, wanted, now)
    }

    /// Waits for the next change, at most for `RECHECK_INTERVAL`.
    pub async fn wait(&self) {
        let mut changes = self.changed.subscribe();
        // The caller checks again in either case.
        let _ = tokio::time::timeout(RECHECK_INTERVAL, changes.changed()).await;
    }

    /// A receiver that is notified of changes.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn note_change(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Registers a run as the requester of the lease; false while another run of this node is registered.
    /// A search over many shards thus requests the lease once.
    pub fn begin_lease_request(&self, digest: &RequestDigest, wanted: LeaseRequest, now: Micros) -> bool {
        let mut requesting = self.requesting.lock();
        let is_other_run =
            |requesting: &RequestingRun| requesting.run != wanted.run && now < requesting.until;
        if requesting.get(digest).is_some_and(is_other_run) {
            return false;
        }
        requesting.insert(*digest, RequestingRun { run: wanted.run, until: now.plus(wanted.duration) });
        true
    }

    /// Removes the registration of a run that neither requests nor holds the lease any more.
    pub fn end_lease_request(&self, digest: &RequestDigest, run: RunId) {
        let mut requesting = self.requesting.lock();
        if requesting.get(digest).is_some_and(|requesting| requesting.run == run) {
            requesting.remove(digest);
            drop(requesting);
            self.note_change();
        }
    }

    /// Releases the lease of a finished run.
    pub fn release_lease(&self, digest: &RequestDigest, run: RunId) {
        if self.known.lock().release_lease(digest, run) {
            self.note_change();
        }
    }

    /// Records that a back end crashed during a run of this node.
    pub fn record_crash(&self, digest: RequestDigest, route: &str, run: CrashedRun, now: Micros) {
        let mut known = self.known.lock();
        let before = known.record_crash(digest, route, run, now);
        log_status_change(&known, &digest, before, "this node", now);
        drop(known);
        self.note_change();
    }

    /// Records a successful run of this node.
    pub fn record_success(
        &self,
        digest: &RequestDigest,
        service: &ServiceName,
        started_at: Micros,
        now: Micros,
    ) {
        let mut known = self.known.lock();
        let before = known.status(digest, now);
        let changed_state = known.record_success(digest, service, started_at);
        log_status_change(&known, digest, before, "this node", now);
        drop(known);
        if changed_state {
            self.note_change();
        }
    }

    /// Merges notices of another node; `to_all_nodes` means that it sent them to all nodes.
    pub fn merge_notices(&self, from: &str, notices: &[QuarantineNotice], to_all_nodes: bool, now: Micros) {
        let mut changed_state = false;
        let mut known = self.known.lock();
        for notice in notices {
            let before = known.status(&notice.digest, now);
            changed_state |= known.merge_notice(notice, to_all_nodes, now);
            log_status_change(&known, &notice.digest, before, from, now);
        }
        drop(known);
        if changed_state {
            self.note_change();
        }
    }

    /// Releases a request on behalf of an operator. Returns whether the request is known here.
    pub fn release(&self, digest: &RequestDigest, now: Micros) -> bool {
        let mut known = self.known.lock();
        let before = known.status(digest, now);
        let released = known.release(digest, now);
        log_status_change(&known, digest, before, "an operator", now);
        drop(known);
        if released {
            self.note_change();
        }
        released
    }

    /// Takes the notices that have to be sent to other nodes. See [`Quarantine::take_updates`].
    pub fn take_updates(&self, now: Micros) -> Vec<(QuarantineNotice, Audience)> {
        let mut known = self.known.lock();
        known.expire(now);
        known.take_updates(now)
    }

    /// Replicas that crashed under recorded requests, with the time of the crash.
    pub fn ended_replicas(&self) -> Vec<(ReplicaId, Micros)> {
        self.known.lock().ended_replicas()
    }

    pub fn notice(&self, digest: &RequestDigest, now: Micros) -> Option<QuarantineNotice> {
        self.known.lock().notice(digest, now)
    }

    /// All notices, for another node to compare with its own.
    pub fn notices(&self, now: Micros) -> Vec<QuarantineNotice> {
        self.known.lock().notices(now)
    }

    /// All recorded requests, for operators.
    pub fn report(&self, now: Micros) -> Vec<SuspectReport> {
        self.known.lock().suspects(now).iter().map(|suspect| report(suspect, now)).collect()
    }

    pub fn quarantined_count(&self, now: Micros) -> usize {
        let known = self.known.lock();
        let held = known
            .suspects(now)
            .into_iter()
            .filter(|suspect| matches!(suspect.status, QuarantineStatus::Quarantined { .. }));
        held.count()
    }
}

/// Logs the start of a quarantine and the return of a request to [`QuarantineStatus::Clear`].
fn log_status_change(
    known: &Quarantine,
    digest: &RequestDigest,
    before: QuarantineStatus,
    by: &str,
    now: Micros,
) {
    let after = known.status(digest, now);
    let was_quarantined = matches!(before, QuarantineStatus::Quarantined { .. });
    match after {
        QuarantineStatus::Quarantined { until } if !was_quarantined => {
            let suspects = known.suspects(now);
            let Some(suspect) = suspects.iter().find(|suspect| suspect.digest == *digest) else {
                return;
            };
            let report = report(suspect, now);
            log::warn!(digest = digest.to_string().as_str(), route = report.route.as_str(), strikes = report.strikes, ended = report.ended, back_ends = report.back_ends.join(" ").as_str(), last_ended_ms_ago = report.last_ended_ms_ago, held_for_ms = until.since(now).as_millis(), by = by; "quarantine: a request is quarantined after consecutive back-end crashes.");
        }
        QuarantineStatus::Clear if before != QuarantineStatus::Clear => {
            let held = u8::from(was_quarantined);
            log::info!(digest = digest.to_string().as_str(), before = before.to_string().as_str(), was_held = held, by = by; "quarantine: a request is clear again.");
        }
        _ => {}
    }
}
