//! What is known of one request that back ends may end under.
//!
//! A back end that ends cuts every call that stands there, and at best one of them is the cause. What tells the
//! cause from those that stood beside it are ends one after the other: a run that was begun after the end
//! before it was known, and that ended its back end too. Runs that were under way at one moment count once,
//! however many they are: a zone that loses its power, or a service whose processes are killed together, is one
//! strike against each request that stood there. A run that began later and ended well breaks the row, and
//! takes back what speaks against the request at its service.

use musli::{Decode, Encode};
use smallvec::SmallVec;

use sablebay_catalogue::{ReplicaId, ServiceName};
use sablebay_model::Micros;

/// Names a life of the node that saw a back end end: its clock is no other's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
#[musli(transparent)]
pub struct ObserverId(pub u64);

/// A run of a request that a back end did not outlive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashedRun {
    /// The back end. It had one life: what listens at its address afterwards has another id.
    pub replica: ReplicaId,
    /// Its service.
    pub service: ServiceName,
    /// Who saw it.
    pub observer: ObserverId,
    /// When the request was sent there, by the observer's clock.
    pub started_at: Micros,
    /// When the connection broke, by the observer's clock.
    pub ended_at: Micros,
    /// When the connection broke, by this node's clock: later than it was, by how long word took.
    pub known_at: Micros,
    /// Whether this node heard of it from another.
    pub is_remote: bool,
}

/// How much later than the end that another node saw a run must have been begun to count as begun after it: word
/// takes time, and runs that were under way together must not look as if one had followed the other.
const PROPAGATION_SLACK: Micros = Micros::from_millis(250);

impl CrashedRun {
    /// A time, by this node's clock, at which it had ended already, or was about to: what is begun later and
    /// ends well speaks for the request.
    fn ended_by(&self) -> Micros {
        if self.is_remote { self.known_at.since(PROPAGATION_SLACK) } else { self.known_at }
    }

    /// Whether it was begun after another had ended.
    fn follows(&self, before: &CrashedRun) -> bool {
        if self.observer == before.observer {
            return self.started_at >= before.ended_at;
        }
        let ran_for = self.ended_at.since(self.started_at);
        self.known_at.since(ran_for) >= before.known_at.plus(PROPAGATION_SLACK)
    }
}

/// Crashed runs that are kept of one request: enough for the longest quarantine, and for an operator to see a
/// pattern.
pub const KEPT_CRASHES: usize = 8;
/// Back ends that must have ended beside those in a row to count once more. They may have ended together for
/// another reason, however many they are; attempts that come in at several nodes at once leave no other sign.
const CONCURRENT_CRASHES: u32 = 2;
/// Strikes of one service that do not count while runs at other services end well. Where back ends are killed
/// five times a second, three in a row at one service were met by an innocent request in the property tests;
/// five were not.
const SINGLE_SERVICE_DISCOUNT: u32 = 2;
/// Services of which it is kept what took back what spoke against a request.
const MAX_SERVICES: usize = 16;

/// What is known of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashHistory {
    /// The crashed runs that nothing took back, by when they ended.
    crashes: SmallVec<[CrashedRun; 4]>,
    /// When the run was begun that took back what spoke against it, by service: what is told late of the time before
    /// does not count.
    successes: SmallVec<[(ServiceName, Micros); 4]>,
    /// When the latest run was begun that ended well after a back end had ended.
    last_success_at: Micros,
    /// When an operator last released it.
    released_at: Micros,
    /// Back ends that ended under it, as far as this node knows.
    crash_count: u32,
}

impl CrashHistory {
    /// A back end did not outlive a run. Returns whether this is news.
    pub fn record_crash(&mut self, mut run: CrashedRun) -> bool {
        // What one node saw keeps its distances, however long word of each took.
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

    /// A run that was begun at `started_at` ended well. Returns whether this is news.
    ///
    /// Word that goes round is a little later each time it comes back: it counts only where it changes something.
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

    /// A run that was begun at `started_at` ended well at some service. Returns whether it is the first since a back
    /// end ended.
    pub fn record_success_anywhere(&mut self, started_at: Micros) -> bool {
        let precedes =
            |run: &CrashedRun| self.last_success_at < run.ended_by() && run.ended_by() <= started_at;
        let first = self.crashes.iter().any(precedes);
        if first {
            self.last_success_at = started_at;
        }
        first
    }

    /// An operator released it. Returns whether this is news.
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

    /// Drops a crashed run that adds no strike, or the oldest.
    fn evict_one(&mut self) {
        let strikes = self.strikes();
        let redundant = (0..self.crashes.len()).rev().find(|index| self.strikes_excluding(*index) == strikes);
        self.crashes.remove(redundant.unwrap_or(0));
    }

    /// Back ends that ended under it one after the other, without a good run in between: at any services, or
    /// all at the same. A request may be fatal to the back ends of one service alone, and run well at the
    /// others; that takes two more. Where several more ended beside these, that counts as one.
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

    /// When the last of its back ends ended.
    pub fn last_crash_at(&self) -> Micros {
        self.crashes.last().map_or(Micros(0), |run| run.known_at)
    }

    /// Whether a run of it ended well that was begun after the last of its back ends had ended.
    pub fn succeeded_since_last_crash(&self) -> bool {
        self.crashes.iter().all(|run| run.ended_by() <= self.last_success_at)
    }

    /// Whether a back end of a service ended under it.
    pub fn has_crash_at(&self, service: &ServiceName) -> bool {
        self.crashes.iter().any(|run| run.service == *service)
    }

    /// The crashed runs that nothing took back, by when they ended.
    pub fn crashes(&self) -> &[CrashedRun] {
        &self.crashes
    }

    /// When the run was begun that took back what spoke against it, by service.
    pub fn successes(&self) -> &[(ServiceName, Micros)] {
        &self.successes
    }

    /// When the latest run was begun that ended well after a back end had ended; zero when none did.
    pub fn last_success_at(&self) -> Micros {
        self.last_success_at
    }

    /// When an operator last released it; zero when none did.
    pub fn released_at(&self) -> Micros {
        self.released_at
    }

    /// Back ends that ended under it, as far as this node knows.
    pub fn crash_count(&self) -> u32 {
        self.crash_count
    }

    /// Takes over how many back ends another node knows of.
    pub fn merge_crash_count(&mut self, crash_count: u32) {
        self.crash_count = self.crash_count.max(crash_count);
    }

    /// When something last happened to it.
    pub fn last_event(&self) -> Micros {
        let succeeded = self.successes.iter().map(|(_, at)| *at).max().unwrap_or_default();
        self.last_crash_at().max(succeeded).max(self.last_success_at).max(self.released_at)
    }
}

/// The greatest number of runs of which each was begun after the one before had ended. The runs come by when
/// they ended.
fn longest_sequence<'a>(runs: impl Iterator<Item = &'a CrashedRun>) -> u32 {
    // Each run with the length of the longest row that ends with it.
    let mut sequences: SmallVec<[(&CrashedRun, u32); KEPT_CRASHES]> = SmallVec::new();
    for run in runs {
        let before = sequences.iter().filter(|(before, _)| run.follows(before)).map(|(_, length)| *length);
        let length = before.max().unwrap_or_default() + 1;
        sequences.push((run, length));
    }
    sequences.iter().map(|(_, length)| *length).max().unwrap_or_default()
}
