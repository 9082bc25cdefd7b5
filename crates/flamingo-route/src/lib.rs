//! Routing decisions of an entry instance: admission, queueing, selection of
//! targets, attempts, retries and limits.
//!
//! [`Router`] is a pure state machine. It takes an [`Input`] with the current
//! [`std::time::Instant`] and returns the [`Action`]s that its owner must carry
//! out. The router reads no clock, opens no socket and spawns no task, and its
//! random choices come from a seed, so that tests can replay any run. See
//! `docs/ROUTING.md` for the design and its figures.

pub mod action;
pub mod budget;
pub mod demand;
pub mod fleet;
pub mod health;
pub mod limit;
pub mod queue;
pub mod request;
pub mod ring;
pub mod router;
pub mod slot;
pub mod target;

pub use action::{Action, Input};
pub use limit::Limit;
pub use request::{Pool, Request};
pub use router::Router;
