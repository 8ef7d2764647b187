//! Crowds of clients that keep to each limit for a single request and still press a node for memory or descriptors: no
//! process may end or hang, each stays within a small machine, and ordinary callers are answered.
//!
//! The tests check nothing that depends on the speed of the machine. They run one at a time.

mod bodies;
mod connections;
mod crowd;
mod own_api;
mod readers;
#[path = "../platform/support.rs"]
mod support;
mod trial;
