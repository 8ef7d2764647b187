//! Callers that send requests all the time, and look at which configuration answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use http::Method;
use tokio::task::JoinSet;

use sablebay_platform_standin::{CallerCall, CallerStandIn};

use super::checker::Checker;
use super::deployment::SoakDeployment;
use super::routes::HOST;

/// Callers of each node.
const CALLERS: u64 = 3;
/// The pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(25);
/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// How long it waits beyond that before it leaves.
const SLACK: Duration = Duration::from_millis(500);

/// Running callers.
pub struct Load {
    stopping: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

impl Load {
    /// Ends them after the request that each is at.
    pub async fn stop(self) {
        self.stopping.store(true, Ordering::Release);
        self.tasks.join_all().await;
    }
}

/// Starts callers of every node.
pub fn start(deployment: &SoakDeployment, checker: Arc<Checker>) -> Load {
    let stopping = Arc::new(AtomicBool::new(false));
    let numbers = Arc::new(AtomicU64::new(0));
    let mut tasks = JoinSet::new();
    for way in deployment.ways_in() {
        for _ in 0..CALLERS {
            tasks.spawn(call_on(way, checker.clone(), numbers.clone(), stopping.clone()));
        }
    }
    Load { stopping, tasks }
}

async fn call_on(
    way: CallerStandIn,
    checker: Arc<Checker>,
    numbers: Arc<AtomicU64>,
    stopping: Arc<AtomicBool>,
) {
    while !stopping.load(Ordering::Acquire) {
        let number = numbers.fetch_add(1, Ordering::Relaxed);
        let id = format!("r{number}");
        match number % 4 {
            0 | 1 => send(&way, &checker, &id, "/all/1", Method::GET).await,
            2 => send(&way, &checker, &id, "/one/1", Method::GET).await,
            _ => send(&way, &checker, &id, "/once/1", Method::POST).await,
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn send(way: &CallerStandIn, checker: &Checker, id: &str, path: &str, method: Method) {
    let once = method == Method::POST;
    let body = if once { b"an order".to_vec() } else { Vec::new() };
    let call = CallerCall { method, body, patience: PATIENCE, ..CallerCall::get(HOST, path, id) };
    checker.sent(id, once);
    match tokio::time::timeout(PATIENCE + SLACK, way.call(&call)).await {
        Ok(Ok(answer)) => checker.answered(id, path.starts_with("/all/"), &answer),
        Ok(Err(_)) | Err(_) => checker.unanswered(),
    }
}
