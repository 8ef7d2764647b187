//! The failure detector's cycle: one member a period, directly, then through others.

use std::collections::BTreeMap;

use rand::seq::SliceRandom;
use rand::{Rng, RngExt};

use sablebay_model::{InstanceKey, Micros, NodeId, ZoneName};

use crate::members::{Member, MemberTable};
use crate::rumour::Reach;

/// One probe in this many goes to a zone that watches itself: enough to find within some periods that the zone
/// is cut off, while five in six probes cross no border between zones.
const FAR_PROBE_INTERVAL: u32 = 6;
/// That interval while some zone may be cut off: the others tell one another what they find.
const FAR_PROBE_INTERVAL_UNCERTAIN: u32 = 3;

/// A probe that has no answer yet.
#[derive(Clone, Debug)]
pub struct PendingProbe {
    /// Who was probed.
    pub target: InstanceKey,
    /// When.
    pub sent_at: Micros,
    /// Whether others were asked to probe it too.
    pub indirect: bool,
    /// On whose behalf, with their sequence number.
    pub on_behalf_of: Option<(NodeId, u64)>,
}

/// What the cycle decided at a tick.
#[derive(Clone, Debug, PartialEq)]
pub enum ProbeStep {
    /// Probe this member.
    Direct(NodeId),
    /// Ask others to probe this member, under the sequence number given.
    Indirect(NodeId, u64),
    /// This member did not answer at all.
    Failed(InstanceKey),
}

/// A shuffled round of members, so that each is probed once a round.
#[derive(Clone, Debug, Default)]
struct Round {
    remaining: Vec<NodeId>,
}

impl Round {
    fn next<'a, R: Rng>(
        &mut self,
        members: &'a MemberTable,
        takes_part: impl Fn(&Member) -> bool,
        random: &mut R,
    ) -> Option<NodeId> {
        for _ in 0..2 {
            while let Some(node) = self.remaining.pop() {
                let member = members.get(&node);
                if member.is_some_and(|member| member.takes_work() && takes_part(member)) {
                    return Some(node);
                }
            }
            let part: Vec<&'a Member> = members.present().filter(|member| takes_part(member)).collect();
            self.remaining = part.into_iter().map(|member| member.info.key.node.clone()).collect();
            self.remaining.sort_unstable();
            self.remaining.shuffle(random);
        }
        None
    }
}

/// The state of the cycle.
#[derive(Clone, Debug)]
pub struct ProbeCycle {
    own_zone: ZoneName,
    period: Micros,
    next_probe_at: Micros,
    /// Members that this node's zone watches, and those of zones that may be cut off.
    near: Round,
    /// Members of zones that watch themselves.
    far: Round,
    probes: u32,
    /// The table's count of changes of reach when the rounds began.
    seen_reach_changes: u64,
    /// Ordered, so that what is decided depends on the seed alone.
    pending: BTreeMap<u64, PendingProbe>,
    next_sequence: u64,
}

impl ProbeCycle {
    /// A cycle that starts at a random point of its first period.
    pub fn new<R: Rng>(own_zone: ZoneName, period: Micros, now: Micros, random: &mut R) -> Self {
        Self {
            own_zone,
            period,
            next_probe_at: now.plus(Micros(random.random_range(0..=period.0))),
            near: Round::default(),
            far: Round::default(),
            // Nodes that start together probe other zones at different times.
            probes: random.random_range(0..FAR_PROBE_INTERVAL),
            seen_reach_changes: 0,
            pending: BTreeMap::new(),
            next_sequence: random.random::<u32>() as u64,
        }
    }

    /// Notes a probe as sent, and returns its sequence number.
    pub fn sent(&mut self, target: InstanceKey, behalf: Option<(NodeId, u64)>, now: Micros) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let pending = PendingProbe { target, sent_at: now, indirect: false, on_behalf_of: behalf };
        self.pending.insert(sequence, pending);
        sequence
    }

    /// A probe was answered by `from`. Nothing when it was meant for somebody else: another node
    /// may listen at the address of one that is gone.
    pub fn answered(&mut self, sequence: u64, from: &InstanceKey) -> Option<PendingProbe> {
        if self.pending.get(&sequence)?.target != *from {
            return None;
        }
        self.pending.remove(&sequence)
    }

    /// Somebody else reached the member that was probed.
    pub fn acknowledged_indirectly(&mut self, sequence: u64) {
        self.pending.remove(&sequence);
    }

    /// What is due now.
    pub fn tick<R: Rng>(&mut self, members: &MemberTable, now: Micros, random: &mut R) -> Vec<ProbeStep> {
        let mut steps = self.overdue(now);
        if now >= self.next_probe_at {
            self.next_probe_at = now.plus(self.period);
            steps.extend(self.next_target(members, random).map(ProbeStep::Direct));
        }
        steps
    }

    fn overdue(&mut self, now: Micros) -> Vec<ProbeStep> {
        let direct_limit = Micros(self.period.0 / 2);
        let full_limit = Micros(self.period.0 * 2);
        let mut steps = Vec::new();
        self.pending.retain(|sequence, probe| {
            let age = now.since(probe.sent_at);
            let own = probe.on_behalf_of.is_none();
            if age >= full_limit {
                if own {
                    steps.push(ProbeStep::Failed(probe.target.clone()));
                }
                return false;
            }
            if own && !probe.indirect && age >= direct_limit {
                probe.indirect = true;
                steps.push(ProbeStep::Indirect(probe.target.node.clone(), *sequence));
            }
            true
        });
        steps
    }

    /// The next member: mostly one near.
    fn next_target<R: Rng>(&mut self, members: &MemberTable, random: &mut R) -> Option<NodeId> {
        self.probes = self.probes.wrapping_add(1);
        // The members of a zone that may be cut off do not wait for the end of a round.
        if self.seen_reach_changes != members.reach_changes() {
            self.seen_reach_changes = members.reach_changes();
            self.near = Round::default();
            self.far = Round::default();
        }
        let own_zone = &self.own_zone;
        let is_far = |member: &Member| members.reach(own_zone, &member.info.zone) == Reach::Far;
        let is_near = |member: &Member| !is_far(member);
        let has_uncertain = members.has_uncertain_zone(own_zone);
        let interval = if has_uncertain { FAR_PROBE_INTERVAL_UNCERTAIN } else { FAR_PROBE_INTERVAL };
        if self.probes.is_multiple_of(interval) {
            let far = self.far.next(members, is_far, random);
            far.or_else(|| self.near.next(members, is_near, random))
        } else {
            let near = self.near.next(members, is_near, random);
            near.or_else(|| self.far.next(members, is_far, random))
        }
    }
}
