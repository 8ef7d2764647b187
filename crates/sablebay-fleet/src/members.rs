//! The table of members.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use musli::{Decode, Encode};
use statig::blocking::{IntoStateMachineExt, StateMachine};

use sablebay_config::Version;
use sablebay_model::{InstanceKey, Micros, NodeId, ZoneName};

use crate::member::{MemberEvent, MemberInfo, MemberLifecycle, MemberStatus};
use crate::rumour::Reach;

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
    pub last_contact: Micros,
    life: StateMachine<MemberLifecycle>,
}

impl Member {
    fn new(claim: &MemberClaim, now: Micros) -> Self {
        let life = MemberLifecycle { refutation: 0, since: now };
        let mut member = Self {
            info: claim.info.clone(),
            version: Version::default(),
            last_contact: Micros(0),
            life: life.state_machine(),
        };
        member.claimed(claim.status, claim.refutation, now);
        member
    }

    fn claimed(&mut self, status: MemberStatus, refutation: u32, now: Micros) -> bool {
        let before = (self.status(), self.refutation());
        self.life.handle(&MemberEvent::Claimed { status, refutation, now });
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

/// Times that members of a zone fell silent within [`LOSS_WINDOW`], the same one counted again, from which on all zones watch it: it may be cut off,
/// and then none of its members can say so.
const SUSPICIOUS_LOSSES: usize = 3;
/// How long a loss counts for that: longer than a suspicion lasts in a fleet of a thousand at a probe a second.
const LOSS_WINDOW: Micros = Micros::from_secs(10);
/// Members that fell silent which are remembered, about 300 bytes each: more than half of any fleet.
const MAXIMUM_DEAD_MEMBERS: usize = 4_096;
/// Present members from which on a zone finds its own dead: fewer are probed from all zones, or the death of
/// most of them would go unnoticed for many periods.
const SELF_MONITORING_MEMBERS: usize = 8;

/// What is known of the members of one zone together.
#[derive(Clone, Debug)]
struct ZoneMembers {
    present: usize,
    /// When members that were alive last fell silent, oldest first.
    lost_at: VecDeque<Micros>,
    /// How far it is from every other zone, as of the last look at the clock.
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

/// Every member known, without this node itself. Ordered, so that draws from it depend on the seed
/// alone.
#[derive(Clone, Default)]
pub struct MemberTable {
    members: BTreeMap<NodeId, Member>,
    present: usize,
    zones: BTreeMap<ZoneName, ZoneMembers>,
    suspects: BTreeSet<NodeId>,
    /// Rises whenever a member comes, goes, or begins another life.
    changes: u64,
    /// Rises whenever a zone is at another reach.
    reach_changes: u64,
}

impl MemberTable {
    /// Takes a claim in. Returns whether it was news.
    ///
    /// A higher incarnation replaces a lower one whatever its status: it is another life.
    pub fn merge(&mut self, claim: &MemberClaim, now: Micros) -> bool {
        let node = &claim.info.key.node;
        let before = self.members.get(node).map(|member| (member.status(), member.info.zone.clone()));
        let life_before = self.members.get(node).map(|member| member.info.key.incarnation);
        let news = self.merge_claim(claim, now);
        self.update_counts(node, before, now);
        let life = self.members.get(node).map(|member| member.info.key.incarnation);
        self.changes += u64::from(life != life_before);
        news
    }

    /// Keeps the counts of present members and the set of suspects up to date.
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

    /// Ends a suspicion that was not refuted. Returns the claim to spread, if it was one.
    pub fn expire_suspicion(&mut self, node: &NodeId, now: Micros) -> Option<MemberClaim> {
        let member = self.members.get_mut(node)?;
        if member.status() != MemberStatus::Suspect {
            return None;
        }
        member.life.handle(&MemberEvent::SuspicionExpired { now });
        let claim = member.claim();
        self.update_counts(node, Some((MemberStatus::Suspect, claim.info.zone.clone())), now);
        Some(claim)
    }

    /// Forgets members that left before `limit`. Those that fell silent are remembered: they may be cut off, and what is
    /// bounded for the fleet is theirs as well. Beyond [`MAXIMUM_DEAD_MEMBERS`] of them the one silent for longest goes first.
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

    /// One member.
    pub fn get(&self, node: &NodeId) -> Option<&Member> {
        self.members.get(node)
    }

    /// Records a direct word of a member, and the configuration it reported.
    pub fn record_contact(&mut self, key: &InstanceKey, version: Version, now: Micros) {
        if let Some(member) = self.members.get_mut(&key.node)
            && member.info.key == *key
        {
            member.version = member.version.max(version);
            member.last_contact = now;
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

    /// How many members of a zone are alive or suspected.
    pub fn present_in(&self, zone: &ZoneName) -> usize {
        self.zones.get(zone).map_or(0, |members| members.present)
    }

    /// Looks which zones watch themselves: time has passed.
    pub fn update_reach(&mut self, now: Micros) {
        for members in self.zones.values_mut() {
            let before = members.reach;
            members.update_reach(now);
            self.reach_changes += u64::from(members.reach != before);
        }
    }

    /// A number that rises whenever a zone is at another reach.
    pub fn reach_changes(&self) -> u64 {
        self.reach_changes
    }

    /// How far zone `zone` is from zone `own`.
    pub fn reach(&self, own: &ZoneName, zone: &ZoneName) -> Reach {
        let other = self.zones.get(zone).filter(|_| zone != own);
        other.map_or(Reach::Near, |members| members.reach)
    }

    /// Whether another zone than `own` may be cut off.
    pub fn has_uncertain_zone(&self, own: &ZoneName) -> bool {
        self.zones.iter().any(|(zone, members)| zone != own && members.reach == Reach::Uncertain)
    }

    /// How many present members are not near zone `own`.
    pub fn remote_count(&self, own: &ZoneName) -> usize {
        let remote = self.zones.iter().filter(|(zone, members)| *zone != own && members.reach != Reach::Near);
        remote.map(|(_, members)| members.present).sum()
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
