//! Subcommands of `sablebay`.

pub mod check;
pub mod config;
pub mod demo;
pub mod drain;
pub mod release;
pub mod serve;
pub mod status;
pub mod trace;
