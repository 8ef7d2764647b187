//! Holds what callers, back ends and the operator see against the promises. It knows nothing of the
//! nodes' insides.

use std::collections::{BTreeSet, HashMap, HashSet};

use derive_more::Display;
use parking_lot::Mutex;
use serde::Serialize;

use sablebay_platform_standin::{CallerAnswer, CallerCall, LeafCall, LeafRecord};
use tokio::time::Instant;

use super::routes::{SHARDS, ShardIdentity, TOP_RECORDS, expected_records};
use super::tenants::{KeyHistory, PresentedKey, check_quotas};

/// A promise to callers, back ends and operators.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// An answer comes from one configuration's shards.
    OneSnapshot,
    /// Its reported coverage is true.
    TrueCoverage,
    /// Each caller gets the whole answer to its own request.
    OwnAnswer,
    /// "Not run" means that it did not run.
    NotRun,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A leaving back end gets no new work.
    Leaving,
    /// A back end of an evacuated zone gets no new work.
    Evacuation,
    /// A planned stop cuts no request in flight.
    PlannedStop,
    /// An accepted configuration is in force everywhere, and never reverts.
    Configuration,
    /// A request that ends each back end which runs it is kept from the rest.
    Containment,
    /// No other request is held back.
    Innocence,
    /// A request runs in the name of the tenant that has, or lately had, its caller's key.
    Authentication,
    /// Back ends are told who calls by the nodes alone, and get no key.
    Identity,
    /// Nothing runs by a key that was taken away longer ago than the limit.
    Revocation,
    /// A tenant gets no more through than its quota.
    Quota,
}

/// A promise that was not kept.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub seen: String,
}

/// Counts of what callers saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Requests sent.
    pub requests: u64,
    /// Answered with success.
    pub answered: u64,
    /// Of these, with shards left out.
    pub incomplete: u64,
    /// Promised not to have run.
    pub promised_not_run: u64,
    /// Without an answer.
    pub unanswered: u64,
}

/// Back ends that may end under a request before it is held back.
const MAXIMUM_CRASHES: u32 = 8;
/// Back ends that may end in a storm besides: nodes that were cut off or started anew know less for a while.
const MAXIMUM_CRASHES_PER_STORM: u32 = 4;
/// The shortest time after which a request comes back that is held back; all others are told less.
const QUARANTINE_RETRY_AFTER_S: f64 = 20.0;
/// Violations kept of each promise; one is enough to fail.
const REPORTED_PER_PROMISE: usize = 5;

#[derive(Default)]
struct State {
    counts: Counts,
    violations: Vec<Violation>,
    /// Requests that may run once at the most.
    once: HashSet<String>,
    not_run: HashSet<String>,
    /// What callers showed, by request.
    presented: HashMap<String, PresentedKey>,
    /// Requests that were held back and end no back end.
    quarantined: Vec<String>,
    /// The highest version whose effect each life of a node has shown.
    highest_seen: HashMap<(usize, u64), u64>,
}

/// The checker of one soak.
#[derive(Default)]
pub struct Checker {
    state: Mutex<State>,
}

impl Checker {
    /// Notes a broken promise.
    pub fn report_violation(&self, promise: Promise, seen: String) {
        let mut state = self.state.lock();
        if state.violations.iter().filter(|violation| violation.promise == promise).count()
            < REPORTED_PER_PROMISE
        {
            state.violations.push(Violation { promise, seen });
        }
    }

    /// A request is sent; `once` when it may run once at the most.
    pub fn sent(&self, id: &str, once: bool) {
        let mut state = self.state.lock();
        state.counts.requests += 1;
        if once {
            state.once.insert(id.to_string());
        }
    }

    /// A call is about to be made with a key, or with none where none is needed. Returns it with that key.
    pub fn with_key(&self, call: CallerCall, key: Option<&'static str>) -> CallerCall {
        if let Some(id) = &call.id {
            let presented = PresentedKey { key, at: Instant::now() };
            self.state.lock().presented.insert(id.clone(), presented);
        }
        CallerCall { key: key.map(str::to_string), ..call }
    }

    /// A request got no answer.
    pub fn unanswered(&self) {
        self.state.lock().counts.unanswered += 1;
    }

    /// A request was answered.
    pub fn answered(&self, id: &str, gathered: bool, answer: &CallerAnswer) {
        {
            let mut state = self.state.lock();
            if answer.retry_after.is_some_and(|seconds| seconds >= QUARANTINE_RETRY_AFTER_S) {
                state.quarantined.push(id.to_string());
            }
            if answer.promises_not_run() {
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
            self.report_violation(Promise::OwnAnswer, format!("{id} got the answer signed {stamp}"));
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
                self.report_violation(Promise::OwnAnswer, format!("{id} got a part signed {stamp}"));
                return;
            };
            if request != id {
                self.report_violation(Promise::OwnAnswer, format!("{id} got a part of {request}"));
                return;
            }
            sets.insert(identity.set);
            if !shards.insert((identity.set, identity.shard)) {
                self.report_violation(
                    Promise::TrueCoverage,
                    format!("{id}: shard {} stands twice", identity.shard),
                );
            }
        }
        if sets.len() > 1 {
            self.report_violation(Promise::OneSnapshot, format!("{id} mixes the sets {sets:?}"));
        }
        if shards.len() + answer.missing != usize::from(SHARDS) {
            let seen = format!("{id}: {} shards in, {} said to be missing", shards.len(), answer.missing);
            self.report_violation(Promise::TrueCoverage, seen);
        }
        let expected = expected_records(shards);
        if answer.body != expected {
            let seen = format!(
                "{id}: {} bytes, not the greatest {TOP_RECORDS} records of its parts",
                answer.body.len()
            );
            self.report_violation(Promise::OwnAnswer, seen);
        }
    }

    /// The highest version whose effect a life of a node has shown so far.
    pub fn highest_seen(&self, node: usize, incarnation: u64) -> u64 {
        self.state.lock().highest_seen.get(&(node, incarnation)).copied().unwrap_or(0)
    }

    /// A life of a node showed the effect of a version, in a request sent when `highest_before` had
    /// been seen already.
    pub fn version_seen(&self, node: usize, incarnation: u64, version: u64, highest_before: u64) {
        if version < highest_before {
            let seen = format!("node {node} went from version {highest_before} back to {version}");
            self.report_violation(Promise::Configuration, seen);
        }
        let mut state = self.state.lock();
        let highest = state.highest_seen.entry((node, incarnation)).or_default();
        *highest = (*highest).max(version);
    }

    /// Holds how many back ends ended under a request against what that may cost.
    pub fn check_crashes(&self, ended: u32, storms: u32) {
        let limit = MAXIMUM_CRASHES + MAXIMUM_CRASHES_PER_STORM * storms;
        if ended > limit {
            let seen = format!("{ended} back ends ended under one request in {storms} storms; {limit} may");
            self.report_violation(Promise::Containment, seen);
        }
    }

    /// Holds in whose names requests came to back ends against who had their callers' keys.
    pub fn check_tenants(&self, calls: &[LeafCall], keys: &KeyHistory) {
        let presented = self.state.lock().presented.clone();
        let nobody = |call: &LeafCall| (Promise::Authentication, format!("{} was sent by nobody", call.id));
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

    /// Holds the back ends' records against what callers were promised.
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
            self.report_violation(Promise::Innocence, format!("{id} was held back, and ends no back end"));
        }
        for (id, count) in runs {
            if once.contains(id) && count > 1 {
                self.report_violation(Promise::AtMostOnce, format!("{id} ran {count} times"));
            }
            if not_run.contains(id) {
                self.report_violation(Promise::NotRun, format!("{id} was said not to have run, and ran"));
            }
        }
    }

    /// What callers saw so far.
    pub fn counts(&self) -> Counts {
        self.state.lock().counts
    }

    /// The broken promises so far.
    pub fn violations(&self) -> Vec<Violation> {
        self.state.lock().violations.clone()
    }
}
