//! Load and experiment tool: seeded workloads, sent open loop to running
//! entries, with a report that is checked against what the targets truly ran.

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
