//! The entry daemon: takes callers' requests to targets.

pub mod daemon;
pub mod http;
pub mod table;
