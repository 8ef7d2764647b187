//! Callers that send requests all the time, and look at which configuration answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use http::Method;
use tokio::task::JoinSet;

use sablebay_platform_standin::{CallerCall, CallerStandIn};

use super::checker::Checker;
use super::deployment::SoakDeployment;
use super::routes::{FATAL_PATH, HARMLESS_PATH, HOST};

/// Callers of each node.
const CALLERS: u64 = 3;
/// The pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(25);
/// The pause between two attempts of a request that ends back ends.
const FATAL_PAUSE: Duration = Duration::from_millis(170);
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
    tasks.spawn(call_fatally(deployment.ways_in(), stopping.clone()));
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
        match number % 5 {
            0 | 1 => send(&way, &checker, &id, "/all/1", Method::GET).await,
            2 => send(&way, &checker, &id, "/one/1", Method::GET).await,
            3 => send(&way, &checker, &id, HARMLESS_PATH, Method::GET).await,
            _ => send(&way, &checker, &id, "/once/1", Method::POST).await,
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Sends a request that ends back ends, to one node after the other. What becomes of it shows at the back ends.
async fn call_fatally(ways: Vec<CallerStandIn>, stopping: Arc<AtomicBool>) {
    let mut attempt = 0;
    while !stopping.load(Ordering::Acquire) {
        let call = CallerCall {
            patience: PATIENCE,
            ..CallerCall::get(HOST, FATAL_PATH, &format!("fatal-{attempt}"))
        };
        // Nothing is promised of its answer.
        let _ = tokio::time::timeout(PATIENCE, ways[attempt % ways.len()].call(&call)).await;
        attempt += 1;
        tokio::time::sleep(FATAL_PAUSE).await;
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
