//! The configuration in force, and its version floor.
//!
//! Invariant: the version in force never decreases. The floor is the highest accepted version known
//! to this node, and no configuration below it is adopted. If one revision has two contents, the
//! higher digest wins, so that all nodes converge.

use std::collections::VecDeque;
use std::sync::Arc;

use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

use sablebay_config::{Configuration, Delta, Digest, Finding, Version};
use sablebay_model::{Micros, Revision};

/// Two different contents accepted under one revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct Conflict {
    pub revision: Revision,
    /// Digest of the winning content.
    pub in_force: Digest,
    /// Digest of the other content.
    pub other: Digest,
}

/// A rejected revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct Rejection {
    /// The revision and the digest of the rejected content.
    pub version: Version,
    /// The first node to reject the revision, as far as this node knows.
    pub by: String,
    pub findings: Vec<Finding>,
}

/// The result of offering a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The configuration is now in force.
    Adopted {
        /// The version previously in force.
        previous: Option<Version>,
    },
    /// The version is already in force, or a delta leads to no newer one.
    Known,
    /// The version is below the floor.
    BelowFloor { floor: Version },
}

/// Maximum number of deltas kept for lagging peers.
const MAXIMUM_HISTORY: usize = 64;
/// Maximum total size of kept deltas, in bytes.
const MAXIMUM_HISTORY_BYTES: usize = 1 << 20;
/// Maximum number of rejections, and of conflicts, kept for reporting.
const MAXIMUM_REPORTS: usize = 16;

/// The configuration state of a node.
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
    /// Disables the floor, so that tests can verify that violations are detected.
    pub fn turn_off(&mut self) {
        self.floor_off = true;
    }

    /// The configuration in force, if any.
    pub fn in_force(&self) -> Option<&Arc<Configuration>> {
        self.in_force.as_ref()
    }

    /// The version in force, or zero if there is none.
    pub fn version(&self) -> Version {
        self.in_force.as_ref().map_or(Version::default(), |configuration| configuration.version)
    }

    /// The highest accepted version known.
    pub fn floor(&self) -> Version {
        self.floor
    }

    /// When the version in force was adopted.
    pub fn adopted_at(&self) -> Micros {
        self.adopted_at
    }

    /// Whether a version newer than the one in force is known.
    pub fn lags(&self) -> bool {
        self.version() < self.floor
    }

    /// Records a version accepted by another node. Returns whether it is newer than the one in force.
    pub fn observe_version(&mut self, version: Version) -> bool {
        self.note_conflict(version);
        if !self.floor_off {
            self.floor = self.floor.max(version);
        }
        self.version() < version
    }

    /// Records a conflict if `other` has the revision in force but another digest.
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

    /// Offers a validated configuration from the platform or a peer.
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

    /// Applies a delta from a peer. Returns `None` if its base version is not available or it does not apply.
    ///
    /// A result below the floor is staged instead of adopted, as the base for further deltas.
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

    /// The base configuration of a delta: the one in force or the staged one.
    fn base_for(&self, delta: &Delta) -> Option<Arc<Configuration>> {
        let candidates = self.in_force.iter().chain(&self.staged);
        candidates.into_iter().find(|base| base.version == delta.from).cloned()
    }

    /// The kept deltas from `have` to the latest version, or `None` if they are incomplete.
    pub fn deltas_since(&self, have: Version) -> Option<Vec<Arc<Delta>>> {
        let start = self.history.iter().position(|delta| delta.from == have)?;
        Some(self.history.iter().skip(start).cloned().collect())
    }

    /// The last delta, if it produced the version in force.
    pub fn last_delta(&self) -> Option<&Arc<Delta>> {
        self.history.back().filter(|delta| delta.to == self.version())
    }

    /// Records a rejected revision. Returns whether it was new.
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

    /// Rejected revisions, oldest first.
    pub fn rejections(&self) -> impl Iterator<Item = &Rejection> {
        self.rejections.iter()
    }

    /// Recorded conflicts, oldest first.
    pub fn conflicts(&self) -> impl Iterator<Item = &Conflict> {
        self.conflicts.iter()
    }
}
