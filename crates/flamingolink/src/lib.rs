//! A whole local system in one process; see `main.rs`.
