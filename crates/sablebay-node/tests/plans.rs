//! Guards against a plan being replaced by one of an older configuration revision under concurrent
//! access.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use sablebay_config::{Configuration, NodeSettings};
use sablebay_model::ServiceId;
use sablebay_node::{Node, NodeMechanisms, Shared};

const THREADS: usize = 8;
const REVISIONS: u64 = 3_000;

fn configuration(revision: u64) -> Arc<Configuration> {
    let text = format!(
        "revision = {revision}\n[templates.t]\ndeadline_ms = {}\n[instances.s]\ntemplate = \"t\"\nindex = \"i\"\n\
         [indexes.i]\npartitions = 1\nshards = [{{ partitions = \"0\", leaves = [\"l\"] }}]\n\
         [leaves.l]\naddress = \"127.0.0.1:1\"\nzone = \"z\"\n",
        100 + revision
    );
    Arc::new(Configuration::parse("test", &text).unwrap())
}

/// Reads plans while `running` is set; returns whether a plan's revision was lower than the previous one.
fn observes_older_plan(shared: &Shared, running: &AtomicBool) -> bool {
    let mut last = 0;
    while running.load(Ordering::Relaxed) {
        let Some(state) = shared.service(&ServiceId::new("s")) else { continue };
        let revision = state.direct_route().routing.lock().plan.revision.0;
        if revision < last {
            return true;
        }
        last = revision;
    }
    false
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plan_is_never_replaced_by_an_older_one() {
    let settings = NodeSettings::parse_with_overrides("test", "node = \"n\"\nzone = \"z\"\n", &[]).unwrap();
    let node = Node::start(settings, NodeMechanisms::default(), None).await.unwrap();
    let configurations: Vec<_> = (1..=REVISIONS).map(configuration).collect();
    let running = Arc::new(AtomicBool::new(true));
    let readers: Vec<_> = (0..THREADS)
        .map(|_| {
            let (shared, running) = (node.shared.clone(), running.clone());
            tokio::task::spawn_blocking(move || observes_older_plan(&shared, &running))
        })
        .collect();
    for configuration in configurations {
        node.shared.update_view(|view| view.with_configuration(configuration.clone()));
        tokio::task::yield_now().await;
    }
    running.store(false, Ordering::Relaxed);
    for reader in readers {
        assert!(!reader.await.unwrap(), "a plan was replaced by an older one");
    }
}
