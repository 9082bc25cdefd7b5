//! Small fakes at the system's outer borders: a model engine, a plain service
//! and the weight store. `docs/STAND-INS.md` states their models.

pub mod announcer;
pub mod answer;
pub mod engine;
pub mod fault;
pub mod record;
pub mod service;
pub mod store;
