//! Settings of the daemons and the operators' sets, read from INI and checked
//! whole: every problem is reported at once, with its place and what is allowed.

pub mod control;
pub mod entry;
pub mod keys;
pub mod node;
pub mod reader;
pub mod serve;
pub mod set;
pub mod tls;

pub use reader::{Error, Problem, Reader};
