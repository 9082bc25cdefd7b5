//! All decisions between a caller's request and its answer, as a pure state
//! machine: admission, queues, selection of targets, attempts and limits.
//!
//! [`Router`] takes [`Input`]s with a given [`std::time::Instant`] and gives
//! [`Action`]s; it holds no clock, socket or task, and its random choices come
//! from a seed. See `docs/ROUTING.md` for the choices and their figures.

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
