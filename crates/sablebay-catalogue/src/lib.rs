//! What routes and replicas there are, by revision.
//!
//! Decided here: which route a request takes, which replicas of a service may get new work, and
//! that a node's view of both never goes back. Not decided here: when the source of the catalogue
//! is read (`sablebay-gateway`) and how it is spelled (an adapter). No I/O and no clock.

mod configuration;
mod replica;
mod route_table;
mod snapshot;
mod view;

pub use configuration::{
    BackendService, CallerLimits, Destination, Gather, Repeatability, Route, RoutingConfiguration,
    WeightedService,
};
pub use replica::{Replica, ReplicaId, ReplicaPhase, ServiceName};
pub use route_table::RouteTable;
pub use snapshot::CatalogueSnapshot;
pub use view::{CatalogueView, Listing, ReplicaChange, RoutableReplica};
