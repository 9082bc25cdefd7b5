//! The control daemon: keeps durable state and gives orders to engines.
//!
//! The [`raft_actor::RaftActor`] actor owns the replicated log and the state that it
//! builds. What only the leader does is a [`leader_task::LeaderTask`].

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
