//! Placement: which model copies sit on which accelerators, and the account of
//! their memory.
//!
//! All of it is pure: reports, the replicated [`intents::Intents`] and an `Instant` go
//! in, [`placer::Output`]s come out. See `docs/PLACEMENT.md`.

pub mod account;
pub mod demand;
mod explain;
pub mod fit;
pub mod intents;
pub mod pace;
pub mod placer;
pub mod plan;
pub mod rate;
pub mod rebalance;
mod room;
mod seat;
mod tally;
pub mod view;
pub mod water_filling;
pub mod weights;
