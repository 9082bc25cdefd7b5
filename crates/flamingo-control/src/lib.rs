//! The control daemon: keeps the durable state and gives orders to engines.
//!
//! The actor [`raft_actor::RaftActor`] owns the replicated log and the state built from it. Work
//! that only the leader does is a [`leader_task::LeaderTask`]. Orders to engines come either from
//! [`placement_task::PlacementTask`] or from the engine [`controller`], which the platform runs.

pub mod controller;
pub mod daemon;
pub mod http;
pub mod inner;
pub mod leader_task;
pub mod link;
pub mod metrics;
pub mod origins;
pub mod packet;
pub mod placement_task;
pub mod plausibility;
pub mod raft_actor;
pub mod registry;
pub mod software;
pub mod suspicions;
pub mod transfer;
pub mod usage_relay;
pub mod watch;
pub mod writer;
