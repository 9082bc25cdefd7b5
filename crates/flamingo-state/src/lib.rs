//! What the log builds: configuration, call ledger and order intents.
//!
//! [`State`] is deterministic: the same commands in the same order make the
//! same state and the same replies on every member. Time comes with the
//! commands, stamped by the leader.

pub mod calls;
pub mod command;
pub mod configuration;
pub mod orders;
pub mod state;

pub use command::{Command, Stamped};
pub use state::State;
