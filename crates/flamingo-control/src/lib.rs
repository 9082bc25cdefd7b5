//! The control daemon: keeps durable state and gives orders to engines.

pub mod daemon;
pub mod http;
pub mod inner;
pub mod keeper;
