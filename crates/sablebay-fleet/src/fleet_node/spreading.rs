//! How news spread: widely among the members of a zone, and over its border a bounded number of times.

use std::net::SocketAddr;

use rand::RngExt;
use rand::seq::IteratorRandom;

use sablebay_model::ZoneName;

use super::{FleetNode, FleetOutput};
use crate::member::MemberStatus;
use crate::message::FleetMessage;
use crate::rumour::{Reach, Rumour};

/// Nodes of a zone that pass a rumour on over its border, on average: whatever the size of the zone, it crosses
/// as often. Where all of them fail at once, the exchange of member lists mends it.
const CROSS_ZONE_RELAYS: usize = 6;
/// Times that each of them does so: two of three messages may be lost.
const CROSS_ZONE_SENDS: u32 = 3;
/// Members near that are told of urgent news beyond the configured number. A message inside a zone costs next to
/// nothing. With the default fan-out each teller tells six, and a member stays untold with a probability of e^-6, one in
/// four hundred; it hears by a probe.
const EXTRA_NEAR_PUSHES: usize = 2;
/// Members of other zones that one of those nodes tells of urgent news at once: with the number of these, about one in
/// each zone of a fleet of a dozen zones, which spread it on inside.
const FAR_PUSHES: usize = 3;

/// Where a node learned a piece of news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// It saw it itself: nobody else may know.
    Local,
    /// It was told.
    Received,
}

impl FleetNode {
    /// How far a member of a zone is.
    pub(super) fn reach_of(&self, zone: &ZoneName) -> Reach {
        self.members.reach(&self.info.zone, zone)
    }

    /// The rumours that ride on one message.
    pub(super) fn take_queued(&mut self, reach: Reach) -> Vec<Rumour> {
        self.rumours.take(self.members.len(), reach)
    }

    /// Passes news on: with the next probes, and at once when it is urgent.
    pub(super) fn spread(&mut self, rumour: Rumour, source: Source, outputs: &mut Vec<FleetOutput>) {
        let cross_zone = self.queue(rumour.clone(), source);
        if rumour.is_urgent() {
            self.push(&rumour, cross_zone, outputs);
        } else if source == Source::Local {
            self.push_far(&rumour, outputs);
        }
    }

    /// Has news ride on the next probes. Returns whether this node takes them to other zones.
    pub(super) fn queue(&mut self, rumour: Rumour, source: Source) -> bool {
        let cross_zone = self.draw_cross_zone(source);
        self.rumours.add(rumour, if cross_zone { CROSS_ZONE_SENDS } else { 0 });
        cross_zone
    }

    fn draw_cross_zone(&mut self, source: Source) -> bool {
        let zone_size = self.members.present_in(&self.info.zone) + 1;
        let has_remote = self.members.remote_count(&self.info.zone) > 0;
        has_remote && (source == Source::Local || self.random.random_range(0..zone_size) < CROSS_ZONE_RELAYS)
    }

    /// Tells a few members at once.
    fn push(&mut self, rumour: &Rumour, cross_zone: bool, outputs: &mut Vec<FleetOutput>) {
        let near_pushes = self.settings.push_fan_out + EXTRA_NEAR_PUSHES;
        for to in self.peers_where(|reach| reach == Reach::Near, near_pushes) {
            self.send(to, FleetMessage::Gossip { rumours: vec![rumour.clone()] }, outputs);
        }
        if cross_zone {
            self.push_far(rumour, outputs);
        }
    }

    /// Tells a few members of other zones at once: there are seldom messages to them that it could ride on.
    fn push_far(&mut self, rumour: &Rumour, outputs: &mut Vec<FleetOutput>) {
        for to in self.peers_where(|reach| reach != Reach::Near, FAR_PUSHES) {
            self.send(to, FleetMessage::Gossip { rumours: vec![rumour.clone()] }, outputs);
        }
    }

    /// Addresses of `count` present members whose reach is wanted, drawn at random.
    fn peers_where(&mut self, wanted: impl Fn(Reach) -> bool, count: usize) -> Vec<SocketAddr> {
        let (members, own_zone) = (&self.members, &self.info.zone);
        let within = members.present().filter(|member| wanted(members.reach(own_zone, &member.info.zone)));
        within.map(|member| member.info.peer_address).sample(&mut self.random, count)
    }

    /// Tells a few members at once that this node lives, and the rest with its probes.
    ///
    /// There is little time until a suspected member is believed dead. Those who are told pass it
    /// on with their probes alone: after a cut half of the fleet refutes at once.
    pub(super) fn announce_alive(&mut self, outputs: &mut Vec<FleetOutput>) {
        let rumour = Rumour::Member(self.own_claim(MemberStatus::Alive));
        let cross_zone = self.queue(rumour.clone(), Source::Local);
        self.push(&rumour, cross_zone, outputs);
    }
}
