//! Store answers with a missing or wrong era.

use sablebay_platform_standin::{EraNaming, StoreMode};

use crate::gathering::metric;
use crate::support::{Deployment, NodeProcess, configuration, eventually};

const OUTDATED: &str = "sablebay_gateway_source_reads_total{outcome=\"outdated\"}";
const RESTORED: &str = "sablebay_gateway_source_reads_total{outcome=\"returned\"}";

fn version_of(node: &NodeProcess) -> u64 {
    metric(node, "sablebay_gateway_configuration_version")
}

async fn wait_until_in_force(node: &NodeProcess, version: u64) {
    eventually("the configuration is in force", || async { version_of(node) == version }).await;
}

/// Guards against an outdated store, a delayed answer, or another service at the store's address.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_the_known_era_is_rejected() {
    for naming in [EraNaming::Missing, EraNaming::Other(0)] {
        let deployment = Deployment::start().await;
        let node = NodeProcess::start("node-1", deployment.store.address, &[]);
        node.wait_ready().await;
        deployment.store.set_era_naming(naming);
        deployment.store.publish(&configuration(2));
        let outdated = metric(&node, OUTDATED);
        eventually("answers are rejected", || async { metric(&node, OUTDATED) >= outdated + 3 }).await;
        assert_eq!(version_of(&node), 1, "{naming:?}");
        deployment.store.set_era_naming(EraNaming::Own);
        wait_until_in_force(&node, 2).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_has_never_named_an_era_is_followed() {
    let deployment = Deployment::start().await;
    deployment.store.set_era_naming(EraNaming::Missing);
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    deployment.store.publish(&configuration(2));
    wait_until_in_force(&node, 2).await;
    // The first named era counts as later than none.
    deployment.store.set_era_naming(EraNaming::Own);
    deployment.store.publish(&configuration(3));
    wait_until_in_force(&node, 3).await;
    assert_eq!(metric(&node, "sablebay_gateway_source_era"), 1);
}

/// The items fill more than one page of the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_listing_interrupted_by_a_restore_is_restarted() {
    let deployment = Deployment::start().await;
    for number in 0..20 {
        let mut replica = deployment.singles[0].replica.clone();
        replica.id = sablebay_catalogue::ReplicaId::new(format!("i-more-{number}"));
        deployment.store.announce(&replica);
    }
    deployment.store.take_backup();
    deployment.store.publish(&configuration(2));
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    wait_until_in_force(&node, 2).await;
    deployment.store.set_mode(StoreMode::Refusing);
    deployment.store.publish(&configuration(3));
    deployment.store.compact_history();
    deployment.store.restore_between_pages();
    deployment.store.set_mode(StoreMode::Serving);
    eventually("the restore is detected", || async { metric(&node, RESTORED) >= 1 }).await;
    deployment.store.rewrite_all_lost();
    wait_until_in_force(&node, 3).await;
    assert_eq!(metric(&node, "sablebay_gateway_source_era"), 2);
}
