//! Measurement of the slopes, which are costs per unit of load or size.

use std::hint::black_box;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use serde::Serialize;

use sablebay_fleet::{ClaimHolder, ClaimRequest, Claimant, Ticket, TicketId};
use sablebay_model::{
    FleetName, Incarnation, InstanceKey, NodeId, PartitionSet, Revision, ServiceId, SnapshotVersion,
    SortOrder, WallMillis,
};
use sablebay_protocol::peer::{PartialResult, PartialSearch, PeerMessage, PeerRequest, PeerResponse};
use sablebay_protocol::{ChannelKey, FrameReader, encode_frame};
use sablebay_query::{Coverage, Work};
use sablebay_standin::CallerClient;

use crate::error::BenchError;
use crate::experiment::{RunOptions, run_experiment};
use crate::processes::{NodeCommand, ProcessCluster};
use crate::usage::{process_cpu_time, resident_bytes};

/// Measured slopes.
#[derive(Clone, Debug, Serialize)]
pub struct Slopes {
    /// CPU time for a leaf call, at 1,400 leaves per query.
    pub us_per_leaf_call: f64,
    /// Mean number of calls per batch, at 1,400 leaves per query.
    pub leaf_call_batch: f64,
    /// Total CPU time for a query over two leaves.
    pub us_per_small_query: f64,
    /// Time to encode and decode the frames of one partial search and its result.
    pub us_per_partial_frame_pair: f64,
    /// Size of the frames of one partial search and its result.
    pub bytes_per_partial_frame_pair: f64,
    /// Control traffic sent by each node, at 2,100 nodes.
    pub control_bytes_per_second: f64,
    /// Control messages sent by each node, at 2,100 nodes.
    pub control_messages_per_second: f64,
    /// CPU cores used by the control logic of a node, at 2,100 nodes.
    pub control_logic_share: f64,
    /// Memory of the member table and control state of a node, at 2,100 nodes.
    pub control_memory_bytes: f64,
    /// Maximum time until a change is in force on every node, at 2,100 nodes.
    pub in_force_everywhere_ms: f64,
    /// CPU cores used by an idle node process in a fleet of three, transport included.
    pub idle_process_share: f64,
    /// Resident memory of an idle node process.
    pub idle_process_bytes: f64,
    /// Size of the fleet status for each node.
    pub fleet_status_bytes_per_node: f64,
    /// Memory of the configuration in force at the two-year size.
    pub configuration_memory_bytes: f64,
    /// Peak memory while a full document of that size is read.
    pub configuration_read_peak_bytes: f64,
    /// Peak memory while a changed document is read with the configuration in force as its base.
    pub configuration_reread_peak_bytes: f64,
    /// Peak memory while a configuration is built from a peer's document, the entries excluded.
    pub configuration_join_peak_bytes: f64,
    /// Bytes of the names and bodies in such a document.
    pub document_bytes: f64,
    /// CPU time to read such a document.
    pub read_us: f64,
    /// CPU time to apply a delta that touches one service.
    pub delta_us: f64,
    /// Size of that delta.
    pub delta_bytes: f64,
    /// Configuration memory for each 1,000 leaves.
    pub memory_bytes_per_1000_leaves: f64,
    /// Configuration memory for each 1,000 services.
    pub memory_bytes_per_1000_services: f64,
    pub memory_bytes_per_claim: f64,
    /// CPU time for each claim.
    pub us_per_claim: f64,
}

const CLAIMS: usize = 100_000;
const IDLE: Duration = Duration::from_secs(10);

/// Measures all slopes.
pub async fn measure() -> Result<Slopes, BenchError> {
    let options = RunOptions::default();
    // Measured first: claims could otherwise reuse memory that earlier measurements freed.
    let claims = measure_claims();
    let (frame_us, frame_bytes) = measure_frames()?;
    let spread = run_experiment("configuration-spread", &options).await?;
    let leaf_cost = run_experiment("leaf-cost", &options).await?;
    let overhead = run_experiment("overhead", &options).await?;
    let idle = measure_idle().await?;
    Ok(Slopes {
        us_per_leaf_call: leaf_cost.number("us_per_leaf_call_1400"),
        leaf_call_batch: leaf_cost.number("batch_1400"),
        us_per_small_query: 1e6 / overhead.number("queries_per_second_per_core"),
        us_per_partial_frame_pair: frame_us,
        bytes_per_partial_frame_pair: frame_bytes,
        control_bytes_per_second: spread.number("control_bytes_per_second_per_node_2100"),
        control_messages_per_second: spread.number("control_messages_per_second_per_node_2100"),
        control_logic_share: spread.number("control_cpu_share_per_node_2100"),
        control_memory_bytes: spread.number("control_memory_bytes_per_node_2100"),
        in_force_everywhere_ms: spread.number("in_force_everywhere_p100_ms_2100"),
        idle_process_share: idle.share,
        idle_process_bytes: idle.bytes,
        fleet_status_bytes_per_node: idle.status_bytes_per_node,
        configuration_memory_bytes: spread.number("configuration_memory_bytes"),
        configuration_read_peak_bytes: spread.number("configuration_read_peak_bytes"),
        configuration_reread_peak_bytes: spread.number("configuration_reread_peak_bytes"),
        configuration_join_peak_bytes: spread.number("configuration_join_peak_bytes"),
        document_bytes: spread.number("configuration_document_bytes"),
        read_us: spread.number("configuration_read_us"),
        delta_us: spread.number("configuration_delta_us"),
        delta_bytes: spread.number("configuration_delta_bytes"),
        memory_bytes_per_1000_leaves: spread.number("memory_bytes_per_1000_leaves"),
        memory_bytes_per_1000_services: spread.number("memory_bytes_per_1000_services"),
        memory_bytes_per_claim: claims.0,
        us_per_claim: claims.1,
    })
}

fn measure_claims() -> (f64, f64) {
    let own = InstanceKey { node: NodeId::new("node-1"), incarnation: Incarnation(1) };
    let mut holder = ClaimHolder::new(own.clone());
    let memory = resident_bytes();
    let cpu = process_cpu_time();
    for number in 0..CLAIMS {
        let ticket = Ticket {
            id: TicketId(number as u128),
            minted_at: WallMillis(1_000),
            lifetime_ms: 60_000,
            service: ServiceId::new("orders"),
            holders: vec![own.clone()],
        };
        let claimant = Claimant { key: own.clone(), attempt: number as u64 };
        black_box(holder.claim(&ClaimRequest { ticket, claimant }, WallMillis(1_000)));
    }
    let cpu = process_cpu_time() - cpu;
    let memory = resident_bytes().saturating_sub(memory) as f64 / CLAIMS as f64;
    (memory, cpu.as_secs_f64() * 1e6 / CLAIMS as f64)
}

/// Encodes, authenticates and decodes the frames of a partial search and its result.
fn measure_frames() -> Result<(f64, f64), BenchError> {
    const ROUNDS: usize = 20_000;
    const HIT_BYTES: usize = 1_200;
    let request = PeerMessage::Request {
        number: 1,
        request: PeerRequest::PartialSearch(PartialSearch {
            service: ServiceId::new("orders"),
            revision: Revision(1),
            version: SnapshotVersion(1),
            partitions: PartitionSet::range(0, 174),
            remaining_us: 300_000,
            limit: 10,
            order: SortOrder::Descending,
            query: "{\"outlet\":4711}".to_string(),
        }),
    };
    let response = PeerMessage::Response {
        number: 1,
        response: PeerResponse::PartialSearch(Box::new(PartialResult {
            version: SnapshotVersion(1),
            coverage: Coverage { answered: PartitionSet::range(0, 174), missing: Vec::new() },
            hits: vec![b'x'; HIT_BYTES],
            work: Work::default(),
            versions: vec![SnapshotVersion(1)],
            leaving: false,
        })),
    };
    let fleet = FleetName::new("capacity");
    let mut writer = ChannelKey::new(&fleet, "key", &[1; 16], &[2; 16]);
    let mut reader = FrameReader::new(ChannelKey::new(&fleet, "key", &[1; 16], &[2; 16]));
    let mut buffer = BytesMut::new();
    let mut bytes = 0;
    let started = Instant::now();
    for _ in 0..ROUNDS {
        for message in [&request, &response] {
            let failed = |error: sablebay_protocol::ProtocolError| std::io::Error::other(error.to_string());
            encode_frame(message, &mut writer, &mut buffer).map_err(failed)?;
            bytes += buffer.len();
            black_box(reader.next::<PeerMessage>(&mut buffer).map_err(failed)?);
        }
    }
    let us = started.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64;
    Ok((us, bytes as f64 / ROUNDS as f64))
}

struct Idle {
    share: f64,
    bytes: f64,
    status_bytes_per_node: f64,
}

/// Measures an idle node process in a fleet of three.
async fn measure_idle() -> Result<Idle, BenchError> {
    const NODES: usize = 3;
    let deployment = sablebay_standin::Deployment::tepung_raya();
    let flags = ["--log-level", "warn"];
    let command = NodeCommand::with_break(None)?;
    let cluster = ProcessCluster::start(command, deployment, NODES, &flags).await?;
    let before = cluster.nodes[0].cpu_time();
    tokio::time::sleep(IDLE).await;
    let used = cluster.nodes[0].cpu_time() - before;
    let admin = CallerClient::new(cluster.nodes[0].admin_address);
    let status = admin.send(http::Method::GET, "/v1/status?fleet=true", "").await;
    let status_bytes = status.map_or(0, |(_, body)| body.len());
    Ok(Idle {
        share: used.as_secs_f64() / IDLE.as_secs_f64(),
        bytes: cluster.nodes[0].resident_bytes() as f64,
        status_bytes_per_node: status_bytes as f64 / NODES as f64,
    })
}
