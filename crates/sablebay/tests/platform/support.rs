//! Shared fixtures of the platform tests: a store, back ends, and node processes in front of them.

#![allow(dead_code)] // Two test binaries use this file, and each uses only some of the helpers.

use std::collections::BTreeSet;
use std::future::Future;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use serde_json::Value;

use sablebay_catalogue::{
    BackendService, CallerLimits, Destination, Gather, Repeatability, Route, RoutingConfiguration,
    ServiceName, WarmUp, WeightedService,
};
use sablebay_platform_standin::{
    CallerAnswer, CallerCall, CallerStandIn, LeafStandIn, StoreStandIn, part_records,
};

/// How long a test waits for an event before it fails.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(60);
/// The host of every route.
pub const HOST: &str = "desk.example";
/// A path of the gather route, which covers all shards.
pub const GATHER_PATH: &str = "/all/1";
/// A path of the repeatable route to a single back end.
pub const SAFE_PATH: &str = "/one/1";
/// A path of the at-most-once route to a single back end.
pub const UNSAFE_PATH: &str = "/once/1";
pub const SHARDS: u8 = 4;
/// The maximum number of records in a gathered answer.
pub const TOP: usize = 10;

/// Waits until a condition holds; panics after [`EVENT_TIMEOUT`].
pub async fn eventually<F: Future<Output = bool>>(what: &str, mut check: impl FnMut() -> F) {
    let waiting = async {
        while !check().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(EVENT_TIMEOUT, waiting)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting: {what}"));
}

pub fn shard_service(shard: u8) -> ServiceName {
    ServiceName::new(format!("shard-{shard}"))
}

/// The service of the routes to a single back end.
pub fn single_service() -> ServiceName {
    ServiceName::new("single")
}

fn route(name: &str, prefix: &str, repeatability: Repeatability, destination: Destination) -> Route {
    Route {
        name: name.to_string(),
        host: HOST.to_string(),
        prefix: prefix.to_string(),
        repeatability,
        time_limit_ms: 20_000,
        target_latency_ms: 15_000,
        maximum_attempts: 2,
        priority: 1,
        destination,
        public: false,
    }
}

/// A configuration with the three routes: gather, repeatable, and at most once.
pub fn configuration(version: u64) -> RoutingConfiguration {
    let single = || Destination::Services(vec![WeightedService { service: single_service(), weight: 1.0 }]);
    let gather = Gather { shards: (0..SHARDS).map(shard_service).collect(), top: TOP, minimum_share: 0.5 };
    let services = (0..SHARDS).map(shard_service).chain([single_service()]);
    RoutingConfiguration {
        version,
        routes: vec![
            route("all", "/all/", Repeatability::Repeatable, Destination::Gather(gather)),
            route("one", "/one/", Repeatability::Repeatable, single()),
            route("once", "/once/", Repeatability::AtMostOnce, single()),
        ],
        services: services
            .map(|name| BackendService { name, maximum_connections: 64, warm_up: WarmUp::default() })
            .collect(),
        limits: CallerLimits { body_bytes: 4_096, ..CallerLimits::default() },
        tenants: None,
    }
}

/// A configuration that routes single requests to another service.
pub fn configuration_routed_to(version: u64, service: &ServiceName) -> RoutingConfiguration {
    let mut configuration = configuration(version);
    for route in &mut configuration.routes {
        if let Destination::Services(parts) = &mut route.destination {
            *parts = vec![WeightedService { service: service.clone(), weight: 1.0 }];
        }
    }
    configuration
}

/// The body of a correct gathered answer over these shards.
pub fn expected_records(shards: impl IntoIterator<Item = u8>) -> Vec<u8> {
    let mut records: Vec<[u8; 16]> = shards.into_iter().flat_map(part_records).collect();
    records.sort_by(|left, right| right.cmp(left));
    records.truncate(TOP);
    records.concat()
}

/// A store, and two announced back ends of each service.
pub struct Deployment {
    pub store: StoreStandIn,
    /// Two back ends of each shard, ordered by shard.
    pub shards: Vec<LeafStandIn>,
    /// Two back ends of the single service.
    pub singles: Vec<LeafStandIn>,
}

impl Deployment {
    /// Starts the store and all back ends in one zone, announces them, and publishes version 1 of the configuration.
    pub async fn start() -> Self {
        Self::start_in_zones(["zone-a", "zone-a"]).await
    }

    /// Like [`Deployment::start`], with the two back ends of each service in these zones.
    pub async fn start_in_zones(zones: [&str; 2]) -> Self {
        let store = StoreStandIn::start().await.expect("a store");
        let mut shards = Vec::new();
        for shard in 0..SHARDS {
            for (copy, zone) in zones.into_iter().enumerate() {
                let id = format!("i-{shard}-{copy}");
                let leaf = LeafStandIn::start(&id, &shard_service(shard), shard, zone).await;
                shards.push(leaf.expect("a back end"));
            }
        }
        let mut singles = Vec::new();
        for (copy, zone) in (0..).zip(zones) {
            let id = format!("i-single-{copy}");
            let leaf = LeafStandIn::start(&id, &single_service(), 200 + copy, zone).await;
            singles.push(leaf.expect("a back end"));
        }
        let deployment = Self { store, shards, singles };
        for leaf in deployment.leaves() {
            deployment.store.announce(&leaf.replica);
        }
        deployment.store.publish(&configuration(1));
        deployment
    }

    pub fn leaves(&self) -> impl Iterator<Item = &LeafStandIn> {
        self.shards.iter().chain(&self.singles)
    }

    /// The number of requests that arrived at the back ends of a zone.
    pub fn arrivals_in(&self, zone: &str) -> u64 {
        let in_zone = self.leaves().filter(|leaf| leaf.replica.zone.as_str() == zone);
        in_zone.map(|leaf| leaf.record().arrivals).sum()
    }

    /// How many times a request ran, over all back ends.
    pub fn runs_of(&self, id: &str) -> u32 {
        self.leaves().map(|leaf| leaf.runs_of(id)).sum()
    }
}

/// A node process, which is killed on drop.
pub struct NodeProcess {
    child: Child,
    _settings: tempfile::TempDir,
    /// The path of its settings file.
    pub settings_path: std::path::PathBuf,
    /// A client for its caller address.
    pub caller: CallerStandIn,
    /// The address of its readiness endpoint.
    pub readiness: SocketAddr,
    /// The address for peer connections.
    pub peers: SocketAddr,
    /// The address of its admin API.
    pub admin: SocketAddr,
    /// The address of the product's own API for callers.
    pub own_callers: SocketAddr,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The contents of a node's settings file.
pub fn settings_text(name: &str, store: SocketAddr, peers: &[SocketAddr]) -> String {
    settings_in_zone("zone-a", name, store, peers)
}

/// The contents of the settings file of a node in a zone.
pub fn settings_in_zone(zone: &str, name: &str, store: SocketAddr, peers: &[SocketAddr]) -> String {
    let peers: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
    format!(
        "node = \"{name}\"\nzone = \"{zone}\"\nprobe_period_ms = 100\nlog_level = \"warn\"\npeers = [{}]\n\n\
         [gateway]\ncaller_address = \"127.0.0.1:0\"\nreadiness_address = \"127.0.0.1:0\"\n\
         catalogue_address = \"{store}\"\nretry_ratio = 1.0\nretry_fixed = 1000\nassumed_nodes = 4\n\
         stop_linger_ms = 300\nstop_timeout_ms = 20000\n",
        peers.join(", ")
    )
}

impl NodeProcess {
    /// Starts a node and reads its addresses from its output.
    pub fn start(name: &str, store: SocketAddr, peers: &[SocketAddr]) -> Self {
        Self::start_with(&settings_text(name, store, peers))
    }

    /// Like [`NodeProcess::start`], in a zone.
    pub fn start_in(zone: &str, name: &str, store: SocketAddr, peers: &[SocketAddr]) -> Self {
        Self::start_with(&settings_in_zone(zone, name, store, peers))
    }

    /// Like [`NodeProcess::start`], with the contents of a settings file.
    pub fn start_with(settings: &str) -> Self {
        Self::start_with_log(settings, Stdio::inherit())
    }

    /// Like [`NodeProcess::start_with`], with a destination for the log.
    pub fn start_with_log(settings: &str, log: Stdio) -> Self {
        Self::start_as(Command::new(env!("CARGO_BIN_EXE_sablebay")), settings, log)
    }

    /// Like [`NodeProcess::start_with`], with a limit on the open descriptors of the process.
    pub fn start_with_descriptors(settings: &str, descriptors: u64) -> Self {
        let mut shell = Command::new("sh");
        let limited = format!("ulimit -n {descriptors}; exec \"$0\" \"$@\"");
        shell.args(["-c", &limited, env!("CARGO_BIN_EXE_sablebay")]);
        Self::start_as(shell, settings, Stdio::inherit())
    }

    /// Starts a node by a command that takes the arguments of the product.
    fn start_as(mut command: Command, settings: &str, log: Stdio) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let settings_path = folder.path().join("node.toml");
        std::fs::write(&settings_path, settings).expect("the settings are written");
        let mut child = command
            .args(["serve", "--settings"])
            .arg(&settings_path)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("the node process starts");
        let mut line = String::new();
        let output = child.stdout.take().expect("its output is piped");
        BufReader::new(output).read_line(&mut line).expect("the node prints its addresses");
        let addresses: Value = serde_json::from_str(&line).expect("the addresses are JSON");
        let address = |value: &Value| value.as_str().and_then(|text| text.parse().ok()).expect("an address");
        Self {
            child,
            _settings: folder,
            settings_path,
            caller: CallerStandIn { address: address(&addresses["gateway"]["caller_address"]) },
            readiness: address(&addresses["gateway"]["readiness_address"]),
            peers: address(&addresses["peer_address"]),
            admin: address(&addresses["admin_address"]),
            own_callers: address(&addresses["caller_address"]),
        }
    }

    /// Whether the readiness endpoint reports ready.
    pub async fn is_ready(&self) -> bool {
        let call = CallerCall { id: None, ..CallerCall::get("readiness", "/ready", "") };
        let answer = CallerStandIn { address: self.readiness }.call(&call).await;
        answer.is_ok_and(|answer| answer.status.as_u16() == 200)
    }

    pub async fn wait_ready(&self) {
        eventually("the node is ready", || self.is_ready()).await;
    }

    pub fn signal(&self, signal: rustix::process::Signal) {
        let id = i32::try_from(self.child.id())
            .ok()
            .and_then(rustix::process::Pid::from_raw)
            .expect("a process id");
        rustix::process::kill_process(id, signal).expect("the process exists");
    }

    /// The largest resident memory that the process has had, in kB.
    pub fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the status of the process");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its peak memory");
        line.trim().trim_end_matches(" kB").parse().expect("a number of kB")
    }

    /// The processor time that the process has taken, in ticks of the system.
    pub fn processor_ticks(&self) -> u64 {
        /// The positions of the user and the system time behind the name of the program.
        const TIMES: std::ops::Range<usize> = 11..13;
        let path = format!("/proc/{}/stat", self.child.id());
        let stat = std::fs::read_to_string(path).expect("the status of the process");
        let (_, fields) = stat.rsplit_once(')').expect("the name of the program");
        let fields: Vec<&str> = fields.split_whitespace().collect();
        fields[TIMES].iter().map(|ticks| ticks.parse::<u64>().expect("a number of ticks")).sum()
    }

    /// The number of open descriptors of the process.
    pub fn open_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).expect("the descriptors of the process").count()
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("the process can be waited for").is_none()
    }

    /// Waits for the process to exit and returns its exit code.
    pub async fn exit_code(&mut self) -> Option<i32> {
        let waiting = async {
            loop {
                if let Some(status) = self.child.try_wait().expect("the process can be waited for") {
                    return status.code();
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(EVENT_TIMEOUT, waiting).await.expect("the process exits")
    }

    /// Sends a GET request; panics unless it is answered.
    pub async fn get(&self, path: &str, id: &str) -> CallerAnswer {
        self.call(&CallerCall::get(HOST, path, id)).await
    }

    /// Sends a request; panics unless it is answered.
    pub async fn call(&self, call: &CallerCall) -> CallerAnswer {
        self.caller.call(call).await.expect("an answer")
    }

    /// The raw HTTP response of the admin API to a GET request.
    pub fn admin_text(&self, path: &str) -> String {
        use std::io::{Read, Write};
        let mut stream = std::net::TcpStream::connect(self.admin).expect("a connection to the admin API");
        let request = format!("GET {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).expect("the request is written");
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("the response is read");
        text
    }
}

/// Starts a deployment with one node that is ready.
pub async fn one_node() -> (Deployment, NodeProcess) {
    let deployment = Deployment::start().await;
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    (deployment, node)
}

/// Checks that a gathered answer holds exactly the records of the shards that signed it.
pub fn check_gathered(answer: &CallerAnswer, id: &str) {
    assert_eq!(answer.status.as_u16(), 200);
    let mut shards = BTreeSet::new();
    for stamp in &answer.part_stamps {
        let (leaf, request) = stamp.split_once('.').expect("a signature of the stand-in");
        assert_eq!(request, id, "the part belongs to another request");
        let shard: u8 = leaf.split('-').nth(1).and_then(|shard| shard.parse().ok()).expect("a shard");
        assert!(shards.insert(shard), "shard {shard} was merged twice");
    }
    assert_eq!(shards.len() + answer.missing, usize::from(SHARDS), "the reported coverage is wrong");
    assert_eq!(answer.body, expected_records(shards));
}
