//! The tokio runtime of a node: listeners, connections and tasks that drive the state machines of
//! `sablebay-query` and `sablebay-fleet`.

mod admin_api;
mod caller_api;
mod caller_counts;
mod catalogue_answer;
mod catalogue_store;
mod clock;
mod cluster_view;
mod common_routes;
mod connection_limits;
mod document_store;
mod error;
mod fleet_task;
mod freshness;
mod http_listener;
mod leaf_client;
mod lifecycle;
mod load_poll;
mod logging;
mod mechanisms;
mod metrics;
mod node;
mod operation;
mod outcome_body;
mod partial_search;
mod peers;
mod platform;
mod quarantine_store;
mod report;
mod request_body;
mod resources;
mod root_search;
mod search_driver;
mod service_counts;
mod service_state;
mod shared;
mod socket;
mod suspension;
mod traffic;
mod traffic_log;

pub use admin_api::start_draining;
pub use caller_counts::{CallerCounts, NAMED_TENANTS};
pub use catalogue_store::CatalogueStore;
pub use clock::{Clock, ClockSource};
pub use connection_limits::ConnectionLimits;
pub use document_store::{DocumentStore, MAXIMUM_DOCUMENT_BYTES};
pub use error::NodeError;
pub use http_listener::{ListenerPhase, serve_callers, serve_http, serve_http_within};
pub use leaf_client::{CallEvent, LeafClient, OutgoingSearch};
pub use lifecycle::{Lifecycle, StopTimes, StopWatch};
pub use logging::{LogControl, start_logging};
pub use mechanisms::NodeMechanisms;
pub use node::{BoundAddresses, Node};
pub use peers::{Lane, PeerFailure, PeerReply, PeerTransport, PendingAnswer, ProgressSender};
pub use quarantine_store::{QuarantineStore, SuspectReport};
pub use report::{CallersReport, CatalogueReport, NodeReport, TenantsReport};
pub use request_body::{RequestBodyFailure, read_request_body};
pub use resources::{
    CallerConnection, ConnectionId, ConnectionPhase, Growth, MemoryLease, ResourceLimits, ResourceTable,
    Resources, SMALL_LEASE_BYTES, Slot,
};
pub use root_search::{QueryInput, root_search};
pub use service_counts::ServiceReport;
pub use shared::{AccountOwner, PartialGatherer, Shared};
pub use socket::prepare_socket;
pub use suspension::Suspension;
pub use traffic::{TrafficKind, TrafficLedger, TrafficSpan};
