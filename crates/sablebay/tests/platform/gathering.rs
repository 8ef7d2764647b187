//! Delegated gathering: all back ends are in one zone, and the node that receives the requests (the root)
//! is in another.

use std::time::Duration;

use rustix::process::Signal;

use sablebay_platform_standin::{CallerAnswer, CallerCall, LeafBehaviour};

use crate::support::{
    Deployment, GATHER_PATH, HOST, NodeProcess, SAFE_PATH, SHARDS, check_gathered, configuration, eventually,
};

/// A deployment with gatherers in the zone of the back ends, and a root in a zone without back ends.
struct Fleet {
    deployment: Deployment,
    gatherers: Vec<NodeProcess>,
    root: NodeProcess,
}

/// The value of a node's metric; 0 if the metric is absent.
pub fn metric(node: &NodeProcess, name: &str) -> u64 {
    let text = node.admin_text("/metrics");
    let lines = text.lines().filter_map(|line| line.strip_prefix(name));
    lines.filter_map(|value| value.trim().parse::<u64>().ok()).sum()
}

/// The number of delegations that other nodes answered.
pub const ANSWERED_DELEGATIONS: &str = "sablebay_gateway_delegations_total{outcome=\"answered\"}";

/// Sends requests until one was gathered by another node.
pub async fn wait_until_delegated(root: &NodeProcess) {
    let number = std::sync::atomic::AtomicU32::new(0);
    eventually("a request is gathered by another node", || async {
        let number = number.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let id = format!("warm-{number}");
        check_gathered(&root.get(GATHER_PATH, &id).await, &id);
        metric(root, ANSWERED_DELEGATIONS) > 0
    })
    .await;
}

impl Fleet {
    async fn start(gatherers: usize) -> Self {
        let deployment = Deployment::start().await;
        let mut nodes: Vec<NodeProcess> = Vec::new();
        for number in 0..gatherers {
            let seeds: Vec<_> = nodes.iter().map(|node| node.peers).collect();
            nodes.push(NodeProcess::start(&format!("node-{number}"), deployment.store.address, &seeds));
        }
        let seeds: Vec<_> = nodes.iter().map(|node| node.peers).collect();
        let root = NodeProcess::start_in("zone-b", "root", deployment.store.address, &seeds);
        for node in nodes.iter().chain([&root]) {
            node.wait_ready().await;
        }
        wait_until_delegated(&root).await;
        Self { deployment, gatherers: nodes, root }
    }

    fn slow_shards(&self, delay: Duration) {
        for leaf in &self.deployment.shards {
            leaf.behave(LeafBehaviour::Slow(delay));
        }
    }

    /// Starts a gather request, and waits until each shard runs it.
    async fn start_request(
        &self,
        id: &'static str,
    ) -> tokio::task::JoinHandle<sablebay_platform_standin::CallerAnswer> {
        let caller = self.root.caller;
        let call = CallerCall { timeout: Duration::from_secs(60), ..CallerCall::get(HOST, GATHER_PATH, id) };
        let pending_call = tokio::spawn(async move { caller.call(&call).await.expect("an answer") });
        let runs = || async { self.deployment.runs_of(id) >= u32::from(SHARDS) };
        eventually("each shard runs the request", runs).await;
        pending_call
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_delegated_shard_whose_back_ends_send_status_000_is_missing() {
    let fleet = Fleet::start(1).await;
    for leaf in &fleet.deployment.shards[..2] {
        leaf.behave(LeafBehaviour::Status("000"));
    }
    let delegated = metric(&fleet.root, ANSWERED_DELEGATIONS);
    for number in 0..4 {
        let id = format!("zero-{number}");
        let answer = fleet.root.get(GATHER_PATH, &id).await;
        check_gathered(&answer, &id);
        assert_eq!(answer.missing, 1, "{id}");
    }
    assert!(metric(&fleet.root, ANSWERED_DELEGATIONS) > delegated, "nothing was delegated");
}

/// Heads of which the gatherer gets a part, and of a success that nobody signed.
const NO_ANSWERS: [LeafBehaviour; 4] = [
    LeafBehaviour::HeadCut { head: SIGNED_HEAD, bytes: 17 },
    LeafBehaviour::HeadCut { head: SIGNED_HEAD, bytes: 60 },
    LeafBehaviour::Head("HTTP/1.1 200 OK\nX-Sablebay-Request-Id: {id}\nContent-Length: {length}\n"),
    LeafBehaviour::Head(
        "HTTP/1.1 200 OK\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp:\nContent-Length: {length}\n",
    ),
];
const SIGNED_HEAD: &str =
    "HTTP/1.1 200 OK\nX-Sablebay-Request-Id: {id}\nX-Sablebay-Response-Stamp: {stamp}\nConnection: close\n";

/// Guards against a merged answer that names as a part what a gatherer got no answer for.
#[tokio::test(flavor = "multi_thread")]
async fn a_delegated_shard_without_a_signed_answer_is_missing() {
    for behaviour in NO_ANSWERS {
        let fleet = Fleet::start(1).await;
        for leaf in &fleet.deployment.shards[..2] {
            leaf.behave(behaviour);
        }
        let delegated = metric(&fleet.root, ANSWERED_DELEGATIONS);
        for number in 0..4 {
            let id = format!("unsigned-{number}");
            let answer = fleet.root.get(GATHER_PATH, &id).await;
            check_gathered(&answer, &id);
            assert_eq!(answer.missing, 1, "{behaviour:?}");
        }
        assert!(metric(&fleet.root, ANSWERED_DELEGATIONS) > delegated, "nothing was delegated");
    }
}

/// Each gatherer would hold a copy of the body, outside the memory that the root accounts for.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_a_large_body_is_not_delegated() {
    const BODY_BYTES: usize = 64 << 10;
    let fleet = Fleet::start(1).await;
    let mut larger = configuration(2);
    larger.limits.body_bytes = BODY_BYTES;
    fleet.deployment.store.publish(&larger);
    let is_accepted = |answer: CallerAnswer| answer.status.as_u16() == 200;
    let call =
        |id: &str| CallerCall { body: vec![b'x'; BODY_BYTES], ..CallerCall::get(HOST, GATHER_PATH, id) };
    eventually("the larger limit is in force", || async {
        is_accepted(fleet.root.call(&call("in-force")).await)
    })
    .await;
    let delegated = metric(&fleet.root, ANSWERED_DELEGATIONS);
    for number in 0..4 {
        let id = format!("large-{number}");
        let answer = fleet.root.call(&call(&id)).await;
        check_gathered(&answer, &id);
        assert_eq!(answer.missing, 0, "{id}");
    }
    assert_eq!(metric(&fleet.root, ANSWERED_DELEGATIONS), delegated);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_merged_part_holds_what_the_shards_hold() {
    let fleet = Fleet::start(2).await;
    for number in 0..20 {
        let id = format!("r-{number}");
        let answer = fleet.root.get(GATHER_PATH, &id).await;
        check_gathered(&answer, &id);
        assert_eq!(answer.missing, 0);
        assert_eq!(fleet.deployment.runs_of(&id), u32::from(SHARDS), "one back end of each shard");
    }
    assert!(metric(&fleet.root, ANSWERED_DELEGATIONS) > 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_are_counted_by_what_they_are_for_and_by_zone() {
    let fleet = Fleet::start(1).await;
    let counted = |node: &NodeProcess, direction: &str, kind: &str, zone: &str| {
        let labels = format!("{{kind=\"{kind}\",zone=\"{zone}\"}}");
        metric(node, &format!("sablebay_traffic_{direction}_bytes_total{labels}"))
    };
    let (root, gatherer) = (&fleet.root, &fleet.gatherers[0]);
    let merged = counted(root, "received", "merged_part", "other");
    assert!(merged > 0, "the gatherer is in another zone");
    assert_eq!(counted(root, "received", "merged_part", "own"), 0);
    assert!(counted(gatherer, "sent", "merged_part", "other") >= merged);
    assert!(
        counted(gatherer, "received", "first_call", "own") > 0,
        "the gatherer's replicas are in its own zone"
    );
    assert!(counted(root, "sent", "gather_request", "other") > 0);
    assert!(counted(root, "sent", "greeting", "other") > 0);
    assert!(counted(root, "sent", "member_list", "other") > 0, "the root requested the member list");
    assert!(counted(root, "sent", "catalogue_question", "other") > 0);
    assert_eq!(counted(root, "sent", "member_list", "own"), 0, "the root is alone in its zone");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_shards_of_a_gatherer_that_is_killed_are_called_by_the_root() {
    let fleet = Fleet::start(1).await;
    fleet.slow_shards(Duration::from_millis(1_500));
    let pending_call = fleet.start_request("r-1").await;
    fleet.gatherers[0].signal(Signal::KILL);
    let answer = pending_call.await.expect("the task ends");
    check_gathered(&answer, "r-1");
    assert_eq!(answer.missing, 0, "the root called every shard itself");
    fleet.slow_shards(Duration::ZERO);
    check_gathered(&fleet.root.get(GATHER_PATH, "r-2").await, "r-2");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_shards_of_a_gatherer_that_freezes_are_called_by_the_root() {
    let fleet = Fleet::start(1).await;
    fleet.gatherers[0].signal(Signal::STOP);
    for number in 0..3 {
        let id = format!("r-{number}");
        let answer = fleet.root.get(GATHER_PATH, &id).await;
        check_gathered(&answer, &id);
        assert_eq!(answer.missing, 0);
    }
    fleet.gatherers[0].signal(Signal::CONT);
    let before = metric(&fleet.root, ANSWERED_DELEGATIONS);
    let number = std::sync::atomic::AtomicU32::new(0);
    eventually("the gatherer answers delegations again", || async {
        let id = format!("again-{}", number.fetch_add(1, std::sync::atomic::Ordering::Relaxed));
        let answer = fleet.root.get(GATHER_PATH, &id).await;
        check_gathered(&answer, &id);
        let arrivals = fleet.deployment.runs_of(&id);
        assert!(arrivals <= 2 * u32::from(SHARDS), "{arrivals} runs of one request");
        metric(&fleet.root, ANSWERED_DELEGATIONS) > before
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gatherer_that_stops_as_planned_finishes_what_it_took() {
    let mut fleet = Fleet::start(1).await;
    fleet.slow_shards(Duration::from_millis(1_500));
    let pending_call = fleet.start_request("r-1").await;
    fleet.gatherers[0].signal(Signal::TERM);
    let answer = pending_call.await.expect("the task ends");
    check_gathered(&answer, "r-1");
    assert_eq!(answer.missing, 0);
    assert_eq!(fleet.deployment.runs_of("r-1"), u32::from(SHARDS), "no shard was called twice");
    fleet.slow_shards(Duration::ZERO);
    assert_eq!(fleet.gatherers[0].exit_code().await, Some(0));
    check_gathered(&fleet.root.get(GATHER_PATH, "r-2").await, "r-2");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_ends_the_work_that_others_do_for_it() {
    let fleet = Fleet::start(1).await;
    for leaf in &fleet.deployment.shards {
        leaf.behave(LeafBehaviour::Slow(Duration::from_secs(3_600)));
    }
    let pending_call = fleet.start_request("r-1").await;
    pending_call.abort();
    let cancelled = || fleet.deployment.shards.iter().map(|leaf| leaf.record().cancelled).sum::<u64>();
    eventually("the work at the back ends is cancelled", || async { cancelled() >= u64::from(SHARDS) }).await;
    assert_eq!(fleet.root.get(SAFE_PATH, "r-2").await.status.as_u16(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gatherer_of_another_configuration_gathers_what_it_is_asked_for() {
    let fleet = Fleet::start(2).await;
    // Nodes receive the version at different times; the order of shards follows the root's version.
    let mut fewer = configuration(2);
    for route in &mut fewer.routes {
        if let sablebay_catalogue::Destination::Gather(gather) = &mut route.destination {
            gather.shards.reverse();
        }
    }
    fleet.deployment.store.publish(&fewer);
    for number in 0..40 {
        let id = format!("r-{number}");
        let answer = fleet.root.get(GATHER_PATH, &id).await;
        check_gathered(&answer, &id);
        assert_eq!(answer.missing, 0);
    }
}
