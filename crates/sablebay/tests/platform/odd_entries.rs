//! Entries of another writer among those of the back ends: they name no back end, and the others hold.

use serde_json::json;

use sablebay_catalogue::{ReplicaPhase, ServiceName};
use sablebay_platform_standin::{LeafStandIn, StoreMode};

use crate::support::{
    Deployment, GATHER_PATH, NodeProcess, SAFE_PATH, UNSAFE_PATH, check_gathered, configuration_routed_to,
    eventually, single_service,
};

/// Number of odd entries of each name. With those before and behind the back ends, they fill several pages.
const ODD_ENTRIES: usize = 40;
/// Characters in the names of odd entries that have a meaning in a request's target, or may not stand there.
const ODD_CHARACTERS: [&str; 5] = ["&", "+", "#", "%", " "];
const NODES: usize = 2;

/// Writes entries under odd names before and behind those of the back ends, in the order of the keys.
fn write_odd_entries(deployment: &Deployment, odd: &str) {
    for number in 0..ODD_ENTRIES {
        for start in ["a", "spare"] {
            deployment.store.write_foreign(&format!("servers/{start}{odd}{number:03}"), &json!({}));
        }
    }
}

async fn start_nodes(deployment: &Deployment) -> Vec<NodeProcess> {
    let mut nodes: Vec<NodeProcess> = Vec::new();
    for number in 0..NODES {
        let peers: Vec<_> = nodes.iter().map(|node| node.peers).collect();
        nodes.push(NodeProcess::start(&format!("node-{number}"), deployment.store.address, &peers));
    }
    for node in &nodes {
        node.wait_ready().await;
    }
    nodes
}

async fn check_service(nodes: &[NodeProcess], round: &str) {
    for (number, node) in nodes.iter().enumerate() {
        let id = format!("{round}-{number}");
        let gathered = node.get(GATHER_PATH, &format!("all-{id}")).await;
        check_gathered(&gathered, &format!("all-{id}"));
        assert_eq!(gathered.missing, 0, "{round}");
        assert_eq!(node.get(SAFE_PATH, &format!("one-{id}")).await.status.as_u16(), 200, "{round}");
        assert_eq!(node.get(UNSAFE_PATH, &format!("once-{id}")).await.status.as_u16(), 200, "{round}");
    }
}

async fn check_restart(odd: &str) {
    let deployment = Deployment::start().await;
    let nodes = start_nodes(&deployment).await;
    write_odd_entries(&deployment, odd);
    check_service(&nodes, "before").await;
    drop(nodes);
    let nodes = start_nodes(&deployment).await;
    check_service(&nodes, "after").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_all_start_again_serve_beside_odd_entries() {
    for odd in ODD_CHARACTERS {
        check_restart(odd).await;
    }
}

/// Guards against calls to back ends under names that they do not have: each of them is refused, and spends the budget
/// of retries.
#[tokio::test(flavor = "multi_thread")]
async fn a_valid_entry_under_an_odd_name_gets_no_request() {
    let deployment = Deployment::start().await;
    for odd in ODD_CHARACTERS {
        for (number, leaf) in deployment.leaves().enumerate() {
            deployment.store.copy_foreign(&leaf.replica, &format!("servers/spare{odd}{number:03}"));
        }
    }
    let nodes = start_nodes(&deployment).await;
    for round in 0..10 {
        check_service(&nodes, &format!("round-{round}")).await;
    }
    for leaf in deployment.leaves() {
        let misdirected = leaf.record().calls.iter().filter(|call| !call.ran).count();
        assert_eq!(misdirected, 0, "{}", leaf.replica.id.name());
    }
}

/// Numbers of an entry that no replica has, and one entry that is nested deeply.
fn write_extreme_entries(deployment: &Deployment) {
    let entry = |address: &str| {
        json!({"Backend": "elsewhere", "Address": address, "Zone": "zone-a", "Version": "v1", "Slots": 2,
               "State": "ready", "WarmupLeftMs": 0, "Sequence": 1, "born": 1})
    };
    let numbers = ["1e999", "1e300", "1e19", "18446744073709551615", "18446744073709551616", "-1"];
    for (number, text) in numbers.into_iter().enumerate() {
        for field in ["WarmupLeftMs", "Slots", "Sequence", "born"] {
            let mut document = entry("127.0.0.1:9");
            document[field] = json!("NUMBER");
            let document = document.to_string().replace("\"NUMBER\"", text);
            let key = format!("servers/extreme-{field}-{number}");
            deployment.store.write_foreign_bytes(&key, document.as_bytes());
        }
    }
    for (number, port) in ["0", "65536", "-1", "99999999999999999999", ""].into_iter().enumerate() {
        let key = format!("servers/port-{number}");
        deployment.store.write_foreign(&key, &entry(&format!("127.0.0.1:{port}")));
    }
    for depth in [100, 1_000, 60_000] {
        let nested = format!("{}{}", "[".repeat(depth), "]".repeat(depth));
        deployment.store.write_foreign_bytes(&format!("servers/deep-{depth}"), nested.as_bytes());
        let within = entry("127.0.0.1:0").to_string().replacen('{', &format!("{{\"Further\":{nested},"), 1);
        deployment.store.write_foreign_bytes(&format!("servers/deep-within-{depth}"), within.as_bytes());
    }
}

/// In a watch, in a listing, and from a peer while the store is down.
#[tokio::test(flavor = "multi_thread")]
async fn entries_with_extreme_numbers_or_depth_end_no_node() {
    let deployment = Deployment::start().await;
    let mut nodes = start_nodes(&deployment).await;
    write_extreme_entries(&deployment);
    deployment.store.publish(&configuration_routed_to(20, &single_service()));
    eventually("the configuration behind these entries is in force", || async {
        nodes.iter().all(|node| node.admin_text("/metrics").contains("configuration_version 20"))
    })
    .await;
    check_service(&nodes, "watched").await;
    let listing = NodeProcess::start("listing", deployment.store.address, &[]);
    listing.wait_ready().await;
    deployment.store.set_mode(StoreMode::Silent);
    let by_peers = NodeProcess::start("by-peers", deployment.store.address, &[nodes[0].peers]);
    by_peers.wait_ready().await;
    nodes.extend([listing, by_peers]);
    check_service(&nodes, "listed").await;
    for node in &mut nodes {
        assert!(node.is_running());
    }
}

/// Guards against the removal of a live back end by an entry whose name holds that of the back end.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_named_after_a_live_back_end_takes_it_away_from_no_node() {
    let deployment = Deployment::start().await;
    let nodes = start_nodes(&deployment).await;
    let named_after = [&deployment.singles[0], &deployment.shards[0]];
    for leaf in named_after {
        deployment.store.write_foreign(&format!("servers/{}@9", leaf.replica.id.name()), &json!({}));
    }
    deployment.store.publish(&configuration_routed_to(20, &single_service()));
    eventually("the configuration behind these entries is in force", || async {
        nodes.iter().all(|node| node.admin_text("/metrics").contains("configuration_version 20"))
    })
    .await;
    let mut number = 0;
    for (leaf, path) in named_after.into_iter().zip([SAFE_PATH, GATHER_PATH]) {
        for node in &nodes {
            let before = leaf.record().arrivals;
            eventually("the back end still gets requests", || {
                number += 1;
                let id = format!("named-{number}");
                async move {
                    assert_eq!(node.get(path, &id).await.status.as_u16(), 200);
                    leaf.record().arrivals > before
                }
            })
            .await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_running_node_that_has_to_list_goes_on_beside_odd_entries() {
    for odd in ODD_CHARACTERS {
        let deployment = Deployment::start().await;
        let node = NodeProcess::start("node-1", deployment.store.address, &[]);
        node.wait_ready().await;
        deployment.store.set_mode(StoreMode::Refusing);
        write_odd_entries(&deployment, odd);
        let service = ServiceName::new("moved");
        let leaf = LeafStandIn::start("i-moved", &service, 100, "zone-a").await.expect("a back end");
        deployment.store.announce(&leaf.replica);
        let mut draining = deployment.shards[0].replica.clone();
        draining.phase = ReplicaPhase::Draining;
        deployment.store.announce(&draining);
        deployment.store.publish(&configuration_routed_to(20, &service));
        deployment.store.compact_history();
        deployment.store.set_mode(StoreMode::Serving);
        let mut number = 0;
        eventually("the configuration is in force and the draining back end gets nothing", || {
            number += 1;
            let before = deployment.shards[0].record().arrivals;
            let (node, deployment, leaf) = (&node, &deployment, &leaf);
            async move {
                let id = format!("moved-{number}");
                assert_eq!(node.get(SAFE_PATH, &id).await.status.as_u16(), 200, "{odd:?}");
                for call in 0..10 {
                    node.get(GATHER_PATH, &format!("all-{number}-{call}")).await;
                }
                leaf.runs_of(&id) > 0 && deployment.shards[0].record().arrivals == before
            }
        })
        .await;
    }
}
