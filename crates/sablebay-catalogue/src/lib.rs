//! Catalogue of routes and replicas, ordered by revision.
//!
//! Covers route selection, the replicas that may receive new requests, monotonic merging of updates, and when
//! to read the catalogue's source. Adapters parse the source's format. No I/O and no clock.

mod configuration;
mod configuration_history;
mod configuration_step;
mod confirmation;
mod document;
mod evacuation;
mod incoming_configuration;
mod known_configuration;
mod reading;
mod replica;
mod revision;
mod route_table;
mod snapshot;
mod source_era;
mod urgency;
mod view;

pub use configuration::{
    BackendService, CallerLimits, Destination, Gather, Repeatability, Route, RoutingConfiguration, WarmUp,
    WeightedService,
};
pub use configuration_history::ConfigurationHistory;
pub use configuration_step::{ConfigurationStep, StepError};
pub use confirmation::{
    ConfigurationRevisions, PeerConfirmation, WATCH_SILENCE, bound_of_listing, bound_of_wait,
};
pub use document::{CHUNK_BYTES, Distribution, DocumentDigest, DocumentOffer, FAN_OUT, INLINE_BYTES};
pub use evacuation::{Evacuations, ZoneNotice};
pub use incoming_configuration::{AnnouncedVersion, IncomingConfiguration};
pub use known_configuration::ConfigurationUpdate;
pub use reading::{
    LimitedAge, MAXIMUM_STALENESS, READERS, ReadFailure, ReadingInputs, ReadingPolicy, SourceRead, SourceStep,
};
pub use replica::{Replica, ReplicaEntry, ReplicaId, ReplicaPhase, ServiceName};
pub use revision::{CataloguePosition, CatalogueRevision, Era, EraStage, PeerPosition};
pub use route_table::RouteTable;
pub use snapshot::CatalogueSnapshot;
pub use source_era::{SETTLE_PERIOD, SourceEra};
pub use view::{CatalogueView, Listing, ReplicaChange, RoutableReplica};
