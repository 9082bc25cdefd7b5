//! `flamingoctl`, the command-line client for operators of flamingolink.
//!
//! Each command is a module of [`command`] that defines its name, arguments,
//! description and examples.

pub mod cli;
pub mod client;
pub mod command;
pub mod diff;
pub mod fault;
pub mod output;
pub mod trace;

pub use fault::Error;
