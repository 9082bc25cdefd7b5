//! Plain types that every flamingolink package shares, and the protocol that
//! the system's own processes speak to each other.
//!
//! Nothing here decides anything: the types carry identity, configuration,
//! announcements and requests between the packages that do.

pub mod admin;
pub mod announce;
pub mod config;
pub mod control;
pub mod engine;
pub mod event;
pub mod fault;
pub mod frame;
pub mod gossip;
pub mod id;
pub mod outcome;
pub mod place;
pub mod route;
pub mod target;

/// Code generated from `proto/inner.proto`; see `flamingo-codegen`.
#[allow(clippy::pedantic, missing_docs)]
pub mod inner {
    include!("generated/flamingo.inner.rs");
}

pub use fault::Fault;
pub use frame::Frame;
pub use outcome::Verdict;
