//! Small fakes at the system's outer borders: a model engine and a plain service.

pub mod announcer;
pub mod engine;
pub mod service;
