//! The whole path on the users' platform: node processes between callers, back ends and the store,
//! all stand-ins of `sablebay-platform-standin`, over loopback.

mod at_most_once;
mod callers;
mod catalogue;
mod evacuation;
mod gathering;
mod large_configurations;
mod life;
mod link;
mod lives;
mod odd_answers;
mod overload;
mod quarantine;
mod quiet_path;
mod quota;
mod returning_store;
mod revocation;
mod store_eras;
mod support;
mod tenant_secrets;
mod tenant_status;
mod tenants;
mod tenants_in_time;
