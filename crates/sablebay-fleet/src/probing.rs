//! The failure detector's cycle: one member a period, directly, then through others.

use std::collections::BTreeMap;

use rand::seq::SliceRandom;
use rand::{Rng, RngExt};

use sablebay_model::{InstanceKey, Micros, NodeId};

use crate::members::MemberTable;

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

/// The state of the cycle.
#[derive(Clone, Debug)]
pub struct ProbeCycle {
    period: Micros,
    next_probe_at: Micros,
    order: Vec<NodeId>,
    /// Ordered, so that what is decided depends on the seed alone.
    pending: BTreeMap<u64, PendingProbe>,
    next_sequence: u64,
}

impl ProbeCycle {
    /// A cycle that starts at a random point of its first period.
    pub fn new<R: Rng>(period: Micros, now: Micros, random: &mut R) -> Self {
        Self {
            period,
            next_probe_at: now.plus(Micros(random.random_range(0..=period.0))),
            order: Vec::new(),
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
    pub fn answered_through_others(&mut self, sequence: u64) {
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

    /// The next member in a shuffled round, so that each is probed once a round.
    fn next_target<R: Rng>(&mut self, members: &MemberTable, random: &mut R) -> Option<NodeId> {
        for _ in 0..2 {
            while let Some(node) = self.order.pop() {
                if members.get(&node).is_some_and(|member| member.takes_work()) {
                    return Some(node);
                }
            }
            self.order = members.present().map(|member| member.info.key.node.clone()).collect();
            self.order.sort_unstable();
            self.order.shuffle(random);
        }
        None
    }
}
