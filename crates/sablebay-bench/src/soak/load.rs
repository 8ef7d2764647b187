//! Callers that send requests continuously.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use http::{HeaderName, HeaderValue, Method};
use tokio::task::JoinSet;

use sablebay_platform_standin::{CallerCall, CallerStandIn};

use super::checker::Checker;
use super::deployment::SoakDeployment;
use super::routes::{FATAL_PATH, HARMLESS_PATH, HOST, PUBLIC_PATH};
use super::tenants::{FORGED_TENANT, ROTATING_KEY, STEADY_KEY, UNKNOWN_KEY};

/// Tenant header, forged by callers.
const TENANT: HeaderName = HeaderName::from_static("x-sablebay-tenant");
/// Number of callers per node.
const CALLERS: u64 = 3;
/// Number of request kinds, sent round-robin.
const PATHS: u64 = 6;
/// Pause of a caller between requests.
const PAUSE: Duration = Duration::from_millis(25);
/// Pause between fatal requests.
const FATAL_PAUSE: Duration = Duration::from_millis(170);
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Additional time before the caller disconnects.
const CALL_TIMEOUT_SLACK: Duration = Duration::from_millis(500);

/// Running callers.
pub struct Load {
    stopping: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

impl Load {
    /// Stops the callers after their current requests.
    pub async fn stop(self) {
        self.stopping.store(true, Ordering::Release);
        self.tasks.join_all().await;
    }
}

/// Starts the callers of every node.
pub fn start(deployment: &SoakDeployment, checker: Arc<Checker>) -> Load {
    let stopping = Arc::new(AtomicBool::new(false));
    let numbers = Arc::new(AtomicU64::new(0));
    let mut tasks = JoinSet::new();
    for caller in deployment.callers() {
        for _ in 0..CALLERS {
            tasks.spawn(run_caller(caller, checker.clone(), numbers.clone(), stopping.clone()));
        }
    }
    tasks.spawn(run_fatal_caller(deployment.callers(), checker, stopping.clone()));
    Load { stopping, tasks }
}

async fn run_caller(
    caller: CallerStandIn,
    checker: Arc<Checker>,
    numbers: Arc<AtomicU64>,
    stopping: Arc<AtomicBool>,
) {
    while !stopping.load(Ordering::Acquire) {
        let number = numbers.fetch_add(1, Ordering::Relaxed);
        let id = format!("r{number}");
        let key = Some(key_of(number / PATHS));
        match number % PATHS {
            0 | 1 => send(&caller, &checker, &id, "/all/1", Method::GET, key).await,
            2 => send(&caller, &checker, &id, "/one/1", Method::GET, key).await,
            3 => send(&caller, &checker, &id, HARMLESS_PATH, Method::GET, key).await,
            4 => send(&caller, &checker, &id, PUBLIC_PATH, Method::GET, None).await,
            _ => send(&caller, &checker, &id, "/once/1", Method::POST, key).await,
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Selects the key for a request; mostly a valid one.
fn key_of(number: u64) -> &'static str {
    match number % 6 {
        0 | 1 => ROTATING_KEY,
        2 => UNKNOWN_KEY,
        _ => STEADY_KEY,
    }
}

/// Sends the fatal request to the nodes in turn. Its effects are checked at the back ends.
async fn run_fatal_caller(callers: Vec<CallerStandIn>, checker: Arc<Checker>, stopping: Arc<AtomicBool>) {
    let mut attempt = 0;
    while !stopping.load(Ordering::Acquire) {
        let call = CallerCall {
            timeout: CALL_TIMEOUT,
            ..CallerCall::get(HOST, FATAL_PATH, &format!("fatal-{attempt}"))
        };
        let call = checker.with_key(call, Some(STEADY_KEY));
        // The answer is unspecified.
        let _ = tokio::time::timeout(CALL_TIMEOUT, callers[attempt % callers.len()].call(&call)).await;
        attempt += 1;
        tokio::time::sleep(FATAL_PAUSE).await;
    }
}

async fn send(
    caller: &CallerStandIn,
    checker: &Checker,
    id: &str,
    path: &str,
    method: Method,
    key: Option<&'static str>,
) {
    let once = method == Method::POST;
    let body = if once { b"an order".to_vec() } else { Vec::new() };
    let call = CallerCall { method, body, timeout: CALL_TIMEOUT, ..CallerCall::get(HOST, path, id) };
    let call = call.with_header(TENANT, HeaderValue::from_static(FORGED_TENANT));
    let call = checker.with_key(call, key);
    checker.sent(id, once);
    match tokio::time::timeout(CALL_TIMEOUT + CALL_TIMEOUT_SLACK, caller.call(&call)).await {
        Ok(Ok(answer)) => checker.answered(id, path.starts_with("/all/"), &answer),
        Ok(Err(_)) | Err(_) => checker.unanswered(),
    }
}
