//! The system's own processes, started with the command of the deploy file, and the platform's readiness
//! checks.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Addresses of one node.
#[derive(Clone, Debug)]
pub struct Addresses {
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    control: SocketAddr,
    internal: [SocketAddr; 2],
}

/// A listener on a loopback address that no other script uses, so that a port found free stays free.
pub fn listen() -> std::io::Result<TcpListener> {
    let process = std::process::id();
    let own = Ipv4Addr::new(127, 16 + (process / 250 % 200) as u8, 1 + (process % 250) as u8, 1);
    TcpListener::bind((own, 0))
}

impl Addresses {
    /// Free addresses of several nodes. All ports are held until the last is taken: one that is freed at once may
    /// be given out again.
    pub fn free(nodes: usize) -> std::io::Result<Vec<Self>> {
        let held: Vec<[TcpListener; 5]> = (0..nodes)
            .map(|_| Ok([listen()?, listen()?, listen()?, listen()?, listen()?]))
            .collect::<std::io::Result<_>>()?;
        let addresses = held.iter().map(|listeners| {
            let [front, readiness, control, first, last] =
                listeners.each_ref().map(|listener| listener.local_addr().expect("it is bound"));
            Self { front, readiness, control, internal: [first, last] }
        });
        Ok(addresses.collect())
    }
}

pub struct Node {
    pub name: String,
    pub addresses: Addresses,
    settings: PathBuf,
    child: Mutex<Option<Child>>,
    /// Whether the platform hands it new connections.
    pub takes_connections: AtomicBool,
}

/// What `deploy/node.toml.template` gives for a small deployment.
fn settings_text(name: &str, zone: &str, own: &Addresses, seeds: &[SocketAddr], store: SocketAddr) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!(
        r#"node = "{name}"
zone = "{zone}"
region = "kl-central"
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

[gateway]
caller_address = "{}"
readiness_address = "{}"
catalogue_address = "{store}"
start_patience_ms = 500
retry_ratio = 0.2
retry_fixed = 56
retry_window_ms = 10000
"#,
        own.internal[1],
        own.internal[0],
        own.control,
        seeds.join(","),
        own.front,
        own.readiness
    )
}

impl Node {
    /// Starts the nodes of a fleet, one in each of the zones.
    pub fn start_fleet(zones: &[&str], store: SocketAddr, folder: &Path) -> std::io::Result<Vec<Arc<Node>>> {
        let addresses = Addresses::free(zones.len())?;
        let seeds: Vec<SocketAddr> = addresses.iter().take(3).map(|known| known.control).collect();
        let mut nodes = Vec::new();
        for (zone, addresses) in zones.iter().zip(addresses) {
            let name = format!("frontend-{zone}-1");
            let settings = folder.join(format!("{name}.conf"));
            fs::write(&settings, settings_text(&name, zone, &addresses, &seeds, store))?;
            let node = Arc::new(Node {
                name,
                addresses,
                settings,
                child: Mutex::new(None),
                takes_connections: AtomicBool::new(false),
            });
            node.start()?;
            let checked = node.clone();
            thread::spawn(move || checked.check_readiness());
            nodes.push(node);
        }
        Ok(nodes)
    }

    pub fn start(&self) -> std::io::Result<()> {
        let output = File::options().create(true).append(true).open(self.settings.with_extension("log"))?;
        let child = Command::new("target/release/sablebay")
            .args(["serve", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(output.try_clone()?)
            .stdout(output)
            .spawn()?;
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Asks once a second; two misses in a row take the node out.
    fn check_readiness(&self) {
        let mut misses = 0;
        loop {
            let is_ready = self.answers_ready().unwrap_or(false);
            misses = if is_ready { 0 } else { misses + 1 };
            if is_ready || misses >= 2 {
                self.takes_connections.store(is_ready, Ordering::Release);
            }
            thread::sleep(Duration::from_secs(1));
        }
    }

    fn answers_ready(&self) -> std::io::Result<bool> {
        let limit = Duration::from_millis(800);
        let mut stream = TcpStream::connect_timeout(&self.addresses.readiness, limit)?;
        stream.set_read_timeout(Some(limit))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer)?;
        Ok(&answer[9..] == b"200")
    }

    pub fn signal(&self, signal: &str) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            let _ = Command::new("sh").arg("-c").arg(format!("kill -{signal} {}", child.id())).status();
        }
    }

    /// Waits for the process to end by itself; true if it did within the limit.
    pub fn wait(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let ended = match self.child.lock().unwrap().as_mut() {
                Some(child) => matches!(child.try_wait(), Ok(Some(_))),
                None => true,
            };
            if ended {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// The end of its output, to explain why a script couldn't run.
    pub fn last_output(&self) -> String {
        let output = fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default();
        output.lines().last().unwrap_or("").to_string()
    }

    /// SIGKILL, for the end of the grace time and of the script.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
