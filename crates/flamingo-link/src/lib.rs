//! Connections of a process to the other entries and to the control instances.
//!
//! A [`Link`] reports changes to its entry as [`flamingo_wire::event::Event`]s and sends the
//! entry's requests. The membership protocol is implemented in `flamingo_member`; this package
//! adds sockets, clocks and tasks. Every request and stream has a deadline, so that none waits
//! forever on a connection whose peer does not answer.

pub mod ask;
pub mod feeds;
pub mod freshness;
pub mod link;
pub mod report;
pub mod status;
pub mod subscription;

mod config_stream;
mod gossip;
mod pool;
mod shared;

pub use link::Link;
