//! LOST: a machine that gets SIGTERM cuts requests that it has passed on to a leaf which has not begun
//! them, or that it holds itself.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{self, ClientSettings};
use crate::leaf::{Leaf, LeafSettings};
use crate::node::{Node, listen};
use crate::record::{Attempt, End, Record};
use crate::store::Store;

const HOST: &str = "pupu76.example";
const SERVICE: &str = "kafi81c";
const ZONES: [&str; 3] = ["kl-hall-a", "kl-hall-b", "kl-hall-c"];
const LEAFS: usize = 2;
const SLOTS: usize = 2;
const QUEUE: usize = 12;
const WORK: Duration = Duration::from_millis(600);
const CLIENTS: usize = 40;
/// The client's deadline and the route's `TimeoutMs`.
const DEADLINE: Duration = Duration::from_millis(8_000);
/// `GraceS`: from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(6);
/// `LossSlackMs`.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Requests sent later than this after the SIGTERM are not excused by a leaf at work.
const EXCUSED_SENT: Duration = Duration::from_secs(3);

const SETTLE: Duration = Duration::from_secs(8);
const LOAD_BEFORE: Duration = Duration::from_secs(10);
const LOAD_AFTER: Duration = Duration::from_secs(9);

pub fn run(trouble: bool, folder: &Path, temporary: &Path) -> Verdict {
    let record = Arc::new(Record::new());
    let Ok(listener) = listen() else { return Verdict::CouldNotRun };
    let (store, store_address) = Store::start(listener);
    for number in 0..LEAFS {
        let Ok(listener) = listen() else { return Verdict::CouldNotRun };
        let address = listener.local_addr().unwrap();
        let id = format!("i-{number}f3a91c2");
        store.put(
            &format!("servers/{id}"),
            &format!(
                "{{\"Backend\":\"{SERVICE}\",\"Address\":\"{address}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":{SLOTS},\"State\":\"ready\",\"WarmupLeftMs\":0,\"Sequence\":1}}",
                ZONES[0]
            ),
        );
        let settings = LeafSettings { id, slots: SLOTS, queue: QUEUE, work: WORK, fails: Arc::default() };
        Leaf::start(listener, settings, record.clone());
    }
    store.put("op/config", &configuration());
    let nodes = match Node::start_fleet(&ZONES, store_address, temporary) {
        Ok(nodes) => nodes,
        Err(error) => {
            eprintln!("a node can't be started: {error}");
            return Verdict::CouldNotRun;
        }
    };
    // The nodes are ended in any case.
    let played = catch_unwind(AssertUnwindSafe(|| play(trouble, &nodes, &record)));
    nodes.iter().for_each(|node| node.kill());
    let verdict = played.unwrap_or(Verdict::CouldNotRun);
    if std::fs::write(folder.join("record.txt"), record.text()).is_err() {
        return Verdict::CouldNotRun;
    }
    verdict
}

fn configuration() -> String {
    let milliseconds = DEADLINE.as_millis();
    format!(
        "{{\"Version\":7,\"Routes\":[{{\"Name\":\"r-qmv2937\",\"Hostname\":\"{HOST}\",\"PathPrefix\":\"/timi402/\",\"Type\":\"unsafe\",\"TimeoutMs\":{milliseconds},\"TargetLatencyMs\":800,\"Priority\":2,\"Backend\":\"{SERVICE}\",\"MaxAttempts\":2}}],\"Services\":[{{\"Name\":\"{SERVICE}\",\"HealthPath\":\"/health\",\"MaxConnections\":26,\"Protocol\":\"h1\",\"Tls\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}"
    )
}

fn play(trouble: bool, nodes: &[Arc<Node>], record: &Arc<Record>) -> Verdict {
    let began = Instant::now();
    while began.elapsed() < SETTLE || !nodes.iter().all(|node| node.takes_connections.load(Ordering::Acquire))
    {
        if began.elapsed() > SETTLE * 2 {
            eprintln!("the nodes don't become ready");
            nodes.iter().for_each(|node| eprintln!("{}: {}", node.name, node.last_output()));
            return Verdict::CouldNotRun;
        }
        thread::sleep(Duration::from_millis(50));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let settings = ClientSettings {
                number,
                host: HOST.to_string(),
                path: "/timi402/2f".to_string(),
                deadline: DEADLINE,
                pause: Duration::ZERO,
            };
            client::start(settings, nodes.to_vec(), record.clone(), stop.clone())
        })
        .collect();
    thread::sleep(LOAD_BEFORE);
    let signalled_at = record.now();
    if trouble {
        record.note(format!("SIGTERM to {}", nodes[0].name));
        nodes[0].signal("TERM");
        let ended = nodes[0].wait(GRACE);
        record.note(if ended {
            format!("{} has ended", nodes[0].name)
        } else {
            format!("SIGKILL to {}: the grace time is over", nodes[0].name)
        });
        if !ended {
            nodes[0].kill();
        }
    }
    let until = signalled_at + GRACE + LOAD_AFTER;
    thread::sleep(until.saturating_sub(record.now()));
    stop.store(true, Ordering::Release);
    clients.into_iter().for_each(|client| client.join().unwrap_or_default());
    judge(signalled_at, record)
}

/// Why a request that was cut counts as lost, if it does.
fn why_lost(attempt: &Attempt, signalled_at: Duration) -> Option<&'static str> {
    if attempt.end != Some(End::Cut) || attempt.node != 0 {
        return None;
    }
    let cut_at = attempt.ended_at?;
    let held = cut_at - attempt.sent_at;
    // Around planned work, and before the deadline and the route's timeout.
    if cut_at < signalled_at || cut_at > signalled_at + GRACE + Duration::from_secs(1) || held >= DEADLINE {
        return None;
    }
    let at_work = attempt.begun_at.is_some_and(|begun| begun <= cut_at)
        && attempt.done_at.is_none_or(|done| done + LOSS_SLACK >= cut_at);
    let in_last_sixth = cut_at >= signalled_at + GRACE * 5 / 6;
    if at_work && in_last_sixth && attempt.sent_at <= signalled_at + EXCUSED_SENT {
        return None;
    }
    if attempt.arrived_at.is_some_and(|arrived| arrived <= cut_at) {
        return Some("it had been passed on to a leaf, which was not at work on it");
    }
    (held > LOSS_SLACK).then_some("it had been held, and was passed on to no leaf")
}

fn judge(signalled_at: Duration, record: &Record) -> Verdict {
    let attempts = record.attempts();
    let (mut answered, mut failed, mut cut, mut passed_on, mut held) = (0, 0, 0, 0, 0);
    for (id, attempt) in &attempts {
        match attempt.end {
            Some(End::Answered(200)) => answered += 1,
            Some(End::Cut) => cut += 1,
            _ => failed += 1,
        }
        if let Some(why) = why_lost(attempt, signalled_at) {
            record.note(format!("LOST: request {id} was cut without an answer: {why}"));
            if attempt.arrived_at.is_some() { passed_on += 1 } else { held += 1 }
        }
    }
    let summary = format!(
        "{} requests: {answered} answered with 200, {failed} otherwise, {cut} cut; lost: {passed_on} in a leaf's queue, {held} passed on to no leaf",
        attempts.len()
    );
    println!("{summary}");
    record.note(summary);
    if answered == 0 {
        return Verdict::CouldNotRun;
    }
    if passed_on + held > 0 { Verdict::Broken } else { Verdict::Held }
}
