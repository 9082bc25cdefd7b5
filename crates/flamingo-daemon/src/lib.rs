//! What the daemons share: logs, signals and answers to HTTP callers.

pub mod answer;
pub mod log;
pub mod stop;
