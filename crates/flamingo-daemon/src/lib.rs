//! Code that the daemons share: logs, metrics, signals, keys, TLS and HTTP error responses.

pub mod answer;
pub mod clock;
pub mod guard;
pub mod key;
pub mod log;
pub mod metrics;
pub mod reload;
pub mod stop;
pub mod tls;
