//! The entry daemon, which forwards callers' requests to targets.
//!
//! [`flamingo_route::Router`], owned by the actor [`dispatcher::Dispatcher`], decides when and to
//! which target a request is sent. This crate carries out the decisions over HTTP.

pub mod authentication;
pub mod body;
pub mod call;
pub mod chunks;
pub mod completion;
pub mod daemon;
pub mod dispatcher;
pub mod exchange;
pub mod handle;
pub mod http;
pub mod metrics;
pub mod path;
pub mod prompt;
pub mod relay;
pub mod sse;
pub mod worker_state;
