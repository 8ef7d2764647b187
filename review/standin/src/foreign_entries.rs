//! RECOVER: entries of another writer lie in the store, then all processes are killed at once. The system
//! doesn't serve again.

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
use crate::record::{End, Record};
use crate::store::Store;

const HOST: &str = "pupu76.example";
const SERVICE: &str = "kafi81c";
const ZONES: [&str; 3] = ["kl-hall-a", "kl-hall-b", "kl-hall-c"];
const LEAFS: usize = 3;
const CLIENTS: usize = 6;
const PAUSE: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_millis(2_000);
/// More than a page of the store holds, so that one of them ends a page.
const FOREIGN_ENTRIES: usize = 520;
/// `RecoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);

const SETTLE: Duration = Duration::from_secs(8);
const LOAD_BEFORE: Duration = Duration::from_secs(8);
const DOWN: Duration = Duration::from_millis(600);
const LOAD_AFTER: Duration = Duration::from_secs(12);

pub fn run(trouble: bool, folder: &Path, temporary: &Path) -> Verdict {
    let record = Arc::new(Record::new());
    let Ok(listener) = listen() else { return Verdict::CouldNotRun };
    let (store, store_address) = Store::start(listener);
    for (number, zone) in ZONES.iter().enumerate().take(LEAFS) {
        let Ok(listener) = listen() else { return Verdict::CouldNotRun };
        let address = listener.local_addr().unwrap();
        let id = format!("i-{number}f3a91c2");
        store.put(
            &format!("servers/{id}"),
            format!(
                "{{\"Backend\":\"{SERVICE}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":4,\"State\":\"ready\",\"WarmupLeftMs\":0,\"Sequence\":1}}"
            ),
        );
        let settings =
            LeafSettings { id, slots: 4, queue: 8, work: Duration::from_millis(20), fails: Arc::default() };
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
    let played = catch_unwind(AssertUnwindSafe(|| play(trouble, &store, &nodes, &record)));
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

fn play(trouble: bool, store: &Store, nodes: &[Arc<Node>], record: &Arc<Record>) -> Verdict {
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
    thread::sleep(LOAD_BEFORE / 2);
    if trouble {
        // For a control run: SEPARATOR=- gives keys without a blank.
        let separator = std::env::var("SEPARATOR").unwrap_or_else(|_| " ".to_string());
        record.note(format!("another writer puts {FOREIGN_ENTRIES} entries into the store, such as servers/spare{separator}000"));
        for number in 0..FOREIGN_ENTRIES {
            // No JSON, and no UTF-8.
            store.put(&format!("servers/spare{separator}{number:03}"), [0xff, 0xfe, number as u8]);
        }
    }
    thread::sleep(LOAD_BEFORE / 2);
    let killed_at = record.now();
    record.note("all processes are killed".to_string());
    nodes.iter().for_each(|node| node.kill());
    thread::sleep(DOWN);
    if nodes.iter().any(|node| node.start().is_err()) {
        return Verdict::CouldNotRun;
    }
    let returned_at = record.now();
    record.note("all processes are started again".to_string());
    thread::sleep(RECOVERY + LOAD_AFTER);
    stop.store(true, Ordering::Release);
    clients.into_iter().for_each(|client| client.join().unwrap_or_default());
    judge(killed_at, returned_at, record)
}

fn judge(killed_at: Duration, returned_at: Duration, record: &Record) -> Verdict {
    let attempts = record.attempts();
    let share = |sent: &dyn Fn(Duration) -> bool| {
        let all: Vec<_> = attempts.values().filter(|attempt| sent(attempt.sent_at)).collect();
        let served = all.iter().filter(|attempt| attempt.end == Some(End::Answered(200))).count();
        (served, all.len())
    };
    let (served_before, before) = share(&|sent_at| sent_at < killed_at);
    let (served_after, after) = share(&|sent_at| sent_at > returned_at + RECOVERY);
    let summary = format!(
        "served before the fault: {served_before} of {before}; served of those sent over {} s after the machines returned: {served_after} of {after}",
        RECOVERY.as_secs()
    );
    println!("{summary}");
    record.note(summary);
    if before == 0 || after == 0 || served_before * 4 < before {
        return Verdict::CouldNotRun;
    }
    if served_after * 4 < after { Verdict::Broken } else { Verdict::Held }
}
