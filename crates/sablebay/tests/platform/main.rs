//! End-to-end tests on the users' platform: node processes over loopback, with stand-ins from
//! `sablebay-platform-standin` as callers, back ends and the store.

mod at_most_once;
mod broken_heads;
mod callers;
mod catalogue;
mod evacuation;
mod faulty_answers;
mod gathering;
mod incarnations;
mod key_changes;
mod large_configurations;
mod late_in_stop;
mod lifecycle;
mod link;
mod normal_operation;
mod odd_answers;
mod odd_entries;
mod overload;
mod quarantine;
mod quota;
mod restored_store;
mod revocation;
mod stop_in_flight;
mod store_eras;
mod support;
mod tenant_secrets;
mod tenant_status;
mod tenants;
mod unsigned_answers;
