//! The replicated state that the committed commands of the log build: configuration,
//! routes, ledger of calls, orders to engines, and software versions of targets.
//!
//! [`State`] is deterministic: the same commands in the same order give the same state and
//! the same replies on every member. Time comes only from the commands, which the leader
//! stamps.

pub mod calls;
pub mod command;
pub mod configuration;
pub mod orders;
pub mod software;
pub mod state;

pub use command::{Command, Stamped};
pub use state::State;
