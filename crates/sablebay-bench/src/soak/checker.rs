//! Checks the observations of callers, back ends and the operator against the promises, without
//! knowledge of the nodes' internals.

use std::collections::{BTreeSet, HashMap, HashSet};

use derive_more::Display;
use parking_lot::Mutex;
use serde::Serialize;

use sablebay_platform_standin::{CallerAnswer, CallerCall, LeafCall, LeafRecord};
use tokio::time::Instant;

use super::routes::{SHARDS, ShardIdentity, TOP_RECORDS, expected_records};
use super::tenants::{KeyHistory, PresentedKey, check_quotas};

/// A guarantee to callers, back ends and operators.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// An answer uses the shards of a single configuration.
    OneSnapshot,
    /// The reported coverage of an answer is correct.
    TrueCoverage,
    /// Each caller receives the complete answer to its own request.
    OwnAnswer,
    /// A request reported as not run did not run.
    NotRun,
    /// A non-repeatable request runs at most once.
    AtMostOnce,
    /// A draining back end receives no new requests.
    Leaving,
    /// Back ends in an evacuated zone receive no new requests.
    Evacuation,
    /// A planned stop interrupts no request in flight.
    PlannedStop,
    /// An accepted configuration takes effect on every node and never reverts.
    Configuration,
    /// A request that crashes back ends is quarantined.
    Containment,
    /// No other request is quarantined.
    Innocence,
    /// A request runs as the tenant that owns, or recently owned, its caller's key.
    Authentication,
    /// Only nodes set the tenant of a request; back ends never receive a key.
    Identity,
    /// No request runs with a key revoked longer ago than the limit.
    Revocation,
    /// No tenant exceeds its quota.
    Quota,
}

/// A violated promise.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    pub promise: Promise,
    /// Description of the observation.
    pub seen: String,
}

/// Request counts as seen by callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub requests: u64,
    /// Requests answered successfully.
    pub answered: u64,
    /// Successful answers with missing shards.
    pub incomplete: u64,
    /// Requests reported as not run.
    pub promised_not_run: u64,
    /// Requests without an answer.
    pub unanswered: u64,
}

/// Maximum crashes of back ends on a request before it is quarantined.
const MAXIMUM_CRASHES: u32 = 8;
/// Additional crashes per storm, for nodes that were isolated or restarted.
const MAXIMUM_CRASHES_PER_STORM: u32 = 4;
/// Minimum `Retry-After`, in seconds, that identifies a quarantined request.
const QUARANTINE_RETRY_AFTER_S: f64 = 20.0;
/// Maximum violations recorded per promise.
const REPORTED_PER_PROMISE: usize = 5;

#[derive(Default)]
struct State {
    counts: Counts,
    violations: Vec<Violation>,
    /// Requests that may run at most once.
    once: HashSet<String>,
    not_run: HashSet<String>,
    /// Keys presented by callers, by request id.
    presented: HashMap<String, PresentedKey>,
    /// Quarantined requests that crash no back end.
    quarantined: Vec<String>,
    /// Highest configuration version observed, by node and incarnation.
    highest_seen: HashMap<(usize, u64), u64>,
}

#[derive(Default)]
pub struct Checker {
    state: Mutex<State>,
}

impl Checker {
    /// Records a violation.
    pub fn report_violation(&self, promise: Promise, seen: String) {
        let mut state = self.state.lock();
        if state.violations.iter().filter(|violation| violation.promise == promise).count()
            < REPORTED_PER_PROMISE
        {
            state.violations.push(Violation { promise, seen });
        }
    }

    /// Records a sent request; `once` if it may run at most once.
    pub fn sent(&self, id: &str, once: bool) {
        let mut state = self.state.lock();
        state.counts.requests += 1;
        if once {
            state.once.insert(id.to_string());
        }
    }

    /// Records the key presented by a call and returns the call with that key.
    pub fn with_key(&self, call: CallerCall, key: Option<&'static str>) -> CallerCall {
        if let Some(id) = &call.id {
            let presented = PresentedKey { key, at: Instant::now() };
            self.state.lock().presented.insert(id.clone(), presented);
        }
        CallerCall { key: key.map(str::to_string), ..call }
    }

    /// Records a request without an answer.
    pub fn unanswered(&self) {
        self.state.lock().counts.unanswered += 1;
    }

    /// Records and checks an answer.
    pub fn answered(&self, id: &str, gathered: bool, answer: &CallerAnswer) {
        {
            let mut state = self.state.lock();
            if answer.retry_after.is_some_and(|seconds| seconds >= QUARANTINE_RETRY_AFTER_S) {
                state.quarantined.push(id.to_string());
            }
            if answer.guarantees_not_run() {
                state.counts.promised_not_run += 1;
                state.not_run.insert(id.to_string());
            }
            if !answer.status.is_success() {
                return;
            }
            state.counts.answered += 1;
            state.counts.incomplete += u64::from(answer.missing > 0);
        }
        if gathered { self.check_gathered(id, answer) } else { self.check_single(id, answer) }
    }

    fn check_single(&self, id: &str, answer: &CallerAnswer) {
        let stamp = answer.stamp.as_deref().unwrap_or_default();
        if !stamp.ends_with(&format!(".{id}")) {
            self.report_violation(Promise::OwnAnswer, format!("{id} received an answer with stamp {stamp}"));
        }
    }

    fn check_gathered(&self, id: &str, answer: &CallerAnswer) {
        let mut shards = BTreeSet::new();
        let mut sets = BTreeSet::new();
        for stamp in &answer.part_stamps {
            let parsed = stamp
                .rsplit_once('.')
                .and_then(|(leaf, request)| Some((ShardIdentity::parse(leaf)?, request)));
            let Some((identity, request)) = parsed else {
                self.report_violation(Promise::OwnAnswer, format!("{id} received a part with stamp {stamp}"));
                return;
            };
            if request != id {
                self.report_violation(
                    Promise::OwnAnswer,
                    format!("{id} received a part of request {request}"),
                );
                return;
            }
            sets.insert(identity.set);
            if !shards.insert((identity.set, identity.shard)) {
                self.report_violation(
                    Promise::TrueCoverage,
                    format!("{id}: shard {} appears twice", identity.shard),
                );
            }
        }
        if sets.len() > 1 {
            self.report_violation(Promise::OneSnapshot, format!("{id} mixes shard sets {sets:?}"));
        }
        if shards.len() + answer.missing != usize::from(SHARDS) {
            let seen = format!("{id}: {} shards present, {} reported missing", shards.len(), answer.missing);
            self.report_violation(Promise::TrueCoverage, seen);
        }
        let expected = expected_records(shards);
        if answer.body != expected {
            let seen = format!(
                "{id}: body of {} bytes is not the top {TOP_RECORDS} records of its shards",
                answer.body.len()
            );
            self.report_violation(Promise::OwnAnswer, seen);
        }
    }

    /// Returns the highest configuration version observed on an incarnation of a node.
    pub fn highest_seen(&self, node: usize, incarnation: u64) -> u64 {
        self.state.lock().highest_seen.get(&(node, incarnation)).copied().unwrap_or(0)
    }

    /// Records that an incarnation of a node served a version, in a request sent after
    /// `highest_before` was observed.
    pub fn version_seen(&self, node: usize, incarnation: u64, version: u64, highest_before: u64) {
        if version < highest_before {
            let seen = format!("node {node} reverted from version {highest_before} to {version}");
            self.report_violation(Promise::Configuration, seen);
        }
        let mut state = self.state.lock();
        let highest = state.highest_seen.entry((node, incarnation)).or_default();
        *highest = (*highest).max(version);
    }

    /// Checks the number of crashes on the fatal request.
    pub fn check_crashes(&self, ended: u32, storms: u32) {
        let limit = MAXIMUM_CRASHES + MAXIMUM_CRASHES_PER_STORM * storms;
        if ended > limit {
            let seen = format!("{ended} back ends crashed on one request in {storms} storms; limit {limit}");
            self.report_violation(Promise::Containment, seen);
        }
    }

    /// Checks the tenants of requests at back ends against the keys presented by callers.
    pub fn check_tenants(&self, calls: &[LeafCall], keys: &KeyHistory) {
        let presented = self.state.lock().presented.clone();
        let nobody = |call: &LeafCall| {
            (Promise::Authentication, format!("{} reached a back end, but no caller sent it", call.id))
        };
        for call in calls {
            let verdict = presented
                .get(&call.id)
                .map_or_else(|| Some(nobody(call)), |presented| keys.check(call, presented));
            if let Some((promise, seen)) = verdict {
                self.report_violation(promise, seen);
            }
        }
        for seen in check_quotas(calls, &presented) {
            self.report_violation(Promise::Quota, seen);
        }
    }

    /// Checks the back ends' records against the outcomes reported to callers.
    pub fn check_runs(&self, records: &[LeafRecord]) {
        let mut runs: HashMap<&str, u32> = HashMap::new();
        for record in records {
            for (id, count) in &record.runs {
                *runs.entry(id).or_default() += count;
            }
        }
        let (once, not_run, quarantined) = {
            let state = self.state.lock();
            (state.once.clone(), state.not_run.clone(), state.quarantined.clone())
        };
        for id in quarantined {
            self.report_violation(
                Promise::Innocence,
                format!("{id} was quarantined, but crashes no back end"),
            );
        }
        for (id, count) in runs {
            if once.contains(id) && count > 1 {
                self.report_violation(Promise::AtMostOnce, format!("{id} ran {count} times"));
            }
            if not_run.contains(id) {
                self.report_violation(Promise::NotRun, format!("{id} was reported as not run, but ran"));
            }
        }
    }

    pub fn counts(&self) -> Counts {
        self.state.lock().counts
    }

    pub fn violations(&self) -> Vec<Violation> {
        self.state.lock().violations.clone()
    }
}
