//! Takes callers' requests on routes to targets that register with control.
//!
//! The words of a wire are behind [`wire::Codec`]; what is decided is pure and stands in
//! [`table`], [`choice`] and [`budget`]; the rest is sockets and tasks around it. All of it
//! runs on one thread.

pub mod admission;
pub mod body;
pub mod budget;
pub mod choice;
pub mod demand;
pub mod events;
pub mod exchange;
pub mod lifecycle;
pub mod metrics;
pub mod pace;
pub mod pool;
pub mod proxy;
pub mod relay;
pub mod server;
pub mod table;
pub mod topology;
pub mod wire;
