//! Gossip dissemination: epidemic within a zone, with a bounded number of sends between zones.

use std::net::SocketAddr;

use rand::RngExt;
use rand::seq::IteratorRandom;

use sablebay_model::ZoneName;

use super::{FleetNode, FleetOutput};
use crate::member::MemberStatus;
use crate::message::FleetMessage;
use crate::rumour::{Reach, Rumour};

/// Average number of nodes per zone that relay a rumour to other zones, independent of the zone's size. If all of
/// them fail, the periodic exchange of member lists repairs the loss.
const CROSS_ZONE_RELAYS: usize = 6;
/// Number of cross-zone sends per relay, to tolerate message loss.
const CROSS_ZONE_SENDS: u32 = 3;
/// Near members that receive urgent updates in addition to the configured fan-out. With the default fan-out of 4, a
/// push misses a member with a probability of about e^-6; probes reach the remaining members.
const EXTRA_NEAR_PUSHES: usize = 2;
/// Members of other zones that each relay sends urgent updates to immediately. The relays together reach about one
/// member per zone in a fleet of a dozen zones.
const FAR_PUSHES: usize = 3;

/// The origin of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// Observed by this node. No other node may know of it.
    Local,
    /// Received from a peer.
    Received,
}

impl FleetNode {
    /// The reach of a zone from this node.
    pub(super) fn reach_of(&self, zone: &ZoneName) -> Reach {
        self.members.reach(&self.info.zone, zone)
    }

    /// Takes the rumours to piggyback on one message.
    pub(super) fn take_queued(&mut self, reach: Reach) -> Vec<Rumour> {
        self.rumours.take(self.members.len(), reach)
    }

    /// Spreads a rumour with the next probes, and immediately if it is urgent. Non-urgent local rumours are sent
    /// to other zones immediately.
    pub(super) fn spread(&mut self, rumour: Rumour, source: Source, outputs: &mut Vec<FleetOutput>) {
        let cross_zone = self.queue(rumour.clone(), source);
        if rumour.is_urgent() {
            self.push(&rumour, cross_zone, outputs);
        } else if source == Source::Local {
            self.push_far(&rumour, outputs);
        }
    }

    /// Queues a rumour for the next probes. Returns whether this node relays it to other zones.
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

    /// Sends a rumour immediately to random near members, and to other zones if `cross_zone` is set.
    fn push(&mut self, rumour: &Rumour, cross_zone: bool, outputs: &mut Vec<FleetOutput>) {
        let near_pushes = self.settings.push_fan_out + EXTRA_NEAR_PUSHES;
        for to in self.peers_where(|reach| reach == Reach::Near, near_pushes) {
            self.send(to, FleetMessage::Gossip { rumours: vec![rumour.clone()] }, outputs);
        }
        if cross_zone {
            self.push_far(rumour, outputs);
        }
    }

    /// Sends a rumour immediately to random members of other zones, since probes to them are infrequent.
    fn push_far(&mut self, rumour: &Rumour, outputs: &mut Vec<FleetOutput>) {
        for to in self.peers_where(|reach| reach != Reach::Near, FAR_PUSHES) {
            self.send(to, FleetMessage::Gossip { rumours: vec![rumour.clone()] }, outputs);
        }
    }

    /// Addresses of up to `count` random present members whose reach satisfies `wanted`.
    fn peers_where(&mut self, wanted: impl Fn(Reach) -> bool, count: usize) -> Vec<SocketAddr> {
        let (members, own_zone) = (&self.members, &self.info.zone);
        let within = members.present().filter(|member| wanted(members.reach(own_zone, &member.info.zone)));
        within.map(|member| member.info.peer_address).sample(&mut self.random, count)
    }

    /// Announces that this node is alive, immediately to some members and to the rest with its probes.
    ///
    /// The immediate sends meet the suspicion timeout. Receivers forward the refutation only with
    /// probes, since many nodes refute at the same time after a partition heals.
    pub(super) fn announce_alive(&mut self, outputs: &mut Vec<FleetOutput>) {
        let rumour = Rumour::Member(self.own_claim(MemberStatus::Alive));
        let cross_zone = self.queue(rumour.clone(), Source::Local);
        self.push(&rumour, cross_zone, outputs);
    }
}
