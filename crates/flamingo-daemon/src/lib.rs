//! Code that the daemons share: logs, metrics, signals, keys, TLS, HTTP error responses and
//! reasons not to start.

pub mod answer;
pub mod clock;
pub mod guard;
pub mod key;
pub mod labels;
pub mod log;
pub mod metrics;
pub mod reload;
pub mod startup;
pub mod stop;
pub mod tls;
