//! Learns the catalogue from peers: at the start, when the source is out of reach, and when a wait
//! for its changes has silently failed. Also keeps the number of nodes that share what is bounded
//! for the fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::seq::IndexedRandom;

use sablebay_node::Lane;
use sablebay_protocol::peer::{PeerRequest, PeerResponse};

use crate::catalogue_reader::confirm;
use crate::context::Context;
use crate::edge::{BackendProtocol, CallerProtocol};

/// How often one peer is asked for what is new.
const PERIOD: Duration = Duration::from_millis(500);
/// How often peers are asked before anything is known.
const STARTING_PERIOD: Duration = Duration::from_millis(100);
/// How long a peer may take to answer.
const PATIENCE: Duration = Duration::from_millis(450);

/// Asks peers until the node ends.
pub async fn follow_peers<C: CallerProtocol, B: BackendProtocol>(context: Arc<Context<C, B>>) {
    let mut most_nodes = 0;
    loop {
        let known = context.node.catalogue.read(|view| view.routes().is_some());
        tokio::time::sleep(if known { PERIOD } else { STARTING_PERIOD }).await;
        context.metrics.catalogue_age.set(context.catalogue_age().as_millis() as i64);
        let peers = peer_addresses(&context);
        most_nodes = note_nodes(&context, peers.len() + 1, most_nodes);
        let asked = peers.choose(&mut rand::rng()).copied();
        if let Some(address) = asked {
            ask(&context, address).await;
        }
    }
}

fn peer_addresses<C, B>(context: &Context<C, B>) -> Vec<SocketAddr> {
    let fleet = context.node.fleet.lock();
    let own = &context.node.info.key.node;
    let others = fleet.members().present().filter(|member| member.info.key.node != *own);
    others.map(|member| member.info.peer_address).collect()
}

/// Budgets and connections are shared by the highest number of nodes met in this life: a node that
/// loses sight of others must not take their part, since they may be there for everybody else.
fn note_nodes<C: CallerProtocol, B: BackendProtocol>(
    context: &Context<C, B>,
    present: usize,
    most: usize,
) -> usize {
    let settings = context.settings.load();
    let most = most.max(present);
    let shared = if most == 1 { settings.assumed_nodes as usize } else { most };
    let before = context.nodes.swap(shared as u64, Ordering::Relaxed);
    if before != shared as u64 {
        log::info!(nodes = shared, before = before; "gateway: budgets and connections are shared by {shared} nodes.");
        context.refresh_connections();
    }
    most
}

async fn ask<C: CallerProtocol, B: BackendProtocol>(context: &Context<C, B>, address: SocketAddr) {
    let asked_at = context.clock().now();
    let (version, replicas_at) = context
        .node
        .catalogue
        .read(|view| (view.routes().map_or(0, |routes| routes.version()), view.replicas_at()));
    let request = PeerRequest::Catalogue { version, replicas_at };
    let until = tokio::time::Instant::now() + PATIENCE;
    let answer = context.node.peers.request(address, Lane::Control, request, until).await;
    let Ok(PeerResponse::Catalogue(snapshot)) = answer else {
        return;
    };
    let now = context.clock().now();
    let told =
        (snapshot.configuration.as_ref().map(|configuration| configuration.version), snapshot.replicas_at);
    if context.node.catalogue.update(|view| view.merge(*snapshot, now)) {
        log::info!(peer = address.to_string().as_str(), version = told.0.unwrap_or(version), replicas_at = told.1, had = replicas_at; "catalogue: news from a peer.");
        if version == 0 {
            confirm(context, asked_at);
        }
    }
}
