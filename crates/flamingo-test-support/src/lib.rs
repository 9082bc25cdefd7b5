//! What integration tests share: real processes on loopback, and waiting for
//! events in place of sleeping.

pub mod address;
pub mod cluster;
pub mod process;
pub mod wait;
