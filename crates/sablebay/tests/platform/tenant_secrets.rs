//! Logs, metrics and status contain no API keys, and logging of unknown callers is limited.

use std::fs::File;
use std::process::Stdio;

use http::{HeaderValue, Method};

use sablebay_platform_standin::{CallerCall, LeafBehaviour, TenantSpec};

use crate::quarantine::sablebay;
use crate::support::{
    Deployment, GATHER_PATH, HOST, NodeProcess, SAFE_PATH, UNSAFE_PATH, eventually, settings_in_zone,
};
use crate::tenants::{API_KEY, with_public_route};

/// A substring of every key in these tests.
const KEY_MARKER: &str = "wl4o9x";
/// The number of requests with an unknown key.
const UNKNOWN_CALLERS: usize = 1_000;
/// The limit on their log lines: ten per second, for the duration on a slow machine.
const MAXIMUM_LOG_LINES: usize = 300;

/// Starts a node that logs in JSON, with all fields, to a file with the node's name.
fn logging_node(
    folder: &std::path::Path,
    zone: &str,
    name: &str,
    level: &str,
    deployment: &Deployment,
    peers: &[std::net::SocketAddr],
) -> NodeProcess {
    let log = File::create(folder.join(name)).expect("a log file");
    let settings = settings_in_zone(zone, name, deployment.store.address, peers);
    let settings =
        settings.replace("log_level = \"warn\"", &format!("log_level = \"{level}\"\nlog_format = \"json\""));
    NodeProcess::start_with_log(&settings, Stdio::from(log))
}

fn key(name: &str) -> String {
    format!("key-{name}-{KEY_MARKER}")
}

fn tenants() -> Vec<TenantSpec> {
    vec![
        TenantSpec::new("tenant-a", &[&key("a"), &key("both")]),
        TenantSpec::new("tenant-b", &[&key("b"), &key("both")]),
    ]
}

/// Sends requests of every kind to a node: known, unknown, repeated and conflicting keys, failures and retries.
async fn exercise(node: &NodeProcess, deployment: &Deployment) {
    for behaviour in [LeafBehaviour::Fail, LeafBehaviour::Garbage, LeafBehaviour::LoseAnswer] {
        for leaf in deployment.leaves() {
            leaf.behave(behaviour);
        }
        for (path, method) in [(GATHER_PATH, Method::GET), (UNSAFE_PATH, Method::POST)] {
            let call = CallerCall { method, ..CallerCall::get(HOST, path, "failing").with_key(&key("a")) };
            node.call(&call).await;
        }
    }
    for leaf in deployment.leaves() {
        leaf.behave(LeafBehaviour::Answer);
    }
    let doubled = HeaderValue::from_str(&key("b")).expect("a value");
    for (number, path) in [SAFE_PATH, GATHER_PATH, UNSAFE_PATH, "/nowhere/1"].into_iter().enumerate() {
        for name in ["a", "b", "both", "unknown"] {
            let call = CallerCall::get(HOST, path, &format!("r-{number}-{name}")).with_key(&key(name));
            node.call(&call).await;
            node.call(&call.with_header(API_KEY, doubled.clone())).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_that_a_node_writes_or_serves_shows_a_key() {
    let deployment = Deployment::start().await;
    deployment.store.publish_with_tenants(&with_public_route(2), &tenants());
    let folder = tempfile::tempdir().expect("a folder");
    let gatherer = logging_node(folder.path(), "zone-a", "gatherer", "debug", &deployment, &[]);
    let peers = [gatherer.peers];
    let root = logging_node(folder.path(), "zone-b", "root", "debug", &deployment, &peers);
    gatherer.wait_ready().await;
    root.wait_ready().await;
    exercise(&root, &deployment).await;
    exercise(&gatherer, &deployment).await;
    deployment.store.publish_with_garbage_keys(&with_public_route(3), &key("in the wrong place"));
    eventually("the rejected configuration is logged", || async {
        std::fs::read_to_string(folder.path().join("root")).is_ok_and(|log| log.contains("rejected"))
            || std::fs::read_to_string(folder.path().join("gatherer"))
                .is_ok_and(|log| log.contains("rejected"))
    })
    .await;
    for name in ["root", "gatherer"] {
        let log = std::fs::read_to_string(folder.path().join(name)).expect("a log");
        for written in ["tenant-a", "unknown caller"] {
            assert!(log.contains(written), "the log of {name} lacks {written}: {log}");
        }
        let line = log.lines().find(|line| line.contains(KEY_MARKER));
        assert_eq!(line, None, "{name}");
    }
    for node in [&root, &gatherer] {
        let admin = node.admin.to_string();
        for path in ["/metrics", "/v1/status", "/v1/status?fleet=true"] {
            let text = node.admin_text(path);
            assert!(text.starts_with("HTTP/1.1 200"), "{path}: {text}");
            assert!(!text.contains(KEY_MARKER), "{path}");
        }
        for arguments in [vec!["status", "--admin", &admin], vec!["status", "--json", "--admin", &admin]] {
            assert!(!sablebay(&arguments).contains(KEY_MARKER));
        }
    }
}

/// Guessing keys must not fill the disk with log lines.
#[tokio::test(flavor = "multi_thread")]
async fn many_unknown_callers_cause_few_log_lines() {
    let deployment = Deployment::start().await;
    deployment.store.publish_with_tenants(&with_public_route(2), &tenants());
    let folder = tempfile::tempdir().expect("a folder");
    let node = logging_node(folder.path(), "zone-a", "node", "info", &deployment, &[]);
    node.wait_ready().await;
    for number in 0..UNKNOWN_CALLERS {
        let call =
            CallerCall::get(HOST, SAFE_PATH, &format!("r-{number}")).with_key(&key(&number.to_string()));
        assert_eq!(node.call(&call).await.status.as_u16(), 401);
    }
    let log = std::fs::read_to_string(folder.path().join("node")).expect("a log");
    let lines = log.lines().filter(|line| line.contains("unknown caller")).count();
    assert!(lines > 0, "some unknown callers are logged");
    assert!(lines < MAXIMUM_LOG_LINES, "{lines} lines");
    assert!(!log.contains(KEY_MARKER));
}

/// Guessing keys must not use up the log lines for other callers' failures.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_callers_do_not_suppress_log_lines_of_known_callers() {
    const FAILURES: usize = 3;
    let deployment = Deployment::start().await;
    deployment.store.publish_with_tenants(&with_public_route(2), &tenants());
    let folder = tempfile::tempdir().expect("a folder");
    let node = logging_node(folder.path(), "zone-a", "node", "info", &deployment, &[]);
    node.wait_ready().await;
    for leaf in &deployment.singles {
        leaf.behave(LeafBehaviour::Fail);
    }
    for number in 0..FAILURES {
        for stranger in 0..100 {
            let call =
                CallerCall::get(HOST, SAFE_PATH, &format!("s-{number}-{stranger}")).with_key(&key("c"));
            node.call(&call).await;
        }
        let call = CallerCall { method: Method::POST, ..CallerCall::get(HOST, UNSAFE_PATH, "failed") };
        node.call(&call.with_key(&key("a"))).await;
    }
    // The log is written asynchronously.
    let lines = || {
        let log = std::fs::read_to_string(folder.path().join("node")).expect("a log");
        log.lines().filter(|line| line.contains("\"request\":\"failed\"")).count()
    };
    eventually("each failure is logged", || async { lines() == FAILURES }).await;
}
