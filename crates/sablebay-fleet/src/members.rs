//! The table of members.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use musli::{Decode, Encode};
use statig::blocking::{IntoStateMachineExt, StateMachine};

use sablebay_config::Version;
use sablebay_model::{InstanceKey, Micros, NodeId};

use crate::member::{LifeEvent, MemberInfo, MemberLife, MemberStatus};

/// A statement about one member, as nodes pass it on.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct MemberClaim {
    /// The member.
    pub info: Arc<MemberInfo>,
    /// Its status.
    pub status: MemberStatus,
    /// Its refutation count, which orders claims about one life.
    pub refutation: u32,
}

/// One member as this node sees it.
#[derive(Clone)]
pub struct Member {
    /// What it says of itself.
    pub info: Arc<MemberInfo>,
    /// The configuration that it last reported.
    pub version: Version,
    /// When it was last heard directly.
    pub heard_at: Micros,
    life: StateMachine<MemberLife>,
}

impl Member {
    fn new(claim: &MemberClaim, now: Micros) -> Self {
        let life = MemberLife { refutation: 0, since: now };
        let mut member = Self {
            info: claim.info.clone(),
            version: Version::default(),
            heard_at: Micros(0),
            life: life.state_machine(),
        };
        member.claimed(claim.status, claim.refutation, now);
        member
    }

    fn claimed(&mut self, status: MemberStatus, refutation: u32, now: Micros) -> bool {
        let before = (self.status(), self.refutation());
        self.life.handle(&LifeEvent::Claimed { status, refutation, now });
        before != (self.status(), self.refutation())
    }

    /// Its status.
    pub fn status(&self) -> MemberStatus {
        self.life.state().status()
    }

    /// Its refutation count.
    pub fn refutation(&self) -> u32 {
        self.life.refutation
    }

    /// Since when it has had its status.
    pub fn since(&self) -> Micros {
        self.life.since
    }

    /// The claim that passes on what this node believes.
    pub fn claim(&self) -> MemberClaim {
        MemberClaim { info: self.info.clone(), status: self.status(), refutation: self.refutation() }
    }

    /// Whether it takes new work.
    pub fn takes_work(&self) -> bool {
        matches!(self.status(), MemberStatus::Alive | MemberStatus::Suspect)
    }
}

/// Every member known, without this node itself. Ordered, so that draws from it depend on the seed
/// alone.
#[derive(Clone, Default)]
pub struct MemberTable {
    members: BTreeMap<NodeId, Member>,
    present: usize,
    suspects: BTreeSet<NodeId>,
    /// Rises whenever a member comes, goes, or begins another life.
    changes: u64,
}

impl MemberTable {
    /// Takes a claim in. Returns whether it was news.
    ///
    /// A higher incarnation replaces a lower one whatever its status: it is another life.
    pub fn merge(&mut self, claim: &MemberClaim, now: Micros) -> bool {
        let node = &claim.info.key.node;
        let before = self.members.get(node).map(Member::status);
        let life_before = self.members.get(node).map(|member| member.info.key.incarnation);
        let news = self.merge_member(claim, now);
        self.note_status(node, before);
        let life = self.members.get(node).map(|member| member.info.key.incarnation);
        self.changes += u64::from(life != life_before);
        news
    }

    /// Keeps the count of present members and the set of suspects up to date.
    fn note_status(&mut self, node: &NodeId, before: Option<MemberStatus>) {
        let is_present = |status| matches!(status, MemberStatus::Alive | MemberStatus::Suspect);
        let after = self.members.get(node).map(Member::status);
        let (was_present, is_present) = (before.is_some_and(is_present), after.is_some_and(is_present));
        self.present -= usize::from(was_present);
        self.present += usize::from(is_present);
        self.changes += u64::from(was_present != is_present);
        if after == Some(MemberStatus::Suspect) {
            self.suspects.insert(node.clone());
        } else {
            self.suspects.remove(node);
        }
    }

    fn merge_member(&mut self, claim: &MemberClaim, now: Micros) -> bool {
        let node = &claim.info.key.node;
        match self.members.get_mut(node) {
            Some(member) if member.info.key.incarnation == claim.info.key.incarnation => {
                member.claimed(claim.status, claim.refutation, now)
            }
            Some(member) if member.info.key.incarnation > claim.info.key.incarnation => false,
            _ => {
                self.members.insert(node.clone(), Member::new(claim, now));
                true
            }
        }
    }

    /// Ends a suspicion that was not refuted. Returns the claim to spread, if it was one.
    pub fn expire_suspicion(&mut self, node: &NodeId, now: Micros) -> Option<MemberClaim> {
        let member = self.members.get_mut(node)?;
        if member.status() != MemberStatus::Suspect {
            return None;
        }
        member.life.handle(&LifeEvent::SuspicionExpired { now });
        let claim = member.claim();
        self.note_status(node, Some(MemberStatus::Suspect));
        Some(claim)
    }

    /// Forgets members that have been gone since before `limit`.
    pub fn forget_gone(&mut self, limit: Micros) {
        let gone = |member: &Member| {
            matches!(member.status(), MemberStatus::Dead | MemberStatus::Leaving) && member.since() < limit
        };
        self.members.retain(|_, member| !gone(member));
    }

    /// One member.
    pub fn get(&self, node: &NodeId) -> Option<&Member> {
        self.members.get(node)
    }

    /// Records a direct word of a member, and the configuration it reported.
    pub fn heard(&mut self, key: &InstanceKey, version: Version, now: Micros) {
        if let Some(member) = self.members.get_mut(&key.node)
            && member.info.key == *key
        {
            member.version = member.version.max(version);
            member.heard_at = now;
        }
    }

    /// Every member.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Members that are alive or suspected.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.takes_work())
    }

    /// How many members are alive or suspected.
    pub fn present_count(&self) -> usize {
        self.present
    }

    /// Members that are suspected.
    pub fn suspects(&self) -> impl Iterator<Item = &Member> {
        self.suspects.iter().filter_map(|node| self.members.get(node))
    }

    /// A number that rises whenever another set of members is present.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// How many members are known.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}
