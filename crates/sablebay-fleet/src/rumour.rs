//! Gossip updates ("rumours") piggybacked on probes, each sent a bounded number of times.

use musli::{Decode, Encode};

use sablebay_config::{Finding, Version};
use sablebay_model::{InstanceKey, LeafId};

use crate::member::MemberStatus;
use crate::members::MemberClaim;

/// Whether a leaf is leaving, as of a point in time.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LeafNotice {
    pub leaf: LeafId,
    pub leaving: bool,
    /// Wall-clock milliseconds of the notice. The latest notice wins.
    pub stamp: u64,
}

/// A gossip update.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Rumour {
    Member(MemberClaim),
    /// A leaf is leaving or has returned.
    Leaf(LeafNotice),
    /// A configuration revision was rejected.
    Rejected {
        /// The revision and its content digest.
        version: Version,
        /// The first node to reject the revision.
        by: InstanceKey,
        /// The leading validation findings.
        findings: Vec<Finding>,
    },
}

impl Rumour {
    /// Whether the rumour is sent immediately instead of with the next probe.
    pub fn is_urgent(&self) -> bool {
        match self {
            Rumour::Member(claim) => claim.status == MemberStatus::Leaving,
            Rumour::Leaf(_) | Rumour::Rejected { .. } => true,
        }
    }

    /// Whether `newer` supersedes this rumour in the queue.
    fn is_replaced_by(&self, newer: &Rumour) -> bool {
        match (self, newer) {
            (Rumour::Member(old), Rumour::Member(new)) => old.info.key.node == new.info.key.node,
            (Rumour::Leaf(old), Rumour::Leaf(new)) => old.leaf == new.leaf,
            (Rumour::Rejected { version: old, .. }, Rumour::Rejected { version: new, .. }) => old == new,
            _ => false,
        }
    }
}

#[derive(Clone, Debug)]
struct QueuedRumour {
    rumour: Rumour,
    /// Number of sends so far.
    repeats: u32,
    /// Remaining sends to other zones.
    cross_zone_sends_left: u32,
}

/// Rumours pending dissemination.
#[derive(Clone, Debug, Default)]
pub struct RumourQueue {
    queued: Vec<QueuedRumour>,
}

/// The relation of a message's destination to this node's probing group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// A member that this node probes regularly.
    Near,
    /// A member of a zone that monitors its own members.
    Far,
    /// A member of a zone that may be partitioned. Rumours are sent, but the sends are not counted.
    Uncertain,
}

/// Maximum number of rumours per message.
const RUMOURS_PER_MESSAGE: usize = 8;
/// Sends of a rumour per doubling of the fleet size.
const REPEATS_PER_DOUBLING: f64 = 2.0;
/// Maximum queue length. The rumours sent most often are dropped first.
const MAXIMUM_QUEUED: usize = 1_024;

impl RumourQueue {
    /// Adds a rumour and drops any that it supersedes.
    pub fn add(&mut self, rumour: Rumour, cross_zone_sends_left: u32) {
        self.queued.retain(|old| !old.rumour.is_replaced_by(&rumour));
        // Newest first among rumours with equal send counts, so that a refutation is not delayed by
        // rumours that are already widely known.
        self.queued.insert(0, QueuedRumour { rumour, repeats: 0, cross_zone_sends_left });
        if self.queued.len() > MAXIMUM_QUEUED {
            self.queued.sort_by_key(|queued| queued.repeats);
            self.queued.truncate(MAXIMUM_QUEUED);
        }
    }

    /// Takes the rumours for one message, least sent first, and drops those that reached the send limit.
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
