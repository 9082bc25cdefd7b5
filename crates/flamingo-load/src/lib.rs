//! Load and experiment tool: sends seeded workloads to running entries in an open loop, and checks
//! the responses against the requests that the targets recorded.

pub mod compare;
pub mod drive;
pub mod engines;
pub mod error;
pub mod plan;
pub mod plot;
pub mod report;
pub mod tally;
pub mod truth;
pub mod workload;
