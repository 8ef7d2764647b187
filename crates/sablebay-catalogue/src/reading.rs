//! Decides which nodes read the catalogue's source, when, and with which timeouts.
//!
//! A small number of readers, chosen identically from everybody's member list, watch the source for changes.
//! Other nodes learn from them and read only when the catalogue has not been confirmed to them recently.
//!
//! Invariant: a node that can reach the source reads it, or hears from a node that did, within
//! [`MAXIMUM_STALENESS`]. Watches may be lost without an error, so they are short.

use std::time::Duration;

use crate::revision::{CataloguePosition, CatalogueRevision};

/// Number of nodes that watch the source on behalf of all.
pub const READERS: usize = 2;
/// Duration of one watch.
const WAIT: Duration = Duration::from_millis(900);
/// Time allowed for a response beyond the requested wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Upper bound of the response timeout, which doubles with each timeout.
const MAXIMUM_RESPONSE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Pause before the next watch after changes, as changes come in batches.
const BATCH_PAUSE: Duration = Duration::from_millis(250);
/// Minimum and maximum pause of a reader after a failure.
const FAILURE_PAUSE: (Duration, Duration) = (Duration::from_millis(120), Duration::from_millis(700));
/// Pause of a non-reader after a failure; readers retry on its behalf too.
const NON_READER_PAUSE: Duration = Duration::from_millis(1_200);
/// Period over which non-readers spread their listings after the source was restored. The first few notify
/// the others, which then need no listing.
const RESTORE_SPREAD: Duration = Duration::from_millis(2_000);
/// Time since the last contact after which a non-reader reads the source itself.
const NON_READER_STALENESS: Duration = Duration::from_millis(2_100);
/// Interval at which a waiting node checks again.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time between the last update or confirmation and the next read.
pub const MAXIMUM_STALENESS: Duration = Duration::from_millis(2_300);

/// Share of a configuration's age limit from which reads no longer wait for changes. Exceeds the age reached
/// while all responses are in time.
const NEAR_LIMIT_PART: f64 = 0.6;
/// Range of the share of the age limit at which non-readers read the source themselves. Each node has its own
/// threshold, so that the first readers can inform the others; the last one still leaves time for a response.
const NON_READER_PARTS: (f64, f64) = (0.75, 0.9);

/// Age of a configuration that is valid only up to an age limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitedAge {
    /// Time since the configuration was last known to be the newest.
    pub age: Duration,
    /// Age from which the configuration may not be used.
    pub limit: Duration,
}

impl LimitedAge {
    /// Whether the age is so close to the limit that reads do not wait for changes.
    pub fn is_near_limit(self) -> bool {
        self.exceeds(NEAR_LIMIT_PART)
    }

    fn exceeds(self, part: f64) -> bool {
        self.age >= self.limit.mul_f64(part)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceRead {
    /// A full listing.
    All {
        /// Response timeout.
        timeout: Duration,
    },
    Changes {
        after: CatalogueRevision,
        /// Maximum time that the source may wait for a change.
        wait: Duration,
        /// Response timeout, including `wait`.
        timeout: Duration,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceStep {
    Read(SourceRead),
    /// Check again after this time.
    Wait(Duration),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFailure {
    /// The source no longer has the changes since the requested revision.
    MustReadAll,
    /// The source was restored from an older copy; revisions from before are not comparable.
    Restored,
    NoAnswer,
    /// The source refused the request for now.
    Refused,
}

#[derive(Clone, Copy, Debug)]
pub struct ReadingInputs {
    /// Whether the node is among the [`READERS`].
    pub is_reader: bool,
    /// Whether the node has contacted other nodes.
    pub has_peers: bool,
    /// Time since the node started.
    pub running_for: Duration,
    /// How long a starting node waits for peers before it reads the source; shorter for a node that restarts.
    pub startup_wait: Duration,
    /// Time since the source or a peer last updated or confirmed the catalogue; `None` before the first
    /// contact.
    pub contact_ago: Option<Duration>,
    /// Age of the configuration, if it is limited and a read may reduce it.
    pub configuration_age: Option<LimitedAge>,
    /// Relative position of this node among all nodes, from 0 to 1.
    pub position: f64,
    pub known_up_to: CataloguePosition,
    /// Whether a full listing is due because the source's era is settled.
    pub must_settle: bool,
}

impl ReadingInputs {
    fn is_near_limit(&self) -> bool {
        self.configuration_age.is_some_and(LimitedAge::is_near_limit)
    }
}

/// Schedules reads of the source.
#[derive(Clone, Debug, Default)]
pub struct ReadingPolicy {
    must_read_all: bool,
    failures: u32,
    unanswered: u32,
}

impl ReadingPolicy {
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

    /// Records a successful read for these inputs. Returns the pause before the next read, which is never
    /// zero close to the age limit, where reads do not wait.
    pub fn succeeded(&mut self, changed: bool, inputs: &ReadingInputs) -> Duration {
        *self = Self::default();
        match inputs.is_near_limit() {
            true if !inputs.is_reader => NON_READER_PAUSE,
            true => BATCH_PAUSE,
            false if changed => BATCH_PAUSE,
            false => Duration::ZERO,
        }
    }

    /// Records a failed read. Returns the pause before the next read; `jitter` (0 to 1) spreads nodes that
    /// fail at the same time.
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

/// Returns how long to leave reading to other nodes, or `None` if this node reads now.
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

/// Whether a non-reader is close enough to its age limit to read the source itself.
fn is_non_readers_turn(inputs: &ReadingInputs) -> bool {
    let (first, last) = NON_READER_PARTS;
    let part = first + (last - first) * inputs.position;
    inputs.configuration_age.is_some_and(|age| age.exceeds(part))
}
