//! What surrounds the nodes in a soak: store, back ends, and a proxy on every way.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use sablebay_catalogue::{Replica, ReplicaPhase, ServiceName};
use sablebay_model::ZoneName;
use sablebay_platform_standin::{
    CallerCall, CallerStandIn, LeafBehaviour, LeafCall, LeafIdentity, LeafRecord, LeafStandIn,
    RestartingLeaf, StoreMode, StoreStandIn,
};
use sablebay_standin::{Faults, Proxy};

use super::SoakOptions;
use super::checker::Checker;
use super::node::{NodePlan, SoakNode};
use super::routes::{
    FATAL_PATH, SETS, SHARDS, ShardIdentity, configuration, fragile_service, shard_service, single_service,
};
use super::schedule::Fault;
use super::tenants::{KeyHistory, tenants};
use crate::error::BenchError;
use crate::processes::NodeCommand;

/// Nodes of a soak.
pub const NODES: usize = 3;
/// Replicas of each shard, and of the service of single requests.
const REPLICAS: u8 = 2;
/// The zones of back ends; the nodes are in the first.
pub const ZONES: [&str; 2] = ["zone-a", "zone-b"];
/// All back ends.
pub const LEAVES: usize = (SETS * SHARDS * REPLICAS + REPLICAS) as usize;
/// What the records of single requests are made from; unlike every shard's.
const SINGLE_SEED: u8 = 250;
/// Back ends that end under some requests.
const FRAGILE_REPLICAS: u8 = 3;
/// How long one of these is gone.
const FRAGILE_RESTART_DELAY: Duration = Duration::from_millis(300);
/// The time between two writers that write again after a return of the store, and how many turns there are: two seconds.
const REWRITE_PERIOD: Duration = Duration::from_millis(250);
const REWRITE_SLOTS: u32 = 9;
/// How long a process may take to end, or to become ready.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(30);

/// A way between two parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// From callers to a node.
    Callers(usize),
    /// From a node to the store.
    Store(usize),
    /// From other nodes to a node.
    Peers(usize),
    /// From all nodes to a back end.
    Leaf(usize),
}

/// A back end with the proxy before it.
struct SoakLeaf {
    leaf: LeafStandIn,
    proxy: Proxy,
    /// As announced: with the proxy's address.
    announced: Replica,
}

/// One place for a node, with the proxies around it. The process in it comes and goes.
struct NodeSlot {
    plan: NodePlan,
    callers: Proxy,
    store: Proxy,
    peers: Proxy,
    process: Option<SoakNode>,
    /// Whether the process was told to stop.
    stopping: bool,
    /// Counts the lives of the place.
    incarnation: u64,
}

/// What ends at a time.
enum Recovery {
    Resume(usize),
    Start(usize),
    Heal(Link),
    Store,
    RestoreStore,
    Rewrite(String),
    Leaf(usize),
}

/// Everything that surrounds the nodes, and the nodes.
pub struct SoakDeployment {
    command: NodeCommand,
    store: StoreStandIn,
    leaves: Vec<SoakLeaf>,
    /// Records of back ends that left.
    retired: Vec<LeafRecord>,
    /// Back ends that end under some requests, and are started again. No proxy stands before them: it would take
    /// connections for a process that is not there.
    fragile: Vec<RestartingLeaf>,
    slots: Vec<NodeSlot>,
    recoveries: Vec<(Instant, Recovery)>,
    version: u64,
    set: u8,
    /// Whether the guest has its key.
    with_guest: bool,
    keys: KeyHistory,
    incarnations: u32,
    seed: u64,
    /// Holds what is seen against the promises.
    pub checker: Arc<Checker>,
}

impl SoakDeployment {
    /// Starts everything.
    ///
    /// # Errors
    /// When a stand-in or a node does not start.
    pub async fn start(options: &SoakOptions, checker: Arc<Checker>) -> Result<Self, BenchError> {
        let mut deployment = Self {
            command: NodeCommand::with_break(options.broken.as_deref())?,
            store: StoreStandIn::start().await?,
            leaves: Vec::new(),
            retired: Vec::new(),
            fragile: Vec::new(),
            slots: Vec::new(),
            recoveries: Vec::new(),
            version: 0,
            set: 0,
            with_guest: true,
            keys: KeyHistory::default(),
            incarnations: 0,
            seed: options.seed,
            checker,
        };
        for set in 0..SETS {
            for shard in 0..SHARDS {
                for copy in 0..REPLICAS {
                    let leaf = deployment.start_leaf(&shard_service(set, shard), set, shard, copy).await?;
                    deployment.leaves.push(leaf);
                }
            }
        }
        for copy in 0..REPLICAS {
            let leaf = deployment.start_leaf(&single_service(), SETS, 0, copy).await?;
            deployment.leaves.push(leaf);
        }
        for copy in 0..FRAGILE_REPLICAS {
            let leaf = deployment.start_fragile(copy).await?;
            deployment.fragile.push(leaf);
        }
        deployment.publish();
        deployment.start_slots(options.logs.clone()).await?;
        Ok(deployment)
    }

    async fn start_leaf(
        &mut self,
        service: &ServiceName,
        set: u8,
        shard: u8,
        copy: u8,
    ) -> Result<SoakLeaf, BenchError> {
        self.incarnations += 1;
        let id = format!("{set}-{shard}-{copy}-{}", self.incarnations);
        let seed = if set < SETS { ShardIdentity { set, shard }.seed() } else { SINGLE_SEED + copy };
        let zone = ZONES[usize::from(copy) % ZONES.len()];
        let leaf = LeafStandIn::start(&id, service, seed, zone).await?;
        let proxy =
            Proxy::start(leaf.address(), self.seed.wrapping_add(u64::from(self.incarnations))).await?;
        let announced = Replica { address: proxy.address, ..leaf.replica.clone() };
        self.store.announce(&announced);
        Ok(SoakLeaf { leaf, proxy, announced })
    }

    async fn start_fragile(&self, copy: u8) -> Result<RestartingLeaf, BenchError> {
        let identity = LeafIdentity {
            name: format!("fragile-{copy}"),
            // One of them starts again under its name.
            keeps_name: copy % 2 == 1,
            service: fragile_service(),
            shard: SINGLE_SEED + REPLICAS + copy,
            zone: ZONES[0].to_string(),
        };
        let behaviour = LeafBehaviour::EndsOn(FATAL_PATH);
        Ok(RestartingLeaf::start(identity, behaviour, FRAGILE_RESTART_DELAY, self.store.registry()).await?)
    }

    /// How often back ends ended under a request.
    pub fn fragile_crashes(&self) -> u32 {
        self.fragile.iter().map(RestartingLeaf::ended).sum()
    }

    async fn start_slots(&mut self, folder: PathBuf) -> Result<(), BenchError> {
        for position in 0..NODES {
            let seed = self.seed.wrapping_add(1_000 + position as u64);
            let callers = Proxy::start_without_target(seed).await?;
            let store = Proxy::start(self.store.address, seed).await?;
            let peers = Proxy::start_without_target(seed).await?;
            let plan = NodePlan {
                name: format!("node-{position}"),
                advertised: peers.address,
                store: store.address,
                peers: Vec::new(),
                folder: folder.clone(),
            };
            self.slots.push(NodeSlot {
                plan,
                callers,
                store,
                peers,
                process: None,
                stopping: false,
                incarnation: 0,
            });
        }
        let addresses: Vec<SocketAddr> = self.slots.iter().map(|slot| slot.peers.address).collect();
        for position in 0..NODES {
            self.slots[position].plan.peers = addresses.clone();
            self.start_node(position)?;
        }
        Ok(())
    }

    fn start_node(&mut self, position: usize) -> Result<(), BenchError> {
        let slot = &mut self.slots[position];
        slot.process = None;
        slot.stopping = false;
        slot.incarnation += 1;
        let node = SoakNode::start(&self.command, &slot.plan)?;
        slot.callers.set_target(node.callers);
        slot.peers.set_target(node.peers);
        slot.process = Some(node);
        Ok(())
    }

    /// The callers' way into a node, and the life of the process behind it.
    pub fn caller_for(&self, position: usize) -> (CallerStandIn, u64) {
        let slot = &self.slots[position];
        (CallerStandIn { address: slot.callers.address }, slot.incarnation)
    }

    /// The callers' ways into all nodes; they stay the same over all lives.
    pub fn callers(&self) -> Vec<CallerStandIn> {
        (0..NODES).map(|position| self.caller_for(position).0).collect()
    }

    /// The newest version published.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The operator publishes the next configuration.
    pub fn publish(&mut self) {
        self.version += 1;
        let tenants = tenants(self.version, self.with_guest);
        let started = Instant::now();
        self.store.publish_with_tenants(&configuration(self.version, self.set), &tenants);
        self.keys.published(&tenants, started, Instant::now());
    }

    /// The operator gives the guest its key, or takes it away.
    pub fn publish_guest(&mut self, with_guest: bool) {
        self.with_guest = with_guest;
        self.publish();
    }

    /// Who had which key when.
    pub fn keys(&self) -> &KeyHistory {
        &self.keys
    }

    /// Cuts a node off from the store, and all nodes from each other; or heals that.
    pub fn cut_off(&self, position: usize, cut: bool) {
        let faults = if cut { Faults::cut() } else { Faults::default() };
        let peers = (0..NODES).map(Link::Peers);
        for link in peers.chain([Link::Store(position)]) {
            self.proxy(link).set(faults.clone());
        }
    }

    async fn is_ready(&self, position: usize) -> bool {
        let Some(node) = &self.slots[position].process else {
            return false;
        };
        let call = CallerCall { id: None, ..CallerCall::get("readiness", "/ready", "") };
        let answer = CallerStandIn { address: node.readiness }.call(&call).await;
        answer.is_ok_and(|answer| answer.status.as_u16() == 200)
    }

    /// Waits until every node says that it can serve.
    ///
    /// # Errors
    /// When one does not in time.
    pub async fn wait_ready(&self) -> Result<(), BenchError> {
        const POLL_INTERVAL: Duration = Duration::from_millis(50);
        let end = Instant::now() + PROCESS_TIMEOUT;
        for position in 0..NODES {
            while !self.is_ready(position).await {
                if Instant::now() > end {
                    let what = format!("node {position} becoming ready");
                    return Err(BenchError::NotInTime { what, seconds: PROCESS_TIMEOUT.as_secs() });
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    fn proxy(&self, link: Link) -> &Proxy {
        match link {
            Link::Callers(position) => &self.slots[position].callers,
            Link::Store(position) => &self.slots[position].store,
            Link::Peers(position) => &self.slots[position].peers,
            Link::Leaf(position) => &self.leaves[position % self.leaves.len()].proxy,
        }
    }

    fn schedule_recovery(&mut self, time: Duration, recovery: Recovery) {
        self.recoveries.push((Instant::now() + time, recovery));
    }

    /// Injects a fault.
    ///
    /// # Errors
    /// When a node does not start.
    pub async fn inject(&mut self, fault: &Fault) -> Result<(), BenchError> {
        match fault {
            Fault::Pause(position, time) => {
                if let Some(node) = &self.slots[*position].process {
                    node.process.pause();
                }
                self.schedule_recovery(*time, Recovery::Resume(*position));
            }
            Fault::Kill(position, time) => {
                self.slots[*position].process = None;
                self.schedule_recovery(*time, Recovery::Start(*position));
            }
            Fault::Terminate(position, time) => {
                let slot = &mut self.slots[*position];
                if let Some(node) = &slot.process {
                    node.process.resume();
                    node.process.terminate();
                    slot.stopping = true;
                }
                self.schedule_recovery(*time, Recovery::Start(*position));
            }
            Fault::Disturb(link, faults, time) => {
                self.proxy(*link).set(faults.clone());
                self.schedule_recovery(*time, Recovery::Heal(*link));
            }
            Fault::Reset(link) => self.proxy(*link).reset_connections(),
            Fault::Store(mode, time) => {
                self.store.set_mode(*mode);
                self.schedule_recovery(*time, Recovery::Store);
            }
            Fault::ForgetHistory => self.store.forget_history(),
            Fault::BackUpStore => self.store.keep_copy(),
            Fault::RestoreStore(away) => {
                self.store.set_mode(StoreMode::Refusing);
                self.schedule_recovery(*away, Recovery::RestoreStore);
            }
            Fault::Leaf(position, behaviour, time) => {
                let position = position % self.leaves.len();
                self.leaves[position].leaf.behave(*behaviour);
                self.schedule_recovery(*time, Recovery::Leaf(position));
            }
            Fault::Service(shard, behaviour, time) => {
                let service = shard.map_or_else(single_service, |shard| shard_service(self.set, shard));
                let of_shard =
                    (0..self.leaves.len()).filter(|at| self.leaves[*at].announced.service == service);
                for position in of_shard.collect::<Vec<usize>>() {
                    self.leaves[position].leaf.behave(*behaviour);
                    self.schedule_recovery(*time, Recovery::Leaf(position));
                }
            }
            Fault::Publish => self.publish(),
            Fault::Reshard => {
                self.set = (self.set + 1) % SETS;
                self.publish();
            }
        }
        Ok(())
    }

    /// Ends the faults whose time is over.
    ///
    /// # Errors
    /// When a node does not start.
    pub async fn run_due_recoveries(&mut self) -> Result<(), BenchError> {
        let now = Instant::now();
        let (due, pending): (Vec<_>, Vec<_>) = self.recoveries.drain(..).partition(|(at, _)| *at <= now);
        self.recoveries = pending;
        for (_, recovery) in due {
            self.recover(recovery).await?;
        }
        Ok(())
    }

    async fn recover(&mut self, recovery: Recovery) -> Result<(), BenchError> {
        match recovery {
            Recovery::Resume(position) => {
                if let Some(node) = &self.slots[position].process {
                    node.process.resume();
                }
            }
            Recovery::Start(position) => {
                let slot = &mut self.slots[position];
                if let Some(node) = &mut slot.process {
                    // Another fault has started it already.
                    if !slot.stopping {
                        return Ok(());
                    }
                    // It may have been paused while it stopped.
                    node.process.resume();
                    node.process.wait_ended(PROCESS_TIMEOUT).await;
                }
                self.start_node(position)?;
            }
            Recovery::Heal(link) => self.proxy(link).set(Faults::default()),
            Recovery::Store => self.store.set_mode(StoreMode::Serving),
            Recovery::RestoreStore => {
                self.store.return_from_copy();
                self.store.set_mode(StoreMode::Serving);
                for (number, key) in self.store.lost().into_iter().enumerate() {
                    let after = REWRITE_PERIOD * (number as u32 % REWRITE_SLOTS);
                    self.schedule_recovery(after, Recovery::Rewrite(key));
                }
            }
            Recovery::Rewrite(key) => self.store.write_again(&key),
            Recovery::Leaf(position) => self.leaves[position].leaf.behave(LeafBehaviour::Answer),
        }
        Ok(())
    }

    /// Ends every fault.
    ///
    /// # Errors
    /// When a node does not start, or does not become ready.
    pub async fn heal(&mut self) -> Result<(), BenchError> {
        for (_, recovery) in std::mem::take(&mut self.recoveries) {
            self.recover(recovery).await?;
        }
        self.store.write_all_again();
        self.wait_ready().await
    }

    /// The store keeps a copy of what it holds.
    pub fn keep_copy(&self) {
        self.store.keep_copy();
    }

    /// The store comes back with its copy; nobody has written again.
    pub fn restore_store(&self) {
        self.store.return_from_copy();
    }

    /// All writers of the store write again what was lost.
    pub fn write_all_again(&self) {
        self.store.write_all_again();
    }

    /// A back end of the set of shards in force leaves: it says so, and another takes its place.
    /// Returns its position among those that left.
    ///
    /// # Errors
    /// When the other does not start.
    pub async fn drain_leaf(&mut self, shard: u8) -> Result<LeavingLeaf, BenchError> {
        let set = self.set;
        let service = shard_service(set, shard % SHARDS);
        let position = self.leaves.iter().position(|known| known.announced.service == service);
        let position = position.expect("every shard has back ends");
        let fresh = self.start_leaf(&service, set, shard % SHARDS, 0).await?;
        let leaving = std::mem::replace(&mut self.leaves[position], fresh);
        let draining = Replica { phase: ReplicaPhase::Draining, ..leaving.announced.clone() };
        self.store.announce(&draining);
        Ok(LeavingLeaf { leaf: leaving })
    }

    /// The operator evacuates a zone.
    pub fn evacuate(&self, zone: &str) {
        self.store.evacuate(&ZoneName::new(zone));
    }

    /// The operator takes a zone back.
    pub fn lift_evacuation(&self, zone: &str) {
        self.store.take_back(&ZoneName::new(zone));
    }

    /// Requests that arrived at the back ends of a zone.
    pub fn arrivals_in(&self, zone: &str) -> u64 {
        let in_zone = self.leaves.iter().filter(|known| known.announced.zone.as_str() == zone);
        in_zone.map(|known| known.leaf.record().arrivals).sum()
    }

    /// A back end that left ends.
    pub fn retire(&mut self, leaving: LeavingLeaf) {
        self.store.remove(&leaving.leaf.announced.id);
        self.retired.push(leaving.leaf.leaf.record());
    }

    /// Stops a node as planned while `meanwhile` runs, and starts it again.
    ///
    /// # Errors
    /// When it does not start again.
    pub async fn stop_as_planned(&mut self, position: usize) -> Result<bool, BenchError> {
        let mut ended = false;
        if let Some(node) = &mut self.slots[position].process {
            node.process.terminate();
            ended = node.process.wait_ended(PROCESS_TIMEOUT).await;
        }
        self.start_node(position)?;
        self.wait_ready().await?;
        Ok(ended)
    }

    /// Lets the back ends of single requests take this long.
    pub fn slow_singles(&self, work: Option<Duration>) {
        let behaviour = work.map_or(LeafBehaviour::Answer, LeafBehaviour::Slow);
        for known in self.leaves.iter().filter(|known| known.announced.service == single_service()) {
            known.leaf.behave(behaviour);
        }
    }

    /// How often a request ran at the back ends that are there.
    pub fn runs_of(&self, id: &str) -> u32 {
        self.leaves.iter().map(|known| known.leaf.runs_of(id)).sum()
    }

    /// Every request that arrived at a back end.
    pub fn calls(&self) -> Vec<LeafCall> {
        let fragile = self.fragile.iter().flat_map(RestartingLeaf::calls);
        self.records().into_iter().flat_map(|record| record.calls).chain(fragile).collect()
    }

    /// The records of all back ends, those that left among them.
    pub fn records(&self) -> Vec<LeafRecord> {
        let present = self.leaves.iter().map(|known| known.leaf.record());
        present.chain(self.retired.iter().cloned()).collect()
    }
}

/// A back end that said that it leaves, and still serves.
pub struct LeavingLeaf {
    leaf: SoakLeaf,
}

impl LeavingLeaf {
    /// Requests that arrived there so far.
    pub fn arrivals(&self) -> u64 {
        self.leaf.leaf.record().arrivals
    }

    /// Its id.
    pub fn id(&self) -> String {
        self.leaf.announced.id.to_string()
    }
}
