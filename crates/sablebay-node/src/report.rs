//! What a node reports to operators, and how the reports of many nodes are merged.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use sablebay_config::Version;
use sablebay_fleet::{ConfigurationFloor, Conflict, FleetPart, MemberStatus, Rejection};
use sablebay_model::Incarnation;

use crate::quarantine_store::SuspectReport;
use crate::service_counts::ServiceReport;
use crate::shared::Shared;

/// One member as a node sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberReport {
    /// The node's name.
    pub node: String,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: String,
    /// What is believed of it.
    pub status: MemberStatus,
    /// The configuration that it last told.
    pub version: Version,
    /// Milliseconds since it was heard directly; absent when it never was.
    pub heard_ms_ago: Option<u64>,
    /// Where operators reach it.
    pub admin_address: String,
}

/// What a node with a gateway knows of tenants. It names none of their keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TenantsReport {
    /// Their number.
    pub tenants: usize,
    /// Keys that stand for one of them.
    pub keys: usize,
    /// Keys that stand for nobody, since several tenants have them.
    pub disputed_keys: usize,
    /// Requests refused since the start because their caller could not be authenticated, by reason.
    pub refused: BTreeMap<String, u64>,
}

/// What a node with a gateway knows of routes and replicas.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CatalogueReport {
    /// The version of the routing configuration in force; 0 when none is.
    pub version: u64,
    /// A newer version that it has heard of; absent when there is none.
    #[serde(default)]
    pub heard_version: Option<u64>,
    /// For how long, in milliseconds.
    #[serde(default)]
    pub behind_ms: Option<u64>,
    /// The number of the revision up to which it knows the replicas.
    pub replicas_at: u64,
    /// The era of the catalogue's source that this number is of: it rises when the source comes back from an older copy.
    #[serde(default)]
    pub era: u64,
    /// Whether writers have had the time to write again what was lost with the source's last return.
    #[serde(default)]
    pub settled: bool,
    /// Replicas and evacuated zones that it keeps until then, though the source does not have them.
    #[serde(default)]
    pub kept: usize,
    /// Replicas that may get new work.
    pub replicas: usize,
    /// Zones whose replicas get none.
    #[serde(default)]
    pub evacuated_zones: Vec<String>,
    /// Age in milliseconds of the moment up to which the configuration is the newest for certain; absent when there is
    /// none. Rises while a configuration is known of that cannot be read.
    pub confirmed_ms_ago: Option<u64>,
    /// Tenants; absent where callers need no key.
    #[serde(default)]
    pub tenants: Option<TenantsReport>,
}

/// The part of the fleet that a node sees.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetPartReport {
    /// What the nodes that it sees may use together of what is bounded for the fleet, from 0 to 1.
    pub share: f64,
    /// What that is known by.
    pub basis: String,
}

impl FleetPartReport {
    fn new(part: &FleetPart) -> Self {
        Self { share: part.share, basis: part.basis.to_string() }
    }
}

/// What one node says of itself and of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeReport {
    /// The node's name.
    pub node: String,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// What is in force; zero when nothing is.
    pub version: Version,
    /// The highest accepted version heard of.
    pub floor: Version,
    /// Milliseconds since a peer confirmed that.
    pub confirmed_ms_ago: Option<u64>,
    /// Whether it serves.
    pub ready: bool,
    /// Whether it refuses new work.
    pub draining: bool,
    /// Requests in flight.
    pub in_flight: i64,
    /// Claims held.
    pub claims_held: usize,
    /// How many other members it knows.
    pub members_known: usize,
    /// The other members; left out of what nodes send each other, where each would name them all.
    #[serde(default)]
    pub members: Vec<MemberReport>,
    /// Leaves that are leaving.
    pub leaving_leaves: Vec<String>,
    /// Revisions that were rejected.
    pub rejections: Vec<Rejection>,
    /// Revisions with two contents.
    pub conflicts: Vec<Conflict>,
    /// Services that were asked for here.
    pub services: BTreeMap<String, ServiceReport>,
    /// Zones that the configuration in force evacuates.
    #[serde(default)]
    pub evacuated_zones: Vec<String>,
    /// Routes and replicas; absent without a gateway.
    #[serde(default)]
    pub catalogue: Option<CatalogueReport>,
    /// Requests that back ends ended under.
    #[serde(default)]
    pub quarantine: Vec<SuspectReport>,
    /// The part of the fleet that it sees; absent without a gateway.
    #[serde(default)]
    pub fleet_part: Option<FleetPartReport>,
}

/// The report of this node without its members, as another node asks for it.
pub fn short_report(shared: &Shared) -> NodeReport {
    NodeReport { members: Vec::new(), ..node_report(shared) }
}

fn catalogue_report(shared: &Shared) -> Option<CatalogueReport> {
    shared.settings.gateway.as_ref()?;
    let now = shared.clock.now();
    let confirmed_ms_ago = shared.catalogue.confirmed_ago(now).map(|ago| ago.as_millis());
    Some(shared.catalogue.read(|view| CatalogueReport {
        version: view.version(),
        heard_version: view.incoming().announced().map(|heard| heard.version),
        behind_ms: view.incoming().announced().map(|heard| now.since(heard.since).as_millis()),
        replicas_at: view.replicas_at().revision().number(),
        era: view.replicas_at().era().count(),
        settled: view.replicas_at().is_settled(),
        kept: view.retained(),
        replicas: view.routable(now).values().map(Vec::len).sum(),
        evacuated_zones: view.evacuations().evacuated().map(ToString::to_string).collect(),
        confirmed_ms_ago,
        tenants: view.routes().and_then(|routes| routes.tenants()).map(|known| TenantsReport {
            tenants: known.tenants().count(),
            keys: known.keys(),
            disputed_keys: known.disputed_keys(),
            refused: shared.callers.refusals(),
        }),
    }))
}

/// The zones that the configuration in force evacuates.
fn evacuated_zones(floor: &ConfigurationFloor) -> Vec<String> {
    let zones = floor.in_force().into_iter().flat_map(|known| &known.evacuated_zones);
    zones.map(ToString::to_string).collect()
}

/// The report of this node.
pub fn node_report(shared: &Shared) -> NodeReport {
    let now = shared.clock.now();
    let fleet = shared.fleet.lock();
    let mut members: Vec<MemberReport> = fleet
        .members()
        .iter()
        .map(|member| MemberReport {
            node: member.info.key.node.to_string(),
            incarnation: member.info.key.incarnation,
            zone: member.info.zone.to_string(),
            status: member.status(),
            version: member.version,
            heard_ms_ago: (member.last_contact.0 > 0).then(|| now.since(member.last_contact).as_millis()),
            admin_address: member.info.admin_address.to_string(),
        })
        .collect();
    members.sort_by(|a, b| a.node.cmp(&b.node));
    let services = shared
        .service_states()
        .iter()
        .map(|state| (state.service_id().to_string(), state.counts.lock().report()))
        .collect();
    NodeReport {
        node: shared.key().node.to_string(),
        incarnation: shared.key().incarnation,
        zone: shared.settings.zone.to_string(),
        region: shared.settings.region.to_string(),
        version: fleet.floor().version(),
        floor: fleet.floor().floor(),
        confirmed_ms_ago: shared.freshness.confirmed_ms_ago(now),
        ready: shared.freshness.is_ready(),
        draining: shared.lifecycle.is_draining(),
        in_flight: shared.lifecycle.in_flight(),
        claims_held: shared.claims.lock().len(),
        members_known: members.len(),
        members,
        leaving_leaves: fleet.leaving_leaves().iter().map(|leaf| leaf.to_string()).collect(),
        rejections: fleet.floor().rejections().cloned().collect(),
        conflicts: fleet.floor().conflicts().copied().collect(),
        services,
        evacuated_zones: evacuated_zones(fleet.floor()),
        catalogue: catalogue_report(shared),
        quarantine: shared.quarantine.report(now),
        fleet_part: shared.fleet_part.lock().map(|part| FleetPartReport::new(&part)),
    }
}
