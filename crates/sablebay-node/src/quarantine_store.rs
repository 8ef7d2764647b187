//! The requests that back ends ended under, as this node knows them: shared by whoever sends them on, answers
//! peers, and shows them to operators.

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

/// How often a run that has to wait looks again by itself: the lease may be given out by another node.
const RECHECK: Duration = Duration::from_millis(20);

/// The requests that back ends ended under, as this node knows them.
pub struct QuarantineStore {
    known: Mutex<Quarantine>,
    /// The run of this node that asks for, or has, the lease of a request.
    asking: Mutex<HashMap<RequestDigest, AskingRun>>,
    changed: watch::Sender<u64>,
}

impl Default for QuarantineStore {
    fn default() -> Self {
        Self { known: Mutex::default(), asking: Mutex::default(), changed: watch::channel(0).0 }
    }
}

/// A run that asks for, or has, the lease of its request.
struct AskingRun {
    run: RunId,
    /// Until when no other run of this node asks.
    until: Micros,
}

/// A request that something speaks against, as operators see it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The request, by what it asks for.
    pub digest: RequestDigest,
    /// Its route.
    pub route: String,
    /// What may be done with it.
    pub standing: String,
    /// Back ends that ended under it one after the other.
    pub strikes: u32,
    /// Back ends that ended under it in all, as far as the node knows.
    pub ended: u32,
    /// The last of these, by their ids.
    pub back_ends: Vec<String>,
    /// Milliseconds since the last of these ended.
    pub last_ended_ms_ago: u64,
    /// Milliseconds until its quarantine is over; absent when it is not held back.
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
    /// Whether nothing is known of any request, so that none needs to be looked up.
    pub fn is_empty(&self) -> bool {
        self.known.lock().is_empty()
    }

    /// What may be done with a request.
    pub fn standing(&self, digest: &RequestDigest, now: Micros) -> QuarantineStatus {
        self.known.lock().status(digest, now)
    }

    /// Whether a run may begin. See [`Quarantine::permit`].
    pub fn permit(&self, digest: &RequestDigest, service: &ServiceName, now: Micros) -> RunPermit {
        self.known.lock().permit(digest, service, now)
    }

    /// Gives a run the lease of its request. See [`Quarantine::grant`].
    pub fn grant(&self, digest: &RequestDigest, wanted: LeaseRequest, now: Micros) -> bool {
        self.known.lock().grant(digest, wanted, now)
    }

    /// Waits until what is known has changed, or for a moment.
    pub async fn wait(&self) {
        let mut changes = self.changed.subscribe();
        // Whoever waits looks again in either case.
        let _ = tokio::time::timeout(RECHECK, changes.changed()).await;
    }

    /// Tells of changes.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn note_change(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Whether a run may ask for the lease of its request: one of this node at a time does, so that a
    /// search over many shards asks once and not for each.
    pub fn may_ask(&self, digest: &RequestDigest, wanted: LeaseRequest, now: Micros) -> bool {
        let mut asking = self.asking.lock();
        let others = |asking: &AskingRun| asking.run != wanted.run && now < asking.until;
        if asking.get(digest).is_some_and(others) {
            return false;
        }
        asking.insert(*digest, AskingRun { run: wanted.run, until: now.plus(wanted.duration) });
        true
    }

    /// A run asks no longer for the lease of its request, nor has it.
    pub fn stop_asking(&self, digest: &RequestDigest, run: RunId) {
        let mut asking = self.asking.lock();
        if asking.get(digest).is_some_and(|asking| asking.run == run) {
            asking.remove(digest);
            drop(asking);
            self.note_change();
        }
    }

    /// A run is over: others need no longer wait for it.
    pub fn over(&self, digest: &RequestDigest, run: RunId) {
        if self.known.lock().release_lease(digest, run) {
            self.note_change();
        }
    }

    /// A back end ended under a run of this node.
    pub fn crashed(&self, digest: RequestDigest, route: &str, run: CrashedRun, now: Micros) {
        let mut known = self.known.lock();
        let before = known.record_crash(digest, route, run, now);
        note_standing(&known, &digest, before, "this node", now);
        drop(known);
        self.note_change();
    }

    /// A run of this node ended well.
    pub fn survived(&self, digest: &RequestDigest, service: &ServiceName, started_at: Micros, now: Micros) {
        let mut known = self.known.lock();
        let before = known.status(digest, now);
        let news = known.record_success(digest, service, started_at);
        note_standing(&known, digest, before, "this node", now);
        drop(known);
        if news {
            self.note_change();
        }
    }

    /// Another node told what it knows; `to_all_nodes` says that it told every node.
    pub fn hear(&self, from: &str, notices: &[QuarantineNotice], to_all_nodes: bool, now: Micros) {
        let mut news = false;
        let mut known = self.known.lock();
        for notice in notices {
            let before = known.status(&notice.digest, now);
            news |= known.merge_notice(notice, to_all_nodes, now);
            note_standing(&known, &notice.digest, before, from, now);
        }
        drop(known);
        if news {
            self.note_change();
        }
    }

    /// An operator releases a request. Returns whether it is known here.
    pub fn release(&self, digest: &RequestDigest, now: Micros) -> bool {
        let mut known = self.known.lock();
        let before = known.status(digest, now);
        let released = known.release(digest, now);
        note_standing(&known, digest, before, "an operator", now);
        drop(known);
        if released {
            self.note_change();
        }
        released
    }

    /// What is still to be told to other nodes. See [`Quarantine::take_updates`].
    pub fn take_news(&self, now: Micros) -> Vec<(QuarantineNotice, Audience)> {
        let mut known = self.known.lock();
        known.expire(now);
        known.take_updates(now)
    }

    /// Back ends that ended under requests, as far as they are kept, and when.
    pub fn ended_replicas(&self) -> Vec<(ReplicaId, Micros)> {
        self.known.lock().ended_replicas()
    }

    /// What is known of one request.
    pub fn notice(&self, digest: &RequestDigest, now: Micros) -> Option<QuarantineNotice> {
        self.known.lock().notice(digest, now)
    }

    /// What is known, for another node to compare with.
    pub fn notices(&self, now: Micros) -> Vec<QuarantineNotice> {
        self.known.lock().notices(now)
    }

    /// What speaks against which request, for operators.
    pub fn report(&self, now: Micros) -> Vec<SuspectReport> {
        self.known.lock().suspects(now).iter().map(|suspect| report(suspect, now)).collect()
    }

    /// How many requests are held back now.
    pub fn held(&self, now: Micros) -> usize {
        let known = self.known.lock();
        let held = known
            .suspects(now)
            .into_iter()
            .filter(|suspect| matches!(suspect.status, QuarantineStatus::Quarantined { .. }));
        held.count()
    }
}

/// Writes a line when a request is held back from now on, or no longer.
fn note_standing(
    known: &Quarantine,
    digest: &RequestDigest,
    before: QuarantineStatus,
    by: &str,
    now: Micros,
) {
    let after = known.status(digest, now);
    let was_held = matches!(before, QuarantineStatus::Quarantined { .. });
    match after {
        QuarantineStatus::Quarantined { until } if !was_held => {
            let suspects = known.suspects(now);
            let Some(suspect) = suspects.iter().find(|suspect| suspect.digest == *digest) else {
                return;
            };
            let report = report(suspect, now);
            log::warn!(digest = digest.to_string().as_str(), route = report.route.as_str(), strikes = report.strikes, ended = report.ended, back_ends = report.back_ends.join(" ").as_str(), last_ended_ms_ago = report.last_ended_ms_ago, held_for_ms = until.since(now).as_millis(), by = by; "quarantine: a request is held back, since back ends in a row ended under it.");
        }
        QuarantineStatus::Clear if before != QuarantineStatus::Clear => {
            let held = u8::from(was_held);
            log::info!(digest = digest.to_string().as_str(), before = before.to_string().as_str(), was_held = held, by = by; "quarantine: nothing speaks against a request any more.");
        }
        _ => {}
    }
}
