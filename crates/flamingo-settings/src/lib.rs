//! Settings of the daemons and the configuration that operators edit, read from INI files.
//!
//! A file is checked as a whole: all problems are reported at once, each with its section and
//! key and the values that are allowed.

pub mod control;
pub mod entry;
pub mod keys;
pub mod node;
pub mod reader;
pub mod serve;
pub mod set;
pub mod tls;

pub use reader::{Error, Problem, Reader};
