//! Joining, probing, suspicion and gossip handling.

use std::net::SocketAddr;

use rand::RngExt;
use rand::seq::IteratorRandom;

use sablebay_config::Version;
use sablebay_model::{InstanceKey, Micros, NodeId, ZoneName};

use super::spreading::Source;
use super::{FleetNode, FleetOutput};
use crate::floor::Rejection;
use crate::member::MemberStatus;
use crate::members::{Member, MemberClaim};
use crate::message::{FleetMessage, Probe};
use crate::probing::ProbeStep;
use crate::rumour::{LeafNotice, Reach, Rumour};

/// Number of members asked to probe an unresponsive member.
const INDIRECT_PROBES: usize = 3;
/// Number of further members of a remote zone probed immediately when a member there is unresponsive. Further failures
/// repeat this, until all zones probe the zone.
const ZONE_NEIGHBOUR_PROBES: usize = 3;
/// Suspicion timeout in probe periods, multiplied by the decimal logarithm of the fleet size.
const SUSPICION_PERIODS: f64 = 3.0;
/// How long members that left are kept, so that stale rumours do not re-add them.
const LEFT_RETENTION: Micros = Micros::from_secs(300);
/// Minimum time between join attempts.
const JOIN_INTERVAL: Micros = Micros::from_millis(300);
/// Base interval between exchanges of the full member list, before jitter.
const MINIMUM_SYNC_INTERVAL: Micros = Micros::from_secs(30);
/// Added to the base interval per member, so that the exchange cost does not grow with the fleet.
const SYNC_INTERVAL_PER_MEMBER: Micros = Micros::from_millis(200);

impl FleetNode {
    pub(super) fn send(&self, to: SocketAddr, message: FleetMessage, outputs: &mut Vec<FleetOutput>) {
        outputs.push(FleetOutput::Send { to, message });
    }

    /// Addresses of up to `count` random present members.
    pub(super) fn random_peers(&mut self, count: usize) -> Vec<SocketAddr> {
        let present = self.members.present().map(|member| member.info.peer_address);
        present.sample(&mut self.random, count)
    }

    pub(super) fn tick_join(&mut self, now: Micros, outputs: &mut Vec<FleetOutput>) {
        let alone = self.members.present_count() == 0;
        if (self.joined && !alone) || now < self.next_join_at || self.leaving {
            return;
        }
        self.next_join_at = now.plus(JOIN_INTERVAL).plus(self.jitter(JOIN_INTERVAL));
        for seed in self.seeds.clone() {
            self.send(seed, FleetMessage::MembersRequest, outputs);
            let have = self.floor.version();
            self.send(seed, FleetMessage::ConfigurationRequest { have }, outputs);
        }
    }

    /// A random duration from zero to `limit`.
    pub(super) fn jitter(&mut self, limit: Micros) -> Micros {
        Micros(self.random.random_range(0..=limit.0))
    }

    pub(super) fn tick_probes(&mut self, now: Micros, outputs: &mut Vec<FleetOutput>) {
        for step in self.probes.tick(&self.members, now, &mut self.random) {
            match step {
                ProbeStep::Direct(node) => self.probe(&node, None, now, outputs),
                ProbeStep::Indirect(node, sequence) => self.probe_indirectly(node, sequence, outputs),
                ProbeStep::Failed(key) => self.suspect(&key, now, outputs),
            }
        }
    }

    fn probe(
        &mut self,
        node: &NodeId,
        behalf: Option<(NodeId, u64)>,
        now: Micros,
        outputs: &mut Vec<FleetOutput>,
    ) {
        let Some(member) = self.members.get(node) else {
            return;
        };
        let to = member.info.peer_address;
        let target = member.info.key.clone();
        let member_zone = member.info.zone.clone();
        let sequence = self.probes.sent(target, behalf, now);
        let reach = self.reach_of(&member_zone);
        let message = self.probe_message(sequence, reach);
        self.send(to, message, outputs);
    }

    fn probe_message(&mut self, sequence: u64, reach: Reach) -> FleetMessage {
        FleetMessage::Probe(Probe {
            sequence,
            info: self.info.clone(),
            refutation: self.refutation,
            version: self.floor.floor(),
            rumours: self.take_queued(reach),
        })
    }

    /// Probes `count` random members immediately, to confirm that no newer configuration is known.
    pub fn ask_for_confirmation(&mut self, count: usize, now: Micros, outputs: &mut Vec<FleetOutput>) {
        let present = self.members.present().map(|member| member.info.key.node.clone());
        let nodes: Vec<NodeId> = present.sample(&mut self.random, count);
        for node in nodes {
            self.probe(&node, None, now, outputs);
        }
    }

    fn probe_indirectly(&mut self, target: NodeId, sequence: u64, outputs: &mut Vec<FleetOutput>) {
        let helpers = self.members.present().filter(|member| member.info.key.node != target);
        let addresses = helpers.map(|member| member.info.peer_address);
        let chosen: Vec<SocketAddr> = addresses.sample(&mut self.random, INDIRECT_PROBES);
        for to in chosen {
            let message = FleetMessage::IndirectProbe { sequence, target: target.clone() };
            self.send(to, message, outputs);
        }
    }

    /// Handles a failed probe. The member is suspected, notified directly, and probed again while it is
    /// suspected, since gossip alone may not deliver its refutation before the suspicion timeout.
    fn suspect(&mut self, key: &InstanceKey, now: Micros, outputs: &mut Vec<FleetOutput>) {
        let Some(member) = self.members.get(&key.node) else {
            return;
        };
        if member.info.key != *key {
            return;
        }
        match member.status() {
            MemberStatus::Alive => {
                let claim = MemberClaim { status: MemberStatus::Suspect, ..member.claim() };
                let zone = claim.info.zone.clone();
                self.apply_member_claim(claim, Source::Local, now, outputs);
                self.probe_zone_neighbours(&zone, now, outputs);
            }
            MemberStatus::Suspect => {}
            _ => return,
        }
        self.notify_suspect(&key.node, outputs);
        self.probe(&key.node, None, now, outputs);
    }

    /// Probes other members of a remote zone immediately, to detect early whether the zone is partitioned.
    fn probe_zone_neighbours(&mut self, zone: &ZoneName, now: Micros, outputs: &mut Vec<FleetOutput>) {
        if self.reach_of(zone) != Reach::Far {
            return;
        }
        let is_neighbour =
            |member: &&Member| member.info.zone == *zone && member.status() == MemberStatus::Alive;
        let neighbours = self.members.iter().filter(is_neighbour);
        let nodes = neighbours
            .map(|member| member.info.key.node.clone())
            .sample(&mut self.random, ZONE_NEIGHBOUR_PROBES);
        for node in nodes {
            self.probe(&node, None, now, outputs);
        }
    }

    /// Notifies a suspected member of the suspicion, so that it can refute it.
    fn notify_suspect(&self, node: &NodeId, outputs: &mut Vec<FleetOutput>) {
        if let Some(member) = self.members.get(node) {
            let rumours = vec![Rumour::Member(member.claim())];
            self.send(member.info.peer_address, FleetMessage::Gossip { rumours }, outputs);
        }
    }

    pub(super) fn tick_suspicions(&mut self, now: Micros, outputs: &mut Vec<FleetOutput>) {
        let size = self.members.present_count() as f64 + 1.0;
        let periods = SUSPICION_PERIODS * size.log10().max(1.0);
        let timeout = Micros((self.settings.probe_period.0 as f64 * periods) as u64);
        let overdue: Vec<NodeId> = self
            .members
            .suspects()
            .filter(|member| now.since(member.since()) >= timeout)
            .map(|member| member.info.key.node.clone())
            .collect();
        for node in overdue {
            if let Some(claim) = self.members.expire_suspicion(&node, now) {
                outputs.push(FleetOutput::MemberChanged(claim.info.key.clone(), claim.status));
                self.queue(Rumour::Member(claim), Source::Local);
            }
        }
    }

    /// Periodically requests the full member list from a random member and probes a dead one. Repairs lost
    /// gossip and rejoins the sides of a healed partition.
    pub(super) fn tick_sync(&mut self, now: Micros, outputs: &mut Vec<FleetOutput>) {
        if now < self.next_sync_at || !self.joined || self.leaving {
            return;
        }
        let per_member = SYNC_INTERVAL_PER_MEMBER.0 * self.members.len() as u64;
        let interval = Micros(MINIMUM_SYNC_INTERVAL.0 + per_member);
        self.next_sync_at = now.plus(Micros(interval.0 / 2)).plus(self.jitter(interval));
        self.members.remove_departed(Micros(now.0.saturating_sub(LEFT_RETENTION.0)));
        for to in self.random_peers(1) {
            self.send(to, FleetMessage::MembersRequest, outputs);
        }
        self.probe_a_dead_member(now, outputs);
    }

    /// Probes a random dead member, which may be reachable again after a partition.
    fn probe_a_dead_member(&mut self, now: Micros, outputs: &mut Vec<FleetOutput>) {
        let gone = self.members.iter().filter(|member| member.status() == MemberStatus::Dead);
        let nodes = gone.map(|member| member.info.key.node.clone());
        if let Some(node) = nodes.choose(&mut self.random) {
            self.probe(&node, None, now, outputs);
        }
    }

    pub(super) fn on_probe(&mut self, probe: Probe, now: Micros, outputs: &mut Vec<FleetOutput>) {
        let from = probe.info.key.clone();
        let to = probe.info.peer_address;
        let reach = self.reach_of(&probe.info.zone);
        let claim =
            MemberClaim { info: probe.info, status: MemberStatus::Alive, refutation: probe.refutation };
        self.apply_member_claim(claim, Source::Received, now, outputs);
        self.notify_if_not_alive(&from, to, outputs);
        self.members.record_contact(&from, probe.version, now);
        self.apply_rumours(probe.rumours, to, now, outputs);
        let ack = FleetMessage::ProbeAck {
            sequence: probe.sequence,
            version: self.floor.floor(),
            rumours: self.take_queued(reach),
        };
        self.send(to, ack, outputs);
        self.on_peer_version(to, probe.version, now, outputs);
    }

    /// Sends a member its recorded status unless it is alive, so that it can refute the status.
    fn notify_if_not_alive(&self, key: &InstanceKey, to: SocketAddr, outputs: &mut Vec<FleetOutput>) {
        let Some(member) = self.members.get(&key.node) else {
            return;
        };
        if member.status() != MemberStatus::Alive {
            let rumours = vec![Rumour::Member(member.claim())];
            self.send(to, FleetMessage::Gossip { rumours }, outputs);
        }
    }

    pub(super) fn on_probe_ack(
        &mut self,
        from: &InstanceKey,
        sequence: u64,
        version: Version,
        rumours: Vec<Rumour>,
        now: Micros,
        outputs: &mut Vec<FleetOutput>,
    ) {
        self.members.record_contact(from, version, now);
        let address = self.members.get(&from.node).map(|member| member.info.peer_address);
        if let Some(address) = address {
            self.apply_rumours(rumours, address, now, outputs);
        }
        let Some(probe) = self.probes.answered(sequence, from) else {
            return;
        };
        if let Some(address) = address {
            self.on_peer_version(address, version, now, outputs);
        }
        if !self.floor.lags() {
            self.lease.confirm(probe.sent_at);
        }
        if let Some((asker, asked_sequence)) = probe.on_behalf_of
            && let Some(member) = self.members.get(&asker)
        {
            let to = member.info.peer_address;
            self.send(to, FleetMessage::IndirectAck { sequence: asked_sequence }, outputs);
        }
    }

    pub(super) fn on_indirect_probe(
        &mut self,
        from: &InstanceKey,
        sequence: u64,
        target: &NodeId,
        now: Micros,
        outputs: &mut Vec<FleetOutput>,
    ) {
        self.probe(target, Some((from.node.clone(), sequence)), now, outputs);
    }

    pub(super) fn on_members_request(&mut self, to: SocketAddr, outputs: &mut Vec<FleetOutput>) {
        let own = MemberClaim {
            info: self.info.clone(),
            status: if self.leaving { MemberStatus::Leaving } else { MemberStatus::Alive },
            refutation: self.refutation,
        };
        let known = self.members.iter().map(|member| member.claim());
        let members = std::iter::once(own).chain(known).collect();
        let version = self.floor.floor();
        self.send(to, FleetMessage::Members { members, version }, outputs);
        let notices: Vec<Rumour> = self.leaves.notices().map(Rumour::Leaf).collect();
        if !notices.is_empty() {
            self.send(to, FleetMessage::Gossip { rumours: notices }, outputs);
        }
    }

    pub(super) fn on_members(
        &mut self,
        from: SocketAddr,
        members: Vec<MemberClaim>,
        version: Version,
        now: Micros,
        outputs: &mut Vec<FleetOutput>,
    ) {
        if self.joined {
            let claims = members.into_iter().map(Rumour::Member).collect();
            self.apply_rumours(claims, from, now, outputs);
        } else {
            self.apply_initial_list(members, now, outputs);
        }
        self.on_peer_version(from, version, now, outputs);
        if !self.joined {
            self.joined = true;
            self.next_sync_at = now.plus(self.jitter(MINIMUM_SYNC_INTERVAL));
            self.ask_for_confirmation(INDIRECT_PROBES, now, outputs);
        }
    }

    /// Merges the first member list without spreading it. Other nodes already know its entries, and
    /// they would delay new rumours in the queue.
    fn apply_initial_list(&mut self, members: Vec<MemberClaim>, now: Micros, outputs: &mut Vec<FleetOutput>) {
        for claim in members.iter().filter(|claim| claim.info.key.node != self.info.key.node) {
            if self.members.merge(claim, now) {
                outputs.push(FleetOutput::MemberChanged(claim.info.key.clone(), claim.status));
            }
        }
    }

    pub(super) fn apply_rumours(
        &mut self,
        rumours: Vec<Rumour>,
        from: SocketAddr,
        now: Micros,
        outputs: &mut Vec<FleetOutput>,
    ) {
        for rumour in rumours {
            match rumour {
                Rumour::Member(claim) if claim.info.key == self.info.key => {
                    self.refute(&claim, from, outputs);
                }
                Rumour::Member(claim) => self.apply_member_claim(claim, Source::Received, now, outputs),
                Rumour::Leaf(notice) => self.apply_leaf_notice(notice, Source::Received, outputs),
                Rumour::Rejected { version, by, findings } => {
                    let rejection = Rejection { version, by: by.to_string(), findings };
                    self.apply_rejection(rejection, by, outputs);
                }
            }
        }
    }

    pub(super) fn apply_member_claim(
        &mut self,
        claim: MemberClaim,
        source: Source,
        now: Micros,
        outputs: &mut Vec<FleetOutput>,
    ) {
        if claim.info.key.node == self.info.key.node {
            return;
        }
        let before = self.members.get(&claim.info.key.node).map(|member| member.status());
        if !self.members.merge(&claim, now) {
            return;
        }
        let status = claim.status;
        if before != Some(status) {
            outputs.push(FleetOutput::MemberChanged(claim.info.key.clone(), status));
        }
        self.spread(Rumour::Member(claim), source, outputs);
    }

    /// Refutes a claim that this node is suspected, dead or leaving. The sender is always answered
    /// directly, since it may have missed an earlier refutation.
    fn refute(&mut self, claim: &MemberClaim, from: SocketAddr, outputs: &mut Vec<FleetOutput>) {
        if claim.status == MemberStatus::Alive || self.leaving {
            return;
        }
        if claim.refutation >= self.refutation {
            self.refutation = claim.refutation + 1;
            self.announce_alive(outputs);
        }
        let rumours = vec![Rumour::Member(self.own_claim(MemberStatus::Alive))];
        self.send(from, FleetMessage::Gossip { rumours }, outputs);
    }

    pub(super) fn own_claim(&self, status: MemberStatus) -> MemberClaim {
        MemberClaim { info: self.info.clone(), status, refutation: self.refutation }
    }

    pub(super) fn apply_leaf_notice(
        &mut self,
        notice: LeafNotice,
        source: Source,
        outputs: &mut Vec<FleetOutput>,
    ) {
        if !self.leaves.merge(&notice) {
            return;
        }
        outputs.push(FleetOutput::LeafChanged(notice.leaf.clone(), notice.leaving));
        if self.settings.mechanisms.leaf_rumours {
            self.spread(Rumour::Leaf(notice), source, outputs);
        }
    }

    /// Announces that this node is stopping.
    pub fn leave(&mut self, outputs: &mut Vec<FleetOutput>) {
        self.leaving = true;
        let claim = self.own_claim(MemberStatus::Leaving);
        self.spread(Rumour::Member(claim), Source::Local, outputs);
    }

    /// Reverts [`FleetNode::leave`], when the node is undrained before it stops.
    pub fn cancel_leave(&mut self, outputs: &mut Vec<FleetOutput>) {
        self.leaving = false;
        self.refutation += 1;
        self.announce_alive(outputs);
    }

    /// Whether the node has announced that it is stopping.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether no other member is present.
    pub fn is_alone(&self) -> bool {
        self.members.present_count() == 0
    }
}
