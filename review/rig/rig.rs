//! Stand-ins for the review's cases: the platform's store, leafs, clients, and the processes of nodes.
//! Each case is a subcommand. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PARENT_DEATH_SIGNAL: i32 = 1;
const SIGKILL: u64 = 9;
/// `Limits.MemoryMb` of the site's machines.
const MEMORY_MB: u64 = 260;
/// A case that takes longer could not run.
const TIME_LIMIT: Duration = Duration::from_secs(100);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// The file `record.txt`: what was sent, answered and run.
#[derive(Clone)]
struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.start.elapsed().as_secs_f64());
        let _ = lock(&self.file).write_all(line.as_bytes());
    }
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
struct Message {
    /// The request line or the status line.
    line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_string())
}

/// Reads a head. `None` when the connection ended before its first byte.
fn read_head(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.line = line.trim_end().to_string();
    loop {
        line.clear();
        if stream.read_line(&mut line)? == 0 {
            return Err(broken("the connection ended within a head"));
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = text.split_once(':').ok_or_else(|| broken("a header without a colon"))?;
        message.headers.push((name.trim().to_string(), value.trim().to_string()));
    }
}

/// Reads the body that the headers announce.
fn read_body(stream: &mut BufReader<TcpStream>, message: &mut Message) -> io::Result<()> {
    if message.header("Transfer-Encoding").is_some_and(|coding| coding.contains("chunked")) {
        loop {
            let mut line = String::new();
            stream.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| broken("a bad chunk"))?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body)
}

fn read_message(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(stream)? else {
        return Ok(None);
    };
    read_body(stream, &mut message)?;
    Ok(Some(message))
}

fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

// ---------------------------------------------------------------- the platform's store

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    events: Vec<(String, Option<String>, u64)>,
}

/// The platform's store: items under keys, one counter of revisions, watches.
#[derive(Clone)]
struct Store {
    address: SocketAddr,
    contents: Arc<(Mutex<Contents>, Condvar)>,
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number =
            group.iter().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for place in 0..4 {
            if place <= group.len() {
                text.push(SIGNS[(number >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn item_text(key: &str, value: &str, revision: u64) -> String {
    format!(r#"{{"Key":"{key}","Value":"{value}","Revision":{revision},"made":{revision},"lease":0}}"#)
}

impl Store {
    fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self { address: listener.local_addr()?, contents: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn put(&self, key: &str, document: &str) {
        let (contents, changed) = &*self.contents;
        let mut contents = lock(contents);
        contents.revision += 1;
        let (value, revision) = (base64(document.as_bytes()), contents.revision);
        contents.items.insert(key.to_string(), (value.clone(), revision));
        contents.events.push((key.to_string(), Some(value), revision));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
            let parameters: HashMap<&str, &str> =
                query.split('&').filter_map(|part| part.split_once('=')).collect();
            let body = match path {
                "/kv-range" => self.range(),
                "/kv-watch" => self.watch(&parameters),
                _ => String::new(),
            };
            let status = if body.is_empty() { "404 Not Found" } else { "200 OK" };
            let bytes = answer(status, &[("Content-Type", "application/json")], body.as_bytes());
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    /// All items on one page: the cases have fewer than a page holds.
    fn range(&self) -> String {
        let contents = lock(&self.contents.0);
        let items = contents.items.iter().map(|(key, (value, revision))| item_text(key, value, *revision));
        let items: Vec<String> = items.collect();
        format!(r#"{{"items":[{}],"more":false,"at":{}}}"#, items.join(","), contents.revision)
    }

    fn watch(&self, parameters: &HashMap<&str, &str>) -> String {
        let number = |name: &str| parameters.get(name).and_then(|text| text.parse().ok()).unwrap_or(0u64);
        let (after, until) = (number("after"), Instant::now() + Duration::from_millis(number("WaitMs")));
        let (contents, changed) = &*self.contents;
        let mut contents = lock(contents);
        while contents.revision <= after && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            contents =
                changed.wait_timeout(contents, left).unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
        let later = contents.events.iter().filter(|(_, _, revision)| *revision > after);
        let events: Vec<String> = later
            .map(|(key, value, revision)| match value {
                Some(value) => item_text(key, value, *revision),
                None => format!(r#"{{"Key":"{key}","Revision":{revision},"gone":true}}"#),
            })
            .collect();
        format!(r#"{{"events":[{}],"at":{}}}"#, events.join(","), contents.revision)
    }
}

// ---------------------------------------------------------------- leafs

/// Runs a request and returns the bytes that the leaf answers.
type Work = dyn Fn(&LeafRequest<'_>) -> Vec<u8> + Send + Sync;

struct LeafRequest<'a> {
    id: &'a str,
    /// The signature of a success.
    stamp: String,
}

/// A leaf. It rejects requests that expect another one, and runs all others.
#[derive(Clone)]
struct Leaf {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    runs: Arc<Mutex<HashMap<String, u32>>>,
}

impl Leaf {
    fn start(id: &str, service: &str, zone: &str, record: &Record, work: Arc<Work>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let leaf = Self {
            id: id.to_string(),
            service: service.to_string(),
            zone: zone.to_string(),
            address: listener.local_addr()?,
            runs: Arc::default(),
        };
        let (serving, record) = (leaf.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (leaf, record, work) = (serving.clone(), record.clone(), work.clone());
                thread::spawn(move || leaf.serve(stream, &record, &*work));
            }
        });
        Ok(leaf)
    }

    /// Its entry in the store.
    fn entry(&self) -> String {
        format!(
            r#"{{"Backend":"{}","Address":"{}","Zone":"{}","Version":"v1","Slots":4,"State":"ready","WarmupLeftMs":0,"Sequence":1}}"#,
            self.service, self.address, self.zone
        )
    }

    fn register(&self, store: &Store) {
        store.put(&format!("servers/{}", self.id), &self.entry());
    }

    fn runs_of(&self, id: &str) -> u32 {
        lock(&self.runs).get(id).copied().unwrap_or(0)
    }

    fn serve(&self, stream: TcpStream, record: &Record, work: &Work) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let _ = writer.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(message)) = read_message(&mut reader) {
            let id = message.header("X-Sablebay-Request-Id").unwrap_or("").to_string();
            let expected = message.header("X-Sablebay-Expect-Instance");
            if expected.is_some_and(|expected| expected != self.id) {
                record.note(&format!("leaf {} got {id} for another instance: 421", self.id));
                let headers = [("X-Sablebay-Request-Id", id.as_str()), ("X-Sablebay-Instance-Id", &self.id)];
                if writer.write_all(&answer("421 Misdirected Request", &headers, b"")).is_err() {
                    return;
                }
                continue;
            }
            *lock(&self.runs).entry(id.clone()).or_default() += 1;
            record.note(&format!("leaf {} runs {id}: {}", self.id, message.line));
            let stamp = format!("{}.{id}", self.id);
            let bytes = work(&LeafRequest { id: &id, stamp });
            let head = String::from_utf8_lossy(&bytes);
            record.note(&format!("leaf {} answers {id}: {}", self.id, head.lines().next().unwrap_or("")));
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }
}

/// The whole answer of a sound leaf.
fn success(request: &LeafRequest<'_>) -> Vec<u8> {
    let headers = [("X-Sablebay-Request-Id", request.id), ("X-Sablebay-Response-Stamp", &request.stamp)];
    answer("200 OK", &headers, format!("done {}", request.id).as_bytes())
}

// ---------------------------------------------------------------- nodes

/// The addresses of one machine.
#[derive(Clone, Copy)]
struct Addresses {
    own_api: SocketAddr,
    admin: SocketAddr,
    control: SocketAddr,
    front: SocketAddr,
    readiness: SocketAddr,
}

impl Addresses {
    /// Addresses that nobody listens on at the moment.
    fn free() -> io::Result<Self> {
        let listeners: io::Result<Vec<_>> = (0..5).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
        let addresses: io::Result<Vec<_>> = listeners?.iter().map(TcpListener::local_addr).collect();
        let addresses = addresses?;
        Ok(Self {
            own_api: addresses[0],
            admin: addresses[1],
            control: addresses[2],
            front: addresses[3],
            readiness: addresses[4],
        })
    }
}

/// A node: the program of the deploy file as a process of its own.
struct Node {
    child: Child,
    front: SocketAddr,
    readiness: SocketAddr,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Writes the settings that the deploy file's template gives a node of a small deployment.
fn write_settings(
    path: &Path,
    name: &str,
    zone: &str,
    store: &Store,
    addresses: &Addresses,
    seeds: &[SocketAddr],
) -> io::Result<()> {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let settings = format!(
        r#"node = "{name}"
zone = "{zone}"
region = "mazowsze"
fleet = "sablebay"
fleet_key = "frames-of-this-fleet"
caller_address = "{}"
admin_address = "{}"
peer_address = "{}"
peers = [{}]
log_format = "json"
log_target = "stdout"
log_level = "info"
probe_period_ms = 400
core_share = 0.25
memory_mb = {MEMORY_MB}
descriptors = 4100

[gateway]
caller_address = "{}"
readiness_address = "{}"
catalogue_address = "{}"
start_patience_ms = 500
retry_ratio = 0.2
retry_fixed = 56
retry_window_ms = 10000
"#,
        addresses.own_api,
        addresses.admin,
        addresses.control,
        seeds.join(","),
        addresses.front,
        addresses.readiness,
        store.address
    );
    fs::write(path, settings)
}

impl Node {
    /// Starts a node that is its own only seed.
    fn start_alone(name: &str, zone: &str, store: &Store, folder: &Path) -> io::Result<Self> {
        let addresses = Addresses::free()?;
        Self::start(name, zone, store, &addresses, &[addresses.control], folder)
    }

    fn start(
        name: &str,
        zone: &str,
        store: &Store,
        addresses: &Addresses,
        seeds: &[SocketAddr],
        folder: &Path,
    ) -> io::Result<Self> {
        let path = folder.join(format!("{name}.toml"));
        write_settings(&path, name, zone, store, addresses, seeds)?;
        let log = File::options().create(true).append(true).open(folder.join(format!("{name}.log")))?;
        let mut command = Command::new(program()?);
        command.args(["serve", "--settings"]).arg(&path);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        // SAFETY: the call is async-signal-safe and touches no memory.
        unsafe {
            command.pre_exec(|| {
                prctl(PARENT_DEATH_SIGNAL, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn()?;
        let node = Self { child, front: addresses.front, readiness: addresses.readiness };
        node.wait_ready()?;
        Ok(node)
    }

    fn wait_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let asked = call(self.readiness, &request("GET", "/ready", &[], b""), Duration::from_secs(1));
            if asked.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(broken("the node did not get ready"))
    }

    /// The memory of the process, in kB.
    fn resident_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }
}

fn program() -> io::Result<PathBuf> {
    let path = std::env::var("SABLEBAY").unwrap_or("target/release/sablebay".to_string());
    fs::canonicalize(path)
}

// ---------------------------------------------------------------- clients

fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\nHost: desk.example\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a connection of its own and reads the whole answer.
fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    read_message(&mut BufReader::new(stream))?.ok_or_else(|| broken("closed without an answer"))
}

// ---------------------------------------------------------------- cases

struct Setting {
    record: Record,
    folder: PathBuf,
    trouble: bool,
}

const ROUTES: &str = r#"{"Version":1,"Routes":[
{"Name":"orders","Hostname":"desk.example","PathPrefix":"/orders/","Type":"unsafe","TimeoutMs":6000,"TargetLatencyMs":400,"Priority":2,"Backend":"archiwum","MaxAttempts":2},
{"Name":"fetch","Hostname":"desk.example","PathPrefix":"/fetch/","Type":"safe","TimeoutMs":6000,"TargetLatencyMs":400,"Priority":2,"Backend":"archiwum","MaxAttempts":2}],
"Services":[{"Name":"archiwum","HealthPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Which leafs give odd answers, and how many of their answers are odd.
struct Share {
    leafs: u32,
    /// Of this many answers...
    of: u32,
    /// ...so many are odd.
    odd: u32,
}

/// Leafs of the service.
const LEAFS: u32 = 7;

/// Starts the leafs of one service behind one node. A share of the requests that they run ends in `odd`.
fn with_odd_answers(
    setting: &Setting,
    share: Share,
    odd: fn(&LeafRequest<'_>) -> Vec<u8>,
) -> io::Result<(Node, Vec<Leaf>)> {
    let store = Store::start()?;
    let mut leafs = Vec::new();
    for number in 0..LEAFS {
        let is_odd = setting.trouble && number < share.leafs;
        let (of, odd_count) = (share.of, share.odd);
        let count = Mutex::new(0u32);
        let work = move |request: &LeafRequest<'_>| {
            thread::sleep(Duration::from_millis(5));
            let mut count = lock(&count);
            *count += 1;
            if is_odd && *count % of < odd_count { odd(request) } else { success(request) }
        };
        let zone = ["wola-a", "wola-b", "praga-c"][number as usize % 3];
        let leaf = Leaf::start(&format!("i-{number}"), "archiwum", zone, &setting.record, Arc::new(work))?;
        leaf.register(&store);
        leafs.push(leaf);
    }
    store.put("op/config", ROUTES);
    let node = Node::start_alone("frontend-wola-a-1", "wola-a", &store, &setting.folder)?;
    Ok((node, leafs))
}

/// Time between an answer and the next request.
const PAUSE: Duration = Duration::from_millis(20);

/// Sends requests one after the other, and hands each answer to `check`, which returns whether the rule holds.
fn send_all(
    setting: &Setting,
    node: &Node,
    method: &str,
    path: &str,
    mut check: impl FnMut(&str, &Message) -> bool,
) -> io::Result<bool> {
    let mut held = true;
    for number in 0..600 {
        thread::sleep(PAUSE);
        let id = format!("{number:016x}");
        let headers = [("X-Sablebay-Request-Id", id.as_str()), ("X-Sablebay-Deadline-Ms", "6000")];
        let body: &[u8] = if method == "POST" { b"one standing order" } else { b"" };
        setting.record.note(&format!("client sends {id}: {method} {path}{number}"));
        let sent = request(method, &format!("{path}{number}"), &headers, body);
        match call(node.front, &sent, Duration::from_secs(8)) {
            Ok(answer) => {
                setting.record.note(&format!(
                    "client got {id}: {} stamp {:?} {} bytes",
                    answer.line,
                    answer.header("X-Sablebay-Response-Stamp"),
                    answer.body.len()
                ));
                held &= check(&id, &answer);
            }
            Err(error) => setting.record.note(&format!("client got no answer to {id}: {error}")),
        }
    }
    Ok(held)
}

/// REFUSED: a leaf runs a request of an `unsafe` route and answers 503 without `X-Sablebay-Not-Executed`.
fn failed_with_503(setting: &Setting) -> io::Result<bool> {
    let grey = Share { leafs: 1, of: 5, odd: 2 };
    let (node, leafs) = with_odd_answers(setting, grey, |request| {
        let headers = [("X-Sablebay-Request-Id", request.id), ("X-Sablebay-Response-Stamp", &request.stamp)];
        answer("503 Service Unavailable", &headers, b"stored, but the printer is down")
    })?;
    send_all(setting, &node, "POST", "/orders/", |id, answer| {
        let runs: u32 = leafs.iter().map(|leaf| leaf.runs_of(id)).sum();
        let promised = [408, 421, 429, 503].contains(&answer.status());
        if promised && runs > 0 {
            setting
                .record
                .note(&format!("BROKEN: {id} was answered {} and has run {runs} times", answer.status()));
        }
        !(promised && runs > 0)
    })
}

/// MIXED: a leaf answers 200 without `X-Sablebay-Response-Stamp`.
fn success_without_stamp(setting: &Setting) -> io::Result<bool> {
    let garbled = Share { leafs: 4, of: 50, odd: 1 };
    let (node, _leafs) = with_odd_answers(setting, garbled, |request| {
        answer("200 OK", &[("X-Sablebay-Request-Id", request.id)], b"<html>it works</html>")
    })?;
    send_all(setting, &node, "POST", "/orders/", |id, answer| {
        let unsigned =
            (200..300).contains(&answer.status()) && answer.header("X-Sablebay-Response-Stamp").is_none();
        if unsigned {
            setting.record.note(&format!("BROKEN: {id} got a success without a stamp"));
        }
        !unsigned
    })
}

const SHARDS: usize = 4;

const GATHER_ROUTE: &str = r#"{"Version":1,"Routes":[
{"Name":"sweep","Hostname":"desk.example","PathPrefix":"/sweep/","Type":"safe","TimeoutMs":1500,"TargetLatencyMs":100,"Priority":1,"Gather":["shard-0","shard-1","shard-2","shard-3"],"MaxAttempts":2,"TopK":50,"MinShardShare":0.75}],
"Services":[{"Name":"shard-0","HealthPath":"/health","MaxConnections":26,"Protocol":"h1","Tls":false},
{"Name":"shard-1","HealthPath":"/health","MaxConnections":26,"Protocol":"h1","Tls":false},
{"Name":"shard-2","HealthPath":"/health","MaxConnections":26,"Protocol":"h1","Tls":false},
{"Name":"shard-3","HealthPath":"/health","MaxConnections":26,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// The entries of all lines of `X-Sablebay-Part-Stamps`.
fn part_stamps(answer: &Message) -> Vec<String> {
    let lines = answer.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("X-Sablebay-Part-Stamps"));
    lines.flat_map(|(_, value)| value.split(',').map(|entry| entry.trim().to_string())).collect()
}

/// MIXED: a leaf of a shard answers 200 with an empty `X-Sablebay-Response-Stamp`.
fn part_without_stamp(setting: &Setting) -> io::Result<bool> {
    let store = Store::start()?;
    for number in 0..2 * SHARDS {
        let garbles = setting.trouble && number < SHARDS;
        let count = Mutex::new(0u32);
        let work = move |request: &LeafRequest<'_>| {
            thread::sleep(Duration::from_millis(5));
            let mut count = lock(&count);
            *count += 1;
            let stamp = if garbles && count.is_multiple_of(50) { "" } else { &request.stamp };
            let headers = [("X-Sablebay-Request-Id", request.id), ("X-Sablebay-Response-Stamp", stamp)];
            answer("200 OK", &headers, &[number as u8; 32])
        };
        let (id, shard) = (format!("i-{number}"), format!("shard-{}", number / 2));
        let leaf = Leaf::start(&id, &shard, "wola-a", &setting.record, Arc::new(work))?;
        leaf.register(&store);
    }
    store.put("op/config", GATHER_ROUTE);
    let node = Node::start_alone("frontend-wola-a-1", "wola-a", &store, &setting.folder)?;
    send_all(setting, &node, "GET", "/sweep/", |id, answer| {
        let stamps = part_stamps(answer);
        let foreign = stamps.iter().any(|stamp| !stamp.ends_with(&format!(".{id}")));
        if answer.status() == 200 && foreign {
            setting.record.note(&format!("BROKEN: {id} got a success with the stamps {stamps:?}"));
        }
        answer.status() != 200 || !foreign
    })
}

/// MIXED: successes of leafs without a stamp, of one leaf and of the leafs of shards.
fn odd_stamps(setting: &Setting) -> io::Result<bool> {
    let single_held = success_without_stamp(setting)?;
    setting.record.note(&format!("requests to one leaf: held {single_held}"));
    let gathered_held = part_without_stamp(setting)?;
    setting.record.note(&format!("requests over shards: held {gathered_held}"));
    Ok(single_held && gathered_held)
}

/// Starts the leafs of a service and the store of one deployment.
fn deployment(
    setting: &Setting,
    prefix: &str,
    service: &str,
    version: u32,
) -> io::Result<(Store, Vec<Leaf>)> {
    let store = Store::start()?;
    let mut leafs = Vec::new();
    for number in 0..3 {
        let id = format!("{prefix}{number}");
        let leaf = Leaf::start(&id, service, "wola-a", &setting.record, Arc::new(success))?;
        leaf.register(&store);
        leafs.push(leaf);
    }
    let configuration = ROUTES.replace("archiwum", service);
    store.put("op/config", &configuration.replace("\"Version\":1", &format!("\"Version\":{version}")));
    Ok((store, leafs))
}

/// ROUTE: one of a node's seeds is stale; the address belongs to a machine of another deployment now.
fn stale_seed(setting: &Setting) -> io::Result<bool> {
    let (other_store, other_leafs) = deployment(setting, "i-other-", "rozliczenia", 40)?;
    // The other deployment is older: its leafs have written their entries before.
    for _ in 0..20 {
        other_leafs.iter().for_each(|leaf| leaf.register(&other_store));
    }
    let other_addresses = Addresses::free()?;
    let other_seeds = [other_addresses.control];
    let _other = Node::start(
        "frontend-kl-a-1",
        "kl-a",
        &other_store,
        &other_addresses,
        &other_seeds,
        &setting.folder,
    )?;
    let (store, _leafs) = deployment(setting, "i-own-", "archiwum", 7)?;
    let addresses = Addresses::free()?;
    let mut seeds = vec![addresses.control];
    seeds.extend(setting.trouble.then_some(other_addresses.control));
    let node = Node::start("frontend-wola-a-1", "wola-a", &store, &addresses, &seeds, &setting.folder)?;
    send_all(setting, &node, "POST", "/orders/", |id, answer| {
        let foreign: u32 = other_leafs.iter().map(|leaf| leaf.runs_of(id)).sum();
        if foreign > 0 {
            let status = answer.status();
            setting.record.note(&format!("BROKEN: {id} ran at another deployment's leaf; answered {status}"));
        }
        foreign == 0
    })
}

/// Clients with long paths.
const SLASH_CLIENTS: u32 = 1_200;
/// Slashes or letters of such a path: its head is shorter than `MaxHeaderBytes`.
const SLASHES: usize = 15_900;
/// Ordinary clients beside them.
const ORDINARY_CLIENTS: u32 = 16;
const SLASH_TIME: Duration = Duration::from_secs(30);
/// `TimeoutMs` of the route of the ordinary clients.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// What the rule allows beyond it.
const TIMEOUT_SLACK: Duration = Duration::from_millis(500);

/// Sends requests on kept connections, each after the answer to the one before, and returns how long each took.
fn repeat_calls(
    setting: &Setting,
    front: SocketAddr,
    name: &str,
    path: &str,
    pause: Duration,
) -> Vec<Duration> {
    let mut took = Vec::new();
    let until = Instant::now() + SLASH_TIME;
    let mut connection: Option<BufReader<TcpStream>> = None;
    while Instant::now() < until {
        let id = format!("{name}-{}", took.len());
        let headers = [("X-Sablebay-Request-Id", id.as_str()), ("X-Sablebay-Deadline-Ms", "20000")];
        let sent = request("GET", path, &headers, b"");
        let began = Instant::now();
        let mut exchange = || {
            let open = match connection.take() {
                Some(open) => open,
                None => {
                    let stream = TcpStream::connect_timeout(&front, Duration::from_secs(20))?;
                    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
                    BufReader::new(stream)
                }
            };
            open.get_ref().write_all(&sent)?;
            let reader = connection.insert(open);
            read_message(reader)?.ok_or_else(|| broken("closed without an answer"))
        };
        let answered = exchange();
        took.push(began.elapsed());
        if pause > Duration::ZERO {
            let result = answered.as_ref().map_or_else(ToString::to_string, |answer| answer.line.clone());
            setting.record.note(&format!("{id}: {result} after {} ms", began.elapsed().as_millis()));
            thread::sleep(pause);
        }
        if answered.is_err() {
            connection = None;
        }
    }
    took
}

/// CONFIG: clients with long paths keep a node so busy that ordinary requests are not answered at their time-out.
fn long_paths(setting: &Setting) -> io::Result<bool> {
    let store = Store::start()?;
    let quiet = Record::create(Path::new("/dev/null"))?;
    for number in 0..5 {
        let leaf = Leaf::start(&format!("i-{number}"), "archiwum", "wola-a", &quiet, Arc::new(success))?;
        leaf.register(&store);
    }
    store.put("op/config", &ROUTES.replace("6000", "1500"));
    let node = Node::start_alone("frontend-wola-a-1", "wola-a", &store, &setting.folder)?;
    // Without the trouble the same clients send paths of the same length that hold letters.
    let long_path = format!("/fetch/{}", if setting.trouble { "/" } else { "a" }.repeat(SLASHES));
    let (ordinary, long) = thread::scope(|scope| {
        scope.spawn(|| {
            let until = Instant::now() + SLASH_TIME;
            let (mut asked, mut missed) = (0, 0);
            while Instant::now() < until {
                let ready = call(node.readiness, &request("GET", "/ready", &[], b""), Duration::from_secs(1));
                asked += 1;
                missed += u32::from(!ready.is_ok_and(|answer| answer.status() == 200));
                thread::sleep(Duration::from_secs(1));
            }
            setting.record.note(&format!("{missed} of {asked} readiness checks had no 200 within a second"));
        });
        let start = |name: String, path: String, pause| {
            scope.spawn(move || repeat_calls(setting, node.front, &name, &path, pause))
        };
        let long: Vec<_> = (0..SLASH_CLIENTS)
            .map(|n| start(format!("long-{n}"), long_path.clone(), Duration::ZERO))
            .collect();
        let ordinary: Vec<_> = (0..ORDINARY_CLIENTS)
            .map(|n| start(format!("ordinary-{n}"), "/fetch/1".to_string(), Duration::from_millis(100)))
            .collect();
        let join = |handles: Vec<thread::ScopedJoinHandle<'_, Vec<Duration>>>| -> Vec<Duration> {
            handles.into_iter().flat_map(|handle| handle.join().unwrap_or_default()).collect()
        };
        (join(ordinary), join(long))
    });
    let unanswered = |after: Duration| ordinary.iter().filter(|took| **took > after).count();
    let (at_timeout, later) = (unanswered(FETCH_TIMEOUT), unanswered(FETCH_TIMEOUT + TIMEOUT_SLACK));
    setting.record.note(&format!(
        "{} ordinary requests beside {} long ones: {at_timeout} unanswered after {FETCH_TIMEOUT:?}, {later} of them {TIMEOUT_SLACK:?} later",
        ordinary.len(),
        long.len()
    ));
    Ok(later * 2 <= at_timeout)
}

const CROWD_SHARDS: usize = 30;
/// Connections of the crowd to each node. A node of this size takes up to 2,050.
const CROWD: usize = 1_200;
/// Clients of each node without the crowd.
const USUAL: usize = 16;
/// How often the platform looks at the memory of a process.
const LOOK: Duration = Duration::from_millis(10);
/// Ends of one process by which the rule is broken.
const ENDS: u32 = 3;
const CROWD_TIME: Duration = Duration::from_secs(75);

/// A leaf's two slots and its short queue.
#[derive(Default)]
struct Slots {
    /// Requests running and waiting.
    taken: Mutex<(u32, u32)>,
    freed: Condvar,
}

impl Slots {
    const COUNT: u32 = 2;
    const QUEUE: u32 = 12;

    /// Waits for a slot. Returns `false` if the queue is full.
    fn take(&self) -> bool {
        let mut taken = lock(&self.taken);
        if taken.1 >= Self::QUEUE {
            return false;
        }
        taken.1 += 1;
        while taken.0 >= Self::COUNT {
            taken = self.freed.wait(taken).unwrap_or_else(|poisoned| poisoned.into_inner());
        }
        *taken = (taken.0 + 1, taken.1 - 1);
        true
    }

    /// Frees a slot and returns the load that the leaf tells.
    fn free(&self) -> String {
        let mut taken = lock(&self.taken);
        taken.0 -= 1;
        self.freed.notify_one();
        format!("{},{},{}", taken.0, taken.1, Self::COUNT)
    }
}

/// Starts sound leafs of all shards, and returns a configuration that names them.
fn start_shards(setting: &Setting, store: &Store) -> io::Result<String> {
    let (mut names, mut services) = (Vec::new(), Vec::new());
    for number in 0..2 * CROWD_SHARDS {
        let shard = format!("rozliczenia-{}", number / 2);
        let slots = Slots::default();
        let work = move |request: &LeafRequest<'_>| {
            if !slots.take() {
                let headers = [("X-Sablebay-Request-Id", request.id), ("X-Sablebay-Not-Executed", "1")];
                return answer("503 Service Unavailable", &headers, b"");
            }
            thread::sleep(Duration::from_millis(11));
            let load = slots.free();
            let headers = [
                ("X-Sablebay-Request-Id", request.id),
                ("X-Sablebay-Response-Stamp", &request.stamp),
                ("X-Sablebay-Server-Load", &load),
            ];
            answer("200 OK", &headers, &[number as u8; 992])
        };
        let zone = ["wola-a", "wola-b"][number % 2];
        let quiet = Record::create(Path::new("/dev/null"))?;
        let leaf = Leaf::start(&format!("i-{number}"), &shard, zone, &quiet, Arc::new(work))?;
        leaf.register(store);
        if number % 2 == 0 {
            names.push(format!("\"{shard}\""));
            services.push(format!(
                r#"{{"Name":"{shard}","HealthPath":"/health","MaxConnections":26,"Protocol":"h1","Tls":false}}"#
            ));
        }
    }
    setting.record.note(&format!("{} leafs of {CROWD_SHARDS} shards", 2 * CROWD_SHARDS));
    Ok(format!(
        r#"{{"Version":1,"Routes":[{{"Name":"sweep","Hostname":"desk.example","PathPrefix":"/sweep/","Type":"safe","TimeoutMs":1500,"TargetLatencyMs":100,"Priority":1,"Gather":[{}],"MaxAttempts":2,"TopK":50,"MinShardShare":0.89}}],"Services":[{}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
        names.join(","),
        services.join(",")
    ))
}

/// One round of the crowd: a small request on each connection, then all answers. Returns how many had which status;
/// 0 stands for no answer.
fn crowd_round(connections: &mut [TcpStream], round: u32) -> BTreeMap<u16, u32> {
    for (number, connection) in connections.iter_mut().enumerate() {
        let id = format!("{round:08x}{number:08x}");
        let headers = [("X-Sablebay-Request-Id", id.as_str()), ("X-Sablebay-Deadline-Ms", "1500")];
        // A failure shows when the answer is read.
        let _ = connection.write_all(&request("GET", &format!("/sweep/{id}"), &headers, b""));
    }
    let mut answers = BTreeMap::new();
    for connection in connections {
        let reader = connection.try_clone().map(BufReader::new);
        let answer = reader.and_then(|mut reader| read_message(&mut reader));
        let status = answer.ok().flatten().map_or(0, |answer| answer.status());
        *answers.entry(status).or_default() += 1;
    }
    answers
}

/// Opens connections a little apart from each other, as long as the node takes them.
fn open_connections(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    let open = |_| {
        thread::sleep(Duration::from_micros(700));
        let connection = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        connection.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
        Some(connection)
    };
    (0..count).map_while(open).collect()
}

/// Plays clients and platform for one machine. Returns how often its process was ended for its memory.
fn press_node(setting: &Setting, name: &str, start: &dyn Fn() -> io::Result<Node>) -> io::Result<u32> {
    let node = Mutex::new(start()?);
    let ends = Mutex::new(0);
    let until = Instant::now() + CROWD_TIME;
    let is_over = || Instant::now() >= until || *lock(&ends) >= ENDS;
    let clients = if setting.trouble { CROWD } else { USUAL };
    let mut peak = 0;
    thread::scope(|scope| {
        scope.spawn(|| {
            let mut round = 0;
            while !is_over() {
                let front = lock(&node).front;
                let mut connections = open_connections(front, clients);
                loop {
                    round += 1;
                    let answers = crowd_round(&mut connections, round);
                    let note =
                        format!("{name}: round {round}, {} clients, answers {answers:?}", connections.len());
                    setting.record.note(&note);
                    if is_over() || answers.contains_key(&0) || connections.len() < clients {
                        break;
                    }
                }
            }
        });
        // The platform: a process over its memory is killed and started again after a short delay.
        while !is_over() {
            thread::sleep(LOOK);
            let mut node = lock(&node);
            let resident = node.resident_kb();
            peak = peak.max(resident);
            if resident <= MEMORY_MB * 1024 {
                continue;
            }
            setting.record.note(&format!("BROKEN LIMIT: {name} holds {resident} kB; the platform ends it"));
            let _ = node.child.kill();
            let _ = node.child.wait();
            *lock(&ends) += 1;
            thread::sleep(Duration::from_millis(500));
            *node = start()?;
            setting.record.note(&format!("{name} is ready again"));
        }
        Ok::<(), io::Error>(())
    })?;
    let ends = *lock(&ends);
    setting.record.note(&format!("{name}: ended {ends} times for its memory; peak {peak} kB"));
    Ok(ends)
}

/// Fault: many clients at once send small requests over 30 shards, and processes grow over their memory.
fn crowd_over_many_shards(setting: &Setting) -> io::Result<bool> {
    let store = Store::start()?;
    let configuration = start_shards(setting, &store)?;
    store.put("op/config", &configuration);
    let machines = [("frontend-wola-a-1", "wola-a"), ("frontend-wola-b-1", "wola-b")];
    let addresses = [Addresses::free()?, Addresses::free()?];
    let seeds = addresses.map(|addresses| addresses.control);
    let ends: io::Result<Vec<u32>> = thread::scope(|scope| {
        let pressed: Vec<_> = machines
            .iter()
            .zip(&addresses)
            .map(|((name, zone), addresses)| {
                let (store, seeds, folder) = (&store, &seeds, &setting.folder);
                let start = move || Node::start(name, zone, store, addresses, seeds, folder);
                scope.spawn(move || press_node(setting, name, &start))
            })
            .collect();
        let join = |pressed: thread::ScopedJoinHandle<'_, _>| {
            pressed.join().unwrap_or_else(|_| Err(broken("a thread of the case ended")))
        };
        pressed.into_iter().map(join).collect()
    });
    Ok(ends?.iter().filter(|ends| **ends >= ENDS).count() < machines.len())
}

fn run(case: &str, folder: &Path) -> io::Result<bool> {
    let work = std::env::temp_dir().join(format!("sablebay-review-{}", std::process::id()));
    fs::create_dir_all(&work)?;
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&folder.join("record.txt"))?;
    record.note(&format!("case {case}, trouble: {trouble}"));
    let setting = Setting { record, folder: work.clone(), trouble };
    let held = match case {
        "failed-with-503" => failed_with_503(&setting),
        "odd-stamps" => odd_stamps(&setting),
        "long-paths" => long_paths(&setting),
        "crowd-over-many-shards" => crowd_over_many_shards(&setting),
        "stale-seed" => stale_seed(&setting),
        _ => Err(broken("no such case")),
    };
    if std::env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(work);
    }
    held
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: rig CASE FOLDER");
        std::process::exit(2);
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        // The nodes end with this process.
        std::process::exit(2);
    });
    let status = match run(case, Path::new(folder)) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            2
        }
    };
    std::process::exit(status);
}
