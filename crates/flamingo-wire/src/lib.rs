//! Types that all flamingolink packages share, and the inner protocol between the system's
//! own processes.
//!
//! The types carry identities, configuration, announcements and requests. Decisions are made
//! in the packages that use them.

pub mod admin;
pub mod announce;
pub mod config;
pub mod control;
pub mod engine;
pub mod event;
pub mod fault;
pub mod fingerprint;
pub mod frame;
pub mod gossip;
pub mod handover;
pub mod id;
pub mod lint;
pub mod outcome;
pub mod place;
pub mod prompt;
pub mod quota;
pub mod route;
pub mod share;
pub mod status;
pub mod stream;
pub mod target;
pub mod workspace;

/// Code generated from `proto/inner.proto`; see `flamingo-codegen`.
#[allow(clippy::pedantic, missing_docs)]
pub mod inner {
    include!("generated/flamingo.inner.rs");
}

pub use fault::Fault;
pub use frame::Frame;
pub use outcome::Verdict;
