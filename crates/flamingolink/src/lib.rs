//! A whole local system in one process.

pub mod local;
