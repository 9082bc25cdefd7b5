//! Runs a complete flamingolink system in one process, for local development.

pub mod local;
