//! The lifecycle of a node process: reload of settings, the status command, and the planned stop.

use std::time::Duration;

use rustix::process::Signal;

use sablebay_platform_standin::{CallerCall, LeafBehaviour};

use crate::support::{Deployment, HOST, NodeProcess, SAFE_PATH, configuration, eventually};

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_finishes_what_is_in_flight() {
    let deployment = Deployment::start().await;
    let mut node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    for leaf in &deployment.singles {
        leaf.behave(LeafBehaviour::Slow(Duration::from_millis(1_500)));
    }
    let caller = node.caller;
    let calls: Vec<_> = (0..4)
        .map(|number| {
            let call = CallerCall {
                timeout: Duration::from_secs(30),
                ..CallerCall::get(HOST, SAFE_PATH, &format!("r-{number}"))
            };
            tokio::spawn(async move { caller.call(&call).await })
        })
        .collect();
    eventually("the requests arrive", || async { (0..4).all(|n| deployment.runs_of(&format!("r-{n}")) > 0) })
        .await;
    node.signal(Signal::TERM);
    for call in calls {
        let answer = call.await.expect("the task ends").expect("a complete answer");
        assert_eq!(answer.status.as_u16(), 200);
    }
    assert_eq!(node.exit_code().await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_reports_unready_and_still_serves_late_requests() {
    let deployment = Deployment::start().await;
    let mut node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    deployment.singles[0].behave(LeafBehaviour::Slow(Duration::from_millis(700)));
    deployment.singles[1].behave(LeafBehaviour::Slow(Duration::from_millis(700)));
    let caller = node.caller;
    let long = tokio::spawn(async move { caller.call(&CallerCall::get(HOST, SAFE_PATH, "long")).await });
    eventually("the request arrives", || async { deployment.runs_of("long") > 0 }).await;
    node.signal(Signal::TERM);
    eventually("the node is unready", || async { !node.is_ready().await }).await;
    let late = node.caller.call(&CallerCall::get(HOST, SAFE_PATH, "late")).await;
    // The listener may be closed by now; an accepted request must be served.
    if let Ok(answer) = late {
        assert_eq!(answer.status.as_u16(), 200);
    }
    assert_eq!(long.await.expect("the task ends").expect("an answer").status.as_u16(), 200);
    assert_eq!(node.exit_code().await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hang_up_signal_reloads_the_settings_and_invalid_settings_change_nothing() {
    let deployment = Deployment::start().await;
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    let text = std::fs::read_to_string(&node.settings_path).expect("the settings are read");
    for changed in
        [text.replace("retry_fixed = 1000", "retry_fixed = \"many\""), text.replace("1000", "1001")]
    {
        std::fs::write(&node.settings_path, changed).expect("the settings are written");
        node.signal(Signal::HUP);
        assert_eq!(node.get(SAFE_PATH, "r-1").await.status.as_u16(), 200);
        assert!(node.is_ready().await);
    }
}

/// The output of `sablebay status` for a node.
fn status(node: &NodeProcess) -> String {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_sablebay"))
        .args(["status", "--admin", &node.admin.to_string()])
        .output()
        .expect("the command runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn status_shows_routes_and_replicas_of_every_node() {
    let deployment = Deployment::start().await;
    deployment.store.publish(&configuration(7));
    let first = NodeProcess::start("node-1", deployment.store.address, &[]);
    let second = NodeProcess::start("node-2", deployment.store.address, &[first.peers]);
    first.wait_ready().await;
    second.wait_ready().await;
    let leaves = deployment.leaves().count();
    eventually("status shows both nodes with their version and replicas", || async {
        let text = status(&first);
        let shown = |line: &&str| {
            let words: Vec<&str> = line.split_whitespace().collect();
            words.len() > 2
                && words[0].starts_with("node-")
                && words[1] == "7"
                && words[2] == leaves.to_string()
        };
        text.contains("GATEWAY") && text.lines().filter(shown).count() == 2
    })
    .await;
}
