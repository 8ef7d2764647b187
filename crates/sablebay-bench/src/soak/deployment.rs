//! The environment of a soak: nodes, store, back ends and a proxy on every link.

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

/// Number of nodes.
pub const NODES: usize = 3;
/// Replicas of each shard and of the single service.
const REPLICAS: u8 = 2;
/// Zones of the back ends; the nodes are in the first.
pub const ZONES: [&str; 2] = ["zone-a", "zone-b"];
/// Number of back ends, without the fragile ones.
pub const LEAVES: usize = (SETS * SHARDS * REPLICAS + REPLICAS) as usize;
/// Record seed of the single service; differs from the seed of every shard.
const SINGLE_SEED: u8 = 250;
/// Number of back ends that crash on the fatal request.
const FRAGILE_REPLICAS: u8 = 3;
/// Delay before a crashed back end restarts.
const FRAGILE_RESTART_DELAY: Duration = Duration::from_millis(300);
/// Interval between rewrites of lost keys after a restore, and the number of intervals used.
const REWRITE_PERIOD: Duration = Duration::from_millis(250);
const REWRITE_SLOTS: u32 = 9;
/// Timeout for a process to exit or become ready.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(30);

/// A proxied connection path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// From callers to a node.
    Callers(usize),
    /// From a node to the store.
    Store(usize),
    /// From other nodes to a node.
    Peers(usize),
    /// From nodes to a back end.
    Leaf(usize),
}

/// A back end behind a proxy.
struct SoakLeaf {
    leaf: LeafStandIn,
    proxy: Proxy,
    /// The replica as announced, with the proxy's address.
    announced: Replica,
}

/// A node's proxies and its current process, if any.
struct NodeSlot {
    plan: NodePlan,
    callers: Proxy,
    store: Proxy,
    peers: Proxy,
    process: Option<SoakNode>,
    /// Whether a planned stop is in progress.
    stopping: bool,
    /// Number of processes started in this slot.
    incarnation: u64,
}

/// The scheduled end of a fault.
enum Recovery {
    Resume(usize),
    Start(usize),
    Heal(Link),
    Store,
    RestoreStore,
    Rewrite(String),
    Leaf(usize),
}

/// The nodes and their environment.
pub struct SoakDeployment {
    command: NodeCommand,
    store: StoreStandIn,
    leaves: Vec<SoakLeaf>,
    /// Records of retired back ends.
    retired: Vec<LeafRecord>,
    /// Back ends that crash on the fatal request and restart. They have no proxy, which would
    /// accept connections while the process is down.
    fragile: Vec<RestartingLeaf>,
    slots: Vec<NodeSlot>,
    recoveries: Vec<(Instant, Recovery)>,
    version: u64,
    set: u8,
    /// Whether the guest key is valid.
    with_guest: bool,
    keys: KeyHistory,
    incarnations: u32,
    seed: u64,
    /// Checks observations against the promises.
    pub checker: Arc<Checker>,
}

impl SoakDeployment {
    ///
    /// # Errors
    /// Fails if a stand-in or a node does not start.
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
            // Odd replicas keep their name across restarts.
            keeps_name: copy % 2 == 1,
            service: fragile_service(),
            shard: SINGLE_SEED + REPLICAS + copy,
            zone: ZONES[0].to_string(),
        };
        let behaviour = LeafBehaviour::CrashOn(FATAL_PATH);
        Ok(RestartingLeaf::start(identity, behaviour, FRAGILE_RESTART_DELAY, self.store.registry()).await?)
    }

    /// Number of crashes on the fatal request.
    pub fn fragile_crashes(&self) -> u32 {
        self.fragile.iter().map(RestartingLeaf::crash_count).sum()
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

    /// Returns a caller of a node and the node's incarnation.
    pub fn caller_for(&self, position: usize) -> (CallerStandIn, u64) {
        let slot = &self.slots[position];
        (CallerStandIn { address: slot.callers.address }, slot.incarnation)
    }

    /// Returns callers of all nodes; they remain valid across restarts.
    pub fn callers(&self) -> Vec<CallerStandIn> {
        (0..NODES).map(|position| self.caller_for(position).0).collect()
    }

    /// The last published version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Publishes the next configuration.
    pub fn publish(&mut self) {
        self.version += 1;
        let tenants = tenants(self.version, self.with_guest);
        let started = Instant::now();
        self.store.publish_with_tenants(&configuration(self.version, self.set), &tenants);
        self.keys.published(&tenants, started, Instant::now());
    }

    /// Grants or revokes the guest key.
    pub fn publish_guest(&mut self, with_guest: bool) {
        self.with_guest = with_guest;
        self.publish();
    }

    /// The assignments of keys to tenants over time.
    pub fn keys(&self) -> &KeyHistory {
        &self.keys
    }

    /// Isolates a node from the store and all nodes from each other, or reconnects them.
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

    /// Waits until every node is ready.
    ///
    /// # Errors
    /// Fails if a node is not ready in time.
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
    /// Fails if a node does not start.
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
            Fault::ForgetHistory => self.store.compact_history(),
            Fault::BackUpStore => self.store.take_backup(),
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

    /// Ends the faults whose time has elapsed.
    ///
    /// # Errors
    /// Fails if a node does not start.
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
                    // Already restarted by another fault.
                    if !slot.stopping {
                        return Ok(());
                    }
                    // The process may have been paused while stopping.
                    node.process.resume();
                    node.process.wait_ended(PROCESS_TIMEOUT).await;
                }
                self.start_node(position)?;
            }
            Recovery::Heal(link) => self.proxy(link).set(Faults::default()),
            Recovery::Store => self.store.set_mode(StoreMode::Serving),
            Recovery::RestoreStore => {
                self.store.restore_backup();
                self.store.set_mode(StoreMode::Serving);
                for (number, key) in self.store.lost_keys().into_iter().enumerate() {
                    let after = REWRITE_PERIOD * (number as u32 % REWRITE_SLOTS);
                    self.schedule_recovery(after, Recovery::Rewrite(key));
                }
            }
            Recovery::Rewrite(key) => self.store.rewrite_lost(&key),
            Recovery::Leaf(position) => self.leaves[position].leaf.behave(LeafBehaviour::Answer),
        }
        Ok(())
    }

    ///
    /// # Errors
    /// Fails if a node does not start or become ready.
    pub async fn heal(&mut self) -> Result<(), BenchError> {
        for (_, recovery) in std::mem::take(&mut self.recoveries) {
            self.recover(recovery).await?;
        }
        self.store.rewrite_all_lost();
        self.wait_ready().await
    }

    /// The store makes a copy of its contents.
    pub fn keep_copy(&self) {
        self.store.take_backup();
    }

    /// Restores the store from its copy, without rewrites.
    pub fn restore_store(&self) {
        self.store.restore_backup();
    }

    /// Rewrites all keys that the store lost.
    pub fn write_all_again(&self) {
        self.store.rewrite_all_lost();
    }

    /// Drains a back end of a current shard and starts a replacement.
    ///
    /// # Errors
    /// Fails if the replacement does not start.
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

    pub fn evacuate(&self, zone: &str) {
        self.store.evacuate(&ZoneName::new(zone));
    }

    pub fn lift_evacuation(&self, zone: &str) {
        self.store.lift_evacuation(&ZoneName::new(zone));
    }

    /// Number of requests received by the back ends of a zone.
    pub fn arrivals_in(&self, zone: &str) -> u64 {
        let in_zone = self.leaves.iter().filter(|known| known.announced.zone.as_str() == zone);
        in_zone.map(|known| known.leaf.record().arrivals).sum()
    }

    /// Stops a drained back end and keeps its record.
    pub fn retire(&mut self, leaving: LeavingLeaf) {
        self.store.remove(&leaving.leaf.announced.id);
        self.retired.push(leaving.leaf.leaf.record());
    }

    /// Performs a planned stop of a node and restarts it. Returns whether the process exited in time.
    ///
    /// # Errors
    /// Fails if the node does not restart.
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

    /// Sets the service time of the single service's back ends.
    pub fn slow_singles(&self, work: Option<Duration>) {
        let behaviour = work.map_or(LeafBehaviour::Answer, LeafBehaviour::Slow);
        for known in self.leaves.iter().filter(|known| known.announced.service == single_service()) {
            known.leaf.behave(behaviour);
        }
    }

    /// Number of runs of a request at the current back ends.
    pub fn runs_of(&self, id: &str) -> u32 {
        self.leaves.iter().map(|known| known.leaf.runs_of(id)).sum()
    }

    /// All requests received by back ends.
    pub fn calls(&self) -> Vec<LeafCall> {
        let fragile = self.fragile.iter().flat_map(RestartingLeaf::calls);
        self.records().into_iter().flat_map(|record| record.calls).chain(fragile).collect()
    }

    /// The records of all back ends, including retired ones.
    pub fn records(&self) -> Vec<LeafRecord> {
        let present = self.leaves.iter().map(|known| known.leaf.record());
        present.chain(self.retired.iter().cloned()).collect()
    }
}

/// A draining back end that still serves.
pub struct LeavingLeaf {
    leaf: SoakLeaf,
}

impl LeavingLeaf {
    /// Number of requests received so far.
    pub fn arrivals(&self) -> u64 {
        self.leaf.leaf.record().arrivals
    }

    pub fn id(&self) -> String {
        self.leaf.announced.id.to_string()
    }
}
