//! The fleet protocol of a node: membership, gossip, configuration and freshness.
//!
//! The state machine performs no I/O, so the same code runs in nodes and in simulations.

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

/// Settings of the fleet protocol.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Interval between probes. Each period probes one member.
    pub probe_period: Micros,
    /// How long a confirmation of the configuration is valid.
    pub lease: Micros,
    /// Number of peers that urgent updates are sent to immediately.
    pub push_fan_out: usize,
    /// How long a starting node waits for a peer before it continues without one.
    pub join_timeout: Micros,
    /// Enabled mechanisms.
    pub mechanisms: FleetMechanisms,
}

/// Mechanisms that experiments can disable, to verify that violations are detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetMechanisms {
    /// The configuration version floor.
    pub floor: bool,
    /// Querying peers before a starting node serves requests.
    pub ask_peers_first: bool,
    /// Pushing new configurations to peers immediately.
    pub push: bool,
    /// Gossip about leaving leaves.
    pub leaf_rumours: bool,
}

impl Default for FleetMechanisms {
    fn default() -> Self {
        Self { floor: true, ask_peers_first: true, push: true, leaf_rumours: true }
    }
}

impl FleetSettings {
    /// Duration of the freshness lease, in probe periods.
    const LEASE_PERIODS: u64 = 4;
    const PUSH_FAN_OUT: usize = 4;
    /// Join timeout, in probe periods.
    const JOIN_PERIODS: u64 = 60;

    /// Default settings for a probe period.
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

/// Actions and events for the caller of the state machine.
#[derive(Clone, Debug)]
pub enum FleetOutput {
    Send {
        to: SocketAddr,
        message: FleetMessage,
    },
    /// A configuration came into force.
    Adopted(Arc<Configuration>),
    /// A member's status changed.
    MemberChanged(InstanceKey, MemberStatus),
    /// A leaf is leaving (`true`) or has returned (`false`).
    LeafChanged(LeafId, bool),
    /// A revision was rejected by this or another node.
    Rejected(Version),
}

/// Fleet protocol state of a node.
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
    /// Creates a starting node that knows only its seeds. `seed` initializes the random generator.
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

    /// The metadata that this node announces.
    pub fn info(&self) -> &Arc<MemberInfo> {
        &self.info
    }

    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// The configuration, its floor, and the rejected revisions.
    pub fn floor(&self) -> &ConfigurationFloor {
        &self.floor
    }

    pub fn leaving_leaves(&self) -> &LeavingLeaves {
        &self.leaves
    }

    /// Number of messages ignored because they came from an earlier incarnation.
    pub fn stale_messages(&self) -> u64 {
        self.stale_messages
    }

    /// How long a confirmation is valid.
    pub fn lease_length(&self) -> Micros {
        self.settings.lease
    }

    /// Whether the freshness lease is valid and no newer configuration is known.
    pub fn is_fresh(&self, now: Micros) -> bool {
        self.lease.is_fresh(now) && !self.floor.lags()
    }

    /// Time since the configuration was last confirmed.
    pub fn confirmed_ago(&self, now: Micros) -> Option<Micros> {
        self.lease.age(now)
    }

    /// Whether the node may serve requests: it has a configuration, has caught up with the highest known
    /// version since it started, and its peers were queried or unreachable.
    pub fn is_ready(&self, now: Micros) -> bool {
        let asked = self.joined || self.seeds.is_empty() || self.join_timed_out(now);
        let safe = (asked && self.caught_up) || !self.settings.mechanisms.ask_peers_first;
        self.floor.in_force().is_some() && safe
    }

    /// Records whether the node has caught up. A starting node waits for the highest known version
    /// without a timeout; a node that caught up once keeps serving while it lags.
    fn update_caught_up(&mut self) {
        self.caught_up |= self.floor.in_force().is_some() && !self.floor.lags();
    }

    fn join_timed_out(&self, now: Micros) -> bool {
        now.since(self.started_at) >= self.settings.join_timeout
    }

    /// Whether a configuration from the platform may be adopted. A starting node queries its peers first.
    pub fn may_take_from_platform(&self, now: Micros) -> bool {
        let mechanisms = self.settings.mechanisms;
        self.joined || self.seeds.is_empty() || self.join_timed_out(now) || !mechanisms.ask_peers_first
    }

    /// Adds seed addresses, for example from the platform's machine list.
    pub fn add_seeds(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            if address != self.info.peer_address && !self.seeds.contains(&address) {
                self.seeds.push(address);
            }
        }
    }

    /// Runs periodic work. Must be called several times per probe period.
    pub fn on_tick(&mut self, now: Micros, outputs: &mut Vec<FleetOutput>) {
        self.members.update_reach(now);
        self.tick_join(now, outputs);
        self.tick_probes(now, outputs);
        self.tick_suspicions(now, outputs);
        self.tick_sync(now, outputs);
        self.tick_configuration(now, outputs);
        self.update_caught_up();
    }

    /// Processes a message from a peer.
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

    /// Announces that a leaf is leaving or has returned. `stamp` is wall-clock time in milliseconds.
    pub fn note_leaf(&mut self, leaf: LeafId, leaving: bool, stamp: u64, outputs: &mut Vec<FleetOutput>) {
        let notice = LeafNotice { leaf, leaving, stamp };
        self.apply_leaf_notice(notice, Source::Local, outputs);
    }
}
