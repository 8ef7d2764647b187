//! Status reports of a node for operators.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use serde::{Deserialize, Serialize};

use sablebay_config::Version;
use sablebay_fleet::{ConfigurationFloor, Conflict, FleetPart, MemberStatus, Rejection};
use sablebay_model::Incarnation;

use crate::quarantine_store::SuspectReport;
use crate::resources::Resources;
use crate::service_counts::ServiceReport;
use crate::shared::Shared;

/// One member as seen by the reporting node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberReport {
    pub node: String,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    pub zone: String,
    pub status: MemberStatus,
    /// Configuration version that the member last announced.
    pub version: Version,
    /// Milliseconds since the last direct contact; absent before the first.
    pub heard_ms_ago: Option<u64>,
    pub admin_address: String,
}

/// Tenants known to a node with a gateway; contains none of their keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TenantsReport {
    /// Number of tenants.
    pub tenants: usize,
    /// Number of keys that identify exactly one tenant.
    pub keys: usize,
    /// Number of keys that several tenants list and that therefore identify none.
    pub disputed_keys: usize,
    /// Requests refused since the start because of failed authentication, by reason.
    pub refused: BTreeMap<String, u64>,
}

/// Routes and replicas known to a node with a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CatalogueReport {
    /// Version of the routing configuration in force; 0 when there is none.
    pub version: u64,
    /// Newer version that was announced but not received yet.
    #[serde(default)]
    pub heard_version: Option<u64>,
    /// Milliseconds since that version was announced.
    #[serde(default)]
    pub behind_ms: Option<u64>,
    /// Number of the revision up to which the replicas are known.
    pub replicas_at: u64,
    /// Era of that revision; incremented when the catalogue's source is restored from an older copy.
    #[serde(default)]
    pub era: u64,
    /// Whether the settle period after the last restore is over, so that writers had time to repeat lost writes.
    #[serde(default)]
    pub settled: bool,
    /// Replicas and evacuated zones retained until then although the source lacks them.
    #[serde(default)]
    pub kept: usize,
    /// Number of replicas that may receive new work.
    pub replicas: usize,
    /// Zones whose replicas receive no new work.
    #[serde(default)]
    pub evacuated_zones: Vec<String>,
    /// Milliseconds since the latest time at which the configuration was confirmed to be the newest; absent before the
    /// first confirmation. Grows while an announced configuration cannot be read.
    pub confirmed_ms_ago: Option<u64>,
    /// Absent where callers need no key.
    #[serde(default)]
    pub tenants: Option<TenantsReport>,
}

/// The part of the fleet that a node can reach.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetPartReport {
    /// Share of the fleet's limits that the reachable nodes may use together, from 0 to 1.
    pub share: f64,
    /// How the share was determined.
    pub basis: String,
}

impl FleetPartReport {
    fn new(part: &FleetPart) -> Self {
        Self { share: part.share, basis: part.basis.to_string() }
    }
}

/// Report of one node on itself and on the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeReport {
    pub node: String,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    pub zone: String,
    pub region: String,
    /// Configuration version in force; zero when there is none.
    pub version: Version,
    /// The highest accepted version that is known.
    pub floor: Version,
    /// Milliseconds since the configuration was confirmed.
    pub confirmed_ms_ago: Option<u64>,
    /// Whether the node serves requests.
    pub ready: bool,
    /// Whether the node refuses new work.
    pub draining: bool,
    pub in_flight: i64,
    pub claims_held: usize,
    /// Number of other members.
    pub members_known: usize,
    /// The other members; omitted from reports between nodes to keep them small.
    #[serde(default)]
    pub members: Vec<MemberReport>,
    pub leaving_leaves: Vec<String>,
    /// Rejected revisions.
    pub rejections: Vec<Rejection>,
    /// Revisions that were seen with different contents.
    pub conflicts: Vec<Conflict>,
    /// Services that were requested at this node.
    pub services: BTreeMap<String, ServiceReport>,
    /// Zones that the configuration in force evacuates.
    #[serde(default)]
    pub evacuated_zones: Vec<String>,
    /// Routes and replicas; absent without a gateway.
    #[serde(default)]
    pub catalogue: Option<CatalogueReport>,
    /// Requests that crashed back ends.
    #[serde(default)]
    pub quarantine: Vec<SuspectReport>,
    /// The reachable part of the fleet; absent without a gateway.
    #[serde(default)]
    pub fleet_part: Option<FleetPartReport>,
    /// What callers take of the node.
    #[serde(default)]
    pub callers: CallersReport,
}

/// What callers take of a node, and its bounds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CallersReport {
    /// Open connections.
    pub connections: usize,
    pub maximum_connections: usize,
    /// Bytes leased for requests and answers.
    pub bytes: usize,
    pub maximum_bytes: usize,
    /// Connections closed in favour of new ones, since the start.
    pub connections_evicted: u64,
    /// Connections of stalled clients closed for their memory, since the start.
    pub memory_reclaimed: u64,
    /// Requests and answers without memory, since the start.
    pub memory_refused: u64,
}

fn callers_report(resources: &Resources) -> CallersReport {
    let limits = resources.limits();
    let counters = resources.counters();
    CallersReport {
        connections: resources.connections(),
        maximum_connections: limits.connections,
        bytes: resources.leased_bytes(),
        maximum_bytes: limits.memory_bytes,
        connections_evicted: counters.connections_evicted.load(Ordering::Relaxed),
        memory_reclaimed: counters.memory_reclaimed.load(Ordering::Relaxed),
        memory_refused: counters.memory_refused.load(Ordering::Relaxed),
    }
}

/// The report of this node without its members, for other nodes.
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

fn evacuated_zones(floor: &ConfigurationFloor) -> Vec<String> {
    let zones = floor.in_force().into_iter().flat_map(|known| &known.evacuated_zones);
    zones.map(ToString::to_string).collect()
}

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
        callers: callers_report(&shared.resources),
    }
}
