//! One node's part in the fleet: membership, rumours, configuration and freshness together.
//!
//! The same machine runs in a node behind sockets and, by the thousand, in simulations.

mod configuration;
mod membership;
mod spreading;

use std::net::SocketAddr;
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use sablebay_config::{Configuration, Version};
use sablebay_model::{InstanceKey, LeafId, Micros};

use self::spreading::Source;
use crate::floor::ConfigurationFloor;
use crate::lease::FreshnessLease;
use crate::leaving::LeavingLeaves;
use crate::member::{MemberInfo, MemberStatus};
use crate::members::MemberTable;
use crate::message::FleetMessage;
use crate::probing::ProbeCycle;
use crate::rumour::{LeafNotice, RumourQueue};
use crate::transfer::Assembly;

/// Timing of the protocols between nodes.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// One member is probed a period.
    pub probe_period: Micros,
    /// How long a confirmation of the configuration counts.
    pub lease: Micros,
    /// How many peers are told of urgent news at once.
    pub push_fan_out: usize,
    /// How long a starting node waits for its first peer before it goes on alone.
    pub join_timeout: Micros,
    /// Mechanisms that are on.
    pub mechanisms: FleetMechanisms,
}

/// Mechanisms that an experiment can turn off, to show that its checker notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetMechanisms {
    /// The floor under the configuration.
    pub floor: bool,
    /// Asking peers before a fresh node serves.
    pub ask_peers_first: bool,
    /// Sending a new configuration on at once.
    pub push: bool,
    /// Rumours about leaving leaves.
    pub leaf_rumours: bool,
}

impl Default for FleetMechanisms {
    fn default() -> Self {
        Self { floor: true, ask_peers_first: true, push: true, leaf_rumours: true }
    }
}

impl FleetSettings {
    /// Probe periods that a confirmation of the configuration counts for.
    const LEASE_PERIODS: u64 = 4;
    /// Peers that are told of urgent news at once.
    const PUSH_FAN_OUT: usize = 4;
    /// Probe periods that a starting node waits for its first peer.
    const JOIN_PERIODS: u64 = 60;

    /// Settings for a probe period, with the defaults for the rest.
    pub fn with_probe_period(probe_period: Micros) -> Self {
        Self {
            probe_period,
            lease: Micros(probe_period.0 * Self::LEASE_PERIODS),
            push_fan_out: Self::PUSH_FAN_OUT,
            join_timeout: Micros(probe_period.0 * Self::JOIN_PERIODS),
            mechanisms: FleetMechanisms::default(),
        }
    }
}

/// What the shell has to do or to know.
#[derive(Clone, Debug)]
pub enum FleetOutput {
    /// Send a message.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        message: FleetMessage,
    },
    /// A configuration is in force.
    Adopted(Arc<Configuration>),
    /// What is believed of a member changed.
    MemberChanged(InstanceKey, MemberStatus),
    /// A leaf is leaving, or has come back.
    LeafChanged(LeafId, bool),
    /// A revision was rejected somewhere.
    Rejected(Version),
}

/// One node's part in the fleet.
pub struct FleetNode {
    info: Arc<MemberInfo>,
    settings: FleetSettings,
    refutation: u32,
    leaving: bool,
    members: MemberTable,
    probes: ProbeCycle,
    rumours: RumourQueue,
    floor: ConfigurationFloor,
    lease: FreshnessLease,
    leaves: LeavingLeaves,
    assembly: Option<Assembly>,
    seeds: Vec<SocketAddr>,
    started_at: Micros,
    joined: bool,
    caught_up: bool,
    next_join_at: Micros,
    next_sync_at: Micros,
    requested_at: Option<Micros>,
    random: SmallRng,
    stale_messages: u64,
}

impl FleetNode {
    /// A node that has just started and knows its seeds alone.
    pub fn new(
        info: MemberInfo,
        settings: FleetSettings,
        seeds: Vec<SocketAddr>,
        seed: u64,
        now: Micros,
    ) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut floor = ConfigurationFloor::default();
        if !settings.mechanisms.floor {
            floor.turn_off();
        }
        Self {
            probes: ProbeCycle::new(info.zone.clone(), settings.probe_period, now, &mut random),
            lease: FreshnessLease::new(settings.lease),
            info: Arc::new(info),
            settings,
            refutation: 0,
            leaving: false,
            members: MemberTable::default(),
            rumours: RumourQueue::default(),
            floor,
            leaves: LeavingLeaves::default(),
            assembly: None,
            seeds,
            started_at: now,
            joined: false,
            caught_up: false,
            next_join_at: now,
            next_sync_at: now,
            requested_at: None,
            random,
            stale_messages: 0,
        }
    }

    /// This node as others know it.
    pub fn info(&self) -> &Arc<MemberInfo> {
        &self.info
    }

    /// The other members.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// The configuration, its floor, and what was rejected.
    pub fn floor(&self) -> &ConfigurationFloor {
        &self.floor
    }

    /// The leaves that are leaving.
    pub fn leaving_leaves(&self) -> &LeavingLeaves {
        &self.leaves
    }

    /// Messages of an earlier life of a member, which were ignored.
    pub fn stale_messages(&self) -> u64 {
        self.stale_messages
    }

    /// How long a confirmation counts.
    pub fn lease_length(&self) -> Micros {
        self.settings.lease
    }

    /// Whether the configuration was confirmed recently, and nothing newer is known of.
    pub fn is_fresh(&self, now: Micros) -> bool {
        self.lease.is_fresh(now) && !self.floor.lags()
    }

    /// How long ago the configuration was confirmed.
    pub fn confirmed_ago(&self, now: Micros) -> Option<Micros> {
        self.lease.age(now)
    }

    /// Whether the node may serve: it has a configuration, none newer is known of, and peers
    /// were asked or could not be reached.
    pub fn is_ready(&self, now: Micros) -> bool {
        let asked = self.joined || self.seeds.is_empty() || self.join_timed_out(now);
        let safe = (asked && self.caught_up) || !self.settings.mechanisms.ask_peers_first;
        self.floor.in_force().is_some() && safe
    }

    /// A starting node that knows of a newer version than it has waits for it, however long; one
    /// that has served goes on with what is in force.
    fn update_caught_up(&mut self) {
        self.caught_up |= self.floor.in_force().is_some() && !self.floor.lags();
    }

    fn join_timed_out(&self, now: Micros) -> bool {
        now.since(self.started_at) >= self.settings.join_timeout
    }

    /// Whether a configuration from the platform may be taken yet: a fresh node asks peers first.
    pub fn may_take_from_platform(&self, now: Micros) -> bool {
        let mechanisms = self.settings.mechanisms;
        self.joined || self.seeds.is_empty() || self.join_timed_out(now) || !mechanisms.ask_peers_first
    }

    /// Adds addresses to start from, such as the platform's list of machines gives.
    pub fn add_seeds(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            if address != self.info.peer_address && !self.seeds.contains(&address) {
                self.seeds.push(address);
            }
        }
    }

    /// Time has passed. Called several times a probe period.
    pub fn on_tick(&mut self, now: Micros, outputs: &mut Vec<FleetOutput>) {
        self.members.update_reach(now);
        self.tick_join(now, outputs);
        self.tick_probes(now, outputs);
        self.tick_suspicions(now, outputs);
        self.tick_sync(now, outputs);
        self.tick_configuration(now, outputs);
        self.update_caught_up();
    }

    /// A message came in.
    pub fn on_message(
        &mut self,
        from: &InstanceKey,
        from_address: SocketAddr,
        message: FleetMessage,
        now: Micros,
        outputs: &mut Vec<FleetOutput>,
    ) {
        let known = self.members.get(&from.node).map(|member| member.info.key.incarnation);
        if known.is_some_and(|incarnation| incarnation > from.incarnation) {
            self.stale_messages += 1;
            return;
        }
        match message {
            FleetMessage::Probe(probe) => self.on_probe(probe, now, outputs),
            FleetMessage::ProbeAck { sequence, version, rumours } => {
                self.on_probe_ack(from, sequence, version, rumours, now, outputs);
            }
            FleetMessage::IndirectProbe { sequence, target } => {
                self.on_indirect_probe(from, sequence, &target, now, outputs);
            }
            FleetMessage::IndirectAck { sequence } => {
                self.probes.acknowledged_indirectly(sequence);
            }
            FleetMessage::Gossip { rumours } => self.apply_rumours(rumours, from_address, now, outputs),
            FleetMessage::ConfigurationDelta { delta } => {
                self.on_delta(from_address, delta, now, outputs);
            }
            FleetMessage::ConfigurationAnnounced { version } => {
                self.on_peer_version(from_address, version, now, outputs);
            }
            FleetMessage::ConfigurationRequest { have } => {
                self.on_configuration_request(from_address, have, outputs)
            }
            FleetMessage::ConfigurationPart(part) => self.on_part(part, now, outputs),
            FleetMessage::MembersRequest => self.on_members_request(from_address, outputs),
            FleetMessage::Members { members, version } => {
                self.on_members(from_address, members, version, now, outputs);
            }
        }
    }

    /// Tells the fleet that a leaf is leaving or has come back. `stamp` is wall-clock time.
    pub fn note_leaf(&mut self, leaf: LeafId, leaving: bool, stamp: u64, outputs: &mut Vec<FleetOutput>) {
        let notice = LeafNotice { leaf, leaving, stamp };
        self.apply_leaf_notice(notice, Source::Local, outputs);
    }
}
