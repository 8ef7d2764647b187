//! Nodes as separate processes that can be paused and killed.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;

use sablebay_standin::{CallerClient, Deployment, Platform, Proxy, RunningLeaves};

use crate::child_process::ChildProcess;
use crate::cluster::unique_fleet_name;
use crate::error::BenchError;

/// Finds a binary of the project next to the running executable or test.
fn sibling_binary(name: &str) -> Result<PathBuf, BenchError> {
    let own = std::env::current_exe()?;
    let mut candidates = own.ancestors().skip(1).take(2).map(|folder| folder.join(name));
    let missing = || {
        std::io::Error::other(format!(
            "the {name} binary is not next to the running executable; build it first"
        ))
    };
    candidates.find(|path| path.is_file()).ok_or_else(|| missing().into())
}

#[derive(Deserialize)]
struct ListenAddresses {
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    peer_address: SocketAddr,
}

/// The command that starts a node.
#[derive(Clone, Debug)]
pub enum NodeCommand {
    /// `sablebay serve` from the given binary.
    Product(PathBuf),
    /// `sablebay-bench node` with one mechanism disabled.
    Broken { mechanism: String },
}

impl NodeCommand {
    /// Selects the product binary, or the bench binary if a mechanism is to be disabled.
    ///
    /// # Errors
    /// Fails if the product binary does not exist.
    pub fn with_break(broken: Option<&str>) -> Result<Self, BenchError> {
        match broken {
            None => Ok(NodeCommand::Product(sibling_binary("sablebay")?)),
            Some(mechanism) => Ok(NodeCommand::Broken { mechanism: mechanism.to_string() }),
        }
    }

    /// Builds the command that starts a node.
    pub(crate) fn command(&self) -> Result<Command, BenchError> {
        match self {
            NodeCommand::Product(binary) => {
                let mut command = Command::new(binary);
                command.arg("serve");
                Ok(command)
            }
            NodeCommand::Broken { mechanism } => {
                let mut command = Command::new(sibling_binary("sablebay-bench")?);
                command.args(["node", "--break", mechanism]);
                Ok(command)
            }
        }
    }
}

/// A node process; killed when dropped.
pub struct NodeProcess {
    process: ChildProcess,
    pub name: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address of the admin interface.
    pub admin_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
}

impl NodeProcess {
    /// Starts a node with these flags and waits until it listens.
    ///
    /// # Errors
    /// Fails if the node does not start.
    pub fn spawn(command: &NodeCommand, name: &str, flags: &[String]) -> Result<Self, BenchError> {
        let mut child = command
            .command()?
            .args(["--node", name])
            .args(flags)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let stdout = child.stdout.take().ok_or_else(|| std::io::Error::other("no standard output"))?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let addresses: ListenAddresses = serde_json::from_str(&line)?;
        Ok(Self {
            process: child.into(),
            name: name.to_string(),
            caller_address: addresses.caller_address,
            admin_address: addresses.admin_address,
            peer_address: addresses.peer_address,
        })
    }

    /// Returns a client of the node's caller interface.
    pub fn client(&self) -> CallerClient {
        CallerClient::new(self.caller_address)
    }
}

impl Deref for NodeProcess {
    type Target = ChildProcess;

    fn deref(&self) -> &ChildProcess {
        &self.process
    }
}

impl DerefMut for NodeProcess {
    fn deref_mut(&mut self) -> &mut ChildProcess {
        &mut self.process
    }
}

/// A cluster of node processes, with platform and leaves in this process. Each node's peer
/// listener is behind a proxy, so that nodes can be isolated from each other.
pub struct ProcessCluster {
    pub deployment: Deployment,
    pub platform: Platform,
    pub leaves: RunningLeaves,
    pub nodes: Vec<NodeProcess>,
    /// The proxies of the nodes' peer listeners, in the same order.
    pub proxies: Vec<Proxy>,
    command: NodeCommand,
    started: usize,
    fleet: String,
    extra: Vec<String>,
    /// The last published revision.
    pub revision: u64,
}

/// Timeout for the nodes to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl ProcessCluster {
    /// Starts the cluster and waits until every node is ready.
    ///
    /// # Errors
    /// Fails if a part does not start.
    pub async fn start(
        command: NodeCommand,
        deployment: Deployment,
        nodes: usize,
        extra: &[&str],
    ) -> Result<Self, BenchError> {
        let leaves = deployment.start_leaves(1).await?;
        let platform = Platform::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        platform.state.publish(&deployment.document(1, &leaves.addresses()))?;
        let mut cluster = Self {
            deployment,
            platform,
            leaves,
            nodes: Vec::new(),
            proxies: Vec::new(),
            command,
            started: 0,
            fleet: unique_fleet_name(),
            extra: extra.iter().map(|word| (*word).to_string()).collect(),
            revision: 1,
        };
        for _ in 0..nodes {
            cluster.add_node().await?;
        }
        cluster.wait_until_ready(nodes).await?;
        Ok(cluster)
    }

    /// Starts a node that joins through the existing ones. Returns its position.
    ///
    /// # Errors
    /// Fails if the node does not start.
    pub async fn add_node(&mut self) -> Result<usize, BenchError> {
        const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
        let number = self.started;
        self.started += 1;
        // The proxy starts first because the node advertises its address to peers.
        let proxy = Proxy::start_without_target(number as u64).await?;
        let mut flags: Vec<String> = vec![
            "--zone".into(),
            ZONES[number % ZONES.len()].into(),
            "--platform-address".into(),
            self.platform.address.to_string(),
            "--advertised-peer-address".into(),
            proxy.address.to_string(),
            "--fleet".into(),
            self.fleet.clone(),
            "--probe-period-ms".into(),
            "200".into(),
        ];
        for proxy in &self.proxies {
            flags.extend(["--peers".into(), proxy.address.to_string()]);
        }
        flags.extend(self.extra.iter().cloned());
        let command = self.command.clone();
        let name = format!("node-{number}");
        let spawned = tokio::task::spawn_blocking(move || NodeProcess::spawn(&command, &name, &flags)).await;
        let node = spawned.map_err(|error| std::io::Error::other(error.to_string()))??;
        proxy.set_target(node.peer_address);
        self.nodes.push(node);
        self.proxies.push(proxy);
        Ok(self.nodes.len() - 1)
    }

    /// Removes a node and its proxy from the lists. The proxy must be kept while the node runs,
    /// because peers connect through it.
    pub fn remove_node(&mut self, position: usize) -> (NodeProcess, Proxy) {
        (self.nodes.remove(position), self.proxies.remove(position))
    }

    /// Waits until every node is ready and sees `members` nodes, including itself.
    ///
    /// # Errors
    /// Fails on timeout.
    pub async fn wait_until_ready(&self, members: usize) -> Result<(), BenchError> {
        let started = std::time::Instant::now();
        for node in &self.nodes {
            let admin = CallerClient::new(node.admin_address);
            loop {
                let ready = admin.send(http_method_get(), "/readyz", "").await;
                let status = admin.send(http_method_get(), "/v1/status", "").await;
                let body = status.map_or_else(Bytes::new, |(_, body)| body);
                let ready = ready.is_some_and(|(status, _)| status.is_success());
                if ready && present_members(&body) + 1 == members {
                    break;
                }
                if started.elapsed() > READY_TIMEOUT {
                    let status = String::from_utf8_lossy(&body);
                    let what = format!("{} ready with {members} members (last status: {status})", node.name);
                    return Err(BenchError::NotInTime { what, seconds: READY_TIMEOUT.as_secs() });
                }
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Returns the caller address of each node.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.caller_address).collect()
    }

    /// Publishes the current deployment with the next revision.
    ///
    /// # Errors
    /// Fails if the platform rejects the document.
    pub fn publish(&mut self) -> Result<u64, BenchError> {
        self.revision += 1;
        let document = self.deployment.document(self.revision, &self.leaves.addresses());
        self.platform.state.publish(&document)?;
        Ok(self.revision)
    }
}

fn http_method_get() -> http::Method {
    http::Method::GET
}

fn present_members(body: &[u8]) -> usize {
    let Ok(report) = serde_json::from_slice::<sablebay_node::NodeReport>(body) else {
        return 0;
    };
    use sablebay_fleet::MemberStatus;
    let present = |status| matches!(status, MemberStatus::Alive | MemberStatus::Suspect);
    report.members.iter().filter(|member| present(member.status)).count()
}
