//! `flamingoctl`, the operators' client.

pub mod client;
pub mod command;
