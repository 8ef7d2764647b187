//! The tokio shell of a node: listeners, connections and tasks around the decision logic of
//! `sablebay-query` and `sablebay-fleet`.

mod admin_api;
mod caller_api;
mod catalogue_store;
mod clock;
mod cluster_view;
mod common_routes;
mod connection_limits;
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
mod report;
mod root_search;
mod search_driver;
mod service_counts;
mod service_state;
mod shared;

pub use admin_api::start_draining;
pub use catalogue_store::CatalogueStore;
pub use clock::Clock;
pub use connection_limits::ConnectionLimits;
pub use error::NodeError;
pub use http_listener::{ListenerPhase, serve_http, serve_http_within};
pub use leaf_client::{CallEvent, LeafClient, OutgoingSearch};
pub use lifecycle::Lifecycle;
pub use logging::{LogControl, start_logging};
pub use mechanisms::NodeMechanisms;
pub use node::{BoundAddresses, Node};
pub use peers::{Lane, PeerFailure, PeerTransport};
pub use report::{CatalogueReport, NodeReport};
pub use root_search::{QueryInput, root_search};
pub use service_counts::ServiceReport;
pub use shared::Shared;
