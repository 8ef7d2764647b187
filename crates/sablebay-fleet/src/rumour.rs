//! Rumours: news that ride on probes, each passed on a bounded number of times.

use musli::{Decode, Encode};

use sablebay_config::{Finding, Version};
use sablebay_model::{InstanceKey, LeafId};

use crate::member::MemberStatus;
use crate::members::MemberClaim;

/// The newest word about whether a leaf is leaving.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LeafNotice {
    /// The leaf.
    pub leaf: LeafId,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Wall-clock milliseconds of the word; of two words the later one counts.
    pub stamp: u64,
}

/// One piece of news.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Rumour {
    /// A member's status.
    Member(MemberClaim),
    /// A leaf is leaving, or has come back.
    Leaf(LeafNotice),
    /// A revision was rejected.
    Rejected {
        /// The revision and the digest of its text.
        version: Version,
        /// Who rejected it first.
        by: InstanceKey,
        /// The first of its findings.
        findings: Vec<Finding>,
    },
}

impl Rumour {
    /// Whether the rumour is sent on at once rather than with the next probe.
    pub fn is_urgent(&self) -> bool {
        match self {
            Rumour::Member(claim) => claim.status == MemberStatus::Leaving,
            Rumour::Leaf(_) | Rumour::Rejected { .. } => true,
        }
    }

    /// Whether a newer rumour takes this one's place in the queue.
    fn is_replaced_by(&self, newer: &Rumour) -> bool {
        match (self, newer) {
            (Rumour::Member(old), Rumour::Member(new)) => old.info.key.node == new.info.key.node,
            (Rumour::Leaf(old), Rumour::Leaf(new)) => old.leaf == new.leaf,
            (Rumour::Rejected { version: old, .. }, Rumour::Rejected { version: new, .. }) => old == new,
            _ => false,
        }
    }
}

/// A rumour that waits to be passed on.
#[derive(Clone, Debug)]
struct QueuedRumour {
    rumour: Rumour,
    /// Times it was passed on.
    repeats: u32,
    /// Times it may still be passed on to other zones.
    cross_zone_sends_left: u32,
}

/// Rumours that this node still passes on.
#[derive(Clone, Debug, Default)]
pub struct RumourQueue {
    queued: Vec<QueuedRumour>,
}

/// How far a message goes, from those who watch one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// It goes to a member near.
    Near,
    /// It goes to a zone that watches itself.
    Far,
    /// It goes to a zone that may be cut off: it carries news, and does not count as having passed them on.
    Uncertain,
}

/// Rumours in one message at the most.
const RUMOURS_PER_MESSAGE: usize = 8;
/// Times a rumour is passed on, for each doubling of the fleet.
const REPEATS_PER_DOUBLING: f64 = 2.0;
/// Rumours that wait at the most; the most often repeated are dropped first.
const MAXIMUM_QUEUED: usize = 1_024;

impl RumourQueue {
    /// Adds a rumour; an older one about the same thing is dropped.
    pub fn add(&mut self, rumour: Rumour, cross_zone_sends_left: u32) {
        self.queued.retain(|old| !old.rumour.is_replaced_by(&rumour));
        // In front: of rumours repeated as often, the newest goes first. A refutation must not wait
        // behind what everybody has heard.
        self.queued.insert(0, QueuedRumour { rumour, repeats: 0, cross_zone_sends_left });
        if self.queued.len() > MAXIMUM_QUEUED {
            self.queued.sort_by_key(|queued| queued.repeats);
            self.queued.truncate(MAXIMUM_QUEUED);
        }
    }

    /// The rumours for one message, least repeated first; drops what was repeated enough.
    pub fn take(&mut self, fleet_size: usize, reach: Reach) -> Vec<Rumour> {
        let doublings = ((fleet_size + 2) as f64).log2();
        let limit = (REPEATS_PER_DOUBLING * doublings).ceil() as u32;
        self.queued.sort_by_key(|queued| queued.repeats);
        let is_eligible = |queued: &&mut QueuedRumour| match reach {
            Reach::Near => queued.repeats < limit,
            Reach::Far => queued.cross_zone_sends_left > 0,
            Reach::Uncertain => true,
        };
        let mut taken = Vec::new();
        for queued in self.queued.iter_mut().filter(is_eligible).take(RUMOURS_PER_MESSAGE) {
            match reach {
                Reach::Near => queued.repeats += 1,
                Reach::Far => queued.cross_zone_sends_left -= 1,
                Reach::Uncertain => {}
            }
            taken.push(queued.rumour.clone());
        }
        self.queued.retain(|queued| queued.repeats < limit || queued.cross_zone_sends_left > 0);
        taken
    }
}
