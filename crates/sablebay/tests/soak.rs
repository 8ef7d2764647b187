//! A short fault soak with a fixed seed. Time bounds are not checked, so that results do not depend on
//! the speed of the machine.

use std::time::Duration;

use sablebay_bench::{Promise, SoakOptions, SoakReport, run_soak};

async fn soak(seed: u64, broken: Option<&str>) -> SoakReport {
    let logs = tempfile::tempdir().expect("a temporary folder");
    let options = SoakOptions {
        seed,
        length: Duration::from_secs(12),
        broken: broken.map(str::to_string),
        bounds: false,
        returns: broken.is_none(),
        logs: logs.path().to_path_buf(),
    };
    run_soak(&options).await.expect("the soak runs")
}

#[tokio::test(flavor = "multi_thread")]
async fn every_promise_is_kept() {
    let report = soak(7, None).await;
    assert!(report.violations.is_empty(), "{:?}", report.violations);
    assert!(report.answered > 0 && report.faults > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_holds_no_request_back_is_noticed() {
    let report = soak(7, Some("quarantine")).await;
    assert!(report.violations.iter().any(|violation| violation.promise == Promise::Containment));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_mixes_configurations_is_noticed() {
    let report = soak(7, Some("pinning")).await;
    assert!(report.violations.iter().any(|violation| violation.promise == Promise::OneSnapshot));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_looks_at_no_key_is_noticed() {
    let report = soak(7, Some("authentication")).await;
    assert!(report.violations.iter().any(|violation| violation.promise == Promise::Authentication));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_passes_on_what_callers_say_of_themselves_is_noticed() {
    let report = soak(7, Some("identity")).await;
    assert!(report.violations.iter().any(|violation| violation.promise == Promise::Identity));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_goes_by_old_keys_is_noticed() {
    let report = soak(7, Some("revocation")).await;
    assert!(report.violations.iter().any(|violation| violation.promise == Promise::Revocation));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_lets_everything_of_a_tenant_through_is_noticed() {
    let report = soak(7, Some("quota")).await;
    assert!(report.violations.iter().any(|violation| violation.promise == Promise::Quota));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_whose_stop_leaves_requests_unanswered_is_noticed() {
    let report = soak(7, Some("stop-answers")).await;
    assert!(report.violations.iter().any(|violation| violation.promise == Promise::PlannedStop));
}
