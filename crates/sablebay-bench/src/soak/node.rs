//! A node process of the soak with its own settings file.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use serde::Deserialize;

use super::tenants::{QUOTA_OVERAGE, QUOTA_SLACK, REVOCATION_LIMIT_MS};
use crate::child_process::ChildProcess;
use crate::error::BenchError;
use crate::processes::NodeCommand;

#[derive(Deserialize)]
struct GatewayAddresses {
    caller_address: SocketAddr,
    readiness_address: SocketAddr,
}

#[derive(Deserialize)]
struct Addresses {
    peer_address: SocketAddr,
    gateway: GatewayAddresses,
}

/// Start parameters of a node.
#[derive(Clone, Debug)]
pub struct NodePlan {
    pub name: String,
    /// Advertised peer address.
    pub advertised: SocketAddr,
    /// Address of the catalogue store.
    pub store: SocketAddr,
    /// Initial peers.
    pub peers: Vec<SocketAddr>,
    /// Directory of the settings and log files.
    pub folder: PathBuf,
}

/// A running node process; killed when dropped.
pub struct SoakNode {
    pub process: ChildProcess,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness endpoint.
    pub readiness: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
}

fn write_settings(plan: &NodePlan) -> Result<PathBuf, BenchError> {
    let peers: Vec<String> = plan.peers.iter().map(|peer| format!("\"{peer}\"")).collect();
    let path = plan.folder.join(format!("{}.toml", plan.name));
    let mut file = File::create(&path)?;
    writeln!(
        file,
        "node = \"{}\"\nzone = \"zone-a\"\nprobe_period_ms = 200\nlog_format = \"json\"\npeers = [{}]\n\
         advertised_peer_address = \"{}\"\n\n[gateway]\ncaller_address = \"127.0.0.1:0\"\n\
         readiness_address = \"127.0.0.1:0\"\ncatalogue_address = \"{}\"\nretry_ratio = 0.2\nretry_fixed = 56\n\
         assumed_nodes = 8\nstop_linger_ms = 500\nstop_timeout_ms = 5000\n\
         revocation_limit_ms = {REVOCATION_LIMIT_MS}\nquota_overage = {QUOTA_OVERAGE}\nquota_slack = {QUOTA_SLACK}",
        plan.name,
        peers.join(", "),
        plan.advertised,
        plan.store,
    )?;
    Ok(path)
}

fn log_file(folder: &Path, name: &str) -> Result<File, BenchError> {
    let path = folder.join(format!("{name}.log"));
    Ok(File::options().create(true).append(true).open(path)?)
}

impl SoakNode {
    /// Starts a process and reads its listen addresses.
    ///
    /// # Errors
    /// Fails if the process does not start or prints no addresses.
    pub fn start(command: &NodeCommand, plan: &NodePlan) -> Result<Self, BenchError> {
        let settings = write_settings(plan)?;
        let mut child = command
            .command()?
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log_file(&plan.folder, &plan.name)?)
            .spawn()?;
        let mut line = String::new();
        if let Some(output) = child.stdout.take() {
            BufReader::new(output).read_line(&mut line)?;
        }
        let addresses: Addresses = serde_json::from_str(&line)?;
        Ok(Self {
            process: child.into(),
            callers: addresses.gateway.caller_address,
            readiness: addresses.gateway.readiness_address,
            peers: addresses.peer_address,
        })
    }
}
