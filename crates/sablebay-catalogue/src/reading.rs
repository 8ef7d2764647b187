//! When the source of the catalogue is read, and how long an answer is waited for.
//!
//! Invariant kept here: a source that answers again is read within [`LONGEST_UNAWARE`] of the moment
//! when it fell silent on a wait for changes, so that a configuration that was accepted meanwhile is
//! in force in time (must-hold 8). A wait may be lost without any sign; that is why it is short.

use std::time::Duration;

/// How long one wait for changes lasts.
const WAIT: Duration = Duration::from_millis(1_600);
/// How long an answer may take beyond what was asked for.
const PATIENCE: Duration = Duration::from_millis(500);
/// The most that patience grows to while answers do not come.
const LONGEST_PATIENCE: Duration = Duration::from_millis(4_000);
/// Changes come in groups: how long after some the next wait begins.
const GROUP_PAUSE: Duration = Duration::from_millis(250);
/// Bounds of the pause after a failure.
const FAILURE_PAUSE: (Duration, Duration) = (Duration::from_millis(120), Duration::from_millis(700));
/// The longest time between the loss of a wait and the next question to the source.
pub const LONGEST_UNAWARE: Duration = Duration::from_millis(2_300);

/// What to ask the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceRead {
    /// For everything.
    All {
        /// How long the answer may take.
        patience: Duration,
    },
    /// For what changes after a revision.
    Changes {
        /// The revision.
        after: u64,
        /// How long the source may wait for a change.
        wait: Duration,
        /// How long the answer may take.
        patience: Duration,
    },
}

/// Why a read gave nothing, as far as it matters for the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFailure {
    /// What changed cannot be told any more.
    MustReadAll,
    /// No answer came in time.
    NoAnswer,
    /// The source refused for now.
    Refused,
}

/// Decides about reads of the source.
#[derive(Clone, Debug, Default)]
pub struct ReadingPolicy {
    position: Option<u64>,
    failures: u32,
    unanswered: u32,
}

impl ReadingPolicy {
    /// What to ask next.
    pub fn next(&self) -> SourceRead {
        let patience = (PATIENCE * 2u32.pow(self.unanswered.min(4))).min(LONGEST_PATIENCE);
        match self.position {
            None => SourceRead::All { patience },
            Some(after) => SourceRead::Changes { after, wait: WAIT, patience: WAIT + patience },
        }
    }

    /// Whether the last read failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// A read was answered as of a revision. Returns the pause before the next.
    pub fn succeeded(&mut self, at: u64, changed: bool) -> Duration {
        self.position = Some(self.position.map_or(at, |position| position.max(at)));
        self.failures = 0;
        self.unanswered = 0;
        if changed { GROUP_PAUSE } else { Duration::ZERO }
    }

    /// A read failed. Returns the pause before the next; `jitter` (0 to 1) spreads nodes that fail
    /// at one moment.
    pub fn failed(&mut self, failure: ReadFailure, jitter: f64) -> Duration {
        let (shortest, longest) = FAILURE_PAUSE;
        let pause = (shortest * 2u32.pow(self.failures.min(4))).min(longest);
        self.failures += 1;
        match failure {
            ReadFailure::MustReadAll => self.position = None,
            ReadFailure::NoAnswer => self.unanswered += 1,
            ReadFailure::Refused => {}
        }
        pause.mul_f64(0.7 + 0.6 * jitter)
    }
}
