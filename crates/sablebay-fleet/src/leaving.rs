//! Tracks which leaves are leaving.

use std::collections::BTreeMap;

use sablebay_model::LeafId;

use crate::rumour::LeafNotice;

/// Number of notices above which those of returned leaves are dropped.
const MAXIMUM_NOTICES: usize = 65_536;

/// The latest notice for each leaf.
#[derive(Clone, Debug, Default)]
pub struct LeavingLeaves {
    /// Ordered, so that message contents are deterministic for a given seed.
    notices: BTreeMap<LeafId, (bool, u64)>,
}

impl LeavingLeaves {
    /// Merges a notice. Returns whether the leaf's status changed.
    pub fn merge(&mut self, notice: &LeafNotice) -> bool {
        let known = self.notices.get(&notice.leaf).copied();
        if known.is_some_and(|(_, stamp)| stamp >= notice.stamp) {
            return false;
        }
        if known.is_none() && self.notices.len() >= MAXIMUM_NOTICES {
            self.notices.retain(|_, (leaving, _)| *leaving);
        }
        self.notices.insert(notice.leaf.clone(), (notice.leaving, notice.stamp));
        known.map(|(leaving, _)| leaving) != Some(notice.leaving)
    }

    pub fn is_leaving(&self, leaf: &LeafId) -> bool {
        self.notices.get(leaf).is_some_and(|(leaving, _)| *leaving)
    }

    /// Iterates over the leaves that are leaving.
    pub fn iter(&self) -> impl Iterator<Item = &LeafId> {
        self.notices.iter().filter(|(_, (leaving, _))| *leaving).map(|(leaf, _)| leaf)
    }

    /// All notices, for a joining node.
    pub fn notices(&self) -> impl Iterator<Item = LeafNotice> + '_ {
        self.notices.iter().map(|(leaf, (leaving, stamp))| LeafNotice {
            leaf: leaf.clone(),
            leaving: *leaving,
            stamp: *stamp,
        })
    }
}
