//! A fault-injecting TCP proxy; faults can be changed while connections are open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::error::StandInError;

/// Direction of data through the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From client to server.
    Forward,
    /// From server to client.
    Back,
}

/// Faults injected by a proxy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Faults {
    /// Delay of each read chunk.
    pub delay: Duration,
    /// Maximum random delay in addition.
    pub jitter: Duration,
    /// New connections are closed immediately.
    pub refuse: bool,
    /// Data from the client is not forwarded.
    pub black_hole_forward: bool,
    /// Data from the server is not forwarded.
    pub black_hole_back: bool,
    /// Connections are reset after this many bytes from the server.
    pub reset_after: Option<u64>,
    /// Bytes per second in each direction.
    pub bandwidth: Option<u64>,
}

impl Faults {
    /// Silently drops traffic in both directions.
    pub fn cut() -> Self {
        Self { black_hole_forward: true, black_hole_back: true, ..Self::default() }
    }
}

/// A running proxy; stops when dropped.
pub struct Proxy {
    /// Listen address.
    pub address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    faults: Arc<Mutex<Faults>>,
    generation: watch::Sender<u64>,
    task: JoinHandle<()>,
}

const BUFFER_BYTES: usize = 16 * 1024;
/// Interval at which a held direction checks the faults.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl Proxy {
    ///
    /// # Errors
    /// Fails if the listener cannot be bound.
    pub async fn start(target: SocketAddr, seed: u64) -> Result<Proxy, StandInError> {
        let proxy = Self::start_without_target(seed).await?;
        proxy.set_target(target);
        Ok(proxy)
    }

    /// Starts a proxy that closes connections immediately until a target is set.
    ///
    /// # Errors
    /// Fails if the listener cannot be bound.
    pub async fn start_without_target(seed: u64) -> Result<Proxy, StandInError> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let faults = Arc::new(Mutex::new(Faults::default()));
        let (generation, generations) = watch::channel(0);
        let target = Arc::new(Mutex::new(None));
        let task = tokio::spawn(accept(listener, target.clone(), faults.clone(), generations, seed));
        Ok(Proxy { address, target, faults, generation, task })
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock() = Some(target);
    }

    /// Changes the faults, also of open connections.
    pub fn set(&self, faults: Faults) {
        *self.faults.lock() = faults;
    }

    /// Resets every open connection.
    pub fn reset_connections(&self) {
        self.generation.send_modify(|generation| *generation += 1);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
        self.reset_connections();
    }
}

async fn accept(
    listener: TcpListener,
    target: Arc<Mutex<Option<SocketAddr>>>,
    faults: Arc<Mutex<Faults>>,
    generations: watch::Receiver<u64>,
    seed: u64,
) {
    let mut number = seed;
    while let Ok((client, _)) = listener.accept().await {
        let target = *target.lock();
        let Some(target) = target.filter(|_| !faults.lock().refuse) else {
            // Closing with unread data resets the connection.
            drop(client);
            continue;
        };
        number = number.wrapping_add(1);
        let (faults, mut generations) = (faults.clone(), generations.clone());
        generations.mark_unchanged();
        tokio::spawn(async move {
            tokio::select! {
                () = run_connection(client, target, faults, number) => {}
                _ = generations.changed() => {}
            }
        });
    }
}

async fn run_connection(client: TcpStream, target: SocketAddr, faults: Arc<Mutex<Faults>>, seed: u64) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // Without these options latency suffers and resets become plain closes.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let _ = client.set_zero_linger();
    let _ = server.set_zero_linger();
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let forward = Pump::new(Direction::Forward, faults.clone(), seed);
    let back = Pump::new(Direction::Back, faults, seed.wrapping_mul(31));
    tokio::join!(forward.run(client_read, server_write), back.run(server_read, client_write));
}

/// Forwards data in one direction.
struct Pump {
    direction: Direction,
    faults: Arc<Mutex<Faults>>,
    random: SmallRng,
    forwarded: u64,
}

impl Pump {
    fn new(direction: Direction, faults: Arc<Mutex<Faults>>, seed: u64) -> Self {
        Self { direction, faults, random: SmallRng::seed_from_u64(seed), forwarded: 0 }
    }

    async fn run(mut self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(count) = from.read(&mut buffer).await {
            if count == 0 {
                // The other direction may still be open: forward the half-close.
                let _ = to.shutdown().await;
                return;
            }
            self.hold().await;
            self.delay(count).await;
            if self.must_reset() || to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
            self.forwarded += count as u64;
        }
    }

    fn is_held(&self) -> bool {
        let faults = self.faults.lock();
        match self.direction {
            Direction::Forward => faults.black_hole_forward,
            Direction::Back => faults.black_hole_back,
        }
    }

    /// Holds data while the direction is a black hole. The data is delivered late afterwards,
    /// like retransmitted packets.
    async fn hold(&self) {
        while self.is_held() {
            tokio::time::sleep(HOLD_POLL_INTERVAL).await;
        }
    }

    async fn delay(&mut self, bytes: usize) {
        let faults = self.faults.lock().clone();
        let mut wait = faults.delay;
        if !faults.jitter.is_zero() {
            wait += faults.jitter.mul_f64(self.random.random_range(0.0..1.0));
        }
        if let Some(bandwidth) = faults.bandwidth {
            wait += Duration::from_secs_f64(bytes as f64 / bandwidth.max(1) as f64);
        }
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    fn must_reset(&self) -> bool {
        let limit = self.faults.lock().reset_after;
        self.direction == Direction::Back && limit.is_some_and(|limit| self.forwarded >= limit)
    }
}
