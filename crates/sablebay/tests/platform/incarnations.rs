//! Back ends that restart under the same name.

use sablebay_platform_standin::LeafStandIn;

use crate::support::{Deployment, NodeProcess, SAFE_PATH, eventually, single_service};

#[tokio::test(flavor = "multi_thread")]
async fn a_back_end_that_starts_again_under_its_name_elsewhere_gets_work() {
    let mut deployment = Deployment::start().await;
    // Only one replica remains, as the choice among several depends on latency.
    let other = deployment.singles.remove(1);
    deployment.store.remove(&other.replica.id);
    drop(other);
    let node = NodeProcess::start("node-1", deployment.store.address, &[]);
    node.wait_ready().await;
    let number = std::sync::atomic::AtomicU32::new(0);
    eventually("the first incarnation gets requests", || async {
        let number = number.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        node.get(SAFE_PATH, &format!("before-{number}")).await;
        deployment.singles[0].record().arrivals > 0
    })
    .await;
    drop(deployment.singles.remove(0));
    let again = LeafStandIn::start("i-single-0", &single_service(), 200, "zone-a").await.expect("a back end");
    deployment.store.announce(&again.replica);
    eventually("the new incarnation gets requests", || async {
        let number = number.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        node.get(SAFE_PATH, &format!("after-{number}")).await;
        again.record().arrivals > 0
    })
    .await;
}
