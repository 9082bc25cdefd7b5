//! An entry's links to the other entries and to the control instances.
//!
//! The entry gets news as [`flamingo_wire::event::Event`]s and asks through
//! a [`Link`]. What is decided stands in `flamingo_member`; this package is the
//! sockets, clocks and tasks around it. No request and no stream here waits on a
//! silent connection past a stored deadline.

pub mod ask;
pub mod link;
pub mod report;
pub mod status;
pub mod subscription;

mod gossip;
mod pool;
mod shared;
mod watch;

pub use link::Link;
