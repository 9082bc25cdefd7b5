//! What the daemons share: logs, metrics, signals, keys, TLS and answers to HTTP callers.

pub mod answer;
pub mod clock;
pub mod fresh;
pub mod guard;
pub mod key;
pub mod log;
pub mod metrics;
pub mod stop;
pub mod tls;
