//! Fakes of the external systems: a model engine, a plain service and the weight store.
//! `docs/STAND-INS.md` describes how they behave.

pub mod announcer;
pub mod answer;
pub mod engine;
pub mod fault;
pub mod record;
pub mod service;
pub mod store;
