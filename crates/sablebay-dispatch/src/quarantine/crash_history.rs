//! Crash history of one request.
//!
//! When a back end crashes, all calls on it fail, and at most one of them is the cause. Only sequential
//! crashes tell the cause from other requests: a run counts as a further strike only if it started after the
//! previous crash was known. Concurrent runs count once, however many there are, so that a power loss of a
//! zone is one strike for each request that ran there. A later successful run ends the sequence and clears
//! the crashes at its service.

use musli::{Decode, Encode};
use smallvec::SmallVec;

use sablebay_catalogue::{ReplicaId, ServiceName};
use sablebay_model::Micros;

/// Identifies an incarnation of the node that observed a crash; times of different observers are not
/// comparable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
#[musli(transparent)]
pub struct ObserverId(pub u64);

/// A run during which the back end crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashedRun {
    /// Replica id, which is unique to one process of the back end.
    pub replica: ReplicaId,
    pub service: ServiceName,
    /// Node that observed the crash.
    pub observer: ObserverId,
    /// Start of the run, by the observer's clock.
    pub started_at: Micros,
    /// Loss of the connection, by the observer's clock.
    pub ended_at: Micros,
    /// Loss of the connection by the local clock, including the propagation delay of the notice.
    pub known_at: Micros,
    /// Whether the crash was reported by another node.
    pub is_remote: bool,
}

/// Minimum time between a crash seen by one observer and the start of a run seen by another for the run to
/// count as sequential. Covers the propagation delay of notices.
const PROPAGATION_SLACK: Micros = Micros::from_millis(250);

impl CrashedRun {
    /// Local time by which the run had crashed, less the propagation slack for remote runs. A later
    /// successful run counts in favour of the request.
    fn ended_by(&self) -> Micros {
        if self.is_remote { self.known_at.since(PROPAGATION_SLACK) } else { self.known_at }
    }

    /// Whether this run started after the crash of `before`.
    fn follows(&self, before: &CrashedRun) -> bool {
        if self.observer == before.observer {
            return self.started_at >= before.ended_at;
        }
        let ran_for = self.ended_at.since(self.started_at);
        self.known_at.since(ran_for) >= before.known_at.plus(PROPAGATION_SLACK)
    }
}

/// Maximum number of crashes kept per request; enough for the longest quarantine and for diagnosis.
pub const KEPT_CRASHES: usize = 8;
/// Number of crashes outside the sequence that count as one further strike in total. They may share another
/// cause, but concurrent attempts on several nodes leave no other trace.
const CONCURRENT_CRASHES: u32 = 2;
/// Sequential crashes at one service that do not count while runs at other services succeed. Prevents strikes
/// against innocent requests while the back ends of a service crash frequently.
const SINGLE_SERVICE_DISCOUNT: u32 = 2;
/// Maximum number of services in `successes`.
const MAX_SERVICES: usize = 16;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashHistory {
    /// Crashes that still count, ordered by `known_at`.
    crashes: SmallVec<[CrashedRun; 4]>,
    /// Start of the latest successful run by service; crashes before it no longer count, even if they are
    /// reported later.
    successes: SmallVec<[(ServiceName, Micros); 4]>,
    /// Start of the latest run that succeeded after a crash; zero if none did.
    last_success_at: Micros,
    /// Time of the last release by an operator; zero if there was none.
    released_at: Micros,
    /// Total number of known crashes.
    crash_count: u32,
}

impl CrashHistory {
    /// Records a crash. Returns whether the history changed.
    pub fn record_crash(&mut self, mut run: CrashedRun) -> bool {
        // Times by one observer's clock keep their distances, regardless of the propagation delay of each
        // notice.
        if let Some(known) = self.crashes.iter().find(|known| known.observer == run.observer) {
            run.known_at = known.known_at.plus(run.ended_at).since(known.ended_at);
        }
        if self.is_invalidated(&run) || self.crashes.iter().any(|known| known.replica == run.replica) {
            return false;
        }
        self.crash_count = self.crash_count.saturating_add(1);
        let place = self.crashes.partition_point(|known| known.known_at <= run.known_at);
        self.crashes.insert(place, run);
        if self.crashes.len() > KEPT_CRASHES {
            self.evict_one();
        }
        true
    }

    /// Records a successful run that started at `started_at`. Returns whether the history changed.
    ///
    /// A notice gains delay with every hop, so a success counts as a change only if it clears a crash at its
    /// service or is the first since a crash.
    pub fn record_success(&mut self, service: &ServiceName, started_at: Micros) -> bool {
        let is_first_overall = self.record_success_anywhere(started_at);
        let of_service = |known: &CrashedRun| known.service == *service && known.ended_by() <= started_at;
        if !self.crashes.iter().any(of_service) {
            return is_first_overall;
        }
        self.crashes.retain(|known| !of_service(known));
        match self.successes.iter_mut().find(|(known, _)| known == service) {
            Some((_, known)) => *known = (*known).max(started_at),
            None => {
                if self.successes.len() >= MAX_SERVICES {
                    self.successes.remove(0);
                }
                self.successes.push((service.clone(), started_at));
            }
        }
        true
    }

    /// Records a successful run at any service. Returns whether it is the first since a crash.
    pub fn record_success_anywhere(&mut self, started_at: Micros) -> bool {
        let precedes =
            |run: &CrashedRun| self.last_success_at < run.ended_by() && run.ended_by() <= started_at;
        let first = self.crashes.iter().any(precedes);
        if first {
            self.last_success_at = started_at;
        }
        first
    }

    /// Records a release by an operator. Returns whether the history changed.
    pub fn record_release(&mut self, at: Micros) -> bool {
        let invalidates = self.crashes.iter().any(|known| known.ended_by() <= at);
        if !invalidates && self.released_at > Micros(0) {
            return false;
        }
        self.released_at = self.released_at.max(at);
        self.crashes.retain(|known| known.ended_by() > at);
        true
    }

    fn is_invalidated(&self, run: &CrashedRun) -> bool {
        let succeeded =
            |(service, at): &(ServiceName, Micros)| *service == run.service && *at >= run.ended_by();
        self.released_at >= run.ended_by() || self.successes.iter().any(succeeded)
    }

    /// Evicts the newest crash that does not contribute to the strikes, or the oldest crash.
    fn evict_one(&mut self) {
        let strikes = self.strikes();
        let redundant = (0..self.crashes.len()).rev().find(|index| self.strikes_excluding(*index) == strikes);
        self.crashes.remove(redundant.unwrap_or(0));
    }

    /// Number of strikes: the longest sequence of crashes without a successful run in between, across all
    /// services or at a single service. Sequences at a single service are reduced by
    /// `SINGLE_SERVICE_DISCOUNT`, and `CONCURRENT_CRASHES` other crashes across all services count as one
    /// strike.
    pub fn strikes(&self) -> u32 {
        self.strikes_excluding(usize::MAX)
    }

    fn strikes_excluding(&self, excluded: usize) -> u32 {
        let counted = || {
            let runs = self.crashes.iter().enumerate();
            runs.filter(move |(index, _)| *index != excluded).map(|(_, run)| run)
        };
        let unresolved = || counted().filter(|run| run.ended_by() > self.last_success_at);
        let sequential = longest_sequence(unresolved());
        let concurrent = unresolved().count() as u32 - sequential;
        let anywhere = sequential + u32::from(concurrent >= CONCURRENT_CRASHES);
        let at_service = |known: &CrashedRun| {
            longest_sequence(counted().filter(|run| run.service == known.service))
                .saturating_sub(SINGLE_SERVICE_DISCOUNT)
        };
        counted().map(at_service).max().unwrap_or_default().max(anywhere)
    }

    /// Time of the last crash; zero if there was none.
    pub fn last_crash_at(&self) -> Micros {
        self.crashes.last().map_or(Micros(0), |run| run.known_at)
    }

    /// Whether a run that started after the last crash succeeded.
    pub fn succeeded_since_last_crash(&self) -> bool {
        self.crashes.iter().all(|run| run.ended_by() <= self.last_success_at)
    }

    /// Whether a crash at `service` still counts.
    pub fn has_crash_at(&self, service: &ServiceName) -> bool {
        self.crashes.iter().any(|run| run.service == *service)
    }

    /// Crashes that still count, ordered by `known_at`.
    pub fn crashes(&self) -> &[CrashedRun] {
        &self.crashes
    }

    /// Start of the latest successful run that cleared crashes, by service.
    pub fn successes(&self) -> &[(ServiceName, Micros)] {
        &self.successes
    }

    /// Start of the latest run that succeeded after a crash; zero if none did.
    pub fn last_success_at(&self) -> Micros {
        self.last_success_at
    }

    /// Time of the last release by an operator; zero if there was none.
    pub fn released_at(&self) -> Micros {
        self.released_at
    }

    /// Total number of crashes known to this node.
    pub fn crash_count(&self) -> u32 {
        self.crash_count
    }

    /// Merges the crash count of another node.
    pub fn merge_crash_count(&mut self, crash_count: u32) {
        self.crash_count = self.crash_count.max(crash_count);
    }

    /// Time of the last crash, success or release.
    pub fn last_event(&self) -> Micros {
        let succeeded = self.successes.iter().map(|(_, at)| *at).max().unwrap_or_default();
        self.last_crash_at().max(succeeded).max(self.last_success_at).max(self.released_at)
    }
}

/// Length of the longest sequence in which each run started after the crash of the previous one. `runs` are
/// ordered by `known_at`.
fn longest_sequence<'a>(runs: impl Iterator<Item = &'a CrashedRun>) -> u32 {
    // Each run with the length of the longest sequence that ends with it.
    let mut sequences: SmallVec<[(&CrashedRun, u32); KEPT_CRASHES]> = SmallVec::new();
    for run in runs {
        let before = sequences.iter().filter(|(before, _)| run.follows(before)).map(|(_, length)| *length);
        let length = before.max().unwrap_or_default() + 1;
        sequences.push((run, length));
    }
    sequences.iter().map(|(_, length)| *length).max().unwrap_or_default()
}
