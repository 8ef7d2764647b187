//! Who reads the source of the catalogue, when, and how long an answer is waited for.
//!
//! Two nodes, the same in everybody's member list, wait for changes at the source; the others learn
//! from these, and read by themselves only when nobody has confirmed the catalogue to them of late.
//!
//! Invariant kept here: a node that can reach the source reads it, or hears from one that did,
//! within [`MAXIMUM_STALENESS`], so that a configuration that was accepted meanwhile is in force in
//! time (must-hold 8) and a leaving replica gets no new work (must-hold 6). A wait may be lost
//! without any sign; that is why it is short.

use std::time::Duration;

use crate::revision::{CataloguePosition, CatalogueRevision};

/// Nodes that read the source for all.
pub const READERS: usize = 2;
/// How long one wait for changes lasts.
const WAIT: Duration = Duration::from_millis(900);
/// How long an answer may take beyond what was asked for.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// The most that patience grows to while answers do not come.
const MAXIMUM_RESPONSE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Changes come in groups: how long after some the next wait begins.
const BATCH_PAUSE: Duration = Duration::from_millis(250);
/// Bounds of a reader's pause after a failure.
const FAILURE_PAUSE: (Duration, Duration) = (Duration::from_millis(120), Duration::from_millis(700));
/// The pause of another node after a failure: readers try for it too.
const NON_READER_PAUSE: Duration = Duration::from_millis(1_200);
/// Over how long the nodes that are no readers spread their listings after a return of the source: the first few tell the
/// others, which then need none. All of a fleet are told within a second.
const RESTORE_SPREAD: Duration = Duration::from_millis(2_000);
/// How long ago a node that is no reader heard of the catalogue when it reads by itself.
const NON_READER_STALENESS: Duration = Duration::from_millis(2_100);
/// How often a node that waits looks again.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The longest time between the last news, or the last word that there is none, and the next question to the source.
pub const MAXIMUM_STALENESS: Duration = Duration::from_millis(2_300);

/// The part of the limit on a configuration's age from which the source is asked for what there is now. Beyond what
/// the age comes to while all answers are in time; a wait for changes would end close to the limit.
const NEAR_LIMIT_PART: f64 = 0.6;
/// The parts of that limit at which nodes that are no readers read by themselves, each at one of its own: the first
/// ones leave the source free for the others, which hear from readers meanwhile. The last one has time for an answer.
const NON_READER_PARTS: (f64, f64) = (0.75, 0.9);

/// The age of a configuration whose age is limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitedAge {
    /// The age of the moment up to which the configuration is the newest for certain.
    pub age: Duration,
    /// The age at which it may not be acted on any more.
    pub limit: Duration,
}

impl LimitedAge {
    /// Whether that is so close that nothing is waited for.
    pub fn is_near_limit(self) -> bool {
        self.exceeds(NEAR_LIMIT_PART)
    }

    fn exceeds(self, part: f64) -> bool {
        self.age >= self.limit.mul_f64(part)
    }
}

/// What to ask the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceRead {
    /// For everything.
    All {
        /// How long the answer may take.
        timeout: Duration,
    },
    /// For what changes after a revision.
    Changes {
        /// The revision.
        after: CatalogueRevision,
        /// How long the source may wait for a change.
        wait: Duration,
        /// How long the answer may take.
        timeout: Duration,
    },
}

/// What a node does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceStep {
    /// It asks the source.
    Read(SourceRead),
    /// It waits, and looks again.
    Wait(Duration),
}

/// Why a read gave nothing, as far as it matters for the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFailure {
    /// What changed cannot be told any more.
    MustReadAll,
    /// The source has come back from an older copy: what changed since a revision of before means nothing.
    Restored,
    /// No answer came in time.
    NoAnswer,
    /// The source refused for now.
    Refused,
}

/// What a node's next step depends on.
#[derive(Clone, Copy, Debug)]
pub struct ReadingInputs {
    /// Whether the node is among the [`READERS`].
    pub is_reader: bool,
    /// Whether it has met other nodes.
    pub has_peers: bool,
    /// How long it has run.
    pub running_for: Duration,
    /// How long a starting node waits for others to tell it what there is. Nodes that all start at
    /// one moment, with time to spare, need not all read; one that comes back is in a hurry.
    pub startup_wait: Duration,
    /// How long ago it heard of the catalogue, from the source or from a peer, if only that there is nothing newer;
    /// nothing before the first time.
    pub contact_ago: Option<Duration>,
    /// The age of its configuration, where that is limited and a read may lessen it.
    pub configuration_age: Option<LimitedAge>,
    /// Where this node stands among all, from 0 to 1.
    pub position: f64,
    /// Up to where it knows the catalogue.
    pub known_up_to: CataloguePosition,
    /// Whether everything is to be listed anew, since the source's era is settled now.
    pub must_settle: bool,
}

impl ReadingInputs {
    /// Whether the configuration is so close to its limit that nothing is waited for.
    fn is_near_limit(&self) -> bool {
        self.configuration_age.is_some_and(LimitedAge::is_near_limit)
    }
}

/// Decides about reads of the source.
#[derive(Clone, Debug, Default)]
pub struct ReadingPolicy {
    must_read_all: bool,
    failures: u32,
    unanswered: u32,
}

impl ReadingPolicy {
    /// What to do next.
    pub fn next(&self, inputs: &ReadingInputs) -> SourceStep {
        if let Some(wait) = wait_for_others(inputs) {
            return SourceStep::Wait(wait);
        }
        let timeout = (RESPONSE_TIMEOUT * 2u32.pow(self.unanswered.min(4))).min(MAXIMUM_RESPONSE_TIMEOUT);
        if inputs.known_up_to.is_nothing() || self.must_read_all || inputs.must_settle {
            return SourceStep::Read(SourceRead::All { timeout });
        }
        let wait = if inputs.is_near_limit() { Duration::ZERO } else { WAIT };
        let after = inputs.known_up_to.revision();
        SourceStep::Read(SourceRead::Changes { after, wait, timeout: wait + timeout })
    }

    /// Whether the last read failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// A read was answered that these inputs led to. Returns the pause before the next: one after a read that waited
    /// for nothing as well, which the age may not have come down by.
    pub fn succeeded(&mut self, changed: bool, inputs: &ReadingInputs) -> Duration {
        *self = Self::default();
        match inputs.is_near_limit() {
            true if !inputs.is_reader => NON_READER_PAUSE,
            true => BATCH_PAUSE,
            false if changed => BATCH_PAUSE,
            false => Duration::ZERO,
        }
    }

    /// A read failed. Returns the pause before the next; `jitter` (0 to 1) spreads nodes that fail
    /// at one moment.
    pub fn failed(&mut self, failure: ReadFailure, is_reader: bool, jitter: f64) -> Duration {
        let (shortest, longest) = FAILURE_PAUSE;
        let pause = if is_reader {
            (shortest * 2u32.pow(self.failures.min(4))).min(longest)
        } else {
            NON_READER_PAUSE
        };
        self.failures += 1;
        match failure {
            ReadFailure::MustReadAll | ReadFailure::Restored => self.must_read_all = true,
            ReadFailure::NoAnswer => self.unanswered += 1,
            ReadFailure::Refused => {}
        }
        match failure {
            ReadFailure::MustReadAll => pause.mul_f64(0.7),
            ReadFailure::Restored if is_reader => pause.mul_f64(0.7),
            ReadFailure::Restored => pause + RESTORE_SPREAD.mul_f64(jitter),
            ReadFailure::NoAnswer | ReadFailure::Refused => pause.mul_f64(0.7 + 0.6 * jitter),
        }
    }
}

/// How long a node leaves the reading to others before it looks again; nothing when it reads.
fn wait_for_others(inputs: &ReadingInputs) -> Option<Duration> {
    let starting = inputs.running_for < inputs.startup_wait;
    if inputs.is_reader && (inputs.has_peers || !starting) {
        return None;
    }
    let others_inform = match inputs.contact_ago {
        None => starting,
        Some(ago) => ago < NON_READER_STALENESS && !is_non_readers_turn(inputs),
    };
    others_inform.then_some(POLL_INTERVAL)
}

/// Whether the configuration of a node that is no reader is so close to its limit that it reads by itself.
fn is_non_readers_turn(inputs: &ReadingInputs) -> bool {
    let (first, last) = NON_READER_PARTS;
    let part = first + (last - first) * inputs.position;
    inputs.configuration_age.is_some_and(|age| age.exceeds(part))
}
