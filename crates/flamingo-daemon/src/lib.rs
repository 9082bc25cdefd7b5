//! What the daemons share: logs, signals, keys, TLS and answers to HTTP callers.

pub mod answer;
pub mod clock;
pub mod fresh;
pub mod guard;
pub mod key;
pub mod log;
pub mod stop;
pub mod tls;
