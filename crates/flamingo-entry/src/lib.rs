//! The entry daemon: takes callers' requests to targets.
//!
//! The decisions are those of [`flamingo_route::Router`], which an actor holds;
//! this package carries them out over HTTP.

pub mod body;
pub mod call;
pub mod completion;
pub mod daemon;
pub mod desk;
pub mod exchange;
pub mod http;
pub mod known;
pub mod metric;
pub mod path;
pub mod prompt;
pub mod pump;
pub mod sse;
pub mod ticket;
