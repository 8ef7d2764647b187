//! The member table.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use musli::{Decode, Encode};
use statig::blocking::{IntoStateMachineExt, StateMachine};

use sablebay_config::Version;
use sablebay_model::{InstanceKey, Micros, NodeId, ZoneName};

use crate::member::{MemberEvent, MemberInfo, MemberLifecycle, MemberStatus};
use crate::rumour::Reach;

/// A gossiped statement about a member's status.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct MemberClaim {
    pub info: Arc<MemberInfo>,
    pub status: MemberStatus,
    /// The member's refutation count, which orders claims about one incarnation.
    pub refutation: u32,
}

/// A member as seen by this node.
#[derive(Clone)]
pub struct Member {
    pub info: Arc<MemberInfo>,
    /// The highest configuration version that the member reported.
    pub version: Version,
    /// Time of the last direct message from the member.
    pub last_contact: Micros,
    lifecycle: StateMachine<MemberLifecycle>,
}

impl Member {
    fn new(claim: &MemberClaim, now: Micros) -> Self {
        let lifecycle = MemberLifecycle { refutation: 0, since: now };
        let mut member = Self {
            info: claim.info.clone(),
            version: Version::default(),
            last_contact: Micros(0),
            lifecycle: lifecycle.state_machine(),
        };
        member.claimed(claim.status, claim.refutation, now);
        member
    }

    fn claimed(&mut self, status: MemberStatus, refutation: u32, now: Micros) -> bool {
        let before = (self.status(), self.refutation());
        self.lifecycle.handle(&MemberEvent::Claimed { status, refutation, now });
        before != (self.status(), self.refutation())
    }

    pub fn status(&self) -> MemberStatus {
        self.lifecycle.state().status()
    }

    pub fn refutation(&self) -> u32 {
        self.lifecycle.refutation
    }

    /// Time of the last status change.
    pub fn since(&self) -> Micros {
        self.lifecycle.since
    }

    /// A claim with the member's status as seen by this node.
    pub fn claim(&self) -> MemberClaim {
        MemberClaim { info: self.info.clone(), status: self.status(), refutation: self.refutation() }
    }

    /// Whether the member accepts new work.
    pub fn takes_work(&self) -> bool {
        matches!(self.status(), MemberStatus::Alive | MemberStatus::Suspect)
    }
}

/// Member failures in a zone within [`LOSS_WINDOW`], repeated failures of one member included, from which on all zones
/// probe the zone: it may be partitioned, and its members cannot report that themselves.
const SUSPICIOUS_LOSSES: usize = 3;
/// How long a failure counts towards [`SUSPICIOUS_LOSSES`]: longer than the suspicion timeout of a fleet of 1,000
/// members at a probe period of 1 s.
const LOSS_WINDOW: Micros = Micros::from_secs(10);
/// Maximum number of dead members kept in the table.
const MAXIMUM_DEAD_MEMBERS: usize = 4_096;
/// Minimum number of present members for a zone to monitor itself. Smaller zones are probed from all zones, since
/// the failure of most of their members would otherwise go undetected for many periods.
const SELF_MONITORING_MEMBERS: usize = 8;

/// Aggregate state of the members of one zone.
#[derive(Clone, Debug)]
struct ZoneMembers {
    present: usize,
    /// Times of the most recent failures of live members, oldest first.
    lost_at: VecDeque<Micros>,
    /// Reach from all other zones, as of the last [`ZoneMembers::update_reach`].
    reach: Reach,
}

impl Default for ZoneMembers {
    fn default() -> Self {
        Self { present: 0, lost_at: VecDeque::new(), reach: Reach::Near }
    }
}

impl ZoneMembers {
    fn record_loss(&mut self, now: Micros) {
        self.lost_at.push_back(now);
        if self.lost_at.len() > SUSPICIOUS_LOSSES {
            self.lost_at.pop_front();
        }
    }

    fn update_reach(&mut self, now: Micros) {
        let recent = self.lost_at.iter().filter(|at| now.since(**at) < LOSS_WINDOW).count();
        self.reach = match self.present {
            0..SELF_MONITORING_MEMBERS => Reach::Near,
            _ if recent >= SUSPICIOUS_LOSSES => Reach::Uncertain,
            _ => Reach::Far,
        };
    }
}

/// All known members except this node. Ordered, so that random selection is deterministic for a
/// given seed.
#[derive(Clone, Default)]
pub struct MemberTable {
    members: BTreeMap<NodeId, Member>,
    present: usize,
    zones: BTreeMap<ZoneName, ZoneMembers>,
    suspects: BTreeSet<NodeId>,
    /// Incremented when a member becomes present or absent, or changes its incarnation.
    changes: u64,
    /// Incremented when the reach of a zone changes.
    reach_changes: u64,
}

impl MemberTable {
    /// Merges a claim. Returns whether it changed the member's state.
    ///
    /// A higher incarnation replaces a lower one regardless of status.
    pub fn merge(&mut self, claim: &MemberClaim, now: Micros) -> bool {
        let node = &claim.info.key.node;
        let before = self.members.get(node).map(|member| (member.status(), member.info.zone.clone()));
        let incarnation_before = self.members.get(node).map(|member| member.info.key.incarnation);
        let changed = self.merge_claim(claim, now);
        self.update_counts(node, before, now);
        let incarnation = self.members.get(node).map(|member| member.info.key.incarnation);
        self.changes += u64::from(incarnation != incarnation_before);
        changed
    }

    /// Updates the counts of present members and the set of suspects after a change to `node`.
    fn update_counts(&mut self, node: &NodeId, before: Option<(MemberStatus, ZoneName)>, now: Micros) {
        let is_present = |status| matches!(status, MemberStatus::Alive | MemberStatus::Suspect);
        let after = self.members.get(node).map(|member| (member.status(), member.info.zone.clone()));
        let after_status = after.as_ref().map(|(status, _)| *status);
        let has_failed = matches!(after_status, Some(MemberStatus::Suspect | MemberStatus::Dead));
        if let Some((MemberStatus::Alive, zone)) = &before
            && has_failed
        {
            self.zones.entry(zone.clone()).or_default().record_loss(now);
        }
        let zone_before = before.filter(|(status, _)| is_present(*status)).map(|(_, zone)| zone);
        let zone_after = after.filter(|(status, _)| is_present(*status)).map(|(_, zone)| zone);
        self.present -= usize::from(zone_before.is_some());
        self.present += usize::from(zone_after.is_some());
        self.changes += u64::from(zone_before.is_some() != zone_after.is_some());
        if zone_before != zone_after {
            self.update_zone_counts(zone_before, zone_after);
        }
        if after_status == Some(MemberStatus::Suspect) {
            self.suspects.insert(node.clone());
        } else {
            self.suspects.remove(node);
        }
    }

    fn update_zone_counts(&mut self, left: Option<ZoneName>, entered: Option<ZoneName>) {
        if let Some(members) = left.and_then(|zone| self.zones.get_mut(&zone)) {
            members.present -= 1;
        }
        if let Some(zone) = entered {
            self.zones.entry(zone).or_default().present += 1;
        }
    }

    fn merge_claim(&mut self, claim: &MemberClaim, now: Micros) -> bool {
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

    /// Marks a suspected member as dead. Returns the claim to spread, or `None` if the member is not suspected.
    pub fn expire_suspicion(&mut self, node: &NodeId, now: Micros) -> Option<MemberClaim> {
        let member = self.members.get_mut(node)?;
        if member.status() != MemberStatus::Suspect {
            return None;
        }
        member.lifecycle.handle(&MemberEvent::SuspicionExpired { now });
        let claim = member.claim();
        self.update_counts(node, Some((MemberStatus::Suspect, claim.info.zone.clone())), now);
        Some(claim)
    }

    /// Removes members that left before `limit`. Dead members are kept, since they may be partitioned and still use their
    /// share of fleet-wide limits. Beyond [`MAXIMUM_DEAD_MEMBERS`] those dead for the longest time are removed.
    pub fn remove_departed(&mut self, limit: Micros) {
        let has_left = |member: &Member| member.status() == MemberStatus::Leaving && member.since() < limit;
        self.members.retain(|_, member| !has_left(member));
        let dead = self.members.values().filter(|member| member.status() == MemberStatus::Dead);
        let mut dead: Vec<(Micros, NodeId)> =
            dead.map(|member| (member.since(), member.info.key.node.clone())).collect();
        dead.sort_unstable();
        let too_many = dead.len().saturating_sub(MAXIMUM_DEAD_MEMBERS);
        for (_, node) in dead.into_iter().take(too_many) {
            self.members.remove(&node);
        }
    }

    pub fn get(&self, node: &NodeId) -> Option<&Member> {
        self.members.get(node)
    }

    /// Records a direct message from a member and the configuration version it reported.
    pub fn record_contact(&mut self, key: &InstanceKey, version: Version, now: Micros) {
        if let Some(member) = self.members.get_mut(&key.node)
            && member.info.key == *key
        {
            member.version = member.version.max(version);
            member.last_contact = now;
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Iterates over the members that are alive or suspected.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.takes_work())
    }

    /// Number of members that are alive or suspected.
    pub fn present_count(&self) -> usize {
        self.present
    }

    /// Number of members of a zone that are alive or suspected.
    pub fn present_in(&self, zone: &ZoneName) -> usize {
        self.zones.get(zone).map_or(0, |members| members.present)
    }

    /// Recomputes the reach of all zones.
    pub fn update_reach(&mut self, now: Micros) {
        for members in self.zones.values_mut() {
            let before = members.reach;
            members.update_reach(now);
            self.reach_changes += u64::from(members.reach != before);
        }
    }

    /// A counter that is incremented when the reach of a zone changes.
    pub fn reach_changes(&self) -> u64 {
        self.reach_changes
    }

    /// The reach of zone `zone` from zone `own`.
    pub fn reach(&self, own: &ZoneName, zone: &ZoneName) -> Reach {
        let other = self.zones.get(zone).filter(|_| zone != own);
        other.map_or(Reach::Near, |members| members.reach)
    }

    /// Whether any zone other than `own` may be partitioned.
    pub fn has_uncertain_zone(&self, own: &ZoneName) -> bool {
        self.zones.iter().any(|(zone, members)| zone != own && members.reach == Reach::Uncertain)
    }

    /// Number of present members in other zones that are not [`Reach::Near`].
    pub fn remote_count(&self, own: &ZoneName) -> usize {
        let remote = self.zones.iter().filter(|(zone, members)| *zone != own && members.reach != Reach::Near);
        remote.map(|(_, members)| members.present).sum()
    }

    pub fn suspects(&self) -> impl Iterator<Item = &Member> {
        self.suspects.iter().filter_map(|node| self.members.get(node))
    }

    /// A counter that is incremented when the set of present members or an incarnation changes.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Number of known members, in any status.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}
