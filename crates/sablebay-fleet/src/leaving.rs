//! Which leaves are leaving, by the latest word about each.

use std::collections::BTreeMap;

use sablebay_model::LeafId;

use crate::rumour::LeafNotice;

/// Words about leaves that are kept at the most.
const MAXIMUM_NOTICES: usize = 65_536;

/// The latest word about each leaf that one was heard of.
#[derive(Clone, Debug, Default)]
pub struct LeavingLeaves {
    /// Ordered, so that what is sent depends on the seed alone.
    notices: BTreeMap<LeafId, (bool, u64)>,
}

impl LeavingLeaves {
    /// Takes a word in; returns whether it was news.
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

    /// Whether a leaf is leaving.
    pub fn is_leaving(&self, leaf: &LeafId) -> bool {
        self.notices.get(leaf).is_some_and(|(leaving, _)| *leaving)
    }

    /// The leaves that are leaving.
    pub fn iter(&self) -> impl Iterator<Item = &LeafId> {
        self.notices.iter().filter(|(_, (leaving, _))| *leaving).map(|(leaf, _)| leaf)
    }

    /// Every word, to tell a node that joins.
    pub fn notices(&self) -> impl Iterator<Item = LeafNotice> + '_ {
        self.notices.iter().map(|(leaf, (leaving, stamp))| LeafNotice {
            leaf: leaf.clone(),
            leaving: *leaving,
            stamp: *stamp,
        })
    }
}
