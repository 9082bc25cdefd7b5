//! The control daemon: keeps the durable state and gives orders to engines.
//!
//! The actor [`raft_actor::RaftActor`] owns the replicated log and the state built from it. Work
//! that only the leader does is a [`leader_task::LeaderTask`], or the engine [`controller`] on a
//! platform that has one.

pub mod controller;
pub mod daemon;
pub mod http;
pub mod inner;
pub mod leader_task;
pub mod link;
pub mod metrics;
pub mod orders;
pub mod packet;
pub mod raft_actor;
pub mod registry;
pub mod watch;
pub mod writer;
