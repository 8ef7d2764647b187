//! Forwards requests to one replica of each of their shards.
//!
//! This crate owns the sockets, tasks and clocks, and carries out the decisions of `sablebay-dispatch`
//! and `sablebay-catalogue`. The protocols of callers, back ends and the catalogue source are behind
//! the traits in [`edge`].

mod answer;
#[cfg(test)]
mod answer_tests;
mod authentication;
mod back_end_answer;
mod call;
mod catalogue_reader;
mod confirmation;
mod connections;
mod context;
mod counted_stream;
mod delegated;
#[cfg(test)]
mod delegated_tests;
mod destinations;
mod document_fetch;
mod driver;
pub mod edge;
mod error;
mod fleet_view;
#[cfg(test)]
mod fleet_view_tests;
mod gateway;
mod gatherer;
mod ingress;
mod installation;
mod mechanisms;
mod merge;
mod metrics;
mod ownership;
#[cfg(test)]
mod ownership_tests;
mod peer_catalogue;
mod peer_rotation;
#[cfg(test)]
mod peer_rotation_tests;
mod prepare_call;
mod quarantine;
mod quota;
mod quota_owners;
mod quota_state;
mod readiness;
mod replica_shares;
mod request_body;
mod request_digest;
#[cfg(test)]
mod request_digest_tests;
mod request_log;
mod routing_view;
mod send_gate;
mod start_delay;
#[cfg(test)]
mod start_delay_tests;
mod tenant_admission;
#[cfg(test)]
mod tenant_admission_tests;
mod warm_up;

pub use authentication::key_digester;
pub use error::GatewayError;
pub use gateway::{ClosingGateway, Gateway, GatewayAddresses};
pub use mechanisms::GatewayMechanisms;
