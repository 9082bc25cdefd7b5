//! Accepts callers' requests and routes them to targets that register with control instances.
//!
//! HTTP heads are translated by a [`wire::Codec`], which the users' platform implements. Routing
//! decisions are made without I/O in [`flamingo_guard::authentication`], [`table`], [`choice`], [`admission`],
//! [`departure`], [`outlook`] and [`budget`], from the estimates of [`speed`], [`pace`] and
//! [`round_trip`]; [`isolation`] decides whether targets are reached at all, and [`handover`] passes requests on to
//! another entry while they aren't. The other modules handle connections and tasks. Everything runs on a single thread.

pub mod admission;
pub mod availability;
pub mod body;
pub mod budget;
pub mod catch_up;
pub mod choice;
pub mod demand;
pub mod departure;
pub mod event_stream;
pub mod events;
pub mod exchange;
pub mod handover;
pub mod isolation;
pub mod lifecycle;
pub mod limit;
pub mod memory;
pub mod metrics;
pub mod neighbours;
pub mod origins;
pub mod outlook;
pub mod pace;
pub mod pool;
pub mod preamble;
pub mod prefill;
pub mod proxy;
pub mod quota;
pub mod round_trip;
pub mod server;
pub mod sharers;
pub mod speed;
pub mod stillness;
pub mod table;
pub mod topology;
pub mod wire;
pub mod write_stall;
