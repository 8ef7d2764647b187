//! An accepted configuration takes effect on all nodes within seconds and never reverts.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use common::{DESK, small_deployment, start, wait_for_report, wait_for_revision};
use sablebay_bench::{NodeCommand, NodeProcess, ProcessCluster, RunOptions, run_experiment};
use sablebay_standin::{CORPUS, CallerClient, Faults, PlatformMode, QueryOutcome};

async fn revisions(cluster: &ProcessCluster) -> Vec<u64> {
    let mut found = Vec::new();
    for node in 0..cluster.nodes.len() {
        found.push(wait_for_report(cluster, node, "a report", |_| true).await.version.revision.0);
    }
    found
}

/// Guards against a return to an older revision while the platform is stale, flapping or down and every
/// node is replaced.
#[tokio::test(flavor = "multi_thread")]
async fn through_a_stale_flapping_and_absent_platform_while_every_node_is_replaced() {
    let mut cluster = start(small_deployment("latency", 2_000.0)).await;
    for _ in 0..2 {
        let revision = cluster.publish().unwrap();
        wait_for_revision(&cluster, revision).await;
    }
    for mode in [PlatformMode::Oldest, PlatformMode::Flapping, PlatformMode::Down] {
        cluster.platform.state.set_mode(mode);
        cluster.remove_node(0).0.kill();
        cluster.add_node().await.unwrap();
        cluster.wait_until_ready(3).await.unwrap();
        assert_eq!(revisions(&cluster).await, [3, 3, 3], "under {mode:?}");
    }
    cluster.platform.state.set_mode(PlatformMode::Newest);
    let revision = cluster.publish().unwrap();
    wait_for_revision(&cluster, revision).await;
}

/// A platform of which nothing is known but the bytes that it sends.
struct RawPlatform {
    address: SocketAddr,
    /// The answer to each read of the configuration.
    answer: Arc<Mutex<Vec<u8>>>,
    /// Number of reads of the configuration.
    reads: Arc<AtomicU64>,
}

impl RawPlatform {
    async fn start(answer: Vec<u8>) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a listener");
        let platform = Self {
            address: listener.local_addr().expect("its address"),
            answer: Arc::new(Mutex::new(answer)),
            reads: Arc::default(),
        };
        let (answer, reads) = (platform.answer.clone(), platform.reads.clone());
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut request = vec![0; 4_096];
                let length = stream.read(&mut request).await.unwrap_or(0);
                let asks_configuration = request[..length].starts_with(b"GET /v1/configuration");
                reads.fetch_add(u64::from(asks_configuration), Ordering::Relaxed);
                let machines = b"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{\"machines\":[]}".to_vec();
                let sent = if asks_configuration { answer.lock().clone() } else { machines };
                // The node may have closed the connection.
                let _ = stream.write_all(&sent).await;
            }
        });
        platform
    }

    /// Waits until the configuration was read this many more times.
    async fn wait_for_reads(&self, count: u64) {
        let until = self.reads.load(Ordering::Relaxed) + count;
        let waiting = async {
            while self.reads.load(Ordering::Relaxed) < until {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(common::EVENT_TIMEOUT, waiting).await.expect("the configuration is read");
    }
}

/// Guards against a document whose second half is lost, and of which the first half is valid by itself.
#[tokio::test(flavor = "multi_thread")]
async fn a_document_that_ends_with_its_connection_is_not_taken() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
    let deployment = small_deployment("latency", 2_000.0);
    let leaves = deployment.start_leaves(1).await.expect("the leaves");
    let whole = deployment.document(1, &leaves.addresses());
    // The indexes of the other service stand behind this line.
    let half = &whole[..whole.find("\n[instances.").expect("an instance") + 1];
    let platform = RawPlatform::start(format!("{HEAD}\r\n{half}").into_bytes()).await;
    let address = platform.address.to_string();
    let flags = ["--platform-address", &address, "--fleet", "half-documents", "--zone", "zone-a"];
    let flags: Vec<String> = flags.iter().map(|flag| (*flag).to_string()).collect();
    let command = NodeCommand::with_break(None).expect("the binaries are built");
    let node = NodeProcess::spawn(&command, "node-1", &flags).expect("a node");
    platform.wait_for_reads(5).await;
    let admin = CallerClient::new(node.admin_address);
    let is_ready = || async {
        admin.send(http::Method::GET, "/readyz", "").await.is_some_and(|(status, _)| status.is_success())
    };
    assert!(!is_ready().await, "half a document is in force");
    let length = whole.len();
    *platform.answer.lock() = format!("{HEAD}Content-Length: {length}\r\n\r\n{whole}").into_bytes();
    platform.wait_for_reads(2).await;
    let started = std::time::Instant::now();
    while !is_ready().await {
        assert!(started.elapsed() < common::EVENT_TIMEOUT, "the whole document is not taken");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let outcome = node.client().query(DESK, 7, 5, Some(10_000), &CORPUS).await;
    assert!(matches!(outcome, QueryOutcome::Answered(_)), "{outcome:?}");
}

/// A node that was paused while a change was published must not serve the old revision as confirmed
/// after it resumes.
#[tokio::test(flavor = "multi_thread")]
async fn after_a_cut_and_a_pause() {
    let mut deployment = small_deployment("latency", 2_000.0);
    deployment
        .template("direct", "deadline_ms = 2000\nfan_out = \"direct\"\nwhen_unconfirmed = \"refuse\"\n");
    let mut cluster = start(deployment).await;
    cluster.platform.state.set_mode(PlatformMode::Down);
    cluster.nodes[2].pause();
    cluster.platform.state.set_mode(PlatformMode::Newest);
    let revision = cluster.publish().unwrap();
    for node in 0..2 {
        wait_for_report(&cluster, node, "the revision", |report| report.version.revision.0 == revision).await;
    }
    cluster.platform.state.set_mode(PlatformMode::Down);
    // Longer than the freshness lease of the paused node.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let client = cluster.nodes[2].client();
    let pending_query = async {
        // Sent while the node is paused, so that it processes the query first after resuming.
        client.query(DESK, 7, 5, Some(10_000), &CORPUS).await
    };
    let resumption = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        cluster.nodes[2].resume();
    };
    let (outcome, ()) = tokio::join!(pending_query, resumption);
    match outcome {
        QueryOutcome::Answered(answer) => {
            assert_eq!(answer.revision, revision, "served under an old revision")
        }
        QueryOutcome::NotRun { .. } => {}
        other => panic!("{other:?}"),
    }
    wait_for_revision(&cluster, revision).await;
}

/// An isolated node with an unconfirmed configuration follows `when_unconfirmed` of the template.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_nobody_confirms_refuses_or_serves_as_the_template_says() {
    let mut deployment = small_deployment("latency", 2_000.0);
    deployment
        .template("direct", "deadline_ms = 2000\nfan_out = \"direct\"\nwhen_unconfirmed = \"refuse\"\n");
    deployment.template("tree", "deadline_ms = 2000\nfan_out = \"direct\"\nwhen_unconfirmed = \"serve\"\n");
    let cluster = start(deployment).await;
    cluster.platform.state.set_mode(PlatformMode::Down);
    for proxy in &cluster.proxies {
        proxy.set(Faults::cut());
    }
    let refused = |outcome: &QueryOutcome| {
        matches!(outcome, QueryOutcome::NotRun { reason: Some(sablebay_model::Reason::Unconfirmed), .. })
    };
    let client = cluster.nodes[0].client();
    let started = std::time::Instant::now();
    while !refused(&client.query(DESK, 1, 5, None, &CORPUS).await) {
        assert!(started.elapsed() < common::EVENT_TIMEOUT, "node 0 did not refuse unconfirmed queries");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let served = client.query(common::PORTAL, 1, 5, None, &CORPUS).await;
    assert!(matches!(served, QueryOutcome::Answered(_)), "{served:?}");
    for proxy in &cluster.proxies {
        proxy.set(Faults::default());
    }
    cluster.wait_until_ready(3).await.unwrap();
    let started = std::time::Instant::now();
    while refused(&client.query(DESK, 1, 5, None, &CORPUS).await) {
        assert!(started.elapsed() < common::EVENT_TIMEOUT, "node 0 did not serve again after the partition");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Two contents published under one revision: all nodes must choose the same one and report the conflict.
#[tokio::test(flavor = "multi_thread")]
async fn two_contents_under_one_revision_are_decided_alike_everywhere() {
    let mut cluster = start(small_deployment("latency", 2_000.0)).await;
    let addresses = cluster.leaves.addresses();
    let first = cluster.deployment.document(2, &addresses);
    cluster.deployment.template("direct", "deadline_ms = 777\nfan_out = \"direct\"\n");
    let second = cluster.deployment.document(2, &addresses);
    cluster.platform.state.force(&first);
    wait_for_revision(&cluster, 2).await;
    cluster.platform.state.force(&second);
    let mut versions = Vec::new();
    for node in 0..3 {
        let named =
            wait_for_report(&cluster, node, "the conflict", |report| !report.conflicts.is_empty()).await;
        versions.push(named.conflicts[0].in_force);
    }
    assert_eq!(versions[0], versions[1]);
    assert_eq!(versions[1], versions[2]);
    for node in 0..3 {
        let decided = |report: &sablebay_node::NodeReport| report.version.digest == versions[0];
        wait_for_report(&cluster, node, "the decision", decided).await;
    }
}

/// An invalid revision is rejected as a whole, and every node reports its findings.
#[tokio::test(flavor = "multi_thread")]
async fn a_bad_revision_is_rejected_everywhere_with_its_findings() {
    let cluster = start(small_deployment("latency", 2_000.0)).await;
    let sound = cluster.deployment.document(2, &cluster.leaves.addresses());
    cluster.platform.state.force(&sound.replace("deadline_ms = 2000", "deadline_ms = 0"));
    for node in 0..3 {
        let report =
            wait_for_report(&cluster, node, "the rejection", |report| !report.rejections.is_empty()).await;
        assert_eq!(report.version.revision.0, 1);
        assert!(report.rejections[0].findings.iter().any(|finding| finding.message.contains("deadline_ms")));
    }
    let outcome = cluster.nodes[0].client().query(DESK, 1, 5, None, &CORPUS).await;
    assert!(matches!(outcome, QueryOutcome::Answered(_)), "{outcome:?}");
}

/// A candidate is compared with the configuration in force without being applied.
#[tokio::test(flavor = "multi_thread")]
async fn a_candidate_is_checked_against_what_is_in_force() {
    let mut cluster = start(small_deployment("latency", 2_000.0)).await;
    cluster.deployment.template("direct", "deadline_ms = 9\nfan_out = \"direct\"\n");
    let candidate = cluster.deployment.document(5, &cluster.leaves.addresses());
    let admin = CallerClient::new(cluster.nodes[1].admin_address);
    let (_, body) = admin.send(http::Method::POST, "/v1/configuration/check", &candidate).await.unwrap();
    let answer: serde_json::Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(answer["valid"], true);
    assert_eq!(answer["changed"], serde_json::json!(["templates.direct"]));
    assert_eq!(answer["would_be_adopted"], true);
    assert_eq!(revisions(&cluster).await, [1, 1, 1]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hollow_fleet_never_reverts_and_the_checker_notices_when_the_floor_is_off() {
    let sound = run_experiment("never-reverts", &RunOptions::default()).await.unwrap();
    assert_eq!(sound.violations, 0, "{:?}", sound.figures);
    let broken = RunOptions { broken: Some("floor".to_string()), ..RunOptions::default() };
    let result = run_experiment("never-reverts", &broken).await.unwrap();
    assert_eq!(result.break_caught, Some(true));
}
