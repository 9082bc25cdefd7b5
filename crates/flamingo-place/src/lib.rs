//! Placement: which copies of models reside on which accelerators, and the account of the
//! accelerators' memory.
//!
//! The crate performs no I/O and reads no clock. Its inputs are reports, the replicated
//! [`intents::Intents`] and an `Instant`; its outputs are [`placer::Output`]s. See
//! `docs/PLACEMENT.md`.

pub mod account;
mod copy_counts;
pub mod demand;
mod engine_account;
mod explain;
pub mod fit;
pub mod intents;
pub mod placer;
pub mod plan;
pub mod rate;
pub mod rate_limit;
pub mod rebalance;
mod room;
pub mod view;
pub mod water_filling;
pub mod weights;
