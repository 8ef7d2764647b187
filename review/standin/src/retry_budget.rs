//! BUDGET: the leafs of a service fail their requests while two of three processes are killed and started
//! again. Each life of a process spends its share of the retry budget once more.

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
use crate::record::Record;
use crate::store::Store;

const HOST: &str = "pupu76.example";
const SERVICE: &str = "kafi81c";
const ZONES: [&str; 3] = ["kl-hall-a", "kl-hall-b", "kl-hall-c"];
const LEAFS: usize = 6;
const CLIENTS: usize = 9;
const PAUSE: Duration = Duration::from_millis(250);
const DEADLINE: Duration = Duration::from_millis(2_000);
/// `RetryWindowS`, `RetryBudgetRatio` and `RetryBudgetExtra`, as the nodes' settings have them.
const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const EXTRA: f64 = 56.0;

const SETTLE: Duration = Duration::from_secs(10);
const LOAD_BEFORE: Duration = Duration::from_secs(12);
const FAILING: Duration = Duration::from_secs(14);
/// Pause between two kills; the two nodes take turns.
const KILL_PAUSE: Duration = Duration::from_millis(1_200);
const DOWN: Duration = Duration::from_millis(300);

pub fn run(trouble: bool, folder: &Path, temporary: &Path) -> Verdict {
    let record = Arc::new(Record::new());
    let Ok(listener) = listen() else { return Verdict::CouldNotRun };
    let (store, store_address) = Store::start(listener);
    let fails = Arc::new(AtomicBool::new(false));
    for number in 0..LEAFS {
        let Ok(listener) = listen() else { return Verdict::CouldNotRun };
        let address = listener.local_addr().unwrap();
        let id = format!("i-{number}f3a91c2");
        let zone = ZONES[number % ZONES.len()];
        store.put(
            &format!("servers/{id}"),
            format!(
                "{{\"Backend\":\"{SERVICE}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":2,\"State\":\"ready\",\"WarmupLeftMs\":0,\"Sequence\":1}}"
            ),
        );
        let work = Duration::from_millis(10);
        let settings = LeafSettings { id, slots: 2, queue: 8, work, fails: fails.clone() };
        Leaf::start(listener, settings, record.clone());
    }
    store.put("op/config", configuration());
    let nodes = match Node::start_fleet(&ZONES, store_address, temporary) {
        Ok(nodes) => nodes,
        Err(error) => {
            eprintln!("a node can't be started: {error}");
            return Verdict::CouldNotRun;
        }
    };
    // The nodes are ended in any case.
    let played = catch_unwind(AssertUnwindSafe(|| play(trouble, &fails, &nodes, &record)));
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
        "{{\"Version\":7,\"Routes\":[{{\"Name\":\"r-qmv2937\",\"Hostname\":\"{HOST}\",\"PathPrefix\":\"/timi402/\",\"Type\":\"safe\",\"TimeoutMs\":{milliseconds},\"TargetLatencyMs\":200,\"Priority\":2,\"Backend\":\"{SERVICE}\",\"MaxAttempts\":2}}],\"Services\":[{{\"Name\":\"{SERVICE}\",\"HealthPath\":\"/health\",\"MaxConnections\":110,\"Protocol\":\"h1\",\"Tls\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}"
    )
}

fn play(trouble: bool, fails: &AtomicBool, nodes: &[Arc<Node>], record: &Arc<Record>) -> Verdict {
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
                pause: PAUSE,
            };
            // Each client belongs to a zone.
            let mut own_first = nodes.to_vec();
            own_first.rotate_left(number % nodes.len());
            client::start(settings, own_first, record.clone(), stop.clone())
        })
        .collect();
    thread::sleep(LOAD_BEFORE);
    record.note("all leafs begin to fail their requests".to_string());
    fails.store(true, Ordering::Release);
    let failing_until = record.now() + FAILING;
    thread::sleep(KILL_PAUSE);
    let mut turn = 0;
    while record.now() < failing_until {
        if trouble {
            let node = &nodes[turn % 2];
            record.note(format!("{} is killed", node.name));
            node.kill();
            thread::sleep(DOWN);
            if node.start().is_err() {
                return Verdict::CouldNotRun;
            }
            record.note(format!("{} is started again", node.name));
        }
        turn += 1;
        thread::sleep(KILL_PAUSE);
    }
    record.note("the leafs serve again".to_string());
    fails.store(false, Ordering::Release);
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Release);
    clients.into_iter().for_each(|client| client.join().unwrap_or_default());
    judge(record)
}

fn judge(record: &Record) -> Verdict {
    let attempts = record.attempts();
    let sent: Vec<Duration> = attempts.values().map(|attempt| attempt.sent_at).collect();
    let mut beyond: Vec<Duration> = Vec::new();
    for attempt in attempts.values() {
        let mut arrivals = attempt.arrivals.clone();
        arrivals.sort();
        beyond.extend(arrivals.into_iter().skip(1));
    }
    beyond.sort();
    let within = |times: &[Duration], from: Duration| {
        times.iter().filter(|at| **at >= from && **at < from + WINDOW).count()
    };
    // The requests are those of the window, of the one before it or of the one half a window before it,
    // whichever are most.
    let requests = |from: Duration| {
        let earlier = [Duration::ZERO, WINDOW / 2, WINDOW].map(|by| within(&sent, from.saturating_sub(by)));
        earlier.into_iter().max().unwrap_or(0)
    };
    let mut worst = (0, 0, 0.0, f64::MIN, Duration::ZERO);
    for from in &beyond {
        let (repeats, requests) = (within(&beyond, *from), requests(*from));
        let allowed = RATIO * requests as f64 + EXTRA;
        let excess = repeats as f64 - allowed;
        if excess > worst.3 {
            worst = (repeats, requests, allowed, excess, *from);
        }
    }
    let (repeats, requests, allowed, excess, from) = worst;
    let summary = format!(
        "worst window, from {:.3} s: {repeats} arrivals beyond the first of their request for {requests} requests; allowed {allowed:.1}",
        from.as_secs_f64()
    );
    println!("{summary}");
    record.note(summary);
    if sent.is_empty() || beyond.is_empty() {
        return Verdict::CouldNotRun;
    }
    if excess > 0.0 { Verdict::Broken } else { Verdict::Held }
}
