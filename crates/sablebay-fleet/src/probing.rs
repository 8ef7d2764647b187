//! Failure detector: probes one member per period, directly and then indirectly.

use std::collections::BTreeMap;

use rand::seq::SliceRandom;
use rand::{Rng, RngExt};

use sablebay_model::{InstanceKey, Micros, NodeId, ZoneName};

use crate::members::{Member, MemberTable};
use crate::rumour::Reach;

/// One in this many probes goes to a self-monitoring zone. Detects partitioned zones while limiting
/// cross-zone traffic.
const FAR_PROBE_INTERVAL: u32 = 6;
/// The value of [`FAR_PROBE_INTERVAL`] while some zone may be partitioned.
const FAR_PROBE_INTERVAL_UNCERTAIN: u32 = 3;

/// An unacknowledged probe.
#[derive(Clone, Debug)]
pub struct PendingProbe {
    pub target: InstanceKey,
    pub sent_at: Micros,
    /// Whether indirect probes were requested.
    pub indirect: bool,
    /// The requester of an indirect probe, with its sequence number.
    pub on_behalf_of: Option<(NodeId, u64)>,
}

/// An action due at a tick.
#[derive(Clone, Debug, PartialEq)]
pub enum ProbeStep {
    /// Probe a member.
    Direct(NodeId),
    /// Ask other members to probe a member, with the sequence number of the direct probe.
    Indirect(NodeId, u64),
    /// A member acknowledged neither the direct nor an indirect probe.
    Failed(InstanceKey),
}

/// A shuffled list of members, each probed once per round.
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

/// Probing state.
#[derive(Clone, Debug)]
pub struct ProbeCycle {
    own_zone: ZoneName,
    period: Micros,
    next_probe_at: Micros,
    /// Members probed by this node's zone, and those of zones that may be partitioned.
    near: Round,
    /// Members of self-monitoring zones.
    far: Round,
    probes: u32,
    /// [`MemberTable::reach_changes`] when the rounds began.
    seen_reach_changes: u64,
    /// Ordered, so that decisions are deterministic for a given seed.
    pending: BTreeMap<u64, PendingProbe>,
    next_sequence: u64,
}

impl ProbeCycle {
    /// Creates a cycle whose first probe is due at a random time within one period.
    pub fn new<R: Rng>(own_zone: ZoneName, period: Micros, now: Micros, random: &mut R) -> Self {
        Self {
            own_zone,
            period,
            next_probe_at: now.plus(Micros(random.random_range(0..=period.0))),
            near: Round::default(),
            far: Round::default(),
            // Staggers cross-zone probes of nodes that start together.
            probes: random.random_range(0..FAR_PROBE_INTERVAL),
            seen_reach_changes: 0,
            pending: BTreeMap::new(),
            next_sequence: random.random::<u32>() as u64,
        }
    }

    /// Records a sent probe and returns its sequence number.
    pub fn sent(&mut self, target: InstanceKey, behalf: Option<(NodeId, u64)>, now: Micros) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let pending = PendingProbe { target, sent_at: now, indirect: false, on_behalf_of: behalf };
        self.pending.insert(sequence, pending);
        sequence
    }

    /// Completes a probe acknowledged by `from`. Returns `None` if `from` was not the target, since another
    /// node may have taken over the target's address.
    pub fn answered(&mut self, sequence: u64, from: &InstanceKey) -> Option<PendingProbe> {
        if self.pending.get(&sequence)?.target != *from {
            return None;
        }
        self.pending.remove(&sequence)
    }

    /// Completes a probe whose target was reached through another member.
    pub fn acknowledged_indirectly(&mut self, sequence: u64) {
        self.pending.remove(&sequence);
    }

    /// Returns the actions due at `now`.
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

    /// Selects the next probe target, usually a near one.
    fn next_target<R: Rng>(&mut self, members: &MemberTable, random: &mut R) -> Option<NodeId> {
        self.probes = self.probes.wrapping_add(1);
        // Start new rounds, so that members of a zone whose reach changed are probed without delay.
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
