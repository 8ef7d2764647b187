//! A simulated fleet in one process and in virtual time. Each hollow node runs the fleet state machine
//! of a real node, without sockets, over a network that delays, reorders and drops messages.

use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use sablebay_config::{Configuration, Version};
use sablebay_fleet::{
    FleetMechanisms, FleetMessage, FleetNode, FleetOutput, FleetSettings, MemberClaim, MemberInfo,
    MemberStatus,
};
use sablebay_model::{Incarnation, InstanceKey, LeafId, Micros, NodeId, RegionName, ZoneName};
use sablebay_protocol::peer::PeerMessage;

/// Options of a hollow fleet.
#[derive(Clone, Debug)]
pub struct HollowOptions {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of zones, over all regions.
    pub zones: usize,
    /// Fraction of messages that are lost.
    pub loss: f64,
    pub probe_period: Micros,
    /// The enabled mechanisms.
    pub mechanisms: FleetMechanisms,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// One-way latency between nodes of one zone.
const ZONE_LATENCY: Micros = Micros(300);
/// One-way latency between zones of one region.
const REGION_LATENCY: Micros = Micros(1_000);
/// One-way latency between regions.
const WORLD_LATENCY: Micros = Micros(40_000);
/// Period of the timer of a node.
const TICK: Micros = Micros::from_millis(100);
/// Overhead in bytes of the framing and of the TCP/IP headers for each message.
const FRAME_BYTES: usize = 20 + 52;
/// Number of seed addresses of a replacement node.
const SEEDS: usize = 3;

struct HollowNode {
    machine: FleetNode,
    address: SocketAddr,
    key: InstanceKey,
    region: usize,
    paused_until: Micros,
    running: bool,
}

struct Event {
    at: Micros,
    order: u64,
    kind: EventKind,
}

enum EventKind {
    Tick(usize),
    Deliver { to: usize, from: InstanceKey, from_address: SocketAddr, message: FleetMessage },
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    /// Reversed, so that the max-heap pops the earliest event first.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// Message counters of a hollow fleet.
#[derive(Clone, Debug, Default)]
pub struct HollowReport {
    pub messages: u64,
    /// Bytes sent, framing included.
    pub bytes: u64,
    /// Messages and bytes sent, by kind of message.
    pub by_kind: BTreeMap<&'static str, (u64, u64)>,
    /// Bytes sent between zones.
    pub cross_zone_bytes: u64,
    /// Messages sent between zones.
    pub cross_zone_messages: u64,
    /// Number of times that a node declared a running member dead.
    pub false_deaths: u64,
}

/// A fleet of hollow nodes, identified by their positions.
pub struct HollowFleet {
    options: HollowOptions,
    nodes: Vec<HollowNode>,
    by_address: HashMap<SocketAddr, usize>,
    queue: BinaryHeap<Event>,
    order: u64,
    now: Micros,
    random: SmallRng,
    /// Counters since the report was last reset.
    pub report: HollowReport,
    cut_regions: Option<(usize, usize)>,
    cut_zone: Option<usize>,
}

impl HollowFleet {
    /// Creates a fleet in which every node already knows all members.
    pub fn new(options: HollowOptions) -> Self {
        let mut fleet = Self {
            random: SmallRng::seed_from_u64(options.seed),
            nodes: Vec::with_capacity(options.nodes),
            by_address: HashMap::new(),
            queue: BinaryHeap::new(),
            order: 0,
            now: Micros::from_secs(1_000),
            report: HollowReport::default(),
            cut_regions: None,
            cut_zone: None,
            options,
        };
        for _ in 0..fleet.options.nodes {
            fleet.add_node(Vec::new());
        }
        fleet.populate_members();
        fleet
    }

    /// Adds every node to the member table of every other node.
    fn populate_members(&mut self) {
        let claim = |node: &HollowNode| MemberClaim {
            info: node.machine.info().clone(),
            status: MemberStatus::Alive,
            refutation: 0,
        };
        let members: Vec<MemberClaim> = self.nodes.iter().map(claim).collect();
        for position in 0..self.nodes.len() {
            let mut ignored = Vec::new();
            let (key, address) = (self.nodes[position].key.clone(), self.nodes[position].address);
            let message = FleetMessage::Members { members: members.clone(), version: Version::default() };
            let node = &mut self.nodes[position].machine;
            node.on_message(&key, address, message, self.now, &mut ignored);
        }
    }

    fn add_node(&mut self, seeds: Vec<SocketAddr>) -> usize {
        let position = self.nodes.len();
        let ip = Ipv4Addr::from_bits(u32::from(Ipv4Addr::new(10, 0, 0, 0)) + position as u32);
        let address = SocketAddr::V4(SocketAddrV4::new(ip, 7_000));
        let zone = position % self.options.zones;
        let region = zone % self.options.regions;
        let key = InstanceKey {
            node: NodeId::new(format!("node-{position}")),
            incarnation: Incarnation::from_start(self.now.as_millis(), position as u32),
        };
        let info = MemberInfo {
            key: key.clone(),
            zone: ZoneName::new(format!("zone-{zone}")),
            region: RegionName::new(format!("region-{region}")),
            peer_address: address,
            caller_address: address,
            admin_address: address,
            gathers: false,
            takes_over: false,
            shares_quarantine: false,
            keeps_accounts: false,
            core_percent: 0,
        };
        let mut settings = FleetSettings::with_probe_period(self.options.probe_period);
        settings.mechanisms = self.options.mechanisms;
        let seed = self.random.random();
        let machine = FleetNode::new(info, settings, seeds, seed, self.now);
        let node = HollowNode { machine, address, key, region, paused_until: Micros(0), running: true };
        self.nodes.push(node);
        self.by_address.insert(address, position);
        let first = self.now.plus(Micros(self.random.random_range(0..TICK.0)));
        self.push(first, EventKind::Tick(position));
        position
    }

    fn push(&mut self, at: Micros, kind: EventKind) {
        self.order += 1;
        self.queue.push(Event { at, order: self.order, kind });
    }

    /// The current virtual time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Positions of the running nodes.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|position| self.nodes[*position].running).collect()
    }

    /// The state machine of a node.
    pub fn machine(&self, position: usize) -> &FleetNode {
        &self.nodes[position].machine
    }

    pub fn is_paused(&self, position: usize) -> bool {
        self.nodes[position].paused_until > self.now
    }

    /// The configuration version in force on a node.
    pub fn version(&self, position: usize) -> Version {
        self.nodes[position].machine.floor().version()
    }

    /// Offers a configuration to a node as if the node had read it from the platform.
    pub fn offer(&mut self, position: usize, configuration: &Arc<Configuration>) {
        let now = self.now;
        let mut outputs = Vec::new();
        let machine = &mut self.nodes[position].machine;
        if machine.may_take_from_platform(now) {
            machine.offer_from_platform(configuration.clone(), now, &mut outputs);
        }
        self.apply_outputs(position, outputs);
    }

    /// Crashes a node and starts a new one that knows a few running nodes as seeds. Returns the position
    /// of the new node.
    pub fn replace(&mut self, position: usize) -> usize {
        self.nodes[position].running = false;
        let running = self.running();
        let mut seeds = Vec::new();
        for _ in 0..SEEDS {
            let seed = running[self.random.random_range(0..running.len())];
            seeds.push(self.nodes[seed].address);
        }
        self.add_node(seeds)
    }

    /// Pauses a node for `duration`. Its timers and messages are delivered afterwards.
    pub fn pause(&mut self, position: usize, duration: Micros) {
        self.nodes[position].paused_until = self.now.plus(duration);
    }

    /// Drops all messages between two regions, or restores the network with `None`.
    pub fn set_cut(&mut self, regions: Option<(usize, usize)>) {
        self.cut_regions = regions;
    }

    /// Drops all messages between a zone and the others, or restores the network with `None`.
    pub fn set_cut_zone(&mut self, zone: Option<usize>) {
        self.cut_zone = zone;
    }

    pub fn zone(&self, position: usize) -> usize {
        position % self.options.zones
    }

    /// Stops a node without notice to the others.
    pub fn crash(&mut self, position: usize) {
        self.nodes[position].running = false;
    }

    /// Makes a node report a leaf as leaving.
    pub fn note_leaf(&mut self, position: usize, leaf: LeafId) {
        let mut outputs = Vec::new();
        self.nodes[position].machine.note_leaf(leaf, true, self.now.as_millis(), &mut outputs);
        self.apply_outputs(position, outputs);
    }

    /// Processes events up to the virtual time `until`.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(event) = self.queue.peek() {
            if event.at > until {
                break;
            }
            let event = self.queue.pop().expect("the queue was peeked above");
            self.now = event.at;
            self.handle(event.kind);
        }
        self.now = until;
    }

    fn handle(&mut self, kind: EventKind) {
        let position = match &kind {
            EventKind::Tick(position) => *position,
            EventKind::Deliver { to, .. } => *to,
        };
        if !self.nodes[position].running {
            return;
        }
        let paused_until = self.nodes[position].paused_until;
        if paused_until > self.now {
            self.push(paused_until, kind);
            return;
        }
        let mut outputs = Vec::new();
        let now = self.now;
        let machine = &mut self.nodes[position].machine;
        match kind {
            EventKind::Tick(_) => {
                machine.on_tick(now, &mut outputs);
                self.push(now.plus(TICK), EventKind::Tick(position));
            }
            EventKind::Deliver { from, from_address, message, .. } => {
                machine.on_message(&from, from_address, message, now, &mut outputs);
            }
        }
        self.apply_outputs(position, outputs);
    }

    fn apply_outputs(&mut self, position: usize, outputs: Vec<FleetOutput>) {
        for output in outputs {
            match output {
                FleetOutput::Send { to, message } => self.send(position, to, message),
                FleetOutput::MemberChanged(key, MemberStatus::Dead) => {
                    let runs = self.nodes.iter().any(|node| node.key == key && node.running);
                    self.report.false_deaths += u64::from(runs);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: FleetMessage) {
        let bytes = self.count(&message);
        let Some(receiver) = self.by_address.get(&to).copied() else {
            return;
        };
        let same_zone = self.zone(from) == self.zone(receiver);
        if !same_zone {
            self.report.cross_zone_messages += 1;
            self.report.cross_zone_bytes += bytes;
        }
        let (from_region, to_region) = (self.nodes[from].region, self.nodes[receiver].region);
        let cut_off = |position| self.cut_zone == Some(self.zone(position));
        let cut = cut_off(from) != cut_off(receiver);
        let cut = cut
            || self.cut_regions.is_some_and(|(first, second)| {
                (from_region, to_region) == (first, second) || (from_region, to_region) == (second, first)
            });
        let lost = self.random.random_bool(self.options.loss);
        if cut || lost || !self.nodes[receiver].running {
            return;
        }
        let base = match (same_zone, from_region == to_region) {
            (true, _) => ZONE_LATENCY,
            (_, true) => REGION_LATENCY,
            _ => WORLD_LATENCY,
        };
        let latency = Micros((base.0 as f64 * self.random.random_range(0.8..2.0)) as u64);
        let (key, from_address) = (self.nodes[from].key.clone(), self.nodes[from].address);
        let kind = EventKind::Deliver { to: receiver, from: key, from_address, message };
        self.push(self.now.plus(latency), kind);
    }

    fn count(&mut self, message: &FleetMessage) -> u64 {
        let name = match message {
            FleetMessage::Probe(_) => "probe",
            FleetMessage::ProbeAck { .. } => "probe_ack",
            FleetMessage::IndirectProbe { .. } | FleetMessage::IndirectAck { .. } => "indirect",
            FleetMessage::Gossip { .. } => "news",
            FleetMessage::ConfigurationDelta { .. } => "delta",
            FleetMessage::ConfigurationAnnounced { .. } => "announced",
            FleetMessage::ConfigurationRequest { .. } => "wanted",
            FleetMessage::ConfigurationPart(_) => "part",
            FleetMessage::MembersRequest => "members_wanted",
            FleetMessage::Members { .. } => "members",
        };
        let encoded = musli::wire::to_vec(&PeerMessage::Fleet(message.clone()));
        let bytes = encoded.map_or(0, |bytes| bytes.len() + FRAME_BYTES) as u64;
        self.report.messages += 1;
        self.report.bytes += bytes;
        let counted = self.report.by_kind.entry(name).or_default();
        counted.0 += 1;
        counted.1 += bytes;
        bytes
    }
}
