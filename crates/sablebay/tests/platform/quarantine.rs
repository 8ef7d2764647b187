//! Requests that crash every back end that runs them: after a few crashes they are quarantined, so that
//! retries, hedges and repeated requests at other nodes do not take down a whole service.

use std::time::Duration;

use sablebay_catalogue::ServiceName;
use sablebay_platform_standin::{
    CallerAnswer, CallerCall, LeafBehaviour, LeafIdentity, RestartingLeaf, StoreStandIn,
};

use crate::gathering::wait_until_delegated;
use crate::support::{
    GATHER_PATH, HOST, NodeProcess, SAFE_PATH, SHARDS, check_gathered, configuration, eventually,
    shard_service, single_service,
};

/// A part of the request line that makes a back end crash.
const FATAL: &str = "/fatal ";
/// The number of back ends per service.
const REPLICAS: u8 = 2;
/// How long a crashed back end is down.
const RESTART_DELAY: Duration = Duration::from_millis(150);
/// The limit on attempts that reach back ends after three crashes.
const LATE_ATTEMPTS: usize = 3;

/// Back ends that crash on one path, and nodes in front of them.
struct Fleet {
    store: StoreStandIn,
    leaves: Vec<RestartingLeaf>,
    nodes: Vec<NodeProcess>,
}

/// Starts the back ends of a service; they crash on one path.
pub async fn crashing_leaves_of(
    service: &ServiceName,
    shard: u8,
    store: &StoreStandIn,
) -> Vec<RestartingLeaf> {
    let mut leaves = Vec::new();
    for copy in 0..REPLICAS {
        // Gathered parts are attributed to shards by the number in the name.
        let identity = LeafIdentity {
            name: format!("i-{shard}-{copy}"),
            keeps_name: false,
            service: service.clone(),
            shard,
            zone: "zone-a".to_string(),
        };
        let leaf =
            RestartingLeaf::start(identity, LeafBehaviour::CrashOn(FATAL), RESTART_DELAY, store.registry());
        leaves.push(leaf.await.expect("a back end"));
    }
    leaves
}

impl Fleet {
    async fn start(nodes: usize) -> Self {
        Self::start_in(&vec!["zone-a"; nodes]).await
    }

    /// Starts nodes in these zones; all back ends are in `zone-a`.
    async fn start_in(zones: &[&str]) -> Self {
        let store = StoreStandIn::start().await.expect("a store");
        let mut leaves = Vec::new();
        for shard in 0..SHARDS {
            leaves.extend(crashing_leaves_of(&shard_service(shard), shard, &store).await);
        }
        leaves.extend(crashing_leaves_of(&single_service(), 200, &store).await);
        store.publish(&configuration(1));
        let mut started: Vec<NodeProcess> = Vec::new();
        for (number, zone) in zones.iter().enumerate() {
            let seeds: Vec<_> = started.iter().map(|node| node.peers).collect();
            started.push(NodeProcess::start_in(zone, &format!("node-{number}"), store.address, &seeds));
        }
        for node in &started {
            node.wait_ready().await;
        }
        let fleet = Self { store, leaves, nodes: started };
        fleet.wait_until_recovered("start").await;
        fleet
    }

    fn crashes(&self) -> u32 {
        self.leaves.iter().map(RestartingLeaf::crash_count).sum()
    }

    fn arrivals(&self) -> usize {
        self.leaves.iter().map(|leaf| leaf.arrivals_of(FATAL)).sum()
    }

    /// Waits until every back end is up, and every node gets answers from all shards and from the single
    /// service, which shows that it has their new incarnations.
    async fn wait_until_recovered(&self, name: &str) {
        eventually("all back ends are up", || async { self.leaves.iter().all(RestartingLeaf::is_up) }).await;
        for (number, node) in self.nodes.iter().enumerate() {
            let attempt = std::sync::atomic::AtomicU32::new(0);
            eventually("all shards answer", || async {
                let attempt = attempt.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                let id = format!("whole-{name}-{number}-{attempt}");
                let answer = node.get(GATHER_PATH, &id).await;
                let single = node.get(SAFE_PATH, &format!("single-{id}")).await;
                answer.status.as_u16() == 200 && answer.missing == 0 && single.status.as_u16() == 200
            })
            .await;
        }
    }

    /// Sends a request repeatedly, at one node after the other, each time after all back ends have recovered.
    /// Returns the answers, and how many attempts reached a back end after three crashes.
    async fn attempt(&self, path: &str, attempts: usize) -> (Vec<CallerAnswer>, usize) {
        let mut answers = Vec::new();
        let mut late = 0;
        for attempt in 0..attempts {
            let (crashes, arrived) = (self.crashes(), self.arrivals());
            let node = &self.nodes[attempt % self.nodes.len()];
            let id = format!("{}-{attempt}", path.replace('/', "-"));
            answers.push(node.get(path, &id).await);
            late += usize::from(crashes >= 3 && self.arrivals() > arrived);
            self.wait_until_recovered(&id).await;
        }
        (answers, late)
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_search_that_crashes_back_ends_is_quarantined() {
    let fleet = Fleet::start(3).await;
    let (answers, late) = fleet.attempt("/all/fatal", 12).await;
    assert!(fleet.crashes() >= 3, "the request crashes back ends");
    assert!(late <= LATE_ATTEMPTS, "{late} attempts reached back ends, {} crashed", fleet.crashes());
    let last = answers.last().expect("an answer");
    assert!(last.guarantees_not_run(), "a refused request is reported as not run: {}", last.status);
    let similar = fleet.nodes[0].get("/all/fatally", "near-miss").await;
    check_gathered(&similar, "near-miss");
}

/// Attempts that arrive at several nodes at once: each node on its own sees few crashes, so that only a
/// shared history keeps all of them from trying the request again.
#[tokio::test(flavor = "multi_thread")]
async fn attempts_that_come_in_at_all_nodes_at_once_cost_few_back_ends() {
    let fleet = Fleet::start(3).await;
    let mut late = 0;
    for round in 0..4 {
        let crashes = fleet.crashes();
        let pending_call = fleet.nodes.iter().enumerate().map(|(number, node)| {
            let caller = node.caller;
            let id = format!("spell-{round}-{number}");
            tokio::spawn(async move { caller.call(&CallerCall::get(HOST, "/all/fatal", &id)).await })
        });
        for attempt in pending_call.collect::<Vec<_>>() {
            attempt.await.expect("the task ends").expect("an answer");
        }
        if crashes >= 3 {
            late += fleet.crashes() - crashes;
        }
        fleet.wait_until_recovered(&format!("spell-{round}")).await;
    }
    assert!(
        late < LATE_ATTEMPTS as u32,
        "{late} back ends crashed after the first round, {} in total",
        fleet.crashes()
    );
}

/// Two of the three nodes have no back end in their zone and delegate gathering to the third.
#[tokio::test(flavor = "multi_thread")]
async fn a_search_gathered_by_other_nodes_is_quarantined_too() {
    let fleet = Fleet::start_in(&["zone-a", "zone-b", "zone-b"]).await;
    for root in &fleet.nodes[1..] {
        wait_until_delegated(root).await;
    }
    let (answers, late) = fleet.attempt("/all/fatal", 9).await;
    assert!(fleet.crashes() >= 3, "the request crashes back ends");
    assert!(late < LATE_ATTEMPTS, "{late} attempts reached back ends, {} crashed", fleet.crashes());
    assert!(answers.last().expect("an answer").guarantees_not_run());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_newly_started_node_learns_of_quarantined_requests() {
    let mut fleet = Fleet::start(2).await;
    fleet.attempt("/all/fatal", 4).await;
    let seeds: Vec<_> = fleet.nodes.iter().map(|node| node.peers).collect();
    let fresh = NodeProcess::start("fresh", fleet.store.address, &seeds);
    fresh.wait_ready().await;
    let admin = fresh.admin.to_string();
    eventually("the node has the quarantined request", || async { has_quarantine(&admin) }).await;
    let before = fleet.arrivals();
    let answer = fresh.get("/all/fatal", "at-the-fresh-one").await;
    assert!(answer.guarantees_not_run());
    assert_eq!(fleet.arrivals(), before);
    fleet.nodes.push(fresh);
}

/// Whether the node's own status lists a quarantined request.
fn has_quarantine(admin: &str) -> bool {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect(admin).expect("a connection to the admin API");
    stream
        .write_all(b"GET /v1/status HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n")
        .expect("the request is written");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("the response is read");
    text.contains("held back")
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operator_sees_a_quarantined_request_and_releases_it() {
    let fleet = Fleet::start(3).await;
    fleet.attempt("/all/fatal", 3).await;
    let status = sablebay(&["status", "--admin", &fleet.nodes[2].admin.to_string()]);
    assert!(status.contains("held back"), "{status}");
    let line = status.lines().find(|line| line.contains("held back")).expect("a line");
    let digest = line.split_whitespace().next().expect("a digest").to_string();
    assert_eq!(digest.len(), 32, "{line}");
    let held = fleet.nodes[1].get("/all/fatal", "held").await;
    assert!(held.retry_after.is_some_and(|seconds| seconds > 30.0), "{:?}", held.retry_after);
    let before = fleet.arrivals();
    let admin = fleet.nodes[0].admin.to_string();
    assert!(sablebay(&["release", "--admin", &admin, &digest]).contains("is released"));
    let number = std::sync::atomic::AtomicU32::new(0);
    eventually("another node runs the request again after the release", || async {
        let id = format!("again-{}", number.fetch_add(1, std::sync::atomic::Ordering::Relaxed));
        fleet.nodes[1].get("/all/fatal", &id).await;
        fleet.arrivals() > before
    })
    .await;
}

/// Runs a `sablebay` command and returns its output; panics if the command fails.
pub fn sablebay(arguments: &[&str]) -> String {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_sablebay")).args(arguments).output();
    let output = output.expect("the command runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operation_that_crashes_back_ends_is_quarantined() {
    let fleet = Fleet::start(3).await;
    let (answers, late) = fleet.attempt("/once/fatal", 15).await;
    assert!(fleet.crashes() >= 3, "the request crashes back ends");
    assert!(late <= LATE_ATTEMPTS, "{late} attempts reached back ends, {} crashed", fleet.crashes());
    for answer in &answers {
        assert!(answer.status.is_server_error(), "the request never succeeds");
    }
}
