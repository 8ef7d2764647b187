//! Tenant quotas that several nodes enforce together.

use std::time::Duration;

use rustix::process::Signal;
use tokio::time::Instant;

use sablebay_platform_standin::{CallerCall, TenantSpec};

use crate::support::{Deployment, HOST, NodeProcess, SAFE_PATH, configuration, eventually, settings_text};

const KEY: &str = "key-of-the-tenant";

/// The quota of the tenant.
const RATE_PER_S: f64 = 10.0;
const BURST: f64 = 10.0;
/// The measured window, and the maximum number of requests that may run in it.
const WINDOW: Duration = Duration::from_secs(5);
const MAXIMUM_ANSWERED: f64 = (RATE_PER_S * 5.0 + BURST) * 1.25 + 20.0;

/// Three nodes and one tenant.
struct Fleet {
    deployment: Deployment,
    nodes: Vec<NodeProcess>,
}

fn tenant(rate_per_s: f64, burst: f64) -> TenantSpec {
    TenantSpec { rate_per_s, burst, ..TenantSpec::new("tenant", &[KEY]) }
}

impl Fleet {
    async fn start() -> Self {
        let deployment = Deployment::start().await;
        deployment.store.publish_with_tenants(&configuration(2), &[tenant(RATE_PER_S, BURST)]);
        let mut nodes: Vec<NodeProcess> = Vec::new();
        for number in 0..3 {
            let seeds: Vec<_> = nodes.iter().map(|node| node.peers).collect();
            let settings = settings_text(&format!("node-{number}"), deployment.store.address, &seeds);
            nodes.push(NodeProcess::start_with(&format!(
                "{settings}quota_overage = 0.25\nquota_slack = 20\n"
            )));
        }
        for node in &nodes {
            node.wait_ready().await;
        }
        // Wait until the nodes have discovered each other and none counts as newly started.
        tokio::time::sleep(WINDOW + Duration::from_secs(1)).await;
        Self { deployment, nodes }
    }

    /// Sends requests to some nodes in turn for `span`; returns the numbers of answered and refused requests.
    async fn send(&self, nodes: &[usize], pause: Duration, span: Duration) -> (u32, u32) {
        let until = Instant::now() + span;
        let (mut answered, mut refused, mut number) = (0, 0, 0);
        while Instant::now() < until {
            let node = &self.nodes[nodes[number % nodes.len()]];
            let id = format!("r-{}-{number}", rand::random::<u32>());
            let answer = node.call(&CallerCall::get(HOST, SAFE_PATH, &id).with_key(KEY)).await;
            match answer.status.as_u16() {
                200 => answered += 1,
                429 => {
                    assert_eq!(self.deployment.runs_of(&id), 0, "a refused request must not run");
                    assert!(answer.retry_after.is_some(), "a refusal has a retry time");
                    refused += 1;
                }
                status => panic!("status {status}"),
            }
            number += 1;
            tokio::time::sleep(pause).await;
        }
        (answered, refused)
    }

    /// The index of the node that owns the tenant's account.
    fn owner(&self) -> usize {
        let owns = |node: &NodeProcess| node.admin_text("/metrics").contains("sablebay_gateway_accounts 1");
        self.nodes.iter().position(owns).expect("a node owns the account")
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_share_the_limit_of_a_tenant() {
    let fleet = Fleet::start().await;
    let (answered, refused) = fleet.send(&[0, 1, 2], Duration::from_millis(5), WINDOW).await;
    assert!(
        f64::from(answered) <= MAXIMUM_ANSWERED,
        "{answered} ran in a window; at most {MAXIMUM_ANSWERED} may"
    );
    assert!(f64::from(answered) >= RATE_PER_S * 4.0, "{answered} ran");
    assert!(refused > answered, "most requests are over the quota");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_tenant_within_its_quota_is_not_refused() {
    let fleet = Fleet::start().await;
    let (answered, refused) = fleet.send(&[0, 1, 2], Duration::from_millis(150), WINDOW).await;
    assert_eq!(refused, 0, "{answered} were answered");
}

#[tokio::test(flavor = "multi_thread")]
async fn another_node_takes_over_from_an_owner_that_is_killed() {
    let fleet = Fleet::start().await;
    fleet.send(&[0, 1, 2], Duration::from_millis(20), Duration::from_millis(500)).await;
    eventually("a node reports an account", || async {
        fleet.nodes.iter().any(|node| node.admin_text("/metrics").contains("sablebay_gateway_accounts 1"))
    })
    .await;
    let owner = fleet.owner();
    let rest: Vec<usize> = (0..3).filter(|node| *node != owner).collect();
    fleet.nodes[owner].signal(Signal::KILL);
    let (answered, _) = fleet.send(&rest, Duration::from_millis(5), WINDOW).await;
    assert!(
        f64::from(answered) <= MAXIMUM_ANSWERED,
        "{answered} ran in a window; at most {MAXIMUM_ANSWERED} may"
    );
    assert!(answered >= 20, "{answered} ran without the owner");
}

/// Guards against nodes restarted during a partition that take themselves for the whole fleet: each may grant only
/// the part of the rate that corresponds to the seeds it reaches.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_were_restarted_behind_a_cut_share_the_limit_by_their_seeds() {
    let deployment = Deployment::start().await;
    deployment.store.publish_with_tenants(&configuration(2), &[tenant(RATE_PER_S, BURST)]);
    // Accepts connections and never answers, like a peer behind a partition.
    let silent_listener = std::net::TcpListener::bind("127.0.0.1:0").expect("an address");
    let silent = silent_listener.local_addr().expect("its address");
    let mut nodes = Vec::new();
    for number in 0..2 {
        let settings = |seeds: &[_]| {
            let text = settings_text(&format!("node-{number}"), deployment.store.address, seeds);
            format!("{text}quota_overage = 0.25\nquota_slack = 20\n")
        };
        // The node's own address, which is the other seed, is known only once the node listens.
        let node = NodeProcess::start_with(&settings(&[silent]));
        node.wait_ready().await;
        std::fs::write(&node.settings_path, settings(&[node.peers, silent]))
            .expect("the settings are written");
        node.signal(Signal::HUP);
        eventually("the node's share is half", || async {
            node.admin_text("/metrics").contains("sablebay_gateway_fleet_share 0.5")
        })
        .await;
        nodes.push(node);
    }
    let fleet = Fleet { deployment, nodes };
    tokio::time::sleep(WINDOW + Duration::from_secs(1)).await;
    let (answered, refused) = fleet.send(&[0, 1], Duration::from_millis(5), WINDOW).await;
    assert!(
        f64::from(answered) <= MAXIMUM_ANSWERED,
        "{answered} ran in a window; at most {MAXIMUM_ANSWERED} may"
    );
    assert!(
        f64::from(answered) >= RATE_PER_S * 4.0,
        "{answered} ran, though each node may grant half of the quota"
    );
    assert!(refused > answered, "most requests are over the quota");
    for node in &fleet.nodes {
        assert!(
            node.admin_text("/metrics").contains("sablebay_gateway_fleet_share 0.5"),
            "the node's share must stay at half"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lowered_limit_counts_at_every_node() {
    let fleet = Fleet::start().await;
    fleet.send(&[0, 1, 2], Duration::from_millis(20), Duration::from_secs(1)).await;
    fleet.deployment.store.publish_with_tenants(&configuration(3), &[tenant(1.0, 1.0)]);
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.send(&[0, 1, 2], Duration::from_millis(20), Duration::from_secs(1)).await;
    let (answered, refused) = fleet.send(&[0, 1, 2], Duration::from_millis(20), WINDOW).await;
    assert!(answered <= 7, "{answered} ran at a limit of one per second");
    assert!(refused > 50);
}
