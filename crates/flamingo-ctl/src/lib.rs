//! `flamingoctl`, the operators' client.
//!
//! Each command is one file under [`command`], which states its name,
//! arguments, description and examples.

pub mod cli;
pub mod client;
pub mod command;
pub mod diff;
pub mod fault;
pub mod output;
pub mod trace;

pub use fault::Error;
