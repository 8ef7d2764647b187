//! A node on a small machine, and the checks after each crowd.

use std::time::Duration;

use http::Method;
use tokio::sync::{Mutex, MutexGuard};

use sablebay_catalogue::CallerLimits;
use sablebay_platform_standin::CallerCall;

use crate::support::{Deployment, HOST, NodeProcess, SAFE_PATH, configuration, eventually, settings_text};

/// Memory of the smallest machine, in kB.
const MACHINE_MEMORY_KB: u64 = 160_000;
/// Descriptors of such a machine.
const MACHINE_DESCRIPTORS: u64 = 4_100;
/// How long an ordinary caller waits for an answer before it asks again.
const CALLER_PATIENCE: Duration = Duration::from_secs(5);

/// The limits of a single request.
pub const LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16_384,
    body_bytes: 262_144,
    // So long that a crowd does not leave during a test.
    header_timeout_ms: 600_000,
    idle_timeout_ms: 600_000,
};

/// Held by the test that runs.
static ALONE: Mutex<()> = Mutex::const_new(());

pub struct Trial {
    pub deployment: Deployment,
    pub node: NodeProcess,
    descriptors: u64,
    _alone: MutexGuard<'static, ()>,
}

impl Trial {
    /// Starts a node on a machine of the smallest kind.
    pub async fn start() -> Self {
        Self::start_with_descriptors(MACHINE_DESCRIPTORS).await
    }

    /// Like [`Trial::start`], with fewer descriptors.
    pub async fn start_with_descriptors(descriptors: u64) -> Self {
        /// Longer than any test.
        const TIME_LIMIT_MS: u64 = 600_000;
        let alone = ALONE.lock().await;
        let deployment = Deployment::start().await;
        let mut configuration = configuration(2);
        configuration.limits = LIMITS;
        for route in &mut configuration.routes {
            route.time_limit_ms = TIME_LIMIT_MS;
        }
        deployment.store.publish(&configuration);
        let settings = settings_text("node-1", deployment.store.address, &[])
            .replace("log_level = \"warn\"", "log_level = \"error\"");
        let node = NodeProcess::start_with_descriptors(&settings, descriptors);
        node.wait_ready().await;
        Self { deployment, node, descriptors, _alone: alone }
    }

    /// Waits until an ordinary caller is answered, who asks again when refused.
    pub async fn check_ordinary_request(&self, id: &str) {
        self.check_served(&CallerCall::get(HOST, SAFE_PATH, id)).await;
    }

    /// Waits until a body of the largest size is served.
    pub async fn check_large_request(&self, id: &str) {
        let body = vec![b'x'; LIMITS.body_bytes];
        self.check_served(&CallerCall { method: Method::POST, body, ..CallerCall::get(HOST, SAFE_PATH, id) })
            .await;
    }

    async fn check_served(&self, call: &CallerCall) {
        eventually("an ordinary request is answered", || async {
            let answer = tokio::time::timeout(CALLER_PATIENCE, self.node.caller.call(call)).await;
            matches!(answer, Ok(Ok(answer)) if answer.status.as_u16() == 200 && answer.stamp.is_some())
        })
        .await;
    }

    /// Checks that the process lives within its machine.
    pub fn check_machine(&mut self) {
        assert!(self.node.is_running(), "the process has ended");
        let peak_kb = self.node.peak_memory_kb();
        let open = self.node.open_descriptors();
        println!("a peak of {peak_kb} kB, {open} descriptors are open");
        assert!(peak_kb < MACHINE_MEMORY_KB, "the node took {peak_kb} kB");
        assert!((open as u64) < self.descriptors, "{open} descriptors are open");
    }

    /// Waits until the node has read what a crowd has sent: it takes no more processor time, or the wait is over.
    async fn settle(&self) {
        const REST: Duration = Duration::from_millis(300);
        const CHECKS: usize = 30;
        for _ in 0..CHECKS {
            let before = self.node.processor_ticks();
            tokio::time::sleep(REST).await;
            if self.node.processor_ticks() <= before + 1 {
                return;
            }
        }
    }

    /// Checks a node while a crowd stays, and after the crowd has left.
    pub async fn check_beside<T>(&mut self, crowd: T) {
        self.settle().await;
        self.check_ordinary_request("beside").await;
        self.check_machine();
        drop(crowd);
        self.check_large_request("after").await;
        self.check_ordinary_request("after-it").await;
        self.check_machine();
    }
}
