//! The configuration in force, and the floor under it.
//!
//! Invariant: what is in force never goes down. The floor is the highest accepted version that
//! this node has heard of from anybody; nothing below it is ever adopted. Of two contents under
//! one revision the higher digest wins, so that every node decides alike.

use std::collections::VecDeque;
use std::sync::Arc;

use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

use sablebay_config::{Configuration, Delta, Digest, Finding, Version};
use sablebay_model::{Micros, Revision};

/// Two contents were accepted under one revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct Conflict {
    /// The revision.
    pub revision: Revision,
    /// The content that is in force, by its digest.
    pub in_force: Digest,
    /// The other content.
    pub other: Digest,
}

/// A revision that was rejected.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct Rejection {
    /// The revision, with the digest of the text that was rejected.
    pub version: Version,
    /// The node that rejected it first, as far as is known here.
    pub by: String,
    /// Its findings.
    pub findings: Vec<Finding>,
}

/// What became of a configuration that was offered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is in force now; before it, this version was.
    Adopted {
        /// The version that was in force.
        previous: Option<Version>,
    },
    /// It is in force already.
    Known,
    /// It is below the floor.
    BelowFloor {
        /// The floor.
        floor: Version,
    },
}

/// Deltas kept for peers that lag.
const MAXIMUM_HISTORY: usize = 64;
/// Bytes of deltas kept.
const MAXIMUM_HISTORY_BYTES: usize = 1 << 20;
/// Rejections and conflicts kept.
const MAXIMUM_REPORTS: usize = 16;

/// The configuration of one node.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationFloor {
    in_force: Option<Arc<Configuration>>,
    staged: Option<Arc<Configuration>>,
    adopted_at: Micros,
    floor: Version,
    history: VecDeque<Arc<Delta>>,
    history_bytes: usize,
    rejections: VecDeque<Rejection>,
    conflicts: VecDeque<Conflict>,
    floor_off: bool,
}

impl ConfigurationFloor {
    /// Turns the floor off, to show that the checker notices.
    pub fn turn_off(&mut self) {
        self.floor_off = true;
    }

    /// What is in force.
    pub fn in_force(&self) -> Option<&Arc<Configuration>> {
        self.in_force.as_ref()
    }

    /// The version in force; zero when there is none.
    pub fn version(&self) -> Version {
        self.in_force.as_ref().map_or(Version::default(), |configuration| configuration.version)
    }

    /// The highest accepted version heard of.
    pub fn floor(&self) -> Version {
        self.floor
    }

    /// When the version in force was adopted.
    pub fn adopted_at(&self) -> Micros {
        self.adopted_at
    }

    /// Whether a newer version is known of than the one in force.
    pub fn lags(&self) -> bool {
        self.version() < self.floor
    }

    /// Hears of a version that somebody accepted. Returns whether this node now lags.
    pub fn observe_version(&mut self, version: Version) -> bool {
        self.note_conflict(version);
        if !self.floor_off {
            self.floor = self.floor.max(version);
        }
        self.version() < version
    }

    /// Two contents under one revision are a conflict that operators can read.
    fn note_conflict(&mut self, other: Version) {
        let own = self.version();
        if own.revision != other.revision || own.digest == other.digest {
            return;
        }
        let conflict = Conflict {
            revision: own.revision,
            in_force: own.digest.max(other.digest),
            other: own.digest.min(other.digest),
        };
        if !self.conflicts.contains(&conflict) {
            self.conflicts.push_back(conflict);
            self.conflicts.truncate(MAXIMUM_REPORTS);
        }
    }

    /// A validated configuration is offered, by the platform or by a peer.
    pub fn offer(&mut self, configuration: Arc<Configuration>, now: Micros) -> OfferOutcome {
        let offered = configuration.version;
        self.note_conflict(offered);
        if offered == self.version() {
            return OfferOutcome::Known;
        }
        let below = offered < self.floor || offered < self.version();
        if below && !self.floor_off {
            return OfferOutcome::BelowFloor { floor: self.floor };
        }
        let previous = self.in_force.as_ref().map(|before| before.version);
        if let Some(before) = &self.in_force {
            let delta = before.document.delta_to(&configuration.document);
            self.remember(delta);
        }
        self.adopt(configuration, now);
        OfferOutcome::Adopted { previous }
    }

    fn adopt(&mut self, configuration: Arc<Configuration>, now: Micros) {
        self.floor =
            if self.floor_off { configuration.version } else { self.floor.max(configuration.version) };
        self.in_force = Some(configuration);
        self.staged = None;
        self.adopted_at = now;
    }

    fn remember(&mut self, delta: Delta) {
        if delta.content_bytes() > MAXIMUM_HISTORY_BYTES {
            self.history.clear();
            self.history_bytes = 0;
            return;
        }
        self.push_history(Arc::new(delta));
    }

    fn push_history(&mut self, delta: Arc<Delta>) {
        self.history_bytes += delta.content_bytes();
        self.history.push_back(delta);
        while self.history.len() > MAXIMUM_HISTORY || self.history_bytes > MAXIMUM_HISTORY_BYTES {
            let oldest = self.history.pop_front();
            self.history_bytes -= oldest.map_or(0, |delta| delta.content_bytes());
        }
    }

    /// Applies a delta from a peer. Nothing when it does not start from what is at hand.
    ///
    /// A step that ends below the floor is staged and not adopted: the rest of the way follows.
    pub fn offer_delta(&mut self, delta: &Arc<Delta>, now: Micros) -> Option<OfferOutcome> {
        self.note_conflict(delta.to);
        if delta.to <= self.version() {
            return Some(OfferOutcome::Known);
        }
        let base = self.base_for(delta)?;
        let next = Arc::new(base.apply(delta).ok()?);
        self.push_history(delta.clone());
        if delta.to < self.floor && !self.floor_off {
            self.staged = Some(next);
            return Some(OfferOutcome::BelowFloor { floor: self.floor });
        }
        let previous = self.version();
        self.adopt(next, now);
        Some(OfferOutcome::Adopted { previous: Some(previous) })
    }

    /// The configuration that a delta starts from: what is in force, or what is staged.
    fn base_for(&self, delta: &Delta) -> Option<Arc<Configuration>> {
        let candidates = self.in_force.iter().chain(&self.staged);
        candidates.into_iter().find(|base| base.version == delta.from).cloned()
    }

    /// The deltas that lead from `have` to what is in force; nothing when they are not kept.
    pub fn deltas_since(&self, have: Version) -> Option<Vec<Arc<Delta>>> {
        let start = self.history.iter().position(|delta| delta.from == have)?;
        Some(self.history.iter().skip(start).cloned().collect())
    }

    /// The last delta, when it led to what is in force.
    pub fn last_delta(&self) -> Option<&Arc<Delta>> {
        self.history.back().filter(|delta| delta.to == self.version())
    }

    /// Records a rejected revision. Returns whether it was news.
    pub fn reject(&mut self, rejection: Rejection) -> bool {
        if self.rejections.iter().any(|known| known.version == rejection.version) {
            return false;
        }
        self.rejections.push_back(rejection);
        if self.rejections.len() > MAXIMUM_REPORTS {
            self.rejections.pop_front();
        }
        true
    }

    /// Revisions that were rejected, oldest first.
    pub fn rejections(&self) -> impl Iterator<Item = &Rejection> {
        self.rejections.iter()
    }

    /// Conflicts that were noticed, oldest first.
    pub fn conflicts(&self) -> impl Iterator<Item = &Conflict> {
        self.conflicts.iter()
    }
}
